//! Tests that the tenant that back ends are told is compared with the caller's.

use std::time::Instant;

use threadledge_platform_stand_in::Run;
use threadledge_soak::{Violation, tenants};

fn run(id: &str, tenant: Option<&str>, api_key: Option<&str>) -> Run {
    Run {
        id: id.to_owned(),
        method: "GET".to_owned(),
        target: "/safe/x".to_owned(),
        body: Vec::new(),
        time_left_ms: None,
        at: Instant::now(),
        key: None,
        tenant: tenant.map(str::to_owned),
        api_key: api_key.map(str::to_owned),
        until: None,
    }
}

#[test]
fn only_the_callers_tenant_without_its_key_is_accepted() {
    // The bytes of the ids add up to an even and an odd number.
    let (even, odd) = ("bb", "bc");
    let correct = [
        run(even, Some("tenant-0"), None),
        run(odd, Some("tenant-1"), None),
        run("passing-7-at-2", Some("tenant-0"), None),
    ];
    assert_eq!(tenants::check_runs(&correct), []);
    for wrong in [
        run(even, Some("tenant-1"), None),
        run(odd, None, None),
        run(even, Some("tenant-0"), Some("kept-0")),
        run("stray-c1-19", None, None),
        run("stray-c1-19", Some("tenant-0"), None),
    ] {
        let found = tenants::check_runs(std::slice::from_ref(&wrong));
        assert!(
            matches!(&found[..], [Violation::WrongTenant { id, .. }] if *id == wrong.id),
            "{wrong:?}"
        );
    }
}
