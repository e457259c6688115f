//! What a gateway knows of limits, under one lock: its tokens, the election,
//! and the ledger while it keeps it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use threadledge_coordination::election::Election;
use threadledge_coordination::{NodeIdentity, Term};
use threadledge_limits::{Ledger, QuotaRequest, QuotaResponse, RateLimiter, Settings};
use threadledge_types::Timestamp;
use threadledge_types::deployment::{RateLimit, TenantName};

/// Time between two renewals of the office: each is a call that is paid for.
const LEASE_RENEWAL: Duration = Duration::from_millis(600);
/// Time between two looks at the office by a gateway that doubts the ledger.
const STANDBY_POLL: Duration = Duration::from_millis(300);
/// Silence of the ledger's gateway at the store after which another takes
/// over. Shares serve until then.
const TAKEOVER_AFTER: Duration = Duration::from_millis(1_300);

/// How long before its office ends a ledger says so: other gateways look for
/// another one then.
const AILING_BEFORE: Duration = Duration::from_millis(3_500);

/// How the office of the ledger is held: as that of a coordinator, but longer
/// without confirmation, so that a store that is away for some seconds ends no
/// ledger.
pub(super) fn office_settings(office: Duration) -> threadledge_coordination::Settings {
    threadledge_coordination::Settings {
        lease: office,
        lease_renewal: LEASE_RENEWAL,
        standby_poll: STANDBY_POLL,
        takeover_after: TAKEOVER_AFTER,
        ..threadledge_coordination::Settings::default()
    }
}

pub(super) struct State {
    pub(super) me: NodeIdentity,
    pub(super) settings: Settings,
    pub(super) spender: RateLimiter,
    pub(super) election: Election,
    pub(super) ledger: Option<Ledger>,
    /// Where the ledger is kept.
    pub(super) holder: Option<(Term, Option<SocketAddr>)>,
    pub(super) limits: BTreeMap<TenantName, RateLimit>,
    /// A planned stop has begun.
    pub(super) leaving: bool,
}

impl State {
    pub(super) fn new(me: NodeIdentity, settings: Settings) -> Self {
        let spender = RateLimiter::new(me.node.clone(), me.incarnation, settings.clone());
        let election = Election::new(me.clone(), office_settings(settings.lease), Duration::ZERO);
        State {
            me,
            settings,
            spender,
            election,
            ledger: None,
            holder: None,
            limits: BTreeMap::new(),
            leaving: false,
        }
    }

    pub(super) fn set_limits(&mut self, now: Timestamp, limits: BTreeMap<TenantName, RateLimit>) {
        if let Some(ledger) = &mut self.ledger {
            ledger.set_limits(now, limits.clone());
        }
        self.spender.set_limits(limits.clone());
        self.limits = limits;
    }

    /// The ledger of this term is kept at `address`.
    pub(super) fn hear_of(&mut self, now: Timestamp, term: Term, address: Option<SocketAddr>) {
        if self.holder.is_none_or(|(known, _)| known <= term) {
            self.holder = Some((term, address));
        }
        self.spender.observe_term(now, term);
        self.yield_office();
    }

    /// A ledger ends before its gateway asks the next one: whatever it holds
    /// of the rates counts as accounted for from that ask on.
    pub(super) fn yield_office(&mut self) {
        let Some(ledger) = &self.ledger else {
            return;
        };
        if self.spender.term().is_some_and(|term| term > ledger.term()) {
            self.ledger = None;
        }
    }

    /// Whether there is reason to look at the office: it is held here, nobody
    /// is known to hold it, its holder has not answered for `patience`, or says
    /// that it may end.
    pub(super) fn doubts_ledger(&self, now: Timestamp, patience: Duration) -> bool {
        let held = self.election.leading_term().is_some() || self.leaving;
        let unknown = self.holder.is_none_or(|(_, address)| address.is_none());
        let lost = self
            .spender
            .unreachable_for(now)
            .is_some_and(|lost| lost >= patience);
        held || unknown || lost || self.spender.is_ledger_lease_at_risk()
    }

    /// Hands the office back; this gateway grants nothing from here on.
    pub(super) fn leave(&mut self, now: Timestamp) {
        self.leaving = true;
        self.ledger = None;
        self.election.resign(now);
    }

    /// Answers an ask; says whether a record has to be written.
    pub(super) fn answer(&mut self, now: Timestamp, ask: &QuotaRequest) -> (QuotaResponse, bool) {
        if !self.election.holds_lease(now) {
            return (QuotaResponse::NotLeader, false);
        }
        match &mut self.ledger {
            Some(ledger) => {
                let mut answer = ledger.handle_request(now, ask);
                if let QuotaResponse::Ledger { lease_at_risk, .. } = &mut answer {
                    *lease_at_risk = !self.election.holds_lease(now + AILING_BEFORE);
                }
                (answer, ledger.needs_record_update(now))
            }
            None => (QuotaResponse::NotLeader, false),
        }
    }
}
