//! A gateway that hears nothing of the ownership record, neither from the store
//! nor from the other gateway, while it reaches back ends.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_std::task::block_on;
use threadledge_platform_stand_in::{KeyChange, StandInBackEnd, StandInStore, configuration};
use threadledge_soak::proxy::rewriter::Rewriter;
use threadledge_soak::proxy::{Directions, Proxy};

use super::lost_paths::keyed;
use super::process::{Gateway, TestRequest, eventually};

/// Port of the proxy that stands for the coordinator's peer address. It has as
/// many digits as the port behind it.
const PEER_PROXY_PORT: u16 = 8_093;
/// Longest time by which the former owner is late to carry out orders.
const LATENESS: Duration = Duration::from_secs(4);
/// Deadline of the requests.
const DEADLINE_MS: u64 = 300;
/// Requests sent after the keys have gone on.
const REQUESTS: usize = 20;

/// Two gateways. The paths of the second one to the store and to the
/// coordinator can be cut.
struct World {
    store: StandInStore,
    former: StandInBackEnd,
    next: StandInBackEnd,
    /// Kept running.
    _coordinator: Gateway,
    cut_off: Gateway,
    paths: [Proxy; 2],
    /// A key of the former owner.
    key: u16,
}

impl World {
    fn start() -> World {
        let store = block_on(StandInStore::start()).expect("a store");
        let start = |name: &str| block_on(StandInBackEnd::start(name, true)).expect("one");
        let (former, next) = (start("k-1"), start("k-2"));
        for back_end in [&former, &next] {
            let registration = back_end.registration("keyed", "ready");
            store.put("servers", &back_end.id, registration);
        }
        store.put("config", "main", configuration(1));
        let mut coordinator = Gateway::start(store.address());
        coordinator.await_ready();
        let sample = || (0..=u16::MAX).step_by(1_024);
        let is_held = |key| former.holds(key) || next.holds(key);
        eventually(|| sample().all(is_held).then_some(()));
        let key = eventually(|| sample().find(|key| former.holds(*key)));
        let paths = start_paths(&store, &coordinator);
        let [to_store, _] = &paths;
        // Nobody calls a gateway without a peer address.
        let alone = [("without-peers", "")];
        let mut cut_off = Gateway::start_with("zone-b", "router-2", to_store.address(), &alone);
        cut_off.await_ready();
        eventually(|| (request(key, "first").send(&cut_off).status() == 200).then_some(()));
        World {
            store,
            former,
            next,
            _coordinator: coordinator,
            cut_off,
            paths,
            key,
        }
    }

    fn cut(&self) {
        for path in &self.paths {
            path.partition(Directions::Both, None);
        }
    }

    fn heal(&self) {
        for path in &self.paths {
            path.heal(Duration::ZERO);
        }
    }

    /// Returns when the next owner was granted the key.
    fn given_on(&self) -> Option<Instant> {
        let is_grant = |change| match change {
            KeyChange::Granted { first, last, .. } => (first..=last).contains(&self.key),
            _ => false,
        };
        let events = self.next.key_events();
        let granted = events.iter().find(|event| is_grant(event.change));
        granted.map(|event| event.at)
    }
}

/// Starts the paths to the store and to the coordinator, whose address the store
/// names as that of the second path.
fn start_paths(store: &StandInStore, coordinator: &Gateway) -> [Proxy; 2] {
    let shown = SocketAddr::new(coordinator.peers.ip(), PEER_PROXY_PORT);
    let to_coordinator = Proxy::start_at(shown, coordinator.peers, Rewriter::default());
    let pair = (shown.to_string(), coordinator.peers.to_string());
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let to_store = Proxy::start_at(any, store.address(), Rewriter::new([pair]));
    [
        block_on(to_store).expect("a proxy"),
        block_on(to_coordinator).expect("a proxy"),
    ]
}

fn request(key: u16, id: &str) -> TestRequest<'_> {
    TestRequest {
        id,
        deadline_ms: DEADLINE_MS,
        ..keyed(key)
    }
}

/// Guards against requests for one key at two owners.
#[test]
fn gateway_that_hears_nothing_of_the_record_sends_a_former_owner_no_request_once_keys_went_on() {
    let world = World::start();
    world.former.set_order_delay(Some(LATENESS));
    world.cut();
    let leaving = world.former.registration("keyed", "draining");
    world.store.put("servers", &world.former.id, leaving);
    let given_on = eventually(|| {
        request(world.key, "before").send(&world.cut_off);
        world.given_on()
    });
    for _ in 0..REQUESTS {
        request(world.key, "after").send(&world.cut_off);
    }
    let arrivals = world.former.arrivals();
    let after = arrivals
        .iter()
        .filter(|arrival| arrival.id.as_deref() == Some("after"));
    let after: Vec<Duration> = after.map(|arrival| arrival.at - given_on).collect();
    assert!(
        after.is_empty(),
        "arrivals at the former owner after the next one's grant: {after:?}"
    );
    world.heal();
    let served = || request(world.key, "healed").send(&world.cut_off).status() == 200;
    eventually(|| served().then_some(()));
    assert!(world.next.runs().iter().any(|run| run.id == "healed"));
}
