//! The tenants that requests belong to, according to the configuration in
//! force.

use std::time::Duration;

use threadledge_dispatch::{RefusalReason, RequestHead, Settings, Step};
use threadledge_types::Timestamp;
use threadledge_types::deployment::{Configuration, KeyDigest, Tenant};

use super::support::{HOST, Harness, answered, configuration, route};

fn digest(key: &str) -> KeyDigest {
    KeyDigest::of(key.as_bytes())
}

fn tenant(key: &str, priority: Option<u32>) -> Tenant {
    Tenant {
        keys: [digest(key)].into(),
        priority,
        ..Tenant::default()
    }
}

/// The route `safe`, the route `open`, which requires no API key, and tenants
/// with one key and a priority each.
fn with_tenants(version: u64, tenants: &[(&str, Option<u32>)]) -> Configuration {
    let mut open = route("open", "plain", true);
    open.public = true;
    let mut wanted = configuration(version, vec![route("safe", "plain", true), open]);
    for (name, priority) in tenants {
        let tenant = tenant(&format!("{name}-key"), *priority);
        wanted.tenants.insert((*name).into(), tenant);
    }
    wanted
}

fn admission(
    harness: &mut Harness,
    path: &str,
    api_key: Option<&KeyDigest>,
) -> Result<Option<String>, RefusalReason> {
    let head = RequestHead {
        host: HOST,
        path,
        api_key,
    };
    let admission = harness.dispatcher.check_admission(harness.now, &head);
    let admission = admission.map_err(|refusal| refusal.reason)?;
    Ok(admission.tenant_name().map(ToString::to_string))
}

#[test]
fn admission_without_a_configuration_reveals_nothing_about_a_key() {
    let mut harness = Harness::new();
    harness.dispatcher = threadledge_dispatch::Dispatcher::new(Settings::default(), 1);
    let key = digest("alpha-key");
    for api_key in [None, Some(&key)] {
        let said = admission(&mut harness, "/safe/x", api_key);
        assert_eq!(said, Err(RefusalReason::NoConfiguration));
        assert_eq!(RefusalReason::NoConfiguration.status(), 503);
    }
}

#[test]
fn admission_needs_only_the_head_and_counts_refusals() {
    let mut harness = Harness::new();
    harness.configure(with_tenants(2, &[("alpha", None)]));
    let (known, unknown) = (digest("alpha-key"), digest("beta-key"));
    let alpha = Ok(Some("alpha".to_owned()));
    assert_eq!(admission(&mut harness, "/safe/x", Some(&known)), alpha);
    assert_eq!(admission(&mut harness, "/open/x", None), Ok(None));
    let missing = admission(&mut harness, "/safe/x", None);
    assert_eq!(missing, Err(RefusalReason::MissingApiKey));
    let refused = admission(&mut harness, "/safe/x", Some(&unknown));
    assert_eq!(refused, Err(RefusalReason::UnknownApiKey));
    let no_route = admission(&mut harness, "/none/x", Some(&unknown));
    assert_eq!(no_route, Err(RefusalReason::NoRoute));
    let counted = &harness.dispatcher.counters().refused;
    assert_eq!(counted[&RefusalReason::MissingApiKey], 1);
    assert_eq!(counted[&RefusalReason::UnknownApiKey], 1);
    assert_eq!(RefusalReason::UnknownApiKey.status(), 401);
}

/// A body may take long to arrive: the configuration at its end decides.
#[test]
fn key_revoked_while_the_body_arrives_is_refused() {
    let mut harness = Harness::new();
    harness.configure(with_tenants(2, &[("alpha", None), ("beta", None)]));
    let key = digest("alpha-key");
    assert!(admission(&mut harness, "/safe/x", Some(&key)).is_ok());
    harness.configure(with_tenants(3, &[("beta", None)]));
    let begun = harness.begin_by("safe", None, Duration::ZERO, Some(&key));
    let refusal = begun.expect_err("the key is gone");
    assert_eq!(refusal.reason, RefusalReason::UnknownApiKey);
    assert_eq!(refusal.retry_after, None);
    // An older version never restores the key.
    harness.configure(with_tenants(2, &[("alpha", None), ("beta", None)]));
    assert!(
        harness
            .begin_by("safe", None, Duration::ZERO, Some(&key))
            .is_err()
    );
}

#[test]
fn waiting_requests_are_served_by_the_priority_of_their_tenant() {
    let mut harness = Harness::new();
    let tenants = [("first", Some(0)), ("plain", None), ("last", Some(9))];
    harness.configure(with_tenants(2, &tenants));
    let [first, plain, last] = ["first-key", "plain-key", "last-key"].map(digest);
    let mut sent = Vec::new();
    loop {
        let begun = harness
            .begin_by("safe", None, Duration::ZERO, Some(&last))
            .expect("known");
        match harness.next(&begun) {
            Step::Send(attempt) => {
                let now = harness.now;
                assert!(harness.dispatcher.may_send(now, begun.id, attempt.id));
                sent.push((begun, attempt));
            }
            _ => break,
        }
    }
    let plain = harness
        .begin_by("safe", None, Duration::ZERO, Some(&plain))
        .expect("known");
    harness.next(&plain);
    let first = harness
        .begin_by("safe", None, Duration::ZERO, Some(&first))
        .expect("known");
    harness.next(&first);
    let (begun, attempt) = sent.remove(0);
    harness.advance(10);
    harness.end(&begun, &attempt, answered());
    let woken = harness.dispatcher.take_woken();
    assert_eq!(woken[..2], [first.id, plain.id]);
}

/// A router whose API keys have not been confirmed for too long.
fn harness_with_stale_keys(fail_closed: bool) -> Harness {
    let mut harness = Harness::new();
    let settings = Settings {
        api_key_validity: Some(Duration::from_secs(5)),
        fail_closed,
        ..Settings::default()
    };
    harness.dispatcher = threadledge_dispatch::Dispatcher::new(settings, 1);
    harness.configure(with_tenants(2, &[("alpha", None)]));
    let confirmed = harness.now;
    harness.dispatcher.confirm_api_keys(confirmed);
    harness.advance(5_000);
    assert!(admission(&mut harness, "/safe/x", Some(&digest("alpha-key"))).is_ok());
    harness.advance(1);
    harness
}

#[test]
fn unknown_key_gets_no_401_from_a_router_with_stale_keys() {
    let mut harness = harness_with_stale_keys(false);
    let [known, unknown] = ["alpha-key", "beta-key"].map(digest);
    assert!(admission(&mut harness, "/safe/x", Some(&known)).is_ok());
    let said = admission(&mut harness, "/safe/x", Some(&unknown));
    assert_eq!(said, Err(RefusalReason::KeysOutOfDate));
    assert_eq!(RefusalReason::KeysOutOfDate.status(), 503);
    // Whether a key is required depends on the route, whatever the state of the
    // keys.
    let said = admission(&mut harness, "/safe/x", None);
    assert_eq!(said, Err(RefusalReason::MissingApiKey));
    let now = harness.now;
    harness.dispatcher.confirm_api_keys(now);
    let said = admission(&mut harness, "/safe/x", Some(&unknown));
    assert_eq!(said, Err(RefusalReason::UnknownApiKey));
}

#[test]
fn router_that_fails_closed_refuses_known_keys_until_they_are_confirmed_again() {
    let mut harness = harness_with_stale_keys(true);
    let key = digest("alpha-key");
    let said = admission(&mut harness, "/safe/x", Some(&key));
    assert_eq!(said, Err(RefusalReason::KeysOutOfDate));
    assert!(
        harness
            .begin_by("safe", None, Duration::ZERO, Some(&key))
            .is_err()
    );
    assert_eq!(admission(&mut harness, "/open/x", None), Ok(None));
    let now = harness.now;
    harness.dispatcher.confirm_api_keys(now);
    // An older confirmation changes nothing.
    harness.dispatcher.confirm_api_keys(Timestamp::ZERO);
    assert!(admission(&mut harness, "/safe/x", Some(&key)).is_ok());
}
