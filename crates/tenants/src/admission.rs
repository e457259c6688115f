//! Whether a request may use its route, decided from its head alone.

use std::collections::BTreeSet;
use std::sync::Arc;

use threadledge_types::RegionName;
use threadledge_types::deployment::{
    ConfigurationVersion, KeyDigest, RateLimit, Route, TenantName,
};

use crate::index::{TenantPolicy, KeyIndex};

/// A request that may use its route.
#[derive(Clone, Debug)]
pub struct Admission {
    /// The configuration by which it may.
    pub version: ConfigurationVersion,
    /// The route that it takes.
    pub route: Arc<Route>,
    /// Whose caller sends it; `None` where no key is asked for and none shown.
    pub tenant: Option<Arc<TenantPolicy>>,
}

impl Admission {
    /// Name of the tenant whose caller sends it.
    pub fn tenant_name(&self) -> Option<&TenantName> {
        self.tenant.as_ref().map(|caller| &caller.name)
    }

    /// What the tenant may send to all gateways together; `None`: as much as
    /// it likes.
    pub fn limit(&self) -> Option<RateLimit> {
        self.tenant.as_ref().and_then(|caller| caller.limit)
    }

    /// The only regions in which it may be served: those that its route and
    /// its tenant both allow; `None`: all.
    pub fn allowed_regions(&self) -> Option<BTreeSet<RegionName>> {
        let caller = self.tenant.as_ref();
        let tenants = caller.and_then(|caller| caller.allowed_regions.as_ref());
        match (self.route.allowed_regions.as_ref(), tenants) {
            (Some(route), Some(tenants)) => Some(route.intersection(tenants).cloned().collect()),
            (Some(allowed), None) | (None, Some(allowed)) => Some(allowed.clone()),
            (None, None) => None,
        }
    }

    /// Rank of the request; 0 goes first.
    pub fn priority(&self) -> u32 {
        effective_priority(self.tenant.as_deref(), &self.route)
    }
}

/// Rank of a request: what its tenant states goes before what its route does.
pub fn effective_priority(tenant: Option<&TenantPolicy>, route: &Route) -> u32 {
    let own = caller.and_then(|caller| caller.priority);
    own.unwrap_or(route.priority)
}

/// Why a caller may not use a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AuthError {
    /// It shows no key, and the route asks for one.
    MissingKey,
    /// It shows a key that no tenant holds.
    UnknownKey,
}

/// Says whose caller shows `key`, and whether `route` may be used with it.
///
/// A public route asks for no key. One that is shown has to be known also
/// there: a caller whose key was taken away must not go on unnoticed.
///
/// # Errors
///
/// The caller may not use the route.
pub fn authorize<'a>(
    keys: &'a KeyIndex,
    requires_key: bool,
    route: &Route,
    key: Option<&KeyDigest>,
) -> Result<Option<&'a Arc<TenantPolicy>>, AuthError> {
    if !requires_key {
        return Ok(None);
    }
    match key {
        Some(key) => keys.find(key).map(Some).ok_or(AuthError::UnknownKey),
        None if route.public => Ok(None),
        None => Err(AuthError::MissingKey),
    }
}
