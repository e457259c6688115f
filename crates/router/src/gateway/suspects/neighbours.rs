//! The other gateways that this one informs about suspects, beside its
//! followers.

use std::net::SocketAddr;

use parking_lot::Mutex;

use super::super::notifier::Notifier;

/// Position of a gateway in the tree of relays.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(in super::super) struct TreePosition {
    /// The gateway that this one follows.
    pub(in super::super) upstream: Option<SocketAddr>,
    /// Whether this gateway watches the store for its zone.
    pub(in super::super) is_relay: bool,
    /// Relays of the other zones, according to the store.
    pub(in super::super) other_relays: Vec<SocketAddr>,
}

/// The position of this gateway, with a notification of changes.
#[derive(Debug, Default)]
pub(in super::super) struct Neighbours {
    position: Mutex<TreePosition>,
    pub(super) changed: Notifier,
}

impl Neighbours {
    /// Sets the upstream gateway and the relay role; the other relays stay
    /// unchanged.
    pub(in super::super) fn set_position(&self, upstream: Option<SocketAddr>, is_relay: bool) {
        let mut position = self.position.lock();
        if position.upstream == upstream && position.is_relay == is_relay {
            return;
        }
        position.upstream = upstream;
        position.is_relay = is_relay;
        drop(position);
        self.changed.notify();
    }

    /// Sets the relays of the other zones.
    pub(in super::super) fn set_other_relays(&self, other_relays: Vec<SocketAddr>) {
        let mut position = self.position.lock();
        if position.other_relays == other_relays {
            return;
        }
        position.other_relays = other_relays;
        drop(position);
        self.changed.notify();
    }

    pub(super) fn position(&self) -> TreePosition {
        self.position.lock().clone()
    }
}
