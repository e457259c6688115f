//! Every open connection of a gateway falls silent for good, while new ones
//! work.

use std::net::SocketAddr;

use async_std::task::block_on;
use futures::future::join_all;
use threadledge_platform_stand_in::{StandInBackEnd, StandInStore, configuration};

use super::process::{Ask, Gateway, eventually};
use super::swallowing::SwallowingProxy;

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
    ways: Vec<SwallowingProxy>,
    gateway: Gateway,
}

impl World {
    /// Starts everything and lets connections to every back end come to rest.
    fn start() -> World {
        let store = block_on(StandInStore::start()).expect("a store");
        let mut ways = vec![SwallowingProxy::start(store.address())];
        let start = |name: &str, keyed| block_on(StandInBackEnd::start(name, keyed)).expect("one");
        let back_ends = vec![
            start("k-1", true),
            start("k-2", true),
            start("p-1", false),
            start("p-2", false),
        ];
        for back_end in &back_ends {
            let service = if back_end.keyed { "keyed" } else { "plain" };
            let way = SwallowingProxy::start(back_end.address());
            let entry = back_end.entry_at(way.address(), "zone-a", service, "ready");
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
    let all_held = || assert_eq!(world.held(), keys().len());
    eventually(|| {
        all_held();
        let version = "threadledge_gateway_configuration_version 2";
        world.gateway.metrics().contains(version).then_some(())
    });
    let calls = world.store.calls() - calls;
    assert!(calls <= MOST_CALLS, "{calls} calls until it was known");
    eventually(|| {
        all_held();
        let after = grants(&world);
        let renewed = |(before, after): (&u64, &u64)| *after >= before + RENEWALS;
        before.iter().zip(&after).all(renewed).then_some(())
    });
}
