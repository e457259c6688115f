//! Requests that crash each back end that runs them.
//!
//! What users saw: one request of one caller ended seven back ends of a service
//! divided by key, one about every three seconds, and a tenth of the service's
//! requests were refused meanwhile. Each time the caller's next try came at
//! another gateway, with another id.
//!
//! Order of events: a back end runs the request and ends; the caller is told
//! that its fate is unknown; the keys get their next owner after three
//! seconds; the caller's next try is sent there, by a gateway that knows
//! nothing of the crash.
//!
//! Cause: what a request did was forgotten with its try, and no gateway told
//! another. Evidence: in the logs each run was a first attempt, at six
//! gateways in turn, and one gateway sent it twice, ten seconds apart.

use std::time::Duration;

use async_std::task::block_on;
use threadledge_platform_stand_in::StandInBackEnd;

use super::process::{Ask, Gateway, World, eventually};

/// Path of the request that crashes its back ends.
const CRASHES: &str = "/safe/crashes";
/// Back ends that may run it: with the third the fleet has enough evidence.
const MOST_RUNS: usize = 3;
/// Time between two tries of its caller.
const BETWEEN_TRIES: Duration = Duration::from_millis(300);
/// Back ends of the service.
const BACK_ENDS: usize = 6;

/// Three gateways of one zone, and back ends that come back after a crash.
struct Fleet {
    world: World,
    others: Vec<Gateway>,
    running: Vec<StandInBackEnd>,
    ended: Vec<StandInBackEnd>,
    started: usize,
}

impl Fleet {
    fn start() -> Fleet {
        let world = World::start();
        let store = world.store.address();
        let mut others = vec![
            Gateway::start_named("router-2", store),
            Gateway::start_named("router-3", store),
        ];
        for gateway in &mut others {
            gateway.await_ready();
        }
        for sound in &world.plain {
            world.store.remove("servers", &sound.id);
        }
        let mut fleet = Fleet {
            world,
            others,
            running: Vec::new(),
            ended: Vec::new(),
            started: 0,
        };
        fleet.replace_ended();
        fleet.await_known();
        fleet
    }

    fn gateways(&self) -> Vec<&Gateway> {
        let first = std::iter::once(&self.world.gateway);
        first.chain(&self.others).collect()
    }

    /// Starts another process in place of each that ended.
    fn replace_ended(&mut self) {
        let (ended, running): (Vec<_>, Vec<_>) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(StandInBackEnd::has_ended);
        self.running = running;
        for back_end in ended {
            self.world.store.remove("servers", &back_end.id);
            self.ended.push(back_end);
        }
        while self.running.len() < BACK_ENDS {
            self.started += 1;
            let id = format!("crashing-{}", self.started);
            let back_end = block_on(StandInBackEnd::start(&id, false)).expect("a back end");
            back_end.set_crashes_on(CRASHES);
            let entry = back_end.entry("plain", "ready");
            self.world.store.put("servers", &id, entry);
            self.running.push(back_end);
        }
    }

    /// Waits until every gateway knows the back ends that run now.
    fn await_known(&self) {
        let count = BACK_ENDS + self.world.keyed.len();
        let line = format!("threadledge_gateway_back_ends {count}\n");
        for gateway in self.gateways() {
            eventually(|| gateway.metrics().contains(&line).then_some(()));
        }
    }

    /// Times that a back end began to run the request.
    fn runs(&self) -> usize {
        let all = self.running.iter().chain(&self.ended);
        let runs = all.flat_map(StandInBackEnd::runs);
        runs.filter(|run| run.target.starts_with(CRASHES)).count()
    }
}

#[test]
fn request_that_crashed_three_back_ends_is_sent_to_no_other_by_any_gateway() {
    let mut fleet = Fleet::start();
    for number in 0..12 {
        let id = format!("try-{number}");
        let crashing = Ask {
            target: CRASHES,
            id: &id,
            ..Ask::default()
        };
        let gateway = fleet.gateways()[number % 3];
        let status = crashing.send(gateway).status();
        assert!([502, 503].contains(&status.as_u16()), "{id}: {status}");
        fleet.replace_ended();
        std::thread::sleep(BETWEEN_TRIES);
    }
    assert!(fleet.runs() <= MOST_RUNS, "{} runs", fleet.runs());
    for gateway in fleet.gateways() {
        assert_eq!(Ask::default().send(gateway).status(), 200);
    }
}
