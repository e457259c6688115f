//! A gateway loses its paths to all back ends, while callers, the store and
//! another gateway reach it, and the other gateway reaches the back ends.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use async_std::task::{self, block_on};
use futures::future::join_all;
use threadledge_platform_stand_in::{Behaviour, StandInBackEnd, StandInStore, configuration};
use threadledge_soak::proxy::rewriter::Rewriter;
use threadledge_soak::proxy::{Directions, Proxy};

use super::process::{Gateway, TestRequest, eventually};

/// Time after the cut from which callers must be served as before.
const DETECTION: Duration = Duration::from_secs(1);
/// Time for which keys must stay owned: twice as long as a grant holds.
const TWO_HOLDS: Duration = Duration::from_secs(6);
/// Pause between two requests of the load.
const PAUSE: Duration = Duration::from_millis(20);
/// Requests of each kind sent after the cut.
const REQUESTS: usize = 20;

/// Requests at back ends when their connections are reset.
const OPEN_REQUESTS: usize = 8;

/// How paths are lost.
#[derive(Clone, Copy, Debug)]
pub enum Cut {
    /// Connections hang, open ones and new ones.
    Hang,
    /// Connections are reset, and new ones refused.
    Reset,
    /// Open connections work, new ones are refused.
    RefuseNew,
}

/// The paths of one gateway to back ends, which lead through proxies of its
/// own. It learns their addresses from its own proxy of the store.
pub struct OwnPaths {
    pub paths: Vec<Proxy>,
    pub store: Proxy,
}

impl OwnPaths {
    pub fn start(store: &StandInStore, back_ends: &[StandInBackEnd]) -> OwnPaths {
        let mut paths = Vec::new();
        let mut pairs = Vec::new();
        for back_end in back_ends {
            let path = block_on(Proxy::start(back_end.address())).expect("a proxy");
            pairs.push((path.address().to_string(), back_end.address().to_string()));
            paths.push(path);
        }
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let store = Proxy::start_at(any, store.address(), Rewriter::new(pairs));
        let store = block_on(store).expect("a proxy");
        OwnPaths { paths, store }
    }
}

/// Cuts one path.
pub fn cut_path(path: &Proxy, how: Cut) {
    match how {
        Cut::Hang => path.partition(Directions::Both, None),
        Cut::Reset => {
            path.refuse_connections().expect("refused");
            path.reset_connections();
        }
        Cut::RefuseNew => path.refuse_connections().expect("refused"),
    }
}

/// Starts two back ends of each service, with the store that lists them.
pub fn start_back_ends() -> (StandInStore, Vec<StandInBackEnd>) {
    let store = block_on(StandInStore::start()).expect("a store");
    let start = |name: &str, keyed| block_on(StandInBackEnd::start(name, keyed)).expect("one");
    let back_ends = vec![
        start("k-1", true),
        start("k-2", true),
        start("p-1", false),
        start("p-2", false),
    ];
    for back_end in &back_ends {
        let service = if back_end.keyed { "keyed" } else { "plain" };
        let registration = back_end.registration(service, "ready");
        store.put("servers", &back_end.id, registration);
    }
    store.put("config", "main", configuration(1));
    (store, back_ends)
}

/// The keys, of a sample of all, that no back end holds.
pub fn unowned(back_ends: &[StandInBackEnd]) -> Vec<u16> {
    let holds = |key: &u16| back_ends.iter().any(|each| each.holds(*key));
    keys().filter(|key| !holds(key)).collect()
}

/// Two gateways. All paths of the first to back ends lead through proxies of
/// its own.
pub struct World {
    pub store: StandInStore,
    pub back_ends: Vec<StandInBackEnd>,
    own: OwnPaths,
    pub cut_off: Gateway,
    pub in_reach: Gateway,
}

impl World {
    /// Starts everything. The gateway that will lose its paths starts first, so
    /// that it is the coordinator.
    pub fn start() -> World {
        let (store, back_ends) = start_back_ends();
        let own = OwnPaths::start(&store, &back_ends);
        let mut cut_off = Gateway::start_named("router-1", own.store.address());
        cut_off.await_ready();
        eventually(|| unowned(&back_ends).is_empty().then_some(()));
        // A gateway of the same zone would get the addresses of the proxies.
        let mut in_reach = Gateway::start_in("zone-b", "router-2", store.address());
        in_reach.await_ready();
        let world = World {
            store,
            back_ends,
            own,
            cut_off,
            in_reach,
        };
        let requests = [plain(), not_repeatable(), keyed(5)];
        for gateway in [&world.cut_off, &world.in_reach] {
            for request in &requests {
                eventually(|| (request.send(gateway).status() == 200).then_some(()));
            }
        }
        let heard_of =
            r#"threadledge_gateway_peer_bytes_total{direction="received",message="load"}"#;
        eventually(|| world.cut_off.metrics().contains(heard_of).then_some(()));
        world
    }

    pub fn cut(&self, how: Cut) {
        for path in &self.own.paths {
            cut_path(path, how);
        }
    }

    pub fn heal(&self) {
        for path in &self.own.paths {
            path.accept_connections().expect("accepted");
            path.heal(Duration::ZERO);
        }
    }

    /// The line of the second gateway's metrics that grows with each request
    /// that it forwards.
    fn forwarded(&self) -> Option<String> {
        let metrics = self.in_reach.metrics();
        let name =
            r#"threadledge_gateway_peer_bytes_total{direction="answered",message="forwarded"}"#;
        let mut lines = metrics.lines();
        lines.find(|line| line.starts_with(name)).map(str::to_owned)
    }

    /// Sends load to the first gateway until [`DETECTION`] after a cut.
    pub fn load_until_detected(&self) {
        let started = Instant::now();
        while started.elapsed() < DETECTION {
            let requests = [plain(), not_repeatable(), keyed(5), keyed(40_000)];
            let sent = requests.iter();
            block_on(join_all(
                sent.map(|request| request.send_async(self.cut_off.callers)),
            ));
            thread::sleep(PAUSE);
        }
    }
}

fn keys() -> impl Iterator<Item = u16> {
    (0..=u16::MAX).step_by(4_096)
}

pub fn plain() -> TestRequest<'static> {
    TestRequest::default()
}

pub fn not_repeatable() -> TestRequest<'static> {
    TestRequest {
        method: "POST",
        target: "/unsafe/x",
        body: "once",
        ..TestRequest::default()
    }
}

pub fn keyed(key: u16) -> TestRequest<'static> {
    TestRequest {
        host: "keyed.example",
        target: "/k/x",
        key: Some(key),
        ..TestRequest::default()
    }
}

#[track_caller]
fn assert_served_after(how: Cut) {
    let world = World::start();
    world.cut(how);
    world.load_until_detected();
    let mut statuses = Vec::new();
    for _ in 0..REQUESTS {
        for request in [plain(), not_repeatable(), keyed(5), keyed(40_000)] {
            statuses.push(request.send(&world.cut_off).status().as_u16());
        }
    }
    let unserved = statuses.iter().filter(|status| **status != 200).count();
    assert_eq!(unserved, 0, "{how:?}: {statuses:?}");
    world.heal();
    eventually(|| {
        let before = world.forwarded();
        assert_eq!(plain().send(&world.cut_off).status(), 200);
        (world.forwarded() == before).then_some(())
    });
}

#[test]
fn gateway_whose_back_end_connections_hang_serves_through_another() {
    assert_served_after(Cut::Hang);
}

#[test]
fn gateway_whose_back_end_connections_are_reset_serves_through_another() {
    assert_served_after(Cut::Reset);
}

#[test]
fn gateway_that_opens_no_new_back_end_connections_serves_through_another() {
    assert_served_after(Cut::RefuseNew);
}

#[test]
fn coordinator_that_loses_its_paths_to_owners_takes_no_keys_away() {
    for how in [Cut::Hang, Cut::Reset] {
        let world = World::start();
        world.cut(how);
        let started = Instant::now();
        while started.elapsed() < TWO_HOLDS {
            assert_eq!(
                unowned(&world.back_ends),
                [0; 0],
                "{how:?} {:?}",
                started.elapsed()
            );
            thread::sleep(PAUSE);
        }
        assert_eq!(keyed(5).send(&world.in_reach).status(), 200);
        assert!(world.store.calls() > 0);
    }
}

#[test]
fn unreachable_back_ends_are_no_evidence_of_a_crash_under_a_request() {
    let world = World::start();
    for back_end in &world.back_ends {
        back_end.set_behaviour(Behaviour::Silent);
    }
    let callers = world.cut_off.callers;
    let send = |_| task::spawn(async move { plain().send_async(callers).await });
    let sent: Vec<_> = (0..OPEN_REQUESTS).map(send).collect();
    eventually(|| {
        let running: usize = world.back_ends.iter().map(StandInBackEnd::in_flight).sum();
        (running > 0).then_some(())
    });
    world.cut(Cut::Reset);
    for back_end in &world.back_ends {
        back_end.set_behaviour(Behaviour::Healthy);
    }
    block_on(join_all(sent));
    world.load_until_detected();
    world.cut_off.signal("-TERM");
    let (_, log) = world.cut_off.wait_for_exit();
    let crashes = log.iter().filter(|line| line["event"] == 511).count();
    assert_eq!(crashes, 0);
}
