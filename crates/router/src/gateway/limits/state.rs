//! State of the limits of one gateway, under one lock: its tokens, the ledger's
//! election, and the ledger while it is kept here.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use threadledge_coordination::election::Election;
use threadledge_coordination::{NodeIdentity, Term};
use threadledge_limits::{Ledger, QuotaRequest, QuotaResponse, RateLimiter, Settings};
use threadledge_types::Timestamp;
use threadledge_types::deployment::{RateLimit, TenantName};

/// Interval between renewals of the ledger's lease. Each is a store call that
/// costs money.
const LEASE_RENEWAL: Duration = Duration::from_millis(600);
/// Interval at which a gateway that doubts the ledger reads its lease.
const STANDBY_POLL: Duration = Duration::from_millis(300);
/// Time without a lease renewal in the store after which another gateway takes
/// over. Shares bridge the gap until then.
const TAKEOVER_AFTER: Duration = Duration::from_millis(1_300);

/// Time before the end of its lease from which a ledger reports the lease as at
/// risk, so that other gateways look for another ledger.
const LEASE_AT_RISK_BEFORE: Duration = Duration::from_millis(3_500);

/// Election settings for the ledger's lease: those of a coordinator, but with a
/// longer lease, so that a store outage of some seconds ends no ledger.
pub(super) fn election_settings(lease: Duration) -> threadledge_coordination::Settings {
    threadledge_coordination::Settings {
        lease,
        lease_renewal: LEASE_RENEWAL,
        standby_poll: STANDBY_POLL,
        takeover_after: TAKEOVER_AFTER,
        ..threadledge_coordination::Settings::default()
    }
}

pub(super) struct State {
    pub(super) me: NodeIdentity,
    pub(super) settings: Settings,
    pub(super) rate_limiter: RateLimiter,
    pub(super) election: Election,
    pub(super) ledger: Option<Ledger>,
    /// Term and peer address of the gateway that keeps the ledger, if known.
    pub(super) holder: Option<(Term, Option<SocketAddr>)>,
    pub(super) limits: BTreeMap<TenantName, RateLimit>,
    /// Whether a planned stop has begun.
    pub(super) stopping: bool,
}

impl State {
    pub(super) fn new(me: NodeIdentity, settings: Settings) -> Self {
        let rate_limiter = RateLimiter::new(me.node.clone(), me.incarnation, settings.clone());
        let election = Election::new(
            me.clone(),
            election_settings(settings.lease),
            Duration::ZERO,
        );
        State {
            me,
            settings,
            rate_limiter,
            election,
            ledger: None,
            holder: None,
            limits: BTreeMap::new(),
            stopping: false,
        }
    }

    pub(super) fn set_limits(&mut self, now: Timestamp, limits: BTreeMap<TenantName, RateLimit>) {
        if let Some(ledger) = &mut self.ledger {
            ledger.set_limits(now, limits.clone());
        }
        self.rate_limiter.set_limits(limits.clone());
        self.limits = limits;
    }

    /// Records that the ledger of this term is kept at `address`.
    pub(super) fn observe_holder(
        &mut self,
        now: Timestamp,
        term: Term,
        address: Option<SocketAddr>,
    ) {
        if self.holder.is_none_or(|(known_term, _)| known_term <= term) {
            self.holder = Some((term, address));
        }
        self.rate_limiter.observe_term(now, term);
        self.drop_superseded_ledger();
    }

    /// Drops a ledger kept here once a later term is known. It has to end
    /// before its gateway sends quota requests to the next ledger, because from
    /// that request on, the quota that this gateway holds counts as accounted
    /// for there.
    pub(super) fn drop_superseded_ledger(&mut self) {
        let Some(ledger) = &self.ledger else {
            return;
        };
        if self
            .rate_limiter
            .term()
            .is_some_and(|term| term > ledger.term())
        {
            self.ledger = None;
        }
    }

    /// Returns whether the ledger's lease should be checked in the store: it is
    /// held here, its holder is unknown, the holder has been unreachable for
    /// `min_unreachable`, or the holder reports that its lease is at risk.
    pub(super) fn should_check_lease(&self, now: Timestamp, min_unreachable: Duration) -> bool {
        let held = self.election.leading_term().is_some() || self.stopping;
        let unknown = self.holder.is_none_or(|(_, address)| address.is_none());
        let lost = self
            .rate_limiter
            .unreachable_for(now)
            .is_some_and(|lost| lost >= min_unreachable);
        held || unknown || lost || self.rate_limiter.is_ledger_lease_at_risk()
    }

    /// Resigns the ledger's lease. This gateway grants nothing from here on.
    pub(super) fn resign(&mut self, now: Timestamp) {
        self.stopping = true;
        self.ledger = None;
        self.election.resign(now);
    }

    /// Answers a quota request. Also returns whether the holder record has to
    /// be written.
    pub(super) fn handle_request(
        &mut self,
        now: Timestamp,
        request: &QuotaRequest,
    ) -> (QuotaResponse, bool) {
        if !self.election.holds_lease(now) {
            return (QuotaResponse::NotLeader, false);
        }
        match &mut self.ledger {
            Some(ledger) => {
                let mut response = ledger.handle_request(now, request);
                if let QuotaResponse::Ledger { lease_at_risk, .. } = &mut response {
                    *lease_at_risk = !self.election.holds_lease(now + LEASE_AT_RISK_BEFORE);
                }
                (response, ledger.needs_record_update(now))
            }
            None => (QuotaResponse::NotLeader, false),
        }
    }
}
