//! Authorization of requests, decided from the request head alone.

use std::collections::BTreeSet;
use std::sync::Arc;

use threadledge_types::RegionName;
use threadledge_types::deployment::{
    ConfigurationVersion, KeyDigest, RateLimit, Route, TenantName,
};

use crate::index::{KeyIndex, TenantPolicy};

/// Authorization of a request to use its route.
#[derive(Clone, Debug)]
pub struct Admission {
    /// Version of the configuration that it is based on.
    pub version: ConfigurationVersion,
    /// Route of the request.
    pub route: Arc<Route>,
    /// Tenant of the caller; `None` if no key was required and none was given.
    pub tenant: Option<Arc<TenantPolicy>>,
}

impl Admission {
    /// Returns the name of the caller's tenant.
    pub fn tenant_name(&self) -> Option<&TenantName> {
        self.tenant.as_ref().map(|policy| &policy.name)
    }

    /// Returns the tenant's limit across all gateways, or `None` if it is
    /// unlimited.
    pub fn limit(&self) -> Option<RateLimit> {
        self.tenant.as_ref().and_then(|policy| policy.limit)
    }

    /// Returns the regions that may serve the request, which both the route and
    /// the tenant allow, or `None` if all may.
    pub fn allowed_regions(&self) -> Option<BTreeSet<RegionName>> {
        let policy = self.tenant.as_ref();
        let tenants = policy.and_then(|policy| policy.allowed_regions.as_ref());
        match (self.route.allowed_regions.as_ref(), tenants) {
            (Some(route), Some(tenants)) => Some(route.intersection(tenants).cloned().collect()),
            (Some(allowed), None) | (None, Some(allowed)) => Some(allowed.clone()),
            (None, None) => None,
        }
    }

    /// Returns the priority of the request; 0 is the highest.
    pub fn priority(&self) -> u32 {
        effective_priority(self.tenant.as_deref(), &self.route)
    }
}

/// Returns the priority of a request: that of the tenant, or else that of the
/// route.
pub fn effective_priority(policy: Option<&TenantPolicy>, route: &Route) -> u32 {
    let tenant_priority = policy.and_then(|policy| policy.priority);
    tenant_priority.unwrap_or(route.priority)
}

/// Reason why a caller may not use a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AuthError {
    /// The request has no API key, and the route requires one.
    MissingKey,
    /// The request has an API key that no tenant holds.
    UnknownKey,
}

/// Returns the tenant that holds `key` if its callers may use `route`.
///
/// A public route requires no key. A key that is given must be known even
/// there, so that a caller whose key was revoked notices it.
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
