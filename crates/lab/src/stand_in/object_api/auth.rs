//! Authorization by bearer token.
//!
//! A partner's credentials give access to its own namespaces only. Routers
//! read everything, write statuses, and write the objects of the system
//! namespace.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use threadledge_types::objects::SYSTEM_NAMESPACE;

use super::error::ApiError;
use super::path::Target;

const BEARER: &str = "Bearer ";

/// Permissions of a principal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Everything but status writes within these namespaces; nothing outside.
    Partner(BTreeSet<String>),
    /// Reads everything, writes statuses and the system namespace.
    Router,
}

/// An authenticated client.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Principal {
    /// Name in the history.
    pub name: String,
    /// Its permissions.
    pub role: Role,
}

/// The known tokens and their principals. With no tokens, every request is
/// allowed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Authorization {
    principals: BTreeMap<String, Principal>,
}

impl Authorization {
    /// Maps a bearer token to a principal.
    pub fn allow(&mut self, token: &str, principal: Principal) {
        self.principals.insert(token.to_owned(), principal);
    }

    /// Checks a request by its `Authorization` header. Returns the
    /// principal's name, or `None` if no tokens are configured.
    ///
    /// # Errors
    ///
    /// 401 without a known token, 403 if the principal's role does not allow
    /// the request.
    pub fn check(
        &self,
        header: Option<&str>,
        target: &Target,
        writes: bool,
    ) -> Result<Option<String>, ApiError> {
        if self.principals.is_empty() {
            return Ok(None);
        }
        let token = header.and_then(|header| header.strip_prefix(BEARER));
        let principal = token.and_then(|token| self.principals.get(token));
        let principal = principal.ok_or_else(ApiError::unauthorized)?;
        if principal.may(target, writes) {
            return Ok(Some(principal.name.clone()));
        }
        let namespace = target.namespace().unwrap_or("every namespace");
        let message = format!("{} may not do this in {namespace}", principal.name);
        Err(ApiError::forbidden(message))
    }
}

impl Principal {
    /// Returns whether the principal may read or write the target.
    fn may(&self, target: &Target, writes: bool) -> bool {
        match (&self.role, target.namespace()) {
            (Role::Partner(_), _) if writes && matches!(target, Target::Status(_)) => false,
            (Role::Partner(own), Some(namespace)) => own.contains(namespace),
            (Role::Partner(_), None) => false,
            (Role::Router, _) if !writes => true,
            (Role::Router, Some(SYSTEM_NAMESPACE)) => true,
            (Role::Router, _) => matches!(target, Target::Status(_)),
        }
    }
}
