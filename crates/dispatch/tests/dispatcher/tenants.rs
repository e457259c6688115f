//! Whose callers requests come from, by the configuration in force.

use std::time::Duration;

use threadledge_dispatch::{RefusalReason, RequestHead, Settings, Step};
use threadledge_types::Timestamp;
use threadledge_types::deployment::{Configuration, KeyDigest, Tenant};

use super::support::{HOST, Station, answered, configuration, route};

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

/// Routes `safe` and `open`, which asks for no key, and tenants with a key and
/// a rank each.
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
    station: &mut Station,
    path: &str,
    api_key: Option<&KeyDigest>,
) -> Result<Option<String>, RefusalReason> {
    let head = RequestHead {
        host: HOST,
        path,
        api_key,
    };
    let admission = station.dispatcher.check_admission(station.now, &head);
    let admission = admission.map_err(|refusal| refusal.reason)?;
    Ok(admission.tenant_name().map(ToString::to_string))
}

#[test]
fn nothing_is_said_of_a_key_before_a_configuration_is_known() {
    let mut station = Station::new();
    station.dispatcher = threadledge_dispatch::Dispatcher::new(Settings::default(), 1);
    let key = digest("alpha-key");
    for api_key in [None, Some(&key)] {
        let said = admission(&mut station, "/safe/x", api_key);
        assert_eq!(said, Err(RefusalReason::NoConfiguration));
        assert_eq!(RefusalReason::NoConfiguration.status(), 503);
    }
}

#[test]
fn head_alone_says_whose_caller_it_is_and_refusals_are_counted() {
    let mut station = Station::new();
    station.configure(with_tenants(2, &[("alpha", None)]));
    let (known, unknown) = (digest("alpha-key"), digest("beta-key"));
    let alpha = Ok(Some("alpha".to_owned()));
    assert_eq!(admission(&mut station, "/safe/x", Some(&known)), alpha);
    assert_eq!(admission(&mut station, "/open/x", None), Ok(None));
    let missing = admission(&mut station, "/safe/x", None);
    assert_eq!(missing, Err(RefusalReason::MissingApiKey));
    let refused = admission(&mut station, "/safe/x", Some(&unknown));
    assert_eq!(refused, Err(RefusalReason::UnknownApiKey));
    let no_route = admission(&mut station, "/none/x", Some(&unknown));
    assert_eq!(no_route, Err(RefusalReason::NoRoute));
    let counted = &station.dispatcher.counters().refused;
    assert_eq!(counted[&RefusalReason::MissingApiKey], 1);
    assert_eq!(counted[&RefusalReason::UnknownApiKey], 1);
    assert_eq!(RefusalReason::UnknownApiKey.status(), 401);
}

/// A body may take long: the version that counts is the one at its end.
#[test]
fn key_taken_away_while_the_body_comes_is_refused() {
    let mut station = Station::new();
    station.configure(with_tenants(2, &[("alpha", None), ("beta", None)]));
    let key = digest("alpha-key");
    assert!(admission(&mut station, "/safe/x", Some(&key)).is_ok());
    station.configure(with_tenants(3, &[("beta", None)]));
    let begun = station.begin_by("safe", None, Duration::ZERO, Some(&key));
    let refusal = begun.expect_err("the key is gone");
    assert_eq!(refusal.reason, RefusalReason::UnknownApiKey);
    assert_eq!(refusal.retry_after, None);
    // An older version never brings it back.
    station.configure(with_tenants(2, &[("alpha", None), ("beta", None)]));
    assert!(
        station
            .begin_by("safe", None, Duration::ZERO, Some(&key))
            .is_err()
    );
}

#[test]
fn waiting_requests_are_served_by_the_rank_of_their_tenant() {
    let mut station = Station::new();
    let tenants = [("first", Some(0)), ("plain", None), ("last", Some(9))];
    station.configure(with_tenants(2, &tenants));
    let [first, plain, last] = ["first-key", "plain-key", "last-key"].map(digest);
    let mut sent = Vec::new();
    loop {
        let begun = station
            .begin_by("safe", None, Duration::ZERO, Some(&last))
            .expect("known");
        match station.next(&begun) {
            Step::Send(attempt) => {
                let now = station.now;
                assert!(station.dispatcher.may_send(now, begun.id, attempt.id));
                sent.push((begun, attempt));
            }
            _ => break,
        }
    }
    let plain = station
        .begin_by("safe", None, Duration::ZERO, Some(&plain))
        .expect("known");
    station.next(&plain);
    let first = station
        .begin_by("safe", None, Duration::ZERO, Some(&first))
        .expect("known");
    station.next(&first);
    let (begun, attempt) = sent.remove(0);
    station.after(10);
    station.end(&begun, &attempt, answered());
    let woken = station.dispatcher.take_woken();
    assert_eq!(woken[..2], [first.id, plain.id]);
}

/// A router that nobody has told for too long which keys there are.
fn unsure(fail_closed: bool) -> Station {
    let mut station = Station::new();
    let settings = Settings {
        api_key_validity: Some(Duration::from_secs(5)),
        fail_closed,
        ..Settings::default()
    };
    station.dispatcher = threadledge_dispatch::Dispatcher::new(settings, 1);
    station.configure(with_tenants(2, &[("alpha", None)]));
    let confirmed = station.now;
    station.dispatcher.confirm_api_keys(confirmed);
    station.after(5_000);
    assert!(admission(&mut station, "/safe/x", Some(&digest("alpha-key"))).is_ok());
    station.after(1);
    station
}

#[test]
fn unknown_key_gets_no_401_from_a_router_that_may_be_behind() {
    let mut station = unsure(false);
    let [known, unknown] = ["alpha-key", "beta-key"].map(digest);
    assert!(admission(&mut station, "/safe/x", Some(&known)).is_ok());
    let said = admission(&mut station, "/safe/x", Some(&unknown));
    assert_eq!(said, Err(RefusalReason::KeysOutOfDate));
    assert_eq!(RefusalReason::KeysOutOfDate.status(), 503);
    // Whether a key is asked for is the route's, whatever became of keys.
    let said = admission(&mut station, "/safe/x", None);
    assert_eq!(said, Err(RefusalReason::MissingApiKey));
    let now = station.now;
    station.dispatcher.confirm_api_keys(now);
    let said = admission(&mut station, "/safe/x", Some(&unknown));
    assert_eq!(said, Err(RefusalReason::UnknownApiKey));
}

#[test]
fn router_that_fails_closed_refuses_known_keys_until_it_is_sure_again() {
    let mut station = unsure(true);
    let key = digest("alpha-key");
    let said = admission(&mut station, "/safe/x", Some(&key));
    assert_eq!(said, Err(RefusalReason::KeysOutOfDate));
    assert!(
        station
            .begin_by("safe", None, Duration::ZERO, Some(&key))
            .is_err()
    );
    assert_eq!(admission(&mut station, "/open/x", None), Ok(None));
    let now = station.now;
    station.dispatcher.confirm_api_keys(now);
    // What was heard before is no news.
    station.dispatcher.confirm_api_keys(Timestamp::ZERO);
    assert!(admission(&mut station, "/safe/x", Some(&key)).is_ok());
}
