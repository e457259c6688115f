//! The gateways that this one tells what it learns of suspects, beside those
//! that follow it.

use std::net::SocketAddr;

use parking_lot::Mutex;

use super::super::notifier::Notifier;

/// Its place in the tree of relays.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(in super::super) struct TreePosition {
    /// The gateway that it follows.
    pub(in super::super) upstream: Option<SocketAddr>,
    /// It watches the store for its zone.
    pub(in super::super) is_relay: bool,
    /// Relays of the other zones, as the store names them.
    pub(in super::super) other_relays: Vec<SocketAddr>,
}

/// The place, and who waits for another one.
#[derive(Debug, Default)]
pub(in super::super) struct Neighbours {
    position: Mutex<TreePosition>,
    pub(super) changed: Notifier,
}

impl Neighbours {
    /// Takes its place in the tree; the other relays stay as they were.
    pub(in super::super) fn set_position(&self, upstream: Option<SocketAddr>, relays: bool) {
        let mut position = self.position.lock();
        if position.upstream == upstream && position.is_relay == relays {
            return;
        }
        position.upstream = upstream;
        position.is_relay = relays;
        drop(position);
        self.changed.notify();
    }

    /// Takes the relays of the other zones.
    pub(in super::super) fn set_other_relays(&self, others: Vec<SocketAddr>) {
        let mut position = self.position.lock();
        if position.other_relays == others {
            return;
        }
        position.other_relays = others;
        drop(position);
        self.changed.notify();
    }

    pub(super) fn position(&self) -> TreePosition {
        self.position.lock().clone()
    }
}
