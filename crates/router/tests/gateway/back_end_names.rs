//! Working back ends under names of any characters. Each request names the back
//! end that it is for in a header.

use async_std::task::block_on;
use threadledge_platform_stand_in::{StandInBackEnd, StandInStore, configuration};

use super::process::{Gateway, TestRequest, eventually};

/// Names that a header does not carry unchanged, or that cannot be told from an
/// id with the time of a start.
const UNUSABLE: [&str; 12] = [
    "é",
    "i-m€😀",
    "i-m\u{feff}",
    "i-m\u{0}a",
    "i-m\u{7f}",
    "i-m\ta",
    "i-m\na",
    "i-m\r\nx-name: a",
    " i-m",
    "i-m ",
    "i-m/a",
    "i-m/17",
];
/// Odd names that a header carries.
const USABLE: [&str; 7] = [
    "&",
    "i-m+a",
    "i-m#a",
    "i-m%41",
    "i-m a",
    "i-m,a",
    "i-m:\"a\"",
];
/// Requests to a gateway.
const REQUESTS: u16 = 120;
/// Log event of a malformed object.
const OBJECT_MALFORMED: u64 = 413;

/// Status of a request to a service; keyed ones go to different keys.
fn status(gateway: &Gateway, service: &str, number: u16) -> u16 {
    let is_keyed = service == "keyed";
    let request = TestRequest {
        host: if is_keyed {
            "keyed.example"
        } else {
            "plain.example"
        },
        target: if is_keyed { "/k/x" } else { "/safe/x" },
        key: is_keyed.then_some(number * 500),
        ..TestRequest::default()
    };
    request.send(gateway).status().as_u16()
}

/// Starts a back end of `service` under each name.
fn start(service: &str, names: &[&str]) -> (StandInStore, Vec<StandInBackEnd>) {
    let store = block_on(StandInStore::start()).expect("a store");
    store.put("config", "main", configuration(1));
    let mut back_ends = Vec::new();
    for name in names {
        let back_end = block_on(StandInBackEnd::start(name, service == "keyed")).expect("one");
        store.put("servers", name, back_end.registration(service, "ready"));
        back_ends.push(back_end);
    }
    (store, back_ends)
}

/// Starts a gateway and waits until it serves.
fn start_gateway(store: &StandInStore, service: &str) -> Gateway {
    let mut gateway = Gateway::start(store.address());
    gateway.await_ready();
    eventually(|| (status(&gateway, service, 1) == 200).then_some(()));
    gateway
}

/// Checks that every request is served.
#[track_caller]
fn check_served(gateway: &Gateway, service: &str) {
    for number in 0..REQUESTS {
        assert_eq!(status(gateway, service, number), 200, "{service} {number}");
    }
}

/// A name outside ASCII ended the task that sent a request, so that the caller
/// got no answer; a line break in a name wrote another header into the request.
#[test]
fn back_end_that_no_request_can_name_gets_none() {
    for service in ["plain", "keyed"] {
        let (store, odd) = start(service, &UNUSABLE);
        let usable = block_on(StandInBackEnd::start("a-1", service == "keyed")).expect("one");
        store.put("servers", "a-1", usable.registration(service, "ready"));
        let gateway = start_gateway(&store, service);
        check_served(&gateway, service);
        for (back_end, name) in odd.iter().zip(UNUSABLE) {
            assert!(back_end.arrivals().is_empty(), "{service} {name:?}");
            assert_eq!(back_end.grants(), 0, "{service} {name:?}");
        }
        gateway.signal("-TERM");
        let (_, log) = gateway.wait_for_exit();
        let malformed = log.iter().filter(|line| line["event"] == OBJECT_MALFORMED);
        assert_eq!(
            malformed.count(),
            UNUSABLE.len(),
            "{service}: one line each"
        );
    }
}

#[test]
fn back_end_under_any_other_name_is_used() {
    for name in USABLE {
        let (store, odd) = start("plain", &[name]);
        let gateway = start_gateway(&store, "plain");
        assert_eq!(status(&gateway, "plain", 1), 200, "{name:?}");
        assert!(!odd[0].runs().is_empty(), "{name:?}");
    }
    let (store, odd) = start("keyed", &USABLE);
    let gateway = start_gateway(&store, "keyed");
    check_served(&gateway, "keyed");
    for (back_end, name) in odd.iter().zip(USABLE) {
        assert!(!back_end.runs().is_empty(), "{name:?}");
    }
}
