//! Some gateways lose their paths to some back ends of a service, which run and
//! which another gateway reaches all the time.

use std::thread;
use std::time::{Duration, Instant};

use async_std::task::{self, JoinHandle, block_on};
use futures::future::join_all;
use threadledge_platform_stand_in::{Behaviour, StandInBackEnd, StandInStore};

use super::lost_paths::{
    Cut, OwnPaths, cut_path, keyed, not_repeatable, plain, start_back_ends, unowned,
};
use super::process::{Gateway, TestRequest, eventually};

/// Time for which every request must be served: twice as long as a grant holds.
const TWO_HOLDS: Duration = Duration::from_secs(6);
/// Pause between two looks.
const PAUSE: Duration = Duration::from_millis(20);
/// Time in which the cut gateways find out which paths are lost.
const DETECTION: Duration = Duration::from_secs(1);
/// Time after which a contact no longer shows that a path works.
const QUIET: Duration = Duration::from_millis(400);
/// Requests sent at once, some of which are at back ends when their connections
/// are reset.
const OPEN_REQUESTS: usize = 8;
/// Time after which more requests are sent if none is at the back end meant.
const MORE_AFTER: Duration = Duration::from_millis(200);
/// Cuts in a row: each asks one of the other gateways first by chance.
const ROUNDS: usize = 6;
/// Back ends of each service to which paths are cut, as indices.
const CUT_BACK_ENDS: [usize; 2] = [0, 2];
/// Deadline of a request that must not wait for it, in milliseconds.
const LONG_DEADLINE_MS: u64 = 3_000;

/// Three gateways. The first two reach back ends over paths of their own; the
/// first one is the coordinator.
struct World {
    _store: StandInStore,
    back_ends: Vec<StandInBackEnd>,
    own: [OwnPaths; 2],
    coordinator: Gateway,
    also_cut: Gateway,
    in_reach: Gateway,
}

impl World {
    fn start() -> World {
        let (store, back_ends) = start_back_ends();
        let own = [(); 2].map(|()| OwnPaths::start(&store, &back_ends));
        let mut coordinator = Gateway::start_named("router-1", own[0].store.address());
        coordinator.await_ready();
        eventually(|| unowned(&back_ends).is_empty().then_some(()));
        // Gateways of one zone share the addresses of their back ends.
        let mut also_cut = Gateway::start_in("zone-b", "router-2", own[1].store.address());
        also_cut.await_ready();
        let mut in_reach = Gateway::start_in("zone-c", "router-3", store.address());
        in_reach.await_ready();
        let counted = "threadledge_gateway_fleet 3\n";
        eventually(|| coordinator.metrics().contains(counted).then_some(()));
        let world = World {
            _store: store,
            back_ends,
            own,
            coordinator,
            also_cut,
            in_reach,
        };
        for gateway in [&world.coordinator, &world.also_cut, &world.in_reach] {
            for request in [plain(), keyed(5), keyed(40_000)] {
                eventually(|| (request.send(gateway).status() == 200).then_some(()));
            }
        }
        world
    }

    /// Cuts the first two gateways from one back end of each service.
    fn cut(&self, how: Cut) {
        for own in &self.own {
            for index in CUT_BACK_ENDS {
                cut_path(&own.paths[index], how);
            }
        }
    }

    fn heal(&self) {
        for own in &self.own {
            for path in &own.paths {
                path.accept_connections().expect("accepted");
                path.heal(Duration::ZERO);
            }
        }
    }

    fn set_behaviour(&self, behaviour: Behaviour) {
        for back_end in &self.back_ends {
            back_end.set_behaviour(behaviour);
        }
    }

    /// Sends requests that must not be repeated until one of them is at the
    /// second back end whose paths are cut.
    fn open_requests(&self) -> Vec<JoinHandle<http::Response<Vec<u8>>>> {
        let callers = self.coordinator.callers;
        let send = |_| task::spawn(async move { not_repeatable().send_async(callers).await });
        let mut sent = Vec::new();
        let mut more_at = Instant::now();
        eventually(|| {
            // All of them may have gone to the other back end of the service.
            if Instant::now() >= more_at {
                sent.extend((0..OPEN_REQUESTS).map(send));
                more_at = Instant::now() + MORE_AFTER;
            }
            (self.back_ends[CUT_BACK_ENDS[1]].in_flight() > 0).then_some(())
        });
        sent
    }

    /// Sends load to the two cut gateways for a while.
    fn load(&self, how_long: Duration) {
        let started = Instant::now();
        while started.elapsed() < how_long {
            let requests = [plain(), keyed(5), keyed(40_000)];
            let sent = requests.iter().flat_map(|request| {
                let callers = [self.coordinator.callers, self.also_cut.callers];
                callers.map(|callers| request.send_async(callers))
            });
            block_on(join_all(sent));
            thread::sleep(PAUSE);
        }
    }

    /// Ends the coordinator and returns how often it logged an event.
    fn logged_by_coordinator(self, event: u32) -> usize {
        self.coordinator.signal("-TERM");
        let (_, log) = self.coordinator.wait_for_exit();
        log.iter().filter(|line| line["event"] == event).count()
    }
}

#[test]
fn owner_that_only_some_gateways_miss_keeps_its_keys_and_serves() {
    for how in [Cut::Hang, Cut::Reset] {
        let world = World::start();
        world.cut(how);
        world.load(DETECTION);
        let started = Instant::now();
        while started.elapsed() < TWO_HOLDS {
            for request in [keyed(5), keyed(40_000)] {
                for gateway in [&world.coordinator, &world.also_cut] {
                    assert_eq!(request.send(gateway).status(), 200, "{how:?}");
                }
            }
            thread::sleep(PAUSE);
        }
        assert_eq!(world.logged_by_coordinator(316), 0, "{how:?}");
    }
}

#[test]
fn back_end_that_only_some_gateways_miss_is_no_evidence_of_a_crash() {
    let world = World::start();
    for _ in 0..ROUNDS {
        world.set_behaviour(Behaviour::Silent);
        // A request that another back end answers would clear them all.
        let sent = world.open_requests();
        world.cut(Cut::Reset);
        world.set_behaviour(Behaviour::Healthy);
        block_on(join_all(sent));
        world.load(DETECTION);
        world.heal();
        world.load(DETECTION);
    }
    assert_eq!(world.logged_by_coordinator(511), 0);
}

#[test]
fn request_is_not_forwarded_over_a_connection_that_hangs() {
    let world = World::start();
    world.in_reach.signal("-KILL");
    for path in &world.own[0].paths {
        cut_path(path, Cut::Hang);
    }
    world.load(DETECTION);
    thread::sleep(QUIET);
    for path in &world.own[1].paths {
        cut_path(path, Cut::Hang);
    }
    let request = TestRequest {
        deadline_ms: LONG_DEADLINE_MS,
        ..not_repeatable()
    };
    let status = request.send(&world.coordinator).status();
    assert_eq!(status, 503, "it was sent on and waited for its deadline");
}
