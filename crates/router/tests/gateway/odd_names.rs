//! Entries of another writer, under names of any characters, in lists of several
//! pages. Gateways that are started again while such an entry stands serve with
//! the others.

use std::net::SocketAddr;

use async_std::task::block_on;
use serde_json::json;
use threadledge_platform_stand_in::{ODD_NAMES, StandInBackEnd, StandInStore, configuration};
use threadledge_soak::proxy::Proxy;
use threadledge_soak::proxy::rewriter::Rewriter;

use super::process::{Gateway, World, eventually};

/// Requests of each kind to each gateway.
const REQUESTS: usize = 20;
/// Most times that all gateways together may list the back ends until they
/// serve.
const MAX_LISTS: u64 = 8;

/// Log event of a collection that cannot be watched.
const STORE_LOST: u64 = 410;

/// The kinds of all entries that gateways read.
const KINDS: [&str; 8] = [
    "servers",
    "config",
    "evacuations",
    "threadledge-leases",
    "threadledge-ownership",
    "threadledge-held-requests",
    "threadledge-limit-holders",
    "threadledge-relays",
];

/// Number of list calls for back ends that a gateway made.
fn list_calls(gateway: &Gateway) -> u64 {
    let metrics = gateway.metrics();
    let lines = metrics.lines().filter(|line| {
        line.starts_with("threadledge_gateway_store_calls_total{")
            && line.contains("call=\"list")
            && line.contains("collection=\"back-ends\"")
    });
    let counts = lines.map(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
    counts.map(|count| count.expect("a count")).sum()
}

/// Kills all gateways, adds entries of these kinds and names and starts them
/// again.
#[track_caller]
fn check(kinds: &[&str], names: &[&str]) {
    let store = block_on(StandInStore::start()).expect("a store");
    store.set_page_size(1);
    let start = |name: &str, keyed| block_on(StandInBackEnd::start(name, keyed)).expect("one");
    let (keyed, plain) = (start("a-keyed", true), start("z-plain", false));
    store.put("servers", &keyed.id, keyed.registration("keyed", "ready"));
    store.put("servers", &plain.id, plain.registration("plain", "ready"));
    store.put("config", "main", configuration(1));
    let start_all = || {
        let mut gateways =
            ["router-1", "router-2"].map(|name| Gateway::start_named(name, store.address()));
        gateways.iter_mut().for_each(Gateway::await_ready);
        gateways
    };
    drop(start_all());
    for kind in kinds {
        for name in names {
            store.put(kind, name, json!({"note": "not ours"}));
        }
    }
    let gateways = start_all();
    for gateway in &gateways {
        for (host, target, key) in [
            ("plain.example", "/safe/x", None),
            ("keyed.example", "/k/x", Some(5)),
        ] {
            eventually(|| gateway.serves(host, target, key).then_some(()));
            let served = (0..REQUESTS).filter(|_| gateway.serves(host, target, key));
            assert_eq!(served.count(), REQUESTS, "{host} with {names:?}");
        }
    }
    let pages = u64::try_from(names.len()).expect("few") + 2;
    // A gateway may get the back ends from the other one.
    let calls: u64 = gateways.iter().map(list_calls).sum();
    let bound = pages..=MAX_LISTS * pages;
    assert!(bound.contains(&calls), "{calls} with {names:?}");
}

#[test]
fn name_with_an_ampersand_holds_up_nothing() {
    check(&["servers"], &["i-m&a"]);
}

#[test]
fn name_with_a_plus_sign_holds_up_nothing() {
    check(&["servers"], &["i-m+a"]);
}

#[test]
fn name_with_a_number_sign_holds_up_nothing() {
    check(&["servers"], &["i-m#a"]);
}

#[test]
fn name_with_a_per_cent_sign_holds_up_nothing() {
    check(&["servers"], &["i-m%41"]);
}

#[test]
fn name_with_a_blank_holds_up_nothing() {
    check(&["servers"], &["i-m a"]);
}

#[test]
fn name_with_a_line_break_holds_up_nothing() {
    check(&["servers"], &["i-m\r\na"]);
}

#[test]
fn odd_names_together_hold_up_nothing() {
    check(&["servers"], &ODD_NAMES);
}

#[test]
fn odd_names_of_every_kind_hold_up_nothing() {
    check(&KINDS, &ODD_NAMES);
}

#[test]
fn odd_names_that_a_watch_brings_hold_up_nothing() {
    let world = World::start();
    for kind in KINDS {
        for name in ODD_NAMES {
            world.store.put(kind, name, json!({"note": "not ours"}));
        }
    }
    let later = block_on(StandInBackEnd::start("z-later", false)).expect("one");
    let registration = later.registration("plain", "ready");
    world.store.put("servers", &later.id, registration);
    for back_end in &world.plain {
        world.store.remove("servers", &back_end.id);
    }
    eventually(|| {
        let is_served = world.gateway.serves("plain.example", "/safe/x", None);
        (is_served && !later.runs().is_empty()).then_some(())
    });
    assert!(world.gateway.serves("keyed.example", "/k/x", Some(5)));
}

/// The list ended at the entry and counted as whole, so that the back end after
/// it counted as gone.
#[test]
fn list_that_cannot_be_continued_changes_nothing_and_is_logged() {
    let store = block_on(StandInStore::start()).expect("a store");
    store.set_page_size(1);
    let start = |name: &str| block_on(StandInBackEnd::start(name, false)).expect("one");
    let (first, last, later) = (start("a-1"), start("z-1"), start("z-2"));
    store.put("servers", &first.id, first.registration("other", "ready"));
    store.put("servers", &last.id, last.registration("plain", "ready"));
    store.put("config", "main", configuration(1));
    let nameless = (r#""Nome":"m-1""#.to_owned(), r#""Name":"m-1""#.to_owned());
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let path = Proxy::start_at(any, store.address(), Rewriter::new([nameless]));
    let path = block_on(path).expect("a proxy");
    let mut gateway = Gateway::start(path.address());
    gateway.await_ready();
    eventually(|| {
        gateway
            .serves("plain.example", "/safe/x", None)
            .then_some(())
    });
    let before = list_calls(&gateway);
    store.put("servers", "m-1", json!({"note": "not ours"}));
    // The gateway has to list again.
    store.compact();
    // The first page and the one without a name, twice.
    eventually(|| (list_calls(&gateway) >= before + 4).then_some(()));
    for _ in 0..REQUESTS {
        assert!(gateway.serves("plain.example", "/safe/x", None));
    }
    store.remove("servers", "m-1");
    store.put("servers", &later.id, later.registration("plain", "ready"));
    store.remove("servers", &last.id);
    eventually(|| {
        let is_served = gateway.serves("plain.example", "/safe/x", None);
        (is_served && !later.runs().is_empty()).then_some(())
    });
    gateway.signal("-TERM");
    let (_, log) = gateway.wait_for_exit();
    let lost = log.iter().filter(|line| line["event"] == STORE_LOST);
    let causes: Vec<&str> = lost.filter_map(|line| line["cause"].as_str()).collect();
    let stuck = r#"StuckList { after: "a-1" }"#;
    assert!(causes.contains(&stuck), "{causes:?}");
}

/// The coordinator's lease and the owners of keys are stored under the name of
/// their service. They were looked for under another one, so that no back end
/// ever got keys.
#[test]
fn keyed_service_of_any_name_is_served() {
    for service in ["key ed", "k/e#y?a=%65", "schlüssel"] {
        let store = block_on(StandInStore::start()).expect("a store");
        let back_end = block_on(StandInBackEnd::start("k-1", true)).expect("one");
        let registration = back_end.registration(service, "ready");
        store.put("servers", &back_end.id, registration);
        let mut wanted = configuration(1);
        let settings = wanted["Services"]["keyed"].take();
        wanted["Services"] = json!({service: settings});
        let mut route = wanted["Routes"]["keyed"].take();
        route["Service"] = json!(service);
        wanted["Routes"] = json!({"keyed": route});
        store.put("config", "main", wanted);
        let mut gateway = Gateway::start(store.address());
        gateway.await_ready();
        eventually(|| {
            gateway
                .serves("keyed.example", "/k/x", Some(5))
                .then_some(())
        });
    }
}
