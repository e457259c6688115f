//! Every open connection of a gateway falls silent for good, while new ones
//! work.

use std::net::SocketAddr;
use std::time::Instant;

use async_std::task::block_on;
use futures::future::join_all;
use threadledge_platform_stand_in::{
    KeyChange, KeyEvent, StandInBackEnd, StandInStore, configuration,
};

use super::process::{Ask, Gateway, eventually};
use super::stalling_proxy::StallingProxy;

/// Requests at once after which several connections to each back end are at
/// rest.
const AT_REST: u16 = 32;
/// Requests after the silence, one after the other.
const AFTERWARDS: usize = 12;
/// Calls to the store until a change is known: a few seconds' worth, far below
/// those of a watch that waits in vain to its end.
const MOST_CALLS: u64 = 20;
/// Renewals that show that orders arrive again.
const RENEWALS: u64 = 4;
/// Back ends of each service.
const OF_EACH: usize = 2;

/// A gateway whose every connection leads through a proxy.
struct World {
    store: StandInStore,
    back_ends: Vec<StandInBackEnd>,
    ways: Vec<StallingProxy>,
    gateway: Gateway,
}

impl World {
    /// Starts everything and lets connections to every back end come to rest.
    fn start() -> World {
        let store = block_on(StandInStore::start()).expect("a store");
        let mut ways = vec![StallingProxy::start(store.address())];
        let start = |name: &str, keyed| block_on(StandInBackEnd::start(name, keyed)).expect("one");
        let back_ends = vec![
            start("k-1", true),
            start("k-2", true),
            start("p-1", false),
            start("p-2", false),
        ];
        for back_end in &back_ends {
            let service = if back_end.keyed { "keyed" } else { "plain" };
            let way = StallingProxy::start(back_end.address());
            let entry = back_end.registration_at(way.address(), "zone-a", service, "ready");
            store.put("servers", &back_end.id, entry);
            ways.push(way);
        }
        let mut gateway = Gateway::start(ways[0].address());
        store.put("config", "main", configuration(1));
        gateway.await_ready();
        let world = World {
            store,
            back_ends,
            ways,
            gateway,
        };
        eventually(|| (world.held() == keys().len()).then_some(()));
        block_on(rest(world.gateway.callers));
        world
    }

    fn silence(&self) {
        for way in &self.ways {
            way.silence();
        }
    }

    /// Keys that are looked at and held by somebody.
    fn held(&self) -> usize {
        let back_ends = self.back_ends.iter();
        back_ends.map(|each| each.held(&keys()).len()).sum()
    }

    /// Keys that are looked at whose hold ran out, with the back end: it was
    /// neither renewed nor released in time.
    fn ran_out(&self) -> Vec<(String, u16)> {
        let keys = keys();
        let lapsed = |back_end: &StandInBackEnd| {
            let events = back_end.key_events();
            let id = back_end.id.clone();
            let ran_out = keys.iter().filter(move |key| ran_out(&events, **key));
            ran_out
                .map(move |key| (id.clone(), *key))
                .collect::<Vec<_>>()
        };
        self.back_ends.iter().flat_map(lapsed).collect()
    }

    /// Statuses of requests like this one, one after the other.
    fn ask_on(&self, ask: &Ask<'_>) -> Vec<u16> {
        let ids = (0..AFTERWARDS).map(|index| format!("later-{index}"));
        let answers = ids.map(|id| Ask { id: &id, ..*ask }.send(&self.gateway));
        answers.map(|answer| answer.status().as_u16()).collect()
    }
}

fn keys() -> Vec<u16> {
    (0..=u16::MAX).step_by(4_096).collect()
}

/// Whether a hold of `key` ended by itself.
fn ran_out(events: &[KeyEvent], key: u16) -> bool {
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

fn plain() -> Ask<'static> {
    Ask::default()
}

fn keyed(key: u16) -> Ask<'static> {
    Ask {
        host: "keyed.example",
        target: "/k/x",
        key: Some(key),
        ..Ask::default()
    }
}

/// Sends many requests at once. Some may be refused: that is no matter.
async fn rest(callers: SocketAddr) {
    let asks: Vec<Ask<'_>> = (0..AT_REST)
        .flat_map(|number| [plain(), keyed(number * (u16::MAX / AT_REST))])
        .collect();
    join_all(asks.iter().map(|ask| ask.sending(callers))).await;
}

#[track_caller]
fn assert_lost_at_most(statuses: &[u16], lost: usize) {
    // Which request meets which back end first is the router's choice.
    let unserved = statuses.iter().filter(|status| **status != 200).count();
    assert!(unserved <= lost, "{statuses:?}");
}

#[test]
fn each_key_loses_one_request_to_connections_that_fell_silent() {
    let world = World::start();
    world.silence();
    let owner = |key| world.back_ends.iter().position(|each| each.holds(key));
    let key = 5;
    let other = keys().into_iter().find(|each| owner(*each) != owner(key));
    for key in [Some(key), other].into_iter().flatten() {
        assert_lost_at_most(&world.ask_on(&keyed(key)), 1);
    }
}

#[test]
fn repeatable_requests_lose_one_to_connections_that_fell_silent() {
    let world = World::start();
    world.silence();
    assert_lost_at_most(&world.ask_on(&plain()), 1);
}

#[test]
fn unsafe_requests_lose_one_at_each_back_end_whose_connections_fell_silent() {
    let world = World::start();
    world.silence();
    let ask = Ask {
        method: "POST",
        target: "/unsafe/x",
        ..Ask::default()
    };
    assert_lost_at_most(&world.ask_on(&ask), OF_EACH);
}

/// Calls to the store stand for time: a relay makes about two a second.
#[test]
fn keys_stay_held_and_configurations_arrive_after_connections_fell_silent() {
    let world = World::start();
    let calls = world.store.calls();
    let grants = |world: &World| -> Vec<u64> {
        let keyed = world.back_ends.iter().filter(|each| each.keyed);
        keyed.map(StandInBackEnd::grants).collect()
    };
    let before = grants(&world);
    world.silence();
    world.store.put("config", "main", configuration(2));
    // A key that moves is held by nobody for a moment, and that is no matter.
    let none_ran_out = || assert_eq!(world.ran_out(), []);
    eventually(|| {
        none_ran_out();
        let version = "threadledge_gateway_configuration_version 2";
        world.gateway.metrics().contains(version).then_some(())
    });
    let calls = world.store.calls() - calls;
    assert!(calls <= MOST_CALLS, "{calls} calls until it was known");
    eventually(|| {
        none_ran_out();
        let after = grants(&world);
        let renewed = |(before, after): (&u64, &u64)| *after >= before + RENEWALS;
        let all = before.iter().zip(&after).all(renewed) && world.held() == keys().len();
        all.then_some(())
    });
}
