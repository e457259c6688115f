//! What happens in a world, in order of time.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use threadledge_control::{Input, PeerMessage};
use threadledge_types::session::{Grant, LeaseRequest, LeaseResponse};
use threadledge_types::{RouterId, RouterIdentity, Timestamp};

use crate::world::{BackEndIndex, RouterIndex};

/// One thing that happens.
#[derive(Debug)]
pub enum Event {
    /// A router's regular tick.
    RouterTick(RouterIndex),
    /// A message of one router reaches another.
    Peer {
        /// The receiver's machine.
        to: RouterIndex,
        /// The process meant, when known.
        to_id: Option<RouterId>,
        /// The sender.
        from: RouterIdentity,
        /// The message.
        message: Box<PeerMessage>,
    },
    /// Anything else that a router is told.
    RouterInput {
        /// The machine.
        to: RouterIndex,
        /// Only this process takes it.
        process: RouterId,
        /// What it is told.
        input: Box<Input>,
    },
    /// A lease request reaches a back end.
    Lease {
        /// The machine it was sent to.
        to: BackEndIndex,
        /// The router that sent it.
        from: RouterIndex,
        /// Its process.
        process: RouterId,
        /// Number of the exchange.
        exchange: u64,
        /// The request.
        request: Box<LeaseRequest>,
    },
    /// The answer to a lease request reaches its router.
    LeaseAnswer {
        /// The router.
        to: RouterIndex,
        /// Its process.
        process: RouterId,
        /// Number of the exchange.
        exchange: u64,
        /// The answer.
        response: Box<LeaseResponse>,
    },
    /// A router gives an exchange up.
    LeaseTimeout {
        /// The router.
        to: RouterIndex,
        /// Its process.
        process: RouterId,
        /// Number of the exchange.
        exchange: u64,
    },
    /// A back end has made itself ready for a slice.
    Prepared {
        /// The back end.
        back_end: BackEndIndex,
        /// Life of its process.
        incarnation: u64,
        /// What it was asked to prepare.
        grant: Grant,
    },
    /// Routers read the machine list.
    ReadMachines(RouterIndex),
    /// The leader's watch reaches the store.
    WatchStore {
        /// The router that watches.
        router: RouterIndex,
        /// Its process.
        process: RouterId,
    },
    /// The probes look at whether keys can be served.
    Probe,
}

/// An event with its time. The number keeps the order of events of one time.
#[derive(Debug)]
struct Scheduled {
    at: Timestamp,
    number: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    /// Earlier events are greater, because the heap gives the greatest first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// Events to come.
#[derive(Debug, Default)]
pub struct EventQueue {
    heap: BinaryHeap<Scheduled>,
    next_number: u64,
}

impl EventQueue {
    /// Schedules an event.
    pub fn schedule(&mut self, at: Timestamp, event: Event) {
        let number = self.next_number;
        self.next_number += 1;
        self.heap.push(Scheduled { at, number, event });
    }

    /// The next event, if it is due by `until`.
    pub fn pop_until(&mut self, until: Timestamp) -> Option<(Timestamp, Event)> {
        if self.heap.peek()?.at > until {
            return None;
        }
        let scheduled = self.heap.pop()?;
        Some((scheduled.at, scheduled.event))
    }
}
