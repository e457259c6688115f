//! Bounded queue of requests that wait for one back end.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use threadledge_types::Timestamp;
use threadledge_types::objects::Priority;

use crate::attempt::ExchangeId;

/// Number of values of [`Priority`].
const PRIORITIES: usize = 3;

/// Position of a request in a queue: higher priority first, then the earlier
/// deadline, then the earlier arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuePosition {
    priority: Reverse<Priority>,
    deadline: Timestamp,
    id: ExchangeId,
}

impl QueuePosition {
    /// Creates the position of a request.
    pub fn new(priority: Priority, deadline: Timestamp, id: ExchangeId) -> Self {
        QueuePosition {
            priority: Reverse(priority),
            deadline,
            id,
        }
    }

    /// Id of the request.
    pub fn id(&self) -> ExchangeId {
        self.id
    }
}

/// Result of adding a request to a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PushOutcome {
    /// The request was queued.
    Queued,
    /// The request was queued and this one, the last in the queue, was removed.
    Displaced(ExchangeId),
    /// The queue is full of requests that come before it.
    Full,
}

/// Requests that wait for one back end.
#[derive(Clone, Debug)]
pub struct WaitQueue {
    positions: BTreeSet<QueuePosition>,
    /// Number of queued requests of each priority.
    counts: [u32; PRIORITIES],
    capacity: u32,
    low_priority_turn: u32,
    pop_count: u32,
}

impl WaitQueue {
    /// Creates a queue of at most `capacity` requests. Every
    /// `low_priority_turn`th request taken is of the lowest priority that
    /// waits, so that none starves.
    pub fn new(capacity: u32, low_priority_turn: u32) -> Self {
        WaitQueue {
            positions: BTreeSet::new(),
            counts: [0; PRIORITIES],
            capacity,
            low_priority_turn: low_priority_turn.max(2),
            pop_count: 0,
        }
    }

    /// Adds a request; O(log n).
    pub fn push(&mut self, position: QueuePosition) -> PushOutcome {
        if (self.positions.len() as u64) < u64::from(self.capacity) {
            self.insert(position);
            return PushOutcome::Queued;
        }
        match self.positions.last().copied() {
            Some(last) if position < last => {
                self.remove(last);
                self.insert(position);
                PushOutcome::Displaced(last.id)
            }
            _ => PushOutcome::Full,
        }
    }

    /// Removes a request. Returns whether it was queued.
    pub fn remove(&mut self, position: QueuePosition) -> bool {
        let removed = self.positions.remove(&position);
        if removed {
            self.counts[position.priority.0 as usize] -= 1;
        }
        removed
    }

    /// Whether a request is queued.
    pub fn contains(&self, position: QueuePosition) -> bool {
        self.positions.contains(&position)
    }

    /// Removes and returns the next request to serve; O(log n).
    pub fn pop(&mut self) -> Option<ExchangeId> {
        self.pop_count = self.pop_count.wrapping_add(1);
        let is_low_priority_turn = self.pop_count.is_multiple_of(self.low_priority_turn);
        let position = if is_low_priority_turn {
            self.first_of_lowest_priority()?
        } else {
            *self.positions.first()?
        };
        self.remove(position);
        Some(position.id)
    }

    /// First request in the queue.
    pub fn first(&self) -> Option<ExchangeId> {
        self.positions.first().map(|position| position.id)
    }

    /// Upper bound of the number of requests ahead of `position`.
    pub fn ahead_of(&self, position: QueuePosition) -> u32 {
        let priority = position.priority.0 as usize;
        let higher: u32 = self.counts[priority + 1..].iter().sum();
        let class_start = QueuePosition::new(position.priority.0, Timestamp::ZERO, ExchangeId(0));
        let is_first_of_class = self
            .positions
            .range(class_start..)
            .next()
            .is_none_or(|first| position <= *first);
        if is_first_of_class {
            higher
        } else {
            higher + self.counts[priority]
        }
    }

    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// All queued requests, in order.
    pub fn ids(&self) -> impl Iterator<Item = ExchangeId> + '_ {
        self.positions.iter().map(|position| position.id)
    }

    fn insert(&mut self, position: QueuePosition) {
        if self.positions.insert(position) {
            self.counts[position.priority.0 as usize] += 1;
        }
    }

    fn first_of_lowest_priority(&self) -> Option<QueuePosition> {
        let lowest = self.positions.last()?.priority.0;
        let class_start = QueuePosition::new(lowest, Timestamp::ZERO, ExchangeId(0));
        self.positions.range(class_start..).next().copied()
    }
}
