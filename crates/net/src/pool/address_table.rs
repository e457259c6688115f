//! Idle connections and connection counts by address.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use std::time::Duration;

use parking_lot::Mutex;

use super::address_entry::{AddressEntry, IdleConnection, Reuse};
use super::carried::{CarriedRequests, RequestIdentity};
use super::reuse_watch::ReuseWatch;
use crate::Instant;
use crate::buffered_stream::BufferedStream;

/// State of all addresses of one pool.
#[derive(Debug)]
pub(super) struct AddressTable {
    default_limit: usize,
    /// Time without any response on a reused connection after which other
    /// connections that were idle at the time of its request are suspect as
    /// well.
    suspect_idle_after: Option<Duration>,
    by_address: Mutex<HashMap<SocketAddr, AddressEntry>>,
    /// Whether the task that closes expired connections is running.
    sweep_running: Mutex<bool>,
}

/// Result of a reservation.
#[derive(Debug)]
pub(super) enum Reservation {
    /// An idle connection was available.
    Idle(Slot, BufferedStream),
    /// A new connection may be opened.
    New(Slot),
    /// The connection limit is reached.
    Full,
}

/// Permission to use one connection; dropping it frees the slot.
#[derive(Debug)]
pub(super) struct Slot {
    addresses: Weak<AddressTable>,
    address: SocketAddr,
    /// Requests that the connection has carried before.
    pub(super) earlier: CarriedRequests,
    /// Request that the connection is reserved for; `None` if it has no id.
    pub(super) request: Option<RequestIdentity>,
    /// Whether the method of the request says that no body follows the
    /// response's head.
    pub(super) bodiless: bool,
}

/// What a connection is reserved for.
#[derive(Clone, Copy, Debug)]
pub(super) struct Demand {
    pub(super) address: SocketAddr,
    /// New connection limit of the address; `None` leaves it as it is.
    pub(super) limit: Option<usize>,
    pub(super) reuse: Reuse,
}

impl AddressTable {
    pub(super) fn new(default_limit: usize, suspect_idle_after: Option<Duration>) -> Self {
        AddressTable {
            default_limit,
            suspect_idle_after,
            by_address: Mutex::default(),
            sweep_running: Mutex::new(false),
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
            entry.nameless_at = None;
            let closed = std::mem::take(&mut entry.idle);
            remove_if_unused(&mut by_address, address);
            closed
        };
        closed.into_iter().for_each(IdleConnection::close);
    }

    /// Records a response that did not name its request although it had to.
    pub(super) fn on_nameless(&self, address: SocketAddr) {
        let mut by_address = self.by_address.lock();
        let Some(entry) = by_address.get_mut(&address) else {
            return;
        };
        entry.nameless_at = Some(Instant::now());
        let closed = std::mem::take(&mut entry.idle);
        drop(by_address);
        closed.into_iter().for_each(IdleConnection::close);
    }

    /// Returns the numbers of connections in use and idle.
    pub(super) fn open_connections(&self, address: SocketAddr) -> (usize, usize) {
        let by_address = self.by_address.lock();
        by_address
            .get(&address)
            .map_or((0, 0), |entry| (entry.in_use, entry.idle.len()))
    }

    /// Reserves a slot, with an idle connection if one exists that was used
    /// after `expired_before` and has not carried the request. Closes suspect
    /// idle connections first, and an idle one that has carried the request if
    /// a new one has no room otherwise.
    pub(super) fn reserve(
        self: &Arc<Self>,
        demand: Demand,
        expired_before: Option<Instant>,
    ) -> Reservation {
        let mut by_address = self.by_address.lock();
        let entry = by_address.entry(demand.address).or_default();
        let suspect = entry.take_suspect(self.suspect_idle_after);
        entry.limit = demand.limit.or(entry.limit);
        let limit = entry.limit.unwrap_or(self.default_limit);
        let is_fresh =
            |idle: &IdleConnection| expired_before.is_none_or(|before| idle.since > before);
        let idle = entry.take_idle(demand.reuse);
        let has_room = entry.in_use + entry.idle.len() < limit;
        let replaced = match idle.is_none() && !has_room {
            true if entry.idle.is_empty() => return Reservation::Full,
            true => Some(entry.idle.remove(0)),
            false => None,
        };
        entry.in_use += 1;
        drop(by_address);
        drop(suspect);
        if let Some(replaced) = replaced {
            replaced.close();
        }
        let (idle, carried) = match idle {
            Some(idle) if is_fresh(&idle) => (Some(idle.buffered), idle.carried),
            Some(_) | None => (None, CarriedRequests::default()),
        };
        let mut slot = self.slot(demand.address, carried);
        if let Reuse::Without(request) = demand.reuse {
            slot.request = Some(request);
        }
        match idle {
            Some(buffered) => Reservation::Idle(slot, buffered),
            None => Reservation::New(slot),
        }
    }

    /// Reserves a slot for a new connection; `None` if the connection limit is
    /// reached.
    pub(super) fn reserve_new(self: &Arc<Self>, address: SocketAddr) -> Option<Slot> {
        let mut by_address = self.by_address.lock();
        let entry = by_address.entry(address).or_default();
        if entry.in_use >= entry.limit.unwrap_or(self.default_limit) {
            return None;
        }
        entry.in_use += 1;
        Some(self.slot(address, CarriedRequests::default()))
    }

    fn slot(self: &Arc<Self>, address: SocketAddr, earlier: CarriedRequests) -> Slot {
        Slot {
            addresses: Arc::downgrade(self),
            address,
            earlier,
            request: None,
            bodiless: false,
        }
    }

    /// Starts tracking an exchange on a reused connection.
    pub(super) fn watch_reuse(self: &Arc<Self>, address: SocketAddr) -> ReuseWatch {
        let since = Instant::now();
        let mut by_address = self.by_address.lock();
        by_address
            .entry(address)
            .or_default()
            .awaiting_response
            .push(since);
        ReuseWatch::new(Arc::downgrade(self), address, since)
    }

    /// Records the end of an exchange on a reused connection that began at
    /// `since`, and whether anything was received in it.
    pub(super) fn end_watch(&self, address: SocketAddr, since: Instant, active: bool) {
        let silent = self
            .suspect_idle_after
            .is_some_and(|after| !active && since.elapsed() >= after);
        let mut by_address = self.by_address.lock();
        let Some(entry) = by_address.get_mut(&address) else {
            return;
        };
        entry.end_exchange(since, silent);
        remove_if_unused(&mut by_address, address);
    }

    /// Stores a connection for reuse. Returns whether the caller must start the
    /// task that closes expired connections.
    pub(super) fn check_in(&self, mut slot: Slot, mut buffered: BufferedStream) -> bool {
        buffered.shrink();
        let mut carried = std::mem::take(&mut slot.earlier);
        if let Some(request) = slot.request {
            carried.add(request, slot.bodiless);
        }
        {
            let mut by_address = self.by_address.lock();
            let entry = by_address.entry(slot.address).or_default();
            let limit = entry.limit.unwrap_or(self.default_limit);
            let idle = IdleConnection {
                buffered,
                since: Instant::now(),
                carried,
            };
            // The limit may have been lowered in the meantime.
            if entry.in_use + entry.idle.len() <= limit && !entry.is_nameless() {
                entry.idle.push(idle);
            } else {
                idle.close();
            }
        }
        drop(slot);
        let mut sweep_running = self.sweep_running.lock();
        !std::mem::replace(&mut *sweep_running, true)
    }

    /// Closes connections that have been idle since `before` or earlier.
    /// Returns whether no idle connection is left, so that the task can end.
    pub(super) fn close_expired(&self, before: Option<Instant>) -> bool {
        let mut sweep_running = self.sweep_running.lock();
        let mut closed = Vec::new();
        let mut left = 0;
        {
            let mut by_address = self.by_address.lock();
            for entry in by_address.values_mut() {
                let expired =
                    |idle: &IdleConnection| before.is_some_and(|before| idle.since <= before);
                let count = entry.idle.iter().take_while(|idle| expired(idle)).count();
                closed.extend(entry.idle.drain(..count));
                left += entry.idle.len();
            }
            by_address.retain(|_, entry| !entry.is_unused());
        }
        closed.into_iter().for_each(IdleConnection::close);
        *sweep_running = left > 0;
        left == 0
    }
}

fn remove_if_unused(by_address: &mut HashMap<SocketAddr, AddressEntry>, address: SocketAddr) {
    if by_address
        .get(&address)
        .is_some_and(AddressEntry::is_unused)
    {
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
