//! Messages between gateways and the ledger.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use threadledge_coordination::Term;
use threadledge_types::deployment::TenantName;
use threadledge_types::{Incarnation, MachineName, Timestamp};

/// Fraction of a tenant's rate, in millionths.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Share(pub u32);

impl Share {
    /// The full rate.
    pub const WHOLE: Share = Share(1_000_000);

    /// Returns this fraction of `whole`.
    pub fn of(self, whole: f64) -> f64 {
        whole * f64::from(self.0) / f64::from(Share::WHOLE.0)
    }

    pub(crate) fn is_none(&self) -> bool {
        self.0 == 0
    }
}

/// Request of a gateway for tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct QuotaRequest {
    /// Machine of the gateway.
    pub from: MachineName,
    /// Incarnation of the gateway on that machine.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Sequence number, increased with each request of an incarnation.
    pub number: u64,
    /// Proof of an earlier response. A request without it is only a hello,
    /// which changes nothing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub echo: Option<Echo>,
    /// Tenants that tokens are requested for.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tenants: Vec<TenantQuotaRequest>,
}

/// Tells the ledger when a request was sent, by the ledger's own clock: no
/// earlier than `at` plus `elapsed_us`. The ledger thus knows when the sender
/// may begin to count as silent, even if the request was delayed by a link or
/// by a suspended ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Echo {
    /// Term of the ledger that responded.
    pub term: Term,
    /// Time of the ledger's clock in that response.
    pub at: Timestamp,
    /// Time from the arrival of that response until this request was sent, in
    /// microseconds.
    #[serde(rename = "passed-us")]
    pub elapsed_us: u64,
}

/// Request for the tokens of one tenant. All figures of several gateways can be
/// added up, so that one gateway can request tokens for others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct TenantQuotaRequest {
    /// Name of the tenant.
    pub name: TenantName,
    /// Number of waiting requests.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub need: u32,
    /// Additional tokens that the gateway expects to need before its next
    /// request.
    #[serde(rename = "want", default, skip_serializing_if = "is_zero")]
    pub prefetch: u32,
    /// Tokens that were not used, or whose requests certainly did not run.
    #[serde(rename = "back", default, skip_serializing_if = "is_zero")]
    pub returned: u32,
    /// Recent rate of arrivals, in thousandths of a request per second.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub rate: u32,
    /// Share that the gateway holds, as long as it is valid.
    #[serde(default, skip_serializing_if = "Share::is_none")]
    pub share: Share,
}

fn is_zero(number: &u32) -> bool {
    *number == 0
}

/// Response to a [`QuotaRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum QuotaResponse {
    /// Response of the ledger.
    Ledger {
        /// Term of the ledger.
        term: Term,
        /// Time of the ledger's clock, to be echoed in the next request.
        at: Timestamp,
        /// Grants per tenant; empty in response to a hello.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        tenants: Vec<TenantGrant>,
        /// The store has not confirmed the ledger's lease for a while.
        #[serde(rename = "ailing", default, skip_serializing_if = "is_false")]
        lease_at_risk: bool,
    },
    /// This gateway does not run the ledger.
    #[serde(rename = "elsewhere")]
    NotLeader,
}

/// Grant of tokens and a share for one tenant at one gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct TenantGrant {
    /// Name of the tenant.
    pub name: TenantName,
    /// Number of tokens granted.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub tokens: u32,
    /// Share of the gateway from now on.
    #[serde(default, skip_serializing_if = "Share::is_none")]
    pub share: Share,
    /// Time until a token is available again, in milliseconds. Set only if
    /// fewer tokens than needed were granted.
    #[serde(rename = "none-ms", default, skip_serializing_if = "is_zero")]
    pub retry_after_ms: u32,
    /// The tenant sends more than its limit, so that requests without a token
    /// are refused at once. Requests of other tenants wait, since a token will
    /// be available soon.
    #[serde(rename = "over", default, skip_serializing_if = "is_false")]
    pub over_limit: bool,
}

fn is_false(value: &bool) -> bool {
    !value
}

/// Record in the store of the machines that may hold shares. It tells the next
/// ledger when all shares of the previous one are accounted for.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct HolderRecord {
    /// Term of the ledger that wrote the record.
    pub term: Term,
    /// Machines whose gateways may hold shares.
    pub machines: BTreeSet<MachineName>,
    /// Machines whose gateways may run a ledger: the writer and earlier ledgers
    /// whose leases may not have ended.
    #[serde(default)]
    pub ledgers: BTreeSet<MachineName>,
}
