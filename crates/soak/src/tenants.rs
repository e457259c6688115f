//! Tenants of the soak: every request carries an API key, and each version of
//! the configuration removes one key and adds one.

use serde_json::{Value, json};
use threadledge_platform_stand_in::{
    Run, changing_configuration, with_tenants, with_unsafe_keyed_route,
};

use crate::caller::{self, Kind};
use crate::check::Violation;
use crate::crashing;

/// The tenants, each with its permanent key.
const TENANTS: [(&str, &str); 2] = [("tenant-0", "kept-0"), ("tenant-1", "kept-1")];
/// Prefix of the ids of requests that carry a key which no tenant ever had.
pub(crate) const UNKNOWN_KEY_PREFIX: &str = "stray-";
/// One request in this many carries an unknown key.
pub(crate) const UNKNOWN_KEY_INTERVAL: u64 = 20;
const UNKNOWN_KEY: &str = "nobodys";
/// Prefix of the ids of requests that carry the key of a single configuration
/// version.
pub(crate) const PASSING_KEY_PREFIX: &str = "passing-";

/// API key that only one version of the configuration contains.
pub(crate) fn passing_key(version: u64) -> String {
    format!("passing-{version}")
}

/// One version of the configuration.
pub(crate) fn configuration(version: u64) -> Value {
    let passing = passing_key(version);
    let [(first, kept), (second, other)] = TENANTS;
    let tenants = [
        (first, &[kept, passing.as_str()][..], None),
        (second, &[other][..], Some(0)),
    ];
    let wanted = with_tenants(changing_configuration(version), &tenants);
    with_unsafe_keyed_route(wanted, Kind::UnsafeKeyed.host_and_path().1)
}

/// The same, with time for requests that wait at busy owners of keys.
pub(crate) fn patient_configuration(version: u64) -> Value {
    let mut wanted = configuration(version);
    let timeout = caller::PATIENT_DEADLINE.as_secs_f64();
    wanted["Routes"]["unsafe-keyed"]["TimeoutS"] = json!(timeout);
    wanted
}

/// Returns the tenant that sends a request and its API key, or `None` for
/// requests with an unknown key.
fn tenant_and_key(id: &str) -> Option<(&'static str, &'static str)> {
    let number: usize = match id.starts_with(crashing::REQUEST_NAME) {
        // All attempts come from the same tenant.
        true => 0,
        false => id.bytes().map(usize::from).sum(),
    };
    (!id.starts_with(UNKNOWN_KEY_PREFIX)).then(|| TENANTS[number % TENANTS.len()])
}

/// Returns the API key that a request carries.
pub(crate) fn api_key_for(id: &str) -> &'static str {
    tenant_and_key(id).map_or(UNKNOWN_KEY, |(_, key)| key)
}

/// Checks the tenant that back ends were told for each request that they ran.
pub fn check_runs(runs: &[Run]) -> Vec<Violation> {
    let mut found = Vec::new();
    for run in runs {
        // These requests carry a key of the first tenant.
        let passing = run.id.starts_with(PASSING_KEY_PREFIX);
        let wanted = match passing {
            true => Some(TENANTS[0].0),
            false => tenant_and_key(&run.id).map(|(tenant, _)| tenant),
        };
        let matches = wanted.is_some() && run.tenant.as_deref() == wanted;
        if !matches || run.api_key.is_some() {
            found.push(Violation::WrongTenant {
                id: run.id.clone(),
                tenant: run.tenant.clone(),
                api_key_forwarded: run.api_key.is_some(),
            });
        }
    }
    found
}
