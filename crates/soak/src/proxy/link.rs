//! A narrow link between two regions, shared by all connections between them.
//!
//! Each direction is a queue in front of one rate. What was sent is delivered
//! in its turn, also if its sender has reset the connection meanwhile.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use threadledge_net::Instant;

use super::{Direction, Directions};

/// Time from one end of the link to the other.
const LATENCY: Duration = Duration::from_millis(12);

/// One direction of a link.
#[derive(Debug)]
struct Lane {
    /// Time at which everything that was sent has left the queue.
    free_at: Instant,
    /// While other traffic fills the queue: how long it is, as a time.
    crowded: Duration,
    /// The changes of that, for the checks.
    changes: Vec<(std::time::Instant, Duration)>,
}

impl Lane {
    /// Returns whether what arrived at this time may have waited in a queue that
    /// other traffic had filled.
    fn may_have_delayed(&self, arrival: std::time::Instant) -> bool {
        let ends = self.changes.iter().skip(1).map(|(at, _)| Some(*at));
        let changes = self.changes.iter().zip(ends.chain([None]));
        let mut queues = changes.filter(|((_, queue), _)| !queue.is_zero());
        queues.any(|((from, queue), end)| {
            let emptied = end.map(|end| end + *queue + LATENCY);
            *from <= arrival && emptied.is_none_or(|emptied| arrival <= emptied)
        })
    }
}

/// A link between two regions. Clones share it.
#[derive(Clone, Debug)]
pub struct Link {
    bytes_per_s: f64,
    lanes: Arc<[Mutex<Lane>; 2]>,
}

impl Link {
    /// Creates a link with this rate in each direction, in Mbit/s.
    pub fn new(mbps: u32) -> Self {
        let lane = || {
            Mutex::new(Lane {
                free_at: Instant::now(),
                crowded: Duration::ZERO,
                changes: Vec::new(),
            })
        };
        Link {
            bytes_per_s: f64::from(mbps) * 1_000_000.0 / 8.0,
            lanes: Arc::new([lane(), lane()]),
        }
    }

    /// Sets for how long other traffic delays what is sent from now on, in the
    /// directions given as seen from the first region. Zero ends it; what waits
    /// in the queue stays there.
    pub fn crowd(&self, ways: Directions, queue: Duration) {
        for (lane, direction) in self.lanes.iter().zip([Direction::There, Direction::Back]) {
            if ways.includes(direction) {
                let mut lane = lane.lock();
                lane.crowded = queue;
                lane.changes.push((std::time::Instant::now(), queue));
            }
        }
    }

    /// Returns whether what arrived at this time may have waited in a queue that
    /// other traffic had filled, in either direction.
    pub fn may_have_delayed(&self, arrival: std::time::Instant) -> bool {
        let mut lanes = self.lanes.iter();
        lanes.any(|lane| lane.lock().may_have_delayed(arrival))
    }

    /// Sends bytes from a region. Returns when they arrive.
    fn send(&self, region: usize, bytes: usize) -> Instant {
        let mut lane = self.lanes[region].lock();
        let queued_until = lane.free_at.max(Instant::now() + lane.crowded);
        lane.free_at = queued_until + Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
        lane.free_at + LATENCY
    }
}

/// A link as seen by clients of one of its regions.
#[derive(Clone, Debug)]
pub struct LinkEnd {
    /// The link.
    pub link: Link,
    /// Region of the clients, 0 or 1.
    pub region: usize,
}

impl LinkEnd {
    /// Sends bytes in one direction of a connection. Returns when they arrive.
    pub(super) fn send(&self, direction: Direction, bytes: usize) -> Instant {
        let from = match direction {
            Direction::There => self.region,
            Direction::Back => 1 - self.region,
        };
        self.link.send(from, bytes)
    }
}
