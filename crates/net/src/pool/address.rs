//! Idle connections and counts, by address.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use std::time::Duration;

use parking_lot::Mutex;

use super::socket;
use crate::Instant;
use crate::wire::Wire;

/// All addresses of one pool.
#[derive(Debug)]
pub(super) struct Addresses {
    default_limit: usize,
    /// How long nothing may be heard on a connection before those that are at
    /// rest since before are doubted as well.
    suspect_idle_after: Option<Duration>,
    by_address: Mutex<HashMap<SocketAddr, Address>>,
    sweeping: Mutex<bool>,
}

#[derive(Debug, Default)]
struct Address {
    limit: Option<usize>,
    in_use: usize,
    /// The last one used is at the end, and taken first.
    idle: Vec<Idle>,
    /// When exchanges began on connections that had been at rest, and of which
    /// nothing has been heard yet.
    unheard: Vec<Instant>,
    /// Connections at rest since before may be as silent as one that was.
    doubted: Option<Instant>,
}

#[derive(Debug)]
struct Idle {
    wire: Wire,
    since: Instant,
}

/// What a reservation found.
#[derive(Debug)]
pub(super) enum Reservation {
    /// A connection that was idle.
    Idle(Slot, Wire),
    /// Room for a new one.
    New(Slot),
    /// No room.
    Full,
}

/// The right to one connection in use; dropping it ends the use.
#[derive(Debug)]
pub(super) struct Slot {
    addresses: Weak<Addresses>,
    address: SocketAddr,
}

/// An exchange on a connection that had been at rest, of which nothing has
/// been heard. Dropping it after a long while casts doubt on connections at
/// rest since before it began.
#[derive(Debug)]
pub(super) struct Unheard {
    addresses: Weak<Addresses>,
    address: SocketAddr,
    since: Instant,
    heard: bool,
}

impl Addresses {
    pub(super) fn new(default_limit: usize, suspect_idle_after: Option<Duration>) -> Self {
        Addresses {
            default_limit,
            suspect_idle_after,
            by_address: Mutex::default(),
            sweeping: Mutex::new(false),
        }
    }

    pub(super) fn set_limit(&self, address: SocketAddr, connections: usize) {
        let mut by_address = self.by_address.lock();
        by_address.entry(address).or_default().limit = Some(connections);
    }

    pub(super) fn remove_address(&self, address: SocketAddr) {
        let closed = {
            let mut by_address = self.by_address.lock();
            let Some(entry) = by_address.get_mut(&address) else {
                return;
            };
            entry.limit = None;
            let closed = std::mem::take(&mut entry.idle);
            remove_if_unused(&mut by_address, address);
            closed
        };
        closed.into_iter().for_each(Idle::close);
    }

    /// Connections in use and idle.
    pub(super) fn open(&self, address: SocketAddr) -> (usize, usize) {
        let by_address = self.by_address.lock();
        by_address
            .get(&address)
            .map_or((0, 0), |entry| (entry.in_use, entry.idle.len()))
    }

    pub(super) fn reserve(
        self: &Arc<Self>,
        address: SocketAddr,
        limit: Option<usize>,
        expired_before: Option<Instant>,
    ) -> Reservation {
        let mut by_address = self.by_address.lock();
        let entry = by_address.entry(address).or_default();
        let doubted = entry.take_doubted(self.suspect_idle_after);
        entry.limit = limit.or(entry.limit);
        let limit = entry.limit.unwrap_or(self.default_limit);
        let fresh = |idle: &Idle| expired_before.is_none_or(|before| idle.since > before);
        let idle = entry.idle.pop();
        if idle.is_none() && entry.in_use >= limit {
            return Reservation::Full;
        }
        entry.in_use += 1;
        drop(by_address);
        drop(doubted);
        let slot = Slot {
            addresses: Arc::downgrade(self),
            address,
        };
        match idle {
            Some(idle) if fresh(&idle) => Reservation::Idle(slot, idle.wire),
            Some(_) | None => Reservation::New(slot),
        }
    }

    /// An exchange begins on a connection that was at rest.
    pub(super) fn begin_unheard(self: &Arc<Self>, address: SocketAddr) -> Unheard {
        let since = Instant::now();
        let mut by_address = self.by_address.lock();
        by_address.entry(address).or_default().unheard.push(since);
        Unheard {
            addresses: Arc::downgrade(self),
            address,
            since,
            heard: false,
        }
    }

    /// Keeps a connection for reuse. Says whether somebody must now begin to
    /// watch for connections that nobody uses.
    pub(super) fn give_back(&self, slot: Slot, mut wire: Wire) -> bool {
        wire.shrink();
        {
            let mut by_address = self.by_address.lock();
            let entry = by_address.entry(slot.address).or_default();
            let limit = entry.limit.unwrap_or(self.default_limit);
            // The limit may have been lowered meanwhile.
            if entry.in_use + entry.idle.len() <= limit {
                let since = Instant::now();
                entry.idle.push(Idle { wire, since });
            }
        }
        drop(slot);
        let mut sweeping = self.sweeping.lock();
        !std::mem::replace(&mut *sweeping, true)
    }

    /// Closes connections idle since before a time. Says whether no idle one
    /// is left, and with it no reason to come again.
    pub(super) fn close_expired(&self, before: Option<Instant>) -> bool {
        let mut sweeping = self.sweeping.lock();
        let mut closed = Vec::new();
        let mut left = 0;
        {
            let mut by_address = self.by_address.lock();
            for entry in by_address.values_mut() {
                let expired = |idle: &Idle| before.is_some_and(|before| idle.since <= before);
                let count = entry.idle.iter().take_while(|idle| expired(idle)).count();
                closed.extend(entry.idle.drain(..count));
                left += entry.idle.len();
            }
            by_address.retain(|_, entry| !entry.is_unused());
        }
        closed.into_iter().for_each(Idle::close);
        *sweeping = left > 0;
        left == 0
    }
}

impl Idle {
    /// Nothing waits to be sent, and the peer need not take it for a failure.
    fn close(self) {
        if let Err(error) = socket::close_in_order(self.wire.stream()) {
            tracing::debug!(%error, "an idle connection ends with a reset");
        }
    }
}

impl Address {
    fn is_unused(&self) -> bool {
        self.in_use == 0 && self.idle.is_empty() && self.limit.is_none() && self.unheard.is_empty()
    }

    /// Takes out the connections at rest that are doubted, to be closed.
    fn take_doubted(&mut self, suspect_idle_after: Option<Duration>) -> Vec<Idle> {
        let silent_since = suspect_idle_after.and_then(|after| Instant::now().checked_sub(after));
        let silent = self.unheard.iter().copied();
        let silent = silent.filter(|since| silent_since.is_some_and(|before| *since <= before));
        let doubted = silent.chain(self.doubted).max();
        let doubts = |idle: &Idle| doubted.is_some_and(|doubted| idle.since <= doubted);
        let count = self.idle.iter().take_while(|idle| doubts(idle)).count();
        self.idle.drain(..count).collect()
    }
}

impl Unheard {
    /// Something was heard, were it the connection's end.
    pub(super) fn heard(mut self) {
        self.heard = true;
    }
}

impl Drop for Unheard {
    fn drop(&mut self) {
        let Some(addresses) = self.addresses.upgrade() else {
            return;
        };
        let silent = addresses
            .suspect_idle_after
            .is_some_and(|after| !self.heard && self.since.elapsed() >= after);
        let mut by_address = addresses.by_address.lock();
        let Some(entry) = by_address.get_mut(&self.address) else {
            return;
        };
        let begun = entry.unheard.iter().position(|since| *since == self.since);
        if let Some(begun) = begun {
            entry.unheard.swap_remove(begun);
        }
        if silent {
            entry.doubted = entry.doubted.max(Some(self.since));
        }
        remove_if_unused(&mut by_address, self.address);
    }
}

fn remove_if_unused(by_address: &mut HashMap<SocketAddr, Address>, address: SocketAddr) {
    if by_address.get(&address).is_some_and(Address::is_unused) {
        by_address.remove(&address);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let Some(addresses) = self.addresses.upgrade() else {
            return;
        };
        let mut by_address = addresses.by_address.lock();
        if let Some(entry) = by_address.get_mut(&self.address) {
            entry.in_use = entry.in_use.saturating_sub(1);
        }
        remove_if_unused(&mut by_address, self.address);
    }
}
