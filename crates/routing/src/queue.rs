//! Bounded queue of requests that wait for one back end.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use threadledge_types::Timestamp;
use threadledge_types::objects::Priority;

use crate::attempt::ExchangeId;

const PRIORITIES: usize = 3;

/// Place of a request in a queue: higher priority first, then the earlier
/// deadline, then the earlier arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    priority: Reverse<Priority>,
    deadline: Timestamp,
    id: ExchangeId,
}

impl Place {
    /// The place of a request.
    pub fn new(priority: Priority, deadline: Timestamp, id: ExchangeId) -> Self {
        Place {
            priority: Reverse(priority),
            deadline,
            id,
        }
    }

    /// Which request.
    pub fn id(&self) -> ExchangeId {
        self.id
    }
}

/// What became of a request that was to wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pushed {
    /// It waits.
    Waits,
    /// It waits in place of this one, which came last.
    Displaced(ExchangeId),
    /// The queue is full of requests that go before it.
    Full,
}

/// Requests that wait for one back end.
#[derive(Clone, Debug)]
pub struct WaitQueue {
    places: BTreeSet<Place>,
    counts: [u32; PRIORITIES],
    capacity: u32,
    low_priority_turn: u32,
    taken: u32,
}

impl WaitQueue {
    /// A queue of at most `capacity` requests. One of `low_priority_turn`
    /// taken is of the lowest priority that waits, so that none starves.
    pub fn new(capacity: u32, low_priority_turn: u32) -> Self {
        WaitQueue {
            places: BTreeSet::new(),
            counts: [0; PRIORITIES],
            capacity,
            low_priority_turn: low_priority_turn.max(2),
            taken: 0,
        }
    }

    /// Adds a request; O(log n).
    pub fn push(&mut self, place: Place) -> Pushed {
        if (self.places.len() as u64) < u64::from(self.capacity) {
            self.insert(place);
            return Pushed::Waits;
        }
        match self.places.last().copied() {
            Some(last) if place < last => {
                self.remove(last);
                self.insert(place);
                Pushed::Displaced(last.id)
            }
            _ => Pushed::Full,
        }
    }

    /// Takes a request out that no longer waits. Says whether it was there.
    pub fn remove(&mut self, place: Place) -> bool {
        let removed = self.places.remove(&place);
        if removed {
            self.counts[place.priority.0 as usize] -= 1;
        }
        removed
    }

    /// Whether a request waits.
    pub fn contains(&self, place: Place) -> bool {
        self.places.contains(&place)
    }

    /// Takes the request whose turn it is; O(log n).
    pub fn pop(&mut self) -> Option<ExchangeId> {
        self.taken = self.taken.wrapping_add(1);
        let low_turn = self.taken.is_multiple_of(self.low_priority_turn);
        let place = if low_turn {
            self.first_of_lowest()?
        } else {
            *self.places.first()?
        };
        self.remove(place);
        Some(place.id)
    }

    /// The request that goes first.
    pub fn first(&self) -> Option<ExchangeId> {
        self.places.first().map(|place| place.id)
    }

    /// Upper bound of the requests that go before one in `place`.
    pub fn ahead_of(&self, place: Place) -> u32 {
        let own = place.priority.0 as usize;
        let above: u32 = self.counts[own + 1..].iter().sum();
        let class_start = Place::new(place.priority.0, Timestamp::ZERO, ExchangeId(0));
        let goes_first_of_class = self
            .places
            .range(class_start..)
            .next()
            .is_none_or(|first| place <= *first);
        if goes_first_of_class {
            above
        } else {
            above + self.counts[own]
        }
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// All that wait, in order.
    pub fn ids(&self) -> impl Iterator<Item = ExchangeId> + '_ {
        self.places.iter().map(|place| place.id)
    }

    fn insert(&mut self, place: Place) {
        if self.places.insert(place) {
            self.counts[place.priority.0 as usize] += 1;
        }
    }

    fn first_of_lowest(&self) -> Option<Place> {
        let lowest = self.places.last()?.priority.0;
        let class_start = Place::new(lowest, Timestamp::ZERO, ExchangeId(0));
        self.places.range(class_start..).next().copied()
    }
}
