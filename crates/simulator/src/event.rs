//! Events of a simulated world, ordered by time.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use threadledge_control::{Input, PeerMessage};
use threadledge_types::session::{Grant, LeaseRequest, LeaseResponse};
use threadledge_types::{RouterId, RouterIdentity, Timestamp};

use crate::world::{BackEndIndex, RouterIndex};

/// An event in a simulated world.
#[derive(Debug)]
pub enum Event {
    /// Periodic tick of a router.
    RouterTick(RouterIndex),
    /// A message from one router arrives at another.
    Peer {
        /// Machine of the receiver.
        to: RouterIndex,
        /// Process to which the message is addressed, if known.
        to_id: Option<RouterId>,
        /// Sender.
        from: RouterIdentity,
        /// The message.
        message: Box<PeerMessage>,
    },
    /// Any other input of a router.
    RouterInput {
        /// Machine of the router.
        to: RouterIndex,
        /// Process that accepts the input; another one ignores it.
        process: RouterId,
        /// The input.
        input: Box<Input>,
    },
    /// A lease request arrives at a back end.
    LeaseRequest {
        /// The back end to which it was sent.
        to: BackEndIndex,
        /// Machine of the router that sent it.
        from: RouterIndex,
        /// Process of that router.
        process: RouterId,
        /// Number of the exchange.
        exchange: u64,
        /// The request.
        request: Box<LeaseRequest>,
    },
    /// The response to a lease request arrives at its router.
    LeaseResponse {
        /// Machine of the router.
        to: RouterIndex,
        /// Process that sent the request.
        process: RouterId,
        /// Number of the exchange.
        exchange: u64,
        /// The response.
        response: Box<LeaseResponse>,
    },
    /// A lease exchange times out at its router.
    LeaseTimeout {
        /// Machine of the router.
        to: RouterIndex,
        /// Process that sent the request.
        process: RouterId,
        /// Number of the exchange.
        exchange: u64,
    },
    /// A back end has finished the preparation of a slice.
    Prepared {
        /// The back end.
        back_end: BackEndIndex,
        /// Incarnation of the process that prepared the slice.
        incarnation: u64,
        /// Grant of the prepared slice.
        grant: Grant,
    },
    /// A router reads the machine list.
    ReadMachines(RouterIndex),
    /// The watch of a leader reaches the store.
    WatchStore {
        /// Machine of the router that watches.
        router: RouterIndex,
        /// Process that watches.
        process: RouterId,
    },
    /// The probes check whether keys can be served.
    Probe,
}

/// An event with its time. The sequence number orders events of the same time.
#[derive(Debug)]
struct Scheduled {
    at: Timestamp,
    sequence: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    /// Earlier events compare as greater, because the heap returns its greatest
    /// element first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// Queue of future events.
#[derive(Debug, Default)]
pub struct EventQueue {
    heap: BinaryHeap<Scheduled>,
    next_sequence: u64,
}

impl EventQueue {
    /// Schedules an event.
    pub fn schedule(&mut self, at: Timestamp, event: Event) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.heap.push(Scheduled {
            at,
            sequence,
            event,
        });
    }

    /// Removes and returns the next event, if it is due by `until`.
    pub fn pop_until(&mut self, until: Timestamp) -> Option<(Timestamp, Event)> {
        if self.heap.peek()?.at > until {
            return None;
        }
        let scheduled = self.heap.pop()?;
        Some((scheduled.at, scheduled.event))
    }
}
