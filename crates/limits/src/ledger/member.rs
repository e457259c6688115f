//! One gateway as the ledger knows it.

use std::collections::{BTreeMap, VecDeque};

use threadledge_types::deployment::TenantName;
use threadledge_types::{Incarnation, Timestamp};

use crate::messages::{QuotaRequest, Share};
use crate::settings::{RESERVED_AFTER, Settings};

/// Earlier lives of a machine's gateway that are remembered: their asks may
/// still arrive.
const FORMER_LIVES: usize = 8;

/// What a gateway holds of one tenant's rate, and how much it sees of it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Holding {
    pub(super) share: Share,
    /// Requests in thousandths a second.
    pub(super) rate: u32,
}

/// A gateway that has asked.
#[derive(Debug)]
pub(super) struct Member {
    pub(super) incarnation: Incarnation,
    former: VecDeque<Incarnation>,
    number: u64,
    /// It sent its last ask at that time or later.
    heard: Timestamp,
    /// It may be using its shares.
    pub(super) silent: bool,
    /// When it falls silent, or its shares have ended.
    pub(super) deadline: Timestamp,
    pub(super) holdings: BTreeMap<TenantName, Holding>,
}

impl Member {
    pub(super) fn new(incarnation: Incarnation) -> Self {
        Member {
            incarnation,
            former: VecDeque::new(),
            number: 0,
            heard: Timestamp::ZERO,
            silent: false,
            deadline: Timestamp::ZERO,
            holdings: BTreeMap::new(),
        }
    }

    /// Whether this is news of it, and not an ask that was long on its way.
    pub(super) fn accepts(&self, ask: &QuotaRequest) -> bool {
        match ask.incarnation == self.incarnation {
            true => ask.number > self.number,
            false => !self.former.contains(&ask.incarnation),
        }
    }

    /// Takes an ask; what it holds is what the ask says.
    ///
    /// Another life of the same machine proves that the one before is gone,
    /// with its shares.
    pub(super) fn hear(&mut self, ask: &QuotaRequest, sent: Timestamp) {
        if ask.incarnation != self.incarnation {
            self.former.push_front(self.incarnation);
            self.former.truncate(FORMER_LIVES);
            self.incarnation = ask.incarnation;
            self.heard = sent;
        }
        self.number = ask.number;
        self.heard = self.heard.max(sent);
        self.silent = false;
        self.deadline = self.heard + RESERVED_AFTER;
        self.holdings.clear();
    }

    /// It may use its shares from now on.
    pub(super) fn fall_silent(&mut self, settings: &Settings) {
        self.silent = true;
        self.deadline = settings.share_end(self.heard);
        for holding in self.holdings.values_mut() {
            holding.rate = 0;
        }
    }
}
