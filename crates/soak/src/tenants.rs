//! Tenants of the soak: every request shows a key, and each version of the
//! configuration takes one away and adds one.

use serde_json::Value;
use threadledge_platform_stand_in::{Run, changing_configuration, with_tenants};

use crate::check::Violation;
use crate::crashing;

/// The tenants with the key that each keeps.
const TENANTS: [(&str, &str); 2] = [("tenant-0", "kept-0"), ("tenant-1", "kept-1")];
/// How ids of requests begin that show a key which nobody ever held.
pub(crate) const STRAY: &str = "stray-";
/// One request in so many is such a one.
pub(crate) const STRAY_EACH: u64 = 20;
const NOBODYS: &str = "nobodys";
/// How ids of requests begin that show a passing key.
pub(crate) const PASSING: &str = "passing-";

/// The key that only one version of the configuration has.
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
    with_tenants(changing_configuration(version), &tenants)
}

/// The tenant whose caller sends a request, and the key that it shows.
fn caller_of(id: &str) -> Option<(&'static str, &'static str)> {
    let number: usize = match id.starts_with(crashing::NAME) {
        // All tries of it are one caller's.
        true => 0,
        false => id.bytes().map(usize::from).sum(),
    };
    (!id.starts_with(STRAY)).then(|| TENANTS[number % TENANTS.len()])
}

/// The key that a request shows.
pub(crate) fn key_of(id: &str) -> &'static str {
    caller_of(id).map_or(NOBODYS, |(_, key)| key)
}

/// Checks what back ends were told of the callers of what they ran.
pub fn check(runs: &[Run]) -> Vec<Violation> {
    let mut found = Vec::new();
    for run in runs {
        // Those show the key that they are about.
        let passing = run.id.starts_with(PASSING);
        let wanted = match passing {
            true => Some(TENANTS[0].0),
            false => caller_of(&run.id).map(|(tenant, _)| tenant),
        };
        let sound = wanted.is_some() && run.tenant.as_deref() == wanted;
        if !sound || run.api_key.is_some() {
            found.push(Violation::WrongTenant {
                id: run.id.clone(),
                tenant: run.tenant.clone(),
                key_shown: run.api_key.is_some(),
            });
        }
    }
    found
}
