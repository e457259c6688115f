//! Requests that crash each back end that runs them.
//!
//! Guards against this failure: one request of one caller ended seven back ends
//! of a keyed service, one about every three seconds, and a tenth of the
//! service's requests were refused meanwhile. A back end ran the request and
//! ended, and the caller was told that the outcome was unknown. After three
//! seconds the keys had their next owner, and the caller's next try, with
//! another id and at another gateway, was sent there.
//!
//! Gateways forgot a crash together with the request, and did not inform each
//! other: each run was a first attempt, at six gateways in turn, and one gateway
//! sent the request twice, ten seconds apart.

use std::time::Duration;

use async_std::task::block_on;
use threadledge_net::HttpClient;
use threadledge_platform_stand_in::{CrashTrigger, Fault, StandInBackEnd};

use super::process::{Gateway, TIMEOUT, TestRequest, World, eventually};

/// Path of the request that crashes its back ends.
const CRASHES: &str = "/safe/crashes";
/// Back ends that may run it. The third crash is enough evidence for the fleet
/// to hold the request.
const MOST_RUNS: usize = 3;
/// Delay between two tries of the caller.
const BETWEEN_TRIES: Duration = Duration::from_millis(300);
/// Number of back ends of the service.
const BACK_ENDS: usize = 6;

/// Three gateways in two zones, and back ends that are replaced after a crash.
struct Fleet {
    world: World,
    others: Vec<Gateway>,
    running: Vec<StandInBackEnd>,
    ended: Vec<StandInBackEnd>,
    crash_trigger: CrashTrigger,
    started: usize,
    tries: usize,
}

impl Fleet {
    /// Starts back ends that crash on the request from any caller.
    fn start() -> Fleet {
        Fleet::start_with(None)
    }

    /// Starts back ends that crash only on requests with this cookie.
    fn start_with(cookie: Option<&str>) -> Fleet {
        let world = World::start();
        for healthy in &world.plain {
            world.store.remove("servers", &healthy.id);
        }
        let mut fleet = Fleet {
            world,
            others: Vec::new(),
            running: Vec::new(),
            ended: Vec::new(),
            crash_trigger: CrashTrigger {
                target: CRASHES.to_owned(),
                cookie: cookie.map(str::to_owned),
            },
            started: 0,
            tries: 0,
        };
        fleet.start_others();
        fleet.replace_ended();
        fleet.await_known();
        fleet.await_joined();
        fleet
    }

    fn start_others(&mut self) {
        let store = self.world.store.address();
        self.others = vec![
            Gateway::start_named("router-2", store),
            Gateway::start_in("zone-b", "router-3", store),
        ];
        for gateway in &mut self.others {
            gateway.await_ready();
        }
    }

    fn gateways(&self) -> Vec<&Gateway> {
        let first = std::iter::once(&self.world.gateway);
        first.chain(&self.others).collect()
    }

    /// Starts another process in place of each that crashed.
    fn replace_ended(&mut self) {
        let (ended, running): (Vec<_>, Vec<_>) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(StandInBackEnd::has_crashed);
        self.running = running;
        for back_end in ended {
            self.world.store.remove("servers", &back_end.id);
            self.ended.push(back_end);
        }
        while self.running.len() < BACK_ENDS {
            self.started += 1;
            let id = format!("crashing-{}", self.started);
            let back_end = block_on(StandInBackEnd::start(&id, false)).expect("a back end");
            back_end.set_crash_trigger(self.crash_trigger.clone());
            let entry = back_end.registration("plain", "ready");
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

    /// Waits until every gateway counts three gateways.
    fn await_joined(&self) {
        let line = "threadledge_gateway_fleet 3\n";
        for gateway in self.gateways() {
            eventually(|| gateway.metrics().contains(line).then_some(()));
        }
    }

    /// Waits until every gateway holds exactly one request.
    fn await_request_held(&self) {
        let line = "threadledge_gateway_requests_held 1\n";
        for gateway in self.gateways() {
            eventually(|| gateway.metrics().contains(line).then_some(()));
        }
    }

    /// Waits until the stored record names this many crashes of one request: it
    /// is written when the next crash would hold the request, and again when the
    /// request is held.
    fn await_stored_crashes(&self, count: usize) {
        eventually(|| {
            let stored = self.world.store.get("threadledge-held-requests", "all")?;
            let crashes = stored["held"][0]["crashes"].as_array()?;
            (crashes.len() == count).then_some(())
        });
    }

    /// Sends the crashing request this many times, at one gateway after the
    /// other.
    fn send_crashing(&mut self, times: usize) {
        for _ in 0..times {
            self.tries += 1;
            let id = format!("try-{}", self.tries);
            let cookie = self.crash_trigger.cookie.clone();
            let crashing = TestRequest {
                target: CRASHES,
                id: &id,
                cookie: cookie.as_deref(),
                ..TestRequest::default()
            };
            let gateway = self.gateways()[self.tries % 3];
            let status = crashing.send(gateway).status().as_u16();
            assert!([502, 503].contains(&status), "{id}: {status}");
            self.replace_ended();
            std::thread::sleep(BETWEEN_TRIES);
        }
    }

    /// Checks that no more back ends than allowed began to run a try of the
    /// crashing caller.
    fn assert_few_runs(&self) {
        let all = self.running.iter().chain(&self.ended);
        let runs = all.flat_map(|back_end| {
            let runs = back_end.runs().into_iter();
            runs.map(|run| (run.at, run.id, back_end.id.clone()))
        });
        let mut runs: Vec<_> = runs.filter(|(_, id, _)| id.starts_with("try-")).collect();
        runs.sort();
        let runs: Vec<String> = runs
            .iter()
            .map(|(at, id, back_end)| {
                let after = *at - runs[0].0;
                format!("{id} at {back_end} after {} ms", after.as_millis())
            })
            .collect();
        assert!(runs.len() <= MOST_RUNS, "{} runs: {runs:?}", runs.len());
    }

    /// Checks that every gateway answers another caller's request for this
    /// path.
    fn assert_others_served(&self, target: &str) {
        for gateway in self.gateways() {
            let other = TestRequest {
                target,
                cookie: Some("another"),
                ..TestRequest::default()
            };
            assert_eq!(other.send(gateway).status(), 200);
        }
    }
}

fn operator_request(gateway: &Gateway, method: &str, path: &str) -> (u16, String) {
    let request = http::Request::builder().method(method).uri(path);
    let request = request.body(Vec::new()).expect("valid");
    let client = HttpClient::default();
    let answer = block_on(client.send(gateway.operators, request, TIMEOUT)).expect("an answer");
    let status = answer.status().as_u16();
    (status, String::from_utf8(answer.into_body()).expect("text"))
}

#[test]
fn request_that_crashed_three_back_ends_is_sent_to_no_other_by_any_gateway() {
    let mut fleet = Fleet::start();
    fleet.send_crashing(12);
    fleet.assert_few_runs();
    fleet.assert_others_served("/safe/x");
}

/// The refusal states that this try has not run and when retrying may help.
#[test]
fn held_request_is_refused_at_once() {
    let mut fleet = Fleet::start();
    fleet.send_crashing(3);
    fleet.await_request_held();
    let crashing = TestRequest {
        target: CRASHES,
        id: "refused",
        ..TestRequest::default()
    };
    let answer = crashing.send(fleet.gateways()[1]);
    assert_eq!(answer.status(), 503);
    assert_eq!(answer.body(), b"crashes-back-ends\n");
    assert_eq!(answer.headers()["retry-after"], "30.000");
    let runs = fleet.running.iter().flat_map(StandInBackEnd::runs);
    assert!(runs.into_iter().all(|run| run.id != "refused"));
}

/// Other callers use the same path and are served before, while and after the
/// request is held.
#[test]
fn same_path_of_other_callers_is_served_while_one_is_held() {
    let mut fleet = Fleet::start_with(Some("crashes"));
    for _ in 0..8 {
        fleet.assert_others_served(CRASHES);
        fleet.send_crashing(1);
    }
    fleet.assert_few_runs();
    fleet.await_request_held();
    fleet.assert_others_served(CRASHES);
}

#[test]
fn newly_started_gateway_learns_the_held_requests() {
    let mut fleet = Fleet::start();
    fleet.send_crashing(3);
    fleet.await_request_held();
    let store = fleet.world.store.address();
    fleet.others[0] = Gateway::start_named("router-2", store);
    fleet.others[0].await_ready();
    fleet.await_request_held();
    fleet.others[1] = Gateway::start_in("zone-b", "router-3", store);
    fleet.others[1].await_ready();
    fleet.await_request_held();
    fleet.send_crashing(6);
    fleet.assert_few_runs();
}

#[test]
fn held_requests_outlive_all_gateways() {
    let mut fleet = Fleet::start();
    fleet.send_crashing(3);
    fleet.await_request_held();
    fleet.await_stored_crashes(MOST_RUNS);
    let store = fleet.world.store.address();
    fleet.others.clear();
    fleet.world.gateway = Gateway::start(store);
    fleet.world.gateway.await_ready();
    fleet.start_others();
    fleet.await_request_held();
    fleet.send_crashing(6);
    fleet.assert_few_runs();
}

/// Gateways inform each other also while the store does not answer, and persist
/// the held request once it is back.
#[test]
fn gateways_inform_each_other_while_the_store_is_silent() {
    let mut fleet = Fleet::start();
    fleet.world.store.set_fault(Fault::Silent);
    fleet.send_crashing(5);
    fleet.assert_few_runs();
    fleet.world.store.set_fault(Fault::None);
    eventually(|| fleet.world.store.get("threadledge-held-requests", "all"));
}

#[test]
fn operator_lists_held_requests_and_releases_one() {
    let mut fleet = Fleet::start();
    fleet.send_crashing(3);
    fleet.await_request_held();
    eventually(|| fleet.world.store.get("threadledge-held-requests", "all"));
    let path = "/threadledge/v1/held";
    let (status, list) = operator_request(fleet.gateways()[2], "GET", path);
    assert_eq!(status, 200);
    let held: serde_json::Value = serde_json::from_str(&list).expect("JSON");
    assert_eq!(held[0]["request"], "GET plain.example/safe/crashes");
    assert_eq!(held[0]["back-ends"].as_array().map(Vec::len), Some(3));
    let identity = held[0]["identity"].as_str().expect("text");
    let release = format!("{path}/release/{identity}");
    assert_eq!(
        operator_request(fleet.gateways()[2], "GET", &release).0,
        405
    );
    let unknown = format!("{path}/release/0000000000000001");
    assert_eq!(
        operator_request(fleet.gateways()[2], "POST", &unknown).0,
        404
    );
    let malformed = format!("{path}/release/x");
    assert_eq!(
        operator_request(fleet.gateways()[2], "POST", &malformed).0,
        400
    );
    assert_eq!(
        operator_request(fleet.gateways()[2], "POST", &release).0,
        200
    );
    for gateway in fleet.gateways() {
        let line = "threadledge_gateway_requests_held 0\n";
        eventually(|| gateway.metrics().contains(line).then_some(()));
    }
    eventually(|| {
        let stored = fleet.world.store.get("threadledge-held-requests", "all")?;
        stored["held"].as_array()?.is_empty().then_some(())
    });
    // The back ends no longer crash.
    for back_end in &fleet.running {
        back_end.set_crash_trigger(CrashTrigger {
            target: "/none".to_owned(),
            cookie: None,
        });
    }
    fleet.assert_others_served(CRASHES);
}
