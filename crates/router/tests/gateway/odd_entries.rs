//! Entries among the back ends that no back end has written: deeply nested, with
//! numbers too large, with ports out of range. Gateways that read the list
//! neither end nor stop following it.

use std::net::SocketAddr;

use async_std::task::block_on;
use serde_json::{Value, json};
use threadledge_platform_stand_in::{StandInBackEnd, StandInStore, configuration};
use threadledge_soak::proxy::Proxy;
use threadledge_soak::proxy::rewriter::Rewriter;

use super::process::{Gateway, eventually};

/// Levels of the nested entries.
const LISTS: usize = 20_000;
const OBJECTS: usize = 3_000;
/// Digits of a long number.
const DIGITS: usize = 400;
/// Shortest placeholder, in bytes.
const MIN_PLACEHOLDER: usize = 40;

/// JSON in place of one field of an entry.
const FIELDS: [(&str, &[&str]); 7] = [
    (
        "Capacity",
        &[
            "1e400",
            "-1",
            "0",
            "1.5",
            "4294967295",
            "4294967296",
            "null",
            "[]",
            "true",
        ],
    ),
    (
        "ColdRemainingS",
        &[
            "1e400",
            "-1",
            "-1e300",
            "1e12",
            "1e18",
            "1e19",
            "1e300",
            "18446744073709551616",
            "null",
        ],
    ),
    (
        "Address",
        &[
            "\"127.0.0.1:70000\"",
            "\"127.0.0.1:-1\"",
            "\"127.0.0.1:0\"",
            "\"127.0.0.1\"",
            "\"127.0.0.1:99999999999999999999\"",
            "\"[::1]:9\"",
            "\"0.0.0.0:9\"",
            "\"255.255.255.255:9\"",
            "\"224.0.0.1:9\"",
            "\"\"",
            "null",
        ],
    ),
    ("Sequence", &["-1", "1e400", "18446744073709551615", "null"]),
    ("born", &["18446744073709551615", "-1", "0", "1.5", "null"]),
    (
        "Service",
        &["\"\"", "null", "7", "\"\\u0000\"", "\"\\ud800\""],
    ),
    ("State", &["\"READY\"", "null", "{}"]),
];

/// JSON in place of a whole entry.
fn whole_entries() -> Vec<String> {
    let digits = "9".repeat(DIGITS);
    let lists = "[".repeat(LISTS) + &"]".repeat(LISTS);
    let objects = "{\"a\":".repeat(OBJECTS) + "1" + &"}".repeat(OBJECTS);
    let twice = r#"{"Service":"plain","Service":"plain","Zone":"a","Zone":"b"}"#;
    let others = ["null", "[]", "{}", "\"text\"", "42", "1e400", twice];
    let others = others.map(str::to_owned);
    others.into_iter().chain([digits, lists, objects]).collect()
}

/// The odd entries, and the texts that stand for their odd parts in the store.
#[derive(Default)]
struct OddEntries {
    entries: Vec<Value>,
    /// Text that readers receive, and text in the store, of the same length.
    pairs: Vec<(String, String)>,
}

impl OddEntries {
    fn of(valid: &Value) -> OddEntries {
        let mut odd = OddEntries::default();
        for text in whole_entries() {
            let placeholder = odd.placeholder(&text);
            odd.entries.push(placeholder);
        }
        for (field, texts) in FIELDS {
            for text in texts {
                let mut entry = valid.clone();
                entry[field] = odd.placeholder(text);
                odd.entries.push(entry);
            }
        }
        odd
    }

    /// Returns a string that readers receive as `text`.
    fn placeholder(&mut self, text: &str) -> Value {
        let length = text.len().max(MIN_PLACEHOLDER);
        let number = self.pairs.len();
        let inner = format!("{number:#<width$}", width = length - 2);
        let received = format!("{text:<length$}");
        self.pairs.push((received, format!("\"{inner}\"")));
        json!(inner)
    }
}

/// Adds the odd entries of a service before or after gateways start, and checks
/// that they serve and follow the list.
#[track_caller]
fn check(service: &str, at_start: bool) {
    let store = block_on(StandInStore::start()).expect("a store");
    let start = |name: &str, keyed| block_on(StandInBackEnd::start(name, keyed)).expect("one");
    let (keyed, plain, later) = (start("k-1", true), start("p-1", false), start("p-2", false));
    // Nothing listens there.
    let nowhere = SocketAddr::from(([127, 0, 2, 1], 9));
    let odd = OddEntries::of(&plain.registration_at(nowhere, "zone-a", service, "ready"));
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let path = Proxy::start_at(any, store.address(), Rewriter::new(odd.pairs));
    let path = block_on(path).expect("a proxy");
    let add_odd = || {
        for (number, entry) in odd.entries.iter().enumerate() {
            store.put("servers", &format!("odd-{number}"), entry.clone());
        }
    };
    store.put("servers", &keyed.id, keyed.registration("keyed", "ready"));
    store.put("servers", &plain.id, plain.registration("plain", "ready"));
    store.put("config", "main", configuration(1));
    if at_start {
        add_odd();
    }
    let mut gateways = [
        Gateway::start_named("router-1", path.address()),
        // It follows the other one.
        Gateway::start_named("router-2", path.address()),
    ];
    for gateway in &mut gateways {
        gateway.await_ready();
    }
    if !at_start {
        add_odd();
    }
    store.put("servers", &later.id, later.registration("plain", "ready"));
    store.remove("servers", &plain.id);
    for gateway in &gateways {
        let before = later.runs().len();
        eventually(|| {
            let is_served = gateway.serves("plain.example", "/safe/x", None);
            (is_served && later.runs().len() > before).then_some(())
        });
        eventually(|| {
            gateway
                .serves("keyed.example", "/k/x", Some(5))
                .then_some(())
        });
        assert_eq!(gateway.readiness(), Some(200));
    }
}

#[test]
fn odd_entries_of_a_plain_service_are_skipped() {
    check("plain", true);
    check("plain", false);
}

#[test]
fn odd_entries_of_a_keyed_service_are_skipped() {
    check("keyed", true);
    check("keyed", false);
}
