//! Rate limits of tenants, enforced over all gateways together: spends tokens
//! on requests, requests more from the ledger, and keeps the ledger while this
//! gateway holds its lease.
//!
//! If no tenant has a limit, this module sends no requests and makes no calls
//! to the store.

mod ledger_keeper;
mod log;
mod metrics;
mod operator;
mod requester;
mod state;

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use parking_lot::Mutex;
use prometheus::Registry;
use threadledge_coordination::NodeIdentity;
use threadledge_limits::{Admission, QuotaRequest, QuotaResponse, RefusalReason, Settings};
use threadledge_net::timer;
use threadledge_ports::Ports;
use threadledge_types::Timestamp;
use threadledge_types::deployment::{Configuration, TenantName};

use super::notifier::Notifier;
use super::peers::PeerClient;
use super::sources::Sources;
use super::store_health::StoreHealth;
use crate::proxy::Clock;
use ledger_keeper::LedgerKeeper;
pub(super) use ledger_keeper::{LedgerPlacement, takeover_delay_for_cores};
use log::LimitLog;
use metrics::LimitMetrics;
use requester::QuotaRequester;
use state::State;

/// The tenants' limits as enforced by this gateway. Clones share them.
#[derive(Clone)]
pub(super) struct Limits {
    shared: Arc<Shared>,
}

struct Shared {
    clock: Clock,
    state: Mutex<State>,
    /// Notified when a quota request has ended; waiting requests then check
    /// again.
    request_ended: Notifier,
    /// Notified when quota may have to be requested.
    quota_needed: Notifier,
    /// Notified when limits, the ledger's lease or its holder changed.
    changed: Notifier,
    log: LimitLog,
    metrics: LimitMetrics,
}

/// Refusal of a request by its tenant's limit.
#[derive(Clone, Copy, Debug)]
pub(super) struct LimitRefusal {
    pub(super) reason: RefusalReason,
    /// Time after which the request may be admitted.
    pub(super) retry_after: Duration,
}

/// A token spent on a request.
struct SpentToken {
    limits: Limits,
    tenant: TenantName,
    at: Timestamp,
}

/// Permission for one request to run. A token was spent on it if its tenant has
/// a limit.
pub(super) struct Permit {
    spent: Option<SpentToken>,
}

impl Permit {
    /// Permit for a request that counts against no limit.
    pub(super) const fn unlimited() -> Self {
        Permit { spent: None }
    }

    /// Refunds the token of a request that certainly did not run.
    pub(super) fn refund(self) {
        let Some(SpentToken { limits, tenant, at }) = self.spent else {
            return;
        };
        limits.with(|state, now| state.rate_limiter.refund(now, &tenant, at));
    }
}

impl Limits {
    /// Creates the limits of a gateway that has just started.
    ///
    /// # Errors
    ///
    /// Never occurs with the names compiled in; the metrics library checks them
    /// at run time.
    pub(super) fn new(
        clock: Clock,
        me: &NodeIdentity,
        settings: Settings,
        registry: &Registry,
    ) -> Result<Self, prometheus::Error> {
        let shared = Shared {
            clock,
            state: Mutex::new(State::new(me.clone(), settings)),
            request_ended: Notifier::default(),
            quota_needed: Notifier::default(),
            changed: Notifier::default(),
            log: LimitLog::default(),
            metrics: LimitMetrics::new(registry)?,
        };
        Ok(Limits {
            shared: Arc::new(shared),
        })
    }

    /// Starts the tasks that request quota and take part in the ledger's
    /// election.
    pub(super) fn start(
        &self,
        client: PeerClient,
        ports: Ports,
        sources: Arc<Sources>,
        health: Arc<StoreHealth>,
        placement: LedgerPlacement,
    ) {
        let requester = QuotaRequester {
            limits: self.clone(),
            client,
        };
        let keeper = LedgerKeeper::new(self.clone(), ports, sources, health, placement);
        task::spawn(requester.run());
        task::spawn(keeper.run());
    }

    fn with<R>(&self, act: impl FnOnce(&mut State, Timestamp) -> R) -> R {
        let mut state = self.shared.state.lock();
        // Read while the lock is held, so that the time the state machines see
        // never goes backwards.
        let now = self.shared.clock.now();
        act(&mut state, now)
    }

    /// Applies the limits of the configuration now in force.
    pub(super) fn configure(&self, configuration: &Configuration) {
        let tenants = configuration.tenants.iter();
        let limits = tenants.filter_map(|(name, tenant)| Some((name.clone(), tenant.limit?)));
        let limits = limits.collect();
        self.with(|state, now| state.set_limits(now, limits));
        self.shared.changed.notify();
    }

    /// Admits or refuses a request of a tenant. May wait for the ledger.
    ///
    /// # Errors
    ///
    /// The reason for the refusal and the time to wait.
    pub(super) async fn admit(&self, tenant: &TenantName) -> Result<Permit, LimitRefusal> {
        let mut since = None;
        loop {
            // The wait is registered under the lock, before another task can
            // end it.
            let (admission, request_ended) = self.with(|state, now| {
                let admission = match since {
                    None => state.rate_limiter.admit_new(now, tenant),
                    Some(since) => state.rate_limiter.admit(now, tenant, since),
                };
                since = since.or(Some(now));
                (admission, self.shared.request_ended.next())
            });
            match admission {
                Admission::Unlimited => return Ok(Permit::unlimited()),
                Admission::Admitted => {
                    let spent = SpentToken {
                        limits: self.clone(),
                        tenant: tenant.clone(),
                        at: self.shared.clock.now(),
                    };
                    return Ok(Permit { spent: Some(spent) });
                }
                Admission::Refused { why, wait } => {
                    self.shared.metrics.record_refusal(tenant, why);
                    self.shared
                        .log
                        .record_refusal(self.shared.clock.now(), tenant, why);
                    return Err(LimitRefusal {
                        reason: why,
                        retry_after: wait,
                    });
                }
                Admission::Wait(until) => {
                    self.shared.quota_needed.notify();
                    let deadline = self.shared.clock.instant(until);
                    // The next round finds out whether it was notified or timed
                    // out.
                    let _ = timer::timeout_at(deadline, request_ended).await;
                }
            }
        }
    }

    /// Resigns the ledger's lease. Requests continue to be served.
    pub(super) fn resign(&self) {
        self.with(|state, now| state.resign(now));
        self.shared.changed.notify();
    }

    /// Answers another gateway's quota request.
    pub(super) fn handle_request(&self, request: &QuotaRequest) -> QuotaResponse {
        let (response, record_due) = self.with(|state, now| state.handle_request(now, request));
        if record_due {
            self.shared.changed.notify();
        }
        response
    }
}
