//! Decides from a request's head whether its caller may use its route.

use std::collections::BTreeMap;

use threadledge_tenants::{Admission, Denied, admit};
use threadledge_types::deployment::Configuration;

use super::{Dispatcher, refusal};
use crate::outcome::{Refusal, RefusalReason};
use crate::request::Call;

impl Dispatcher {
    /// Decides before anything of the body is read. An exchange that begins
    /// later is held to the configuration that is in force then.
    ///
    /// # Errors
    ///
    /// The refusal with which the request is answered at once.
    pub fn admission(&mut self, call: &Call<'_>) -> Result<Admission, Refusal> {
        let admission = self.admitted(call);
        if let Err(refusal) = &admission {
            self.counters.begun += 1;
            self.count_refusal(refusal);
        }
        admission
    }

    /// Number of callers' keys in the configuration in force.
    pub fn keys(&self) -> usize {
        self.keys.len()
    }

    pub(super) fn admitted(&self, call: &Call<'_>) -> Result<Admission, Refusal> {
        let Some(configuration) = &self.configuration else {
            return Err(refusal(RefusalReason::NoConfiguration));
        };
        let Some(route) = self.routes.find(call.host, call.path) else {
            return Err(refusal(RefusalReason::NoRoute));
        };
        let asks_keys = !configuration.tenants.is_empty();
        let caller = admit(&self.keys, asks_keys, route, call.api_key);
        let caller = caller.map_err(|denied| refusal(reason(denied)))?;
        let admission = Admission {
            version: configuration.version,
            route: route.clone(),
            caller: caller.cloned(),
        };
        let regions = admission.allowed_regions();
        if regions.is_some_and(|regions| regions.is_empty()) {
            return Err(refusal(RefusalReason::OutsideRegions));
        }
        Ok(admission)
    }

    pub(super) fn count_refusal(&mut self, refusal: &Refusal) {
        *self.counters.refused.entry(refusal.reason).or_default() += 1;
    }

    /// Goes on to the keys of a later configuration.
    pub(super) fn follow_keys(&mut self, later: &Configuration) {
        let none = BTreeMap::new();
        let known = self.configuration.as_ref();
        let known = known.map_or(&none, |known| &known.tenants);
        self.keys.follow(known, &later.tenants);
    }
}

fn reason(denied: Denied) -> RefusalReason {
    match denied {
        Denied::NoKey => RefusalReason::MissingApiKey,
        Denied::UnknownKey => RefusalReason::UnknownApiKey,
    }
}
