//! Which other gateways reached one back end, and which did not.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use threadledge_types::Timestamp;

use crate::forwarders::NextForwarder;

/// Time for which a gateway counts as one that reaches the back end.
const REACHED_FOR: Duration = Duration::from_secs(2);
/// Time for which a gateway that did not reach a back end is not asked for that
/// back end again.
const MISSED_FOR: Duration = Duration::from_millis(1_500);
/// Gateways that a brief search asks for one back end without a pause.
const BRIEF_SEARCH: usize = 3;
/// Pause after a gateway did not reach a back end: of a brief search before it
/// asks one more, and before requests that others forward try further ones.
const SEARCH_PAUSE: Duration = Duration::from_millis(150);
/// Whether a gateway that did not reach a back end reaches others of its
/// service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Witness {
    /// It does.
    Yes,
    /// It does not, so that its failure says nothing about the back end.
    No,
}

/// What other gateways showed about the way to one back end.
#[derive(Debug, Default)]
pub(crate) struct Reached {
    /// Gateways that reached it, and when they last did.
    by: BTreeMap<SocketAddr, Timestamp>,
    /// Gateways that did not reach it, and when they were last asked.
    missed: BTreeMap<SocketAddr, (Timestamp, Witness)>,
    /// True while it counts as unreachable for all.
    confirmed: bool,
}

impl Reached {
    pub(crate) fn on_reached(&mut self, now: Timestamp, gateway: SocketAddr) {
        self.missed.remove(&gateway);
        self.by.insert(gateway, now);
        self.confirmed = false;
    }

    pub(crate) fn on_missed(&mut self, now: Timestamp, gateway: SocketAddr, witness: Witness) {
        self.by.remove(&gateway);
        self.missed.insert(gateway, (now, witness));
    }

    /// Returns whether a gateway reached it within [`REACHED_FOR`].
    pub(crate) fn is_by(&self, gateway: &SocketAddr) -> bool {
        self.by.contains_key(gateway)
    }

    /// Returns whether a gateway missed it within [`MISSED_FOR`].
    pub(crate) fn is_missed_by(&self, gateway: &SocketAddr) -> bool {
        self.missed.contains_key(gateway)
    }

    pub(crate) fn forget_old(&mut self, now: Timestamp) {
        self.by.retain(|_, at| now.since(*at) < REACHED_FOR);
        self.missed.retain(|_, (at, _)| now.since(*at) < MISSED_FOR);
        self.confirmed &= !self.missed.is_empty();
    }

    /// Returns whether a gateway missed it within [`SEARCH_PAUSE`].
    pub(crate) fn missed_lately(&self, now: Timestamp) -> bool {
        let last = self.missed.values().map(|(at, _)| *at).max();
        last.is_some_and(|last| now.since(last) < SEARCH_PAUSE)
    }

    /// Returns whether a brief search has asked its first gateways.
    pub(crate) fn missed_often(&self) -> bool {
        self.missed.len() >= BRIEF_SEARCH
    }

    /// What follows once no gateway is left to ask. Invariant: a gateway that
    /// reached the back end a moment ago and does not answer now leaves it open.
    pub(crate) fn verdict(&mut self) -> NextForwarder {
        let mut witnesses = self.missed.values().map(|(_, witness)| *witness);
        if !self.by.is_empty() || !witnesses.any(|witness| witness == Witness::Yes) {
            return NextForwarder::NoneLeft;
        }
        let is_new = !std::mem::replace(&mut self.confirmed, true);
        NextForwarder::Confirmed {
            missed: self.missed.len(),
            is_new,
        }
    }
}
