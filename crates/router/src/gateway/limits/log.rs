//! Writes into the log what changed: who keeps the ledger, whether shares are
//! used, and which tenants are refused.

use std::collections::BTreeMap;
use std::time::Duration;

use parking_lot::Mutex;
use threadledge_coordination::Term;
use threadledge_limits::RefusalReason;
use threadledge_types::Timestamp;
use threadledge_types::deployment::TenantName;

use crate::events::{EventId, emit};

/// Time without a refusal after which a tenant counts as served again.
const SERVED_AFTER: Duration = Duration::from_secs(5);

/// Refusals of one tenant.
#[derive(Clone, Copy, Debug)]
pub(super) struct Refusals {
    pub(super) why: RefusalReason,
    pub(super) count: u64,
    pub(super) last: Timestamp,
}

/// What the log was told.
#[derive(Debug, Default)]
pub(super) struct LimitLog {
    ledger: Mutex<Option<(Term, bool)>>,
    fallback: Mutex<bool>,
    refused: Mutex<BTreeMap<TenantName, Refusals>>,
}

impl LimitLog {
    /// This gateway keeps the ledger of that term, and whether the whole of
    /// the rates is its to give; or it keeps none.
    pub(super) fn ledger(&self, ledger: Option<(Term, bool)>) {
        let mut told = self.ledger.lock();
        let before = std::mem::replace(&mut *told, ledger);
        let known = before.map(|(term, _)| term);
        match (before, ledger) {
            (Some((term, _)), None) => emit!(EventId::LedgerLost, term = term.0),
            (_, Some((term, whole))) if known != Some(term) => {
                emit!(EventId::LedgerTaken, term = term.0, whole);
            }
            (Some((_, false)), Some((term, true))) => emit!(EventId::LedgerWhole, term = term.0),
            _ => {}
        }
    }

    /// Whether this gateway uses its shares now.
    pub(super) fn fallback(&self, used: bool) {
        let before = std::mem::replace(&mut *self.fallback.lock(), used);
        match (before, used) {
            (false, true) => emit!(EventId::LimitFallbackBegun),
            (true, false) => emit!(EventId::LimitFallbackEnded),
            _ => {}
        }
    }

    /// A request of a tenant was refused.
    pub(super) fn refused(&self, now: Timestamp, tenant: &TenantName, why: RefusalReason) {
        let mut refused = self.refused.lock();
        if let Some(refusals) = refused.get_mut(tenant) {
            refusals.why = why;
            refusals.count += 1;
            refusals.last = now;
            return;
        }
        let refusals = Refusals {
            why,
            count: 1,
            last: now,
        };
        refused.insert(tenant.clone(), refusals);
        emit!(EventId::TenantRefused, tenant = %tenant, reason = why.as_str());
    }

    /// Tells of tenants that have not been refused for a while.
    pub(super) fn settle(&self, now: Timestamp) {
        self.refused.lock().retain(|tenant, refusals| {
            let refused = now.since(refusals.last) < SERVED_AFTER;
            if !refused {
                emit!(EventId::TenantServed, tenant = %tenant, refused = refusals.count);
            }
            refused
        });
    }

    /// Refusals of a tenant that is being refused.
    pub(super) fn refusals(&self, tenant: &TenantName) -> Option<Refusals> {
        self.refused.lock().get(tenant).copied()
    }
}
