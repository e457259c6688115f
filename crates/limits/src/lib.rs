//! Limits of tenants, held over all gateways together.
//!
//! One gateway at a time, elected through the store, keeps the [`Ledger`]: a
//! token bucket for each tenant. Every gateway keeps a [`RateLimiter`], which asks
//! the ledger for a few tokens at a time and spends one on each request.
//! Tokens end by themselves after a short life, so that the requests of any
//! window stay within the limit, the overage and the slack of [`Settings`],
//! however the tokens are divided and whatever fails.
//!
//! While a gateway cannot reach the ledger, the last known division holds: it
//! has a share of each tenant's rate, which the ledger keeps free for it until
//! it has surely run out.
//!
//! Nothing here opens a socket or reads a clock.

mod bucket;
pub mod ledger;
pub mod messages;
pub mod settings;
pub mod rate_limiter;

pub use ledger::{Ledger, Predecessor};
pub use messages::{QuotaResponse, QuotaRequest, HolderRecord, Share, TenantQuotaRequest, TenantGrant};
pub use settings::Settings;
pub use rate_limiter::{Admission, RefusalReason, RateLimiter};
