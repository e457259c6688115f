//! Decides from a request's head whether its caller may use its route.

use std::collections::BTreeMap;

use threadledge_tenants::{Admission, AuthError, KeyChanges, TenantPolicy, authorize};
use threadledge_types::Timestamp;
use threadledge_types::deployment::{Configuration, KeyDigest};

use super::{Dispatcher, refusal};
use crate::outcome::{Refusal, RefusalReason};
use crate::request::RequestHead;

impl Dispatcher {
    /// Decides before anything of the body is read. An exchange that begins
    /// later is held to the configuration that is in force then.
    ///
    /// # Errors
    ///
    /// The refusal with which the request is answered at once.
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

    /// Number of callers' keys in the configuration in force.
    pub fn api_key_count(&self) -> usize {
        self.keys.len()
    }

    /// The keys that are known were surely in force at `at`: the store said so
    /// then, to this router or to one that told it.
    pub fn confirm_api_keys(&mut self, at: Timestamp) {
        self.keys_confirmed = self.keys_confirmed.max(at);
    }

    /// The tenant that holds a key, by the configuration in force.
    pub fn caller_of_key(&self, key: &KeyDigest) -> Option<&TenantPolicy> {
        self.keys.find(key).map(AsRef::as_ref)
    }

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
        let asks_keys = !configuration.tenants.is_empty();
        let caller = authorize(&self.keys, asks_keys, route, head.api_key);
        let unsure = self.api_keys_stale(now);
        let caller = match caller {
            Err(AuthError::UnknownKey) if unsure => Err(RefusalReason::KeysOutOfDate),
            Err(denied) => Err(reason(denied)),
            Ok(Some(_)) if unsure && self.settings.fail_closed => Err(RefusalReason::KeysOutOfDate),
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

    /// Whether it is too long since it was sure which keys are known.
    pub fn api_keys_stale(&self, now: Timestamp) -> bool {
        let unconfirmed = now.since(self.keys_confirmed);
        let api_key_validity = self.settings.api_key_validity;
        api_key_validity.is_some_and(|api_key_validity| unconfirmed > api_key_validity)
    }

    pub(super) fn count_refusal(&mut self, refusal: &Refusal) {
        *self.counters.refused.entry(refusal.reason).or_default() += 1;
    }

    /// Goes on to the keys of a later configuration.
    pub(super) fn follow_keys(&mut self, later: &Configuration) -> KeyChanges {
        let none = BTreeMap::new();
        let known = self.configuration.as_ref();
        let known = known.map_or(&none, |known| &known.tenants);
        self.keys.update(known, &later.tenants)
    }
}

fn reason(denied: AuthError) -> RefusalReason {
    match denied {
        AuthError::MissingKey => RefusalReason::MissingApiKey,
        AuthError::UnknownKey => RefusalReason::UnknownApiKey,
    }
}
