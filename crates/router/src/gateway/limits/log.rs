//! Logs changes of the limits: who keeps the ledger, whether this gateway falls
//! back to its shares, and which tenants are refused.

use std::collections::BTreeMap;
use std::time::Duration;

use parking_lot::Mutex;
use threadledge_coordination::Term;
use threadledge_limits::RefusalReason;
use threadledge_types::Timestamp;
use threadledge_types::deployment::TenantName;

use crate::events::{EventId, emit};

/// Time without a refusal after which a tenant no longer counts as refused.
const SERVED_AGAIN_AFTER: Duration = Duration::from_secs(5);

/// The latest series of refusals of one tenant.
#[derive(Clone, Copy, Debug)]
pub(super) struct Refusals {
    pub(super) reason: RefusalReason,
    pub(super) count: u64,
    pub(super) last: Timestamp,
}

/// State last written to the log, so that only changes are logged.
#[derive(Debug, Default)]
pub(super) struct LimitLog {
    ledger: Mutex<Option<(Term, bool)>>,
    fallback: Mutex<bool>,
    refused: Mutex<BTreeMap<TenantName, Refusals>>,
}

impl LimitLog {
    /// Logs a change of the ledger kept here: its term and whether it may grant
    /// the full rates, or `None` if it is not kept here.
    pub(super) fn log_ledger(&self, ledger: Option<(Term, bool)>) {
        let mut logged = self.ledger.lock();
        let before = std::mem::replace(&mut *logged, ledger);
        let previous_term = before.map(|(term, _)| term);
        match (before, ledger) {
            (Some((term, _)), None) => emit!(EventId::LedgerLost, term = term.0),
            (_, Some((term, whole))) if previous_term != Some(term) => {
                emit!(EventId::LedgerTaken, term = term.0, whole);
            }
            (Some((_, false)), Some((term, true))) => emit!(EventId::LedgerWhole, term = term.0),
            _ => {}
        }
    }

    /// Logs when this gateway starts or stops using its shares.
    pub(super) fn log_fallback(&self, used: bool) {
        let before = std::mem::replace(&mut *self.fallback.lock(), used);
        match (before, used) {
            (false, true) => emit!(EventId::LimitFallbackBegun),
            (true, false) => emit!(EventId::LimitFallbackEnded),
            _ => {}
        }
    }

    /// Records a refused request, and logs it if it is the first of a series.
    pub(super) fn record_refusal(
        &self,
        now: Timestamp,
        tenant: &TenantName,
        reason: RefusalReason,
    ) {
        let mut refused = self.refused.lock();
        if let Some(refusals) = refused.get_mut(tenant) {
            refusals.reason = reason;
            refusals.count += 1;
            refusals.last = now;
            return;
        }
        let refusals = Refusals {
            reason,
            count: 1,
            last: now,
        };
        refused.insert(tenant.clone(), refusals);
        emit!(EventId::TenantRefused, tenant = %tenant, reason = reason.as_str());
    }

    /// Logs and removes tenants that have not been refused for a while.
    pub(super) fn expire_refusals(&self, now: Timestamp) {
        self.refused.lock().retain(|tenant, refusals| {
            let refused = now.since(refusals.last) < SERVED_AGAIN_AFTER;
            if !refused {
                emit!(EventId::TenantServed, tenant = %tenant, refused = refusals.count);
            }
            refused
        });
    }

    /// Returns the refusals of a tenant that is currently being refused.
    pub(super) fn refusals(&self, tenant: &TenantName) -> Option<Refusals> {
        self.refused.lock().get(tenant).copied()
    }
}
