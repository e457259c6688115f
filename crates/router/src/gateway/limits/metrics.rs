//! Metrics of limits. To bound the number of labels, the first tenants that are
//! refused get a label each and all others share one.

use std::collections::BTreeSet;

use parking_lot::Mutex;
use prometheus::{IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry};
use threadledge_limits::RefusalReason;
use threadledge_types::deployment::TenantName;

use super::Limits;

/// Maximum number of tenants with a label of their own.
const MAX_TENANT_LABELS: usize = 32;
/// Label shared by all other tenants.
const OTHERS_LABEL: &str = "(others)";

pub(super) struct LimitMetrics {
    refused: IntCounterVec,
    labels: Mutex<BTreeSet<TenantName>>,
    rates: IntGaugeVec,
    tokens: IntGaugeVec,
    ledger: IntGauge,
    fallback: IntGauge,
}

impl LimitMetrics {
    pub(super) fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let refused = IntCounterVec::new(
            Opts::new(
                "threadledge_gateway_tenant_refused_total",
                "Requests refused by the limit of their tenant",
            ),
            &["tenant", "reason"],
        )?;
        let rates = IntGaugeVec::new(
            Opts::new(
                "threadledge_gateway_tenant_millirequests_per_second",
                "Requests of limited tenants that arrive here, in thousandths a second",
            ),
            &["tenant"],
        )?;
        let tokens = IntGaugeVec::new(
            Opts::new(
                "threadledge_gateway_tenant_tokens",
                "Requests that a limited tenant may run here without another ask",
            ),
            &["tenant"],
        )?;
        let ledger = IntGauge::new(
            "threadledge_gateway_limit_ledger",
            "1 while this gateway keeps the ledger of limits",
        )?;
        let fallback = IntGauge::new(
            "threadledge_gateway_limit_fallback",
            "1 while this gateway uses its shares, since it cannot reach the ledger",
        )?;
        registry.register(Box::new(refused.clone()))?;
        registry.register(Box::new(rates.clone()))?;
        registry.register(Box::new(tokens.clone()))?;
        registry.register(Box::new(ledger.clone()))?;
        registry.register(Box::new(fallback.clone()))?;
        Ok(LimitMetrics {
            refused,
            labels: Mutex::default(),
            rates,
            tokens,
            ledger,
            fallback,
        })
    }

    pub(super) fn record_refusal(&self, tenant: &TenantName, reason: RefusalReason) {
        let mut labels = self.labels.lock();
        let label = match labels.len() < MAX_TENANT_LABELS || labels.contains(tenant) {
            true => tenant.as_str(),
            false => OTHERS_LABEL,
        };
        self.refused
            .with_label_values(&[label, reason.as_str()])
            .inc();
        if label != OTHERS_LABEL {
            labels.insert(tenant.clone());
        }
    }
}

impl Limits {
    /// Updates the gauges; called before they are read.
    pub(in super::super) fn update_metrics(&self) {
        let metrics = &self.shared.metrics;
        let (mut tenants, ledger, fallback) = self.with(|state, now| {
            let tenants = state.rate_limiter.tenants(now);
            let ledger = state.ledger.is_some();
            (tenants, ledger, state.rate_limiter.in_fallback(now))
        });
        metrics.ledger.set(ledger.into());
        metrics.fallback.set(fallback.into());
        metrics.rates.reset();
        metrics.tokens.reset();
        tenants.sort_by(|left, right| right.1.rate.total_cmp(&left.1.rate));
        for (name, usage) in tenants.into_iter().take(MAX_TENANT_LABELS) {
            let rate = (usage.rate * 1_000.0) as i64;
            metrics.rates.with_label_values(&[name.as_str()]).set(rate);
            let tokens = metrics.tokens.with_label_values(&[name.as_str()]);
            tokens.set(usage.tokens.into());
        }
    }
}
