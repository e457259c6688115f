//! What gateways and the ledger tell each other.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use threadledge_coordination::Term;
use threadledge_types::deployment::TenantName;
use threadledge_types::{Incarnation, MachineName, Timestamp};

/// A part of a tenant's rate, in millionths.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Share(pub u32);

impl Share {
    /// All of it.
    pub const WHOLE: Share = Share(1_000_000);

    /// The part of `whole`, as a number.
    pub fn of(self, whole: f64) -> f64 {
        whole * f64::from(self.0) / f64::from(Share::WHOLE.0)
    }

    pub(crate) fn is_none(&self) -> bool {
        self.0 == 0
    }
}

/// A gateway asks for tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct QuotaRequest {
    /// The machine that asks.
    pub from: MachineName,
    /// Which life of its gateway.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Raised by each ask of one life.
    pub number: u64,
    /// Proof of an earlier answer; without it the ask only greets, and changes
    /// nothing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub echo: Option<Echo>,
    /// The tenants that it is about.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tenants: Vec<TenantQuotaRequest>,
}

/// Tells the ledger when an ask was sent, by the ledger's own clock: not
/// before `at` and `passed-us` after it. Whenever the ask arrives, also from
/// a link that held it back or at a ledger that was suspended, it is known
/// since when its sender may count as silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Echo {
    /// The term of the ledger that answered.
    pub term: Term,
    /// The ledger's clock at that answer.
    pub at: Timestamp,
    /// From the arrival of that answer until this ask was sent, in
    /// microseconds.
    #[serde(rename = "passed-us")]
    pub elapsed_us: u64,
}

/// What a gateway asks for one tenant. All figures of several gateways may be
/// added up, so that one may ask for others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct TenantQuotaRequest {
    /// The tenant.
    pub name: TenantName,
    /// Requests that wait.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub need: u32,
    /// Tokens that will be needed besides before the next ask.
    #[serde(rename = "want", default, skip_serializing_if = "is_zero")]
    pub prefetch: u32,
    /// Tokens that were not used, or whose requests surely did not run.
    #[serde(rename = "back", default, skip_serializing_if = "is_zero")]
    pub returned: u32,
    /// Requests that arrive lately, in thousandths a second.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub rate: u32,
    /// The share that the gateway holds, as long as it lasts.
    #[serde(default, skip_serializing_if = "Share::is_none")]
    pub share: Share,
}

fn is_zero(number: &u32) -> bool {
    *number == 0
}

/// The answer to an ask.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum QuotaResponse {
    /// The ledger of this term answers.
    Ledger {
        /// Its term.
        term: Term,
        /// Its clock, to be echoed.
        at: Timestamp,
        /// What each tenant gets; none when the ask only greeted.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        tenants: Vec<TenantGrant>,
        /// The store has not confirmed its office for a while.
        #[serde(rename = "ailing", default, skip_serializing_if = "is_false")]
        lease_at_risk: bool,
    },
    /// This gateway does not keep the ledger.
    #[serde(rename = "elsewhere")]
    NotLeader,
}

/// What one tenant gets at one gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct TenantGrant {
    /// The tenant.
    pub name: TenantName,
    /// Tokens.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub tokens: u32,
    /// The gateway's share from now on.
    #[serde(default, skip_serializing_if = "Share::is_none")]
    pub share: Share,
    /// Time until there is a token again, in milliseconds, where not all that
    /// was needed could be had.
    #[serde(rename = "none-ms", default, skip_serializing_if = "is_zero")]
    pub retry_after_ms: u32,
    /// The tenant sends more than its limit: requests that find no token are
    /// refused at once. Of others they wait, since a token will soon be there.
    #[serde(rename = "over", default, skip_serializing_if = "is_false")]
    pub over_limit: bool,
}

fn is_false(value: &bool) -> bool {
    !value
}

/// Which machines may hold shares, kept in the store: the next ledger knows by
/// it when the shares of the one before have all been accounted for.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct HolderRecord {
    /// Term of the ledger that wrote it.
    pub term: Term,
    /// Machines whose gateways may hold shares.
    pub machines: BTreeSet<MachineName>,
    /// Machines whose gateways may keep a ledger: the writer, and those before
    /// it whose offices may not have ended.
    #[serde(default)]
    pub ledgers: BTreeSet<MachineName>,
}
