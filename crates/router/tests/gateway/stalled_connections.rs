//! Every open connection of a gateway stalls for good, while new connections
//! work.

use std::net::SocketAddr;
use std::time::Instant;

use async_std::task::block_on;
use futures::future::join_all;
use threadledge_platform_stand_in::{
    KeyChange, KeyEvent, StandInBackEnd, StandInStore, configuration,
};

use super::process::{Gateway, TestRequest, eventually};
use super::stalling_proxy::StallingProxy;

/// Concurrent requests after which there are several idle connections to each
/// back end.
const WARM_UP_REQUESTS: u16 = 32;
/// Requests sent one after the other once the connections have stalled.
const LATER_REQUESTS: usize = 12;
/// Most calls to the store before a change is known: a few seconds' worth, far
/// fewer than in the time of a watch that waits in vain.
const MAX_CALLS: u64 = 20;
/// Renewals that show that orders reach the back ends again.
const RENEWALS: u64 = 4;
/// Back ends of each service.
const BACK_ENDS_PER_SERVICE: usize = 2;

/// A gateway whose connections to the store and the back ends all lead through
/// proxies.
struct World {
    store: StandInStore,
    back_ends: Vec<StandInBackEnd>,
    proxies: Vec<StallingProxy>,
    gateway: Gateway,
}

impl World {
    /// Starts everything and waits until there are idle connections to every
    /// back end.
    fn start() -> World {
        let store = block_on(StandInStore::start()).expect("a store");
        let mut proxies = vec![StallingProxy::start(store.address())];
        let start = |name: &str, keyed| block_on(StandInBackEnd::start(name, keyed)).expect("one");
        let back_ends = vec![
            start("k-1", true),
            start("k-2", true),
            start("p-1", false),
            start("p-2", false),
        ];
        for back_end in &back_ends {
            let service = if back_end.keyed { "keyed" } else { "plain" };
            let proxy = StallingProxy::start(back_end.address());
            let entry = back_end.registration_at(proxy.address(), "zone-a", service, "ready");
            store.put("servers", &back_end.id, entry);
            proxies.push(proxy);
        }
        let mut gateway = Gateway::start(proxies[0].address());
        store.put("config", "main", configuration(1));
        gateway.await_ready();
        let world = World {
            store,
            back_ends,
            proxies,
            gateway,
        };
        eventually(|| (world.held_keys() == keys().len()).then_some(()));
        block_on(warm_up(world.gateway.callers));
        world
    }

    fn stall_connections(&self) {
        for proxy in &self.proxies {
            proxy.stall();
        }
    }

    /// Number of sampled keys that some back end holds.
    fn held_keys(&self) -> usize {
        let back_ends = self.back_ends.iter();
        back_ends.map(|each| each.held(&keys()).len()).sum()
    }

    /// Sampled keys whose hold expired, with the back end: the hold was neither
    /// renewed nor released in time.
    fn expired(&self) -> Vec<(String, u16)> {
        let keys = keys();
        let lapsed = |back_end: &StandInBackEnd| {
            let events = back_end.key_events();
            let id = back_end.id.clone();
            let expired = keys.iter().filter(move |key| expired(&events, **key));
            expired
                .map(move |key| (id.clone(), *key))
                .collect::<Vec<_>>()
        };
        self.back_ends.iter().flat_map(lapsed).collect()
    }

    /// Sends requests like `request` one after the other and returns their
    /// statuses.
    fn send_later_requests(&self, request: &TestRequest<'_>) -> Vec<u16> {
        let ids = (0..LATER_REQUESTS).map(|index| format!("later-{index}"));
        let answers = ids.map(|id| {
            TestRequest {
                id: &id,
                ..*request
            }
            .send(&self.gateway)
        });
        answers.map(|answer| answer.status().as_u16()).collect()
    }
}

fn keys() -> Vec<u16> {
    (0..=u16::MAX).step_by(4_096).collect()
}

/// Whether a hold of `key` expired.
fn expired(events: &[KeyEvent], key: u16) -> bool {
    let mut until: Option<Instant> = None;
    for event in events {
        let late = until.is_some_and(|until| event.at > until);
        match event.change {
            KeyChange::Granted {
                first, last, hold, ..
            } if first <= key && key <= last => until = Some(event.at + hold),
            KeyChange::Released { first, last } if first <= key && key <= last => until = None,
            _ => continue,
        }
        if late {
            return true;
        }
    }
    until.is_some_and(|until| Instant::now() > until)
}

fn plain() -> TestRequest<'static> {
    TestRequest::default()
}

fn keyed(key: u16) -> TestRequest<'static> {
    TestRequest {
        host: "keyed.example",
        target: "/k/x",
        key: Some(key),
        ..TestRequest::default()
    }
}

/// Sends many requests at once. Some may be refused, which does not matter
/// here.
async fn warm_up(callers: SocketAddr) {
    let requests: Vec<TestRequest<'_>> = (0..WARM_UP_REQUESTS)
        .flat_map(|number| [plain(), keyed(number * (u16::MAX / WARM_UP_REQUESTS))])
        .collect();
    join_all(requests.iter().map(|request| request.send_async(callers))).await;
}

#[track_caller]
fn assert_lost_at_most(statuses: &[u16], lost: usize) {
    // The gateway chooses which request goes to which back end first.
    let unserved = statuses.iter().filter(|status| **status != 200).count();
    assert!(unserved <= lost, "{statuses:?}");
}

#[test]
fn each_key_loses_at_most_one_request_to_stalled_connections() {
    let world = World::start();
    world.stall_connections();
    let owner = |key| world.back_ends.iter().position(|each| each.holds(key));
    let key = 5;
    let other = keys().into_iter().find(|each| owner(*each) != owner(key));
    for key in [Some(key), other].into_iter().flatten() {
        assert_lost_at_most(&world.send_later_requests(&keyed(key)), 1);
    }
}

#[test]
fn repeatable_requests_lose_at_most_one_to_stalled_connections() {
    let world = World::start();
    world.stall_connections();
    assert_lost_at_most(&world.send_later_requests(&plain()), 1);
}

#[test]
fn unsafe_requests_lose_at_most_one_per_back_end_to_stalled_connections() {
    let world = World::start();
    world.stall_connections();
    let request = TestRequest {
        method: "POST",
        target: "/unsafe/x",
        ..TestRequest::default()
    };
    assert_lost_at_most(&world.send_later_requests(&request), BACK_ENDS_PER_SERVICE);
}

/// Calls to the store serve as the measure of time: a relay makes about two a
/// second.
#[test]
fn keys_stay_held_and_configurations_arrive_after_connections_stall() {
    let world = World::start();
    let calls = world.store.calls();
    let grants = |world: &World| -> Vec<u64> {
        let keyed = world.back_ends.iter().filter(|each| each.keyed);
        keyed.map(StandInBackEnd::grants).collect()
    };
    let before = grants(&world);
    world.stall_connections();
    world.store.put("config", "main", configuration(2));
    // A key that moves has no holder for a moment, which is allowed.
    let assert_none_expired = || assert_eq!(world.expired(), []);
    eventually(|| {
        assert_none_expired();
        let version = "threadledge_gateway_configuration_version 2";
        world.gateway.metrics().contains(version).then_some(())
    });
    let calls = world.store.calls() - calls;
    assert!(calls <= MAX_CALLS, "{calls} calls until it was known");
    eventually(|| {
        assert_none_expired();
        let after = grants(&world);
        let renewed = |(before, after): (&u64, &u64)| *after >= before + RENEWALS;
        let all = before.iter().zip(&after).all(renewed) && world.held_keys() == keys().len();
        all.then_some(())
    });
}
