//! Rate limits of tenants, enforced across all gateways together.
//!
//! One gateway at a time, elected through the store, runs the [`Ledger`], which
//! holds a token bucket per tenant. Every gateway runs a [`RateLimiter`], which
//! requests a few tokens at a time from the ledger and spends one on each
//! request. Tokens expire after a short lifetime. In any window the requests of
//! a tenant therefore stay within the limit, the overage and the slack of
//! [`Settings`], however the tokens are distributed and whatever fails.
//!
//! While a gateway cannot reach the ledger, it uses the last share of each
//! tenant's rate that it was assigned. The ledger reserves that share until it
//! has certainly expired.
//!
//! This crate opens no sockets and reads no clock.

mod bucket;
pub mod ledger;
pub mod messages;
pub mod rate_limiter;
pub mod settings;

pub use ledger::{Ledger, Predecessor};
pub use messages::{
    HolderRecord, QuotaRequest, QuotaResponse, Share, TenantGrant, TenantQuotaRequest,
};
pub use rate_limiter::{Admission, RateLimiter, RefusalReason};
pub use settings::Settings;
