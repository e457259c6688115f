//! Shows operators the state of limits: who keeps the ledger, what this gateway
//! holds of each tenant's limit, and why a tenant is refused.

use http_types::{Method, Request, Response};
use serde::Serialize;
use threadledge_limits::rate_limiter::TenantUsage;
use threadledge_types::deployment::TenantName;

use super::super::answer;
use super::Limits;

/// Path of the list of tenants; followed by `/` and a name, of that tenant.
const LIMITS_PATH: &str = "/threadledge/v1/tenant-limits";

#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
struct LimitsStatus {
    /// Peer address of the gateway that keeps the ledger, as far as this one
    /// knows.
    ledger: Option<String>,
    term: Option<u64>,
    /// If the ledger is kept here, whether it may grant the full rates.
    kept_here: Option<bool>,
    /// Whether shares are used because the ledger cannot be reached.
    fallback: bool,
    tenants: Vec<TenantStatus>,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
struct TenantStatus {
    tenant: String,
    limit_per_s: f64,
    burst: f64,
    /// Requests per second that arrive at this gateway.
    rate_here: f64,
    tokens_here: u32,
    /// Share of the limit that this gateway may use without the ledger.
    share_here: f64,
    /// Reason of the last refusal, if there was one in the last few seconds.
    refused: Option<&'static str>,
    refusals: u64,
    /// Time during which requests are refused without requesting quota.
    none_for_s: f64,
    /// Requests per second at all gateways, if the ledger is kept here.
    rate_everywhere: Option<f64>,
    /// Tokens left in the ledger, if it is kept here.
    ledger_tokens: Option<f64>,
}

impl Limits {
    /// Answers an operator's request. Returns `None` for paths that are not
    /// about limits.
    pub(in super::super) fn answer_operator(&self, request: &Request) -> Option<Response> {
        let rest = request.url().path().strip_prefix(LIMITS_PATH)?;
        if request.method() != Method::Get {
            return Some(answer::text(405, "use-get", None));
        }
        if rest.is_empty() {
            return Some(answer::json(&self.status()));
        }
        let tenant = TenantName::from(rest.strip_prefix('/')?);
        let statuses = self.status().tenants.into_iter();
        let mut statuses = statuses.filter(|status| status.tenant == tenant.as_str());
        Some(match statuses.next() {
            Some(status) => answer::json(&status),
            None => answer::text(404, "no-such-tenant-with-a-limit-was-seen-lately", None),
        })
    }

    fn status(&self) -> LimitsStatus {
        self.with(|state, now| {
            let tenants = state.rate_limiter.tenants(now).into_iter();
            let tenants = tenants.map(|(name, usage)| {
                let ledger = state.ledger.as_ref();
                let ledger_load = ledger.and_then(|ledger| ledger.tenant_load(&name));
                self.tenant_status(
                    &name,
                    &usage,
                    ledger_load.map(|(_, level, rate)| (level, rate)),
                )
            });
            let tenants = tenants.collect();
            LimitsStatus {
                ledger: state
                    .holder
                    .and_then(|(_, address)| address)
                    .map(|address| address.to_string()),
                term: state.holder.map(|(term, _)| term.0),
                kept_here: state.ledger.as_ref().map(|ledger| ledger.has_full_rate()),
                fallback: state.rate_limiter.in_fallback(now),
                tenants,
            }
        })
    }

    fn tenant_status(
        &self,
        name: &TenantName,
        usage: &TenantUsage,
        ledger_load: Option<(f64, f64)>,
    ) -> TenantStatus {
        let refusals = self.shared.log.refusals(name);
        TenantStatus {
            tenant: name.as_str().to_owned(),
            limit_per_s: usage.limit.rate,
            burst: usage.limit.burst,
            rate_here: usage.rate,
            tokens_here: usage.tokens,
            share_here: usage.share,
            refused: refusals.map(|refusals| refusals.reason.as_str()),
            refusals: refusals.map_or(0, |refusals| refusals.count),
            none_for_s: usage.retry_after.as_secs_f64(),
            rate_everywhere: ledger_load.map(|(_, rate)| rate),
            ledger_tokens: ledger_load.map(|(level, _)| level),
        }
    }
}
