//! Limits of tenants over all gateways: spends tokens on requests, asks the
//! ledger for more, and keeps the ledger while this gateway holds its office.
//!
//! Where no tenant has a limit nothing here asks, listens or calls the store.

mod ledger_keeper;
mod log;
mod metrics;
mod operate;
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

/// Limits of tenants as one gateway keeps them. Clones share them.
#[derive(Clone)]
pub(super) struct Limits {
    shared: Arc<Shared>,
}

struct Shared {
    clock: Clock,
    state: Mutex<State>,
    /// An ask has ended: whoever waits looks again.
    answered: Notifier,
    /// Something has to be asked for.
    wanted: Notifier,
    /// Limits, the office or its holder changed.
    changed: Notifier,
    log: LimitLog,
    metrics: LimitMetrics,
}

/// Why a request of a tenant does not run.
#[derive(Clone, Copy, Debug)]
pub(super) struct Refused {
    pub(super) why: RefusalReason,
    /// Time until there is room.
    pub(super) wait: Duration,
}

/// A token that was spent.
struct Spent {
    limits: Limits,
    tenant: TenantName,
    at: Timestamp,
}

/// Leave for one request to run. A token was spent on it, if its tenant has a
/// limit.
pub(super) struct Permit {
    spent: Option<Spent>,
}

impl Permit {
    /// Leave for a request of nobody whose requests are counted.
    pub(super) const fn free() -> Self {
        Permit { spent: None }
    }

    /// The request surely did not run: its token goes back.
    pub(super) fn not_run(self) {
        let Some(Spent { limits, tenant, at }) = self.spent else {
            return;
        };
        limits.with(|state, now| state.spender.refund(now, &tenant, at));
    }
}

impl Limits {
    /// Limits of a gateway that has just started.
    ///
    /// # Errors
    ///
    /// Never with the names compiled in; the metrics library checks them at
    /// run time.
    pub(super) fn new(
        clock: Clock,
        me: &NodeIdentity,
        settings: Settings,
        registry: &Registry,
    ) -> Result<Self, prometheus::Error> {
        let shared = Shared {
            clock,
            state: Mutex::new(State::new(me.clone(), settings)),
            answered: Notifier::default(),
            wanted: Notifier::default(),
            changed: Notifier::default(),
            log: LimitLog::default(),
            metrics: LimitMetrics::new(registry)?,
        };
        Ok(Limits {
            shared: Arc::new(shared),
        })
    }

    /// Begins to ask and to stand for the office.
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
        // Read under the lock, so that the cores see time that never goes
        // back.
        let now = self.shared.clock.now();
        act(&mut state, now)
    }

    /// This configuration is in force.
    pub(super) fn configure(&self, configuration: &Configuration) {
        let tenants = configuration.tenants.iter();
        let limits = tenants.filter_map(|(name, tenant)| Some((name.clone(), tenant.limit?)));
        let limits = limits.collect();
        self.with(|state, now| state.set_limits(now, limits));
        self.shared.changed.notify();
    }

    /// Lets a request of a tenant run, or does not; it may wait for the
    /// ledger.
    ///
    /// # Errors
    ///
    /// Why it does not run, and when there will be room.
    pub(super) async fn admit(&self, tenant: &TenantName) -> Result<Permit, Refused> {
        let mut since = None;
        loop {
            // Whoever waits is registered before another can end the wait.
            let (admission, answered) = self.with(|state, now| {
                let admission = match since {
                    None => state.spender.admit_new(now, tenant),
                    Some(since) => state.spender.admit(now, tenant, since),
                };
                since = since.or(Some(now));
                (admission, self.shared.answered.next())
            });
            match admission {
                Admission::Unlimited => return Ok(Permit::free()),
                Admission::Admitted => {
                    let spent = Spent {
                        limits: self.clone(),
                        tenant: tenant.clone(),
                        at: self.shared.clock.now(),
                    };
                    return Ok(Permit { spent: Some(spent) });
                }
                Admission::Refused { why, wait } => {
                    self.shared.metrics.refused(tenant, why);
                    self.shared
                        .log
                        .refused(self.shared.clock.now(), tenant, why);
                    return Err(Refused { why, wait });
                }
                Admission::Wait(until) => {
                    self.shared.wanted.notify();
                    let deadline = self.shared.clock.instant(until);
                    // Which of the two it was shows above.
                    let _ = timer::timeout_at(deadline, answered).await;
                }
            }
        }
    }

    /// Hands the office back. Requests go on meanwhile.
    pub(super) fn resign(&self) {
        self.with(|state, now| state.leave(now));
        self.shared.changed.notify();
    }

    /// Answers another gateway's ask.
    pub(super) fn handle_request(&self, ask: &QuotaRequest) -> QuotaResponse {
        let (answer, to_record) = self.with(|state, now| state.answer(now, ask));
        if to_record {
            self.shared.changed.notify();
        }
        answer
    }
}
