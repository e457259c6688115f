//! Decides from the head of a request whether its caller may use its route.

use std::collections::BTreeMap;

use threadledge_tenants::{Admission, AuthError, KeyChanges, TenantPolicy, authorize};
use threadledge_types::Timestamp;
use threadledge_types::deployment::{Configuration, KeyDigest};

use super::{Dispatcher, refusal};
use crate::outcome::{Refusal, RefusalReason};
use crate::request::RequestHead;

impl Dispatcher {
    /// Decides before any of the body is read. If an exchange starts later,
    /// [`Dispatcher::begin`] decides again by the configuration that is then in
    /// force.
    ///
    /// # Errors
    ///
    /// The refusal to send to the caller at once.
    pub fn check_admission(
        &mut self,
        now: Timestamp,
        head: &RequestHead<'_>,
    ) -> Result<Admission, Refusal> {
        let admission = self.resolve_admission(now, head);
        if let Err(refusal) = &admission {
            self.counters.started += 1;
            self.count_refusal(refusal);
        }
        admission
    }

    /// Number of API keys in the configuration in force.
    pub fn api_key_count(&self) -> usize {
        self.api_keys.len()
    }

    /// Records that the known API keys were current at `at`, as confirmed by
    /// the store to this router or to another one that passed it on.
    pub fn confirm_api_keys(&mut self, at: Timestamp) {
        self.api_keys_confirmed_at = self.api_keys_confirmed_at.max(at);
    }

    /// The tenant of an API key, according to the configuration in force.
    pub fn caller_of_key(&self, key: &KeyDigest) -> Option<&TenantPolicy> {
        self.api_keys.find(key).map(AsRef::as_ref)
    }

    /// The same as [`Dispatcher::check_admission`], but without counting
    /// refusals.
    pub(super) fn resolve_admission(
        &self,
        now: Timestamp,
        head: &RequestHead<'_>,
    ) -> Result<Admission, Refusal> {
        let Some(configuration) = &self.configuration else {
            return Err(refusal(RefusalReason::NoConfiguration));
        };
        let Some(route) = self.routes.find(head.host, head.path) else {
            return Err(refusal(RefusalReason::NoRoute));
        };
        // Invariant: no back end serves a path that was judged as another one.
        if self.routes.is_ambiguous(head.host, head.path) {
            return Err(refusal(RefusalReason::AmbiguousPath));
        }
        let keys_required = !configuration.tenants.is_empty();
        let caller = authorize(&self.api_keys, keys_required, route, head.api_key);
        let stale = self.api_keys_stale(now);
        let caller = match caller {
            Err(AuthError::UnknownKey) if stale => Err(RefusalReason::KeysOutOfDate),
            Err(denied) => Err(reason(denied)),
            Ok(Some(_)) if stale && self.settings.fail_closed => Err(RefusalReason::KeysOutOfDate),
            Ok(caller) => Ok(caller),
        };
        let caller = caller.map_err(refusal)?;
        let admission = Admission {
            version: configuration.version,
            route: route.clone(),
            tenant: caller.cloned(),
        };
        let regions = admission.allowed_regions();
        if regions.is_some_and(|regions| regions.is_empty()) {
            return Err(refusal(RefusalReason::OutsideRegions));
        }
        Ok(admission)
    }

    /// Whether the last confirmation that the known API keys are current is too
    /// old.
    pub fn api_keys_stale(&self, now: Timestamp) -> bool {
        let unconfirmed_for = now.since(self.api_keys_confirmed_at);
        let api_key_validity = self.settings.api_key_validity;
        api_key_validity.is_some_and(|api_key_validity| unconfirmed_for > api_key_validity)
    }

    pub(super) fn count_refusal(&mut self, refusal: &Refusal) {
        *self.counters.refused.entry(refusal.reason).or_default() += 1;
    }

    /// Updates the API keys to those of a newer configuration and returns the
    /// changes.
    pub(super) fn update_api_keys(&mut self, next: &Configuration) -> KeyChanges {
        let none = BTreeMap::new();
        let current = self.configuration.as_ref();
        let current = current.map_or(&none, |current| &current.tenants);
        self.api_keys.update(current, &next.tenants)
    }
}

fn reason(denied: AuthError) -> RefusalReason {
    match denied {
        AuthError::MissingKey => RefusalReason::MissingApiKey,
        AuthError::UnknownKey => RefusalReason::UnknownApiKey,
    }
}
