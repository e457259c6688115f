//! State of one gateway as the ledger tracks it.

use std::collections::{BTreeMap, VecDeque};

use threadledge_types::deployment::TenantName;
use threadledge_types::{Incarnation, Timestamp};

use crate::messages::{QuotaRequest, Share};
use crate::settings::{RESERVE_AFTER, Settings};

/// Number of former incarnations remembered per machine, because their requests
/// may still arrive.
const MAX_FORMER_INCARNATIONS: usize = 8;

/// Share that a gateway holds of one tenant's rate, and the request rate that
/// it reports.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Holding {
    pub(super) share: Share,
    /// Reported rate, in thousandths of a request per second.
    pub(super) rate: u32,
}

/// Gateway that has sent requests to this ledger.
#[derive(Debug)]
pub(super) struct Gateway {
    pub(super) incarnation: Incarnation,
    former_incarnations: VecDeque<Incarnation>,
    number: u64,
    /// Earliest time at which the last request may have been sent.
    last_sent: Timestamp,
    /// Whether the gateway may be using its shares.
    pub(super) silent: bool,
    /// When the gateway falls silent or, if it is silent, when its shares
    /// expire.
    pub(super) deadline: Timestamp,
    pub(super) holdings: BTreeMap<TenantName, Holding>,
}

impl Gateway {
    pub(super) fn new(incarnation: Incarnation) -> Self {
        Gateway {
            incarnation,
            former_incarnations: VecDeque::new(),
            number: 0,
            last_sent: Timestamp::ZERO,
            silent: false,
            deadline: Timestamp::ZERO,
            holdings: BTreeMap::new(),
        }
    }

    /// Whether the request is newer than all that is known of the gateway,
    /// rather than one that was delayed on the way.
    pub(super) fn accepts(&self, request: &QuotaRequest) -> bool {
        match request.incarnation == self.incarnation {
            true => request.number > self.number,
            false => !self.former_incarnations.contains(&request.incarnation),
        }
    }

    /// Records a request and clears the holdings, which the caller replaces by
    /// those in the request.
    ///
    /// A new incarnation on the same machine proves that the previous one is
    /// gone, together with its shares.
    pub(super) fn on_request(&mut self, request: &QuotaRequest, sent: Timestamp) {
        if request.incarnation != self.incarnation {
            self.former_incarnations.push_front(self.incarnation);
            self.former_incarnations.truncate(MAX_FORMER_INCARNATIONS);
            self.incarnation = request.incarnation;
            self.last_sent = sent;
        }
        self.number = request.number;
        self.last_sent = self.last_sent.max(sent);
        self.silent = false;
        self.deadline = self.last_sent + RESERVE_AFTER;
        self.holdings.clear();
    }

    /// Marks the gateway as silent: it may use its shares from now on.
    pub(super) fn mark_silent(&mut self, settings: &Settings) {
        self.silent = true;
        self.deadline = settings.share_end(self.last_sent);
        for holding in self.holdings.values_mut() {
            holding.rate = 0;
        }
    }
}
