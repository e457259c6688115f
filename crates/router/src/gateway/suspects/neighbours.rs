//! The gateways that this one tells what it learns of suspects, beside those
//! that follow it.

use std::net::SocketAddr;

use parking_lot::Mutex;

use super::super::notifier::Notifier;

/// Its place in the tree of relays.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(in super::super) struct Place {
    /// The gateway that it follows.
    pub(in super::super) upstream: Option<SocketAddr>,
    /// It watches the store for its zone.
    pub(in super::super) relays: bool,
    /// Relays of the other zones, as the store names them.
    pub(in super::super) others: Vec<SocketAddr>,
}

/// The place, and who waits for another one.
#[derive(Debug, Default)]
pub(in super::super) struct Neighbours {
    place: Mutex<Place>,
    pub(super) changed: Notifier,
}

impl Neighbours {
    /// Takes its place in the tree; the other relays stay as they were.
    pub(in super::super) fn set_place(&self, upstream: Option<SocketAddr>, relays: bool) {
        let mut place = self.place.lock();
        if place.upstream == upstream && place.relays == relays {
            return;
        }
        place.upstream = upstream;
        place.relays = relays;
        drop(place);
        self.changed.notify();
    }

    /// Takes the relays of the other zones.
    pub(in super::super) fn set_others(&self, others: Vec<SocketAddr>) {
        let mut place = self.place.lock();
        if place.others == others {
            return;
        }
        place.others = others;
        drop(place);
        self.changed.notify();
    }

    pub(super) fn place(&self) -> Place {
        self.place.lock().clone()
    }
}
