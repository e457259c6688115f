//! Rate limits of tenants over several gateways, through the real program.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use async_std::task::block_on;
use http::Response;
use serde_json::{Value, json};
use threadledge_net::HttpClient;
use threadledge_platform_stand_in::{Fault, StandInBackEnd, with_tenants};

use super::process::{Gateway, TIMEOUT, TestRequest, World, configuration, eventually};

const HOT: &str = "hot-key";
const CALM: &str = "calm-key";
/// The window, overage and slack that the settings template promises.
const WINDOW: Duration = Duration::from_secs(5);
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;

const RATE: f64 = 30.0;
const BURST: f64 = 15.0;

fn configuration_with_limits(version: u64) -> Value {
    let tenants = [("hot", &[HOT][..], None), ("calm", &[CALM][..], None)];
    let mut wanted = with_tenants(configuration(version), &tenants);
    for name in ["hot", "calm"] {
        wanted["Tenants"][name]["RatePerS"] = json!(RATE);
        wanted["Tenants"][name]["Burst"] = json!(BURST);
    }
    wanted
}

/// Three gateways, one of which keeps the ledger.
struct Fleet {
    world: World,
    others: Vec<Gateway>,
}

impl Fleet {
    fn start() -> Fleet {
        let world = World::start();
        world
            .store
            .put("config", "main", configuration_with_limits(2));
        let store = world.store.address();
        let others = ["router-2", "router-3"].map(|name| Gateway::start_named(name, store));
        let mut fleet = Fleet {
            world,
            others: others.into(),
        };
        for gateway in &mut fleet.others {
            gateway.await_ready();
        }
        fleet.await_ledger();
        fleet
    }

    fn gateways(&self) -> Vec<&Gateway> {
        let first = std::iter::once(&self.world.gateway);
        first.chain(&self.others).collect()
    }

    /// Waits until one gateway keeps the ledger with its full rates and all
    /// gateways are served by it.
    fn await_ledger(&self) {
        eventually(|| {
            let gateways = self.gateways();
            let kept = gateways.iter().filter(|gateway| holds_ledger(gateway));
            (kept.count() == 1).then_some(())
        });
        for gateway in self.gateways() {
            eventually(|| (send_with_key(gateway, CALM).status() == 200).then_some(()));
        }
    }

    fn runs(&self, tenant: &str) -> Vec<Instant> {
        let back_ends = self.world.keyed.iter().chain(&self.world.plain);
        let runs = back_ends.flat_map(StandInBackEnd::runs);
        let of = runs.filter(|run| run.tenant.as_deref() == Some(tenant));
        let mut times: Vec<Instant> = of.map(|run| run.at).collect();
        times.sort();
        times
    }

    /// Returns the maximum number of requests that ran in any window.
    fn max_requests_per_window(&self, tenant: &str) -> usize {
        let runs = self.runs(tenant);
        let within = |at: &Instant| {
            let window = runs
                .iter()
                .filter(|run| **run >= *at && **run < *at + WINDOW);
            window.count()
        };
        runs.iter().map(within).max().unwrap_or(0)
    }
}

fn bound() -> f64 {
    (RATE * WINDOW.as_secs_f64() + BURST) * (1.0 + OVERAGE) + SLACK
}

fn holds_ledger(gateway: &Gateway) -> bool {
    let line = "threadledge_gateway_limit_ledger 1\n";
    gateway.metrics().contains(line)
}

fn send_with_key(gateway: &Gateway, api_key: &str) -> Response<Vec<u8>> {
    let request = TestRequest {
        api_key: Some(api_key),
        ..TestRequest::default()
    };
    request.send(gateway)
}

/// Sends requests over the limit at every gateway while `act` runs. Returns the
/// number of responses with a status other than 200 or 429.
fn send_load(gateways: &[&Gateway], act: impl FnOnce()) -> usize {
    let done = AtomicBool::new(false);
    let unexpected = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for gateway in gateways {
            let callers = gateway.callers;
            let (done, unexpected) = (&done, &unexpected);
            scope.spawn(move || {
                let request = TestRequest {
                    api_key: Some(HOT),
                    ..TestRequest::default()
                };
                while !done.load(Ordering::Relaxed) {
                    let status = block_on(request.send_async(callers)).status().as_u16();
                    if !matches!(status, 200 | 429) {
                        unexpected.fetch_add(1, Ordering::Relaxed);
                    }
                    // 100 requests per second at each gateway, together ten
                    // times the limit.
                    std::thread::sleep(Duration::from_millis(10));
                }
            });
        }
        act();
        done.store(true, Ordering::Relaxed);
    });
    unexpected.into_inner()
}

#[test]
fn tenant_over_its_limit_is_held_to_it_over_all_gateways_and_another_is_never_refused() {
    let fleet = Fleet::start();
    let gateways = fleet.gateways();
    let unexpected = send_load(&gateways, || {
        for round in 0..120 {
            let answer = send_with_key(gateways[round % 3], CALM);
            assert_eq!(answer.status(), 200, "round {round}");
            std::thread::sleep(Duration::from_millis(50));
        }
    });
    assert_eq!(unexpected, 0);
    let (max_requests_per_window, bound) = (fleet.max_requests_per_window("hot") as f64, bound());
    assert!(
        max_requests_per_window <= bound,
        "{max_requests_per_window} of {bound}"
    );
    // The load lasts six seconds, 1.5 times what the limit needs to let this
    // many requests run.
    assert!(
        max_requests_per_window >= 0.8 * RATE * WINDOW.as_secs_f64(),
        "{max_requests_per_window}"
    );
}

#[test]
fn refusal_has_a_retry_delay_and_operators_see_the_reason() {
    let fleet = Fleet::start();
    let mut refused = None;
    send_load(&fleet.gateways(), || {
        refused = Some(eventually(|| {
            let answer = send_with_key(&fleet.world.gateway, HOT);
            (answer.status() == 429).then_some(answer)
        }));
    });
    let refused = refused.expect("one was refused");
    assert_eq!(refused.body(), b"tenant-over-limit\n");
    let wait = refused.headers().get("retry-after").expect("a time");
    let wait: f64 = wait.to_str().expect("text").parse().expect("a number");
    assert!(wait > 0.0 && wait <= 1.0, "{wait}");
    let request = http::Request::get("/threadledge/v1/tenant-limits/hot")
        .body(Vec::new())
        .expect("valid");
    let client = HttpClient::default();
    let operators = fleet.world.gateway.operators;
    let answer = block_on(client.send(operators, request, TIMEOUT)).expect("an answer");
    let seen: Value = serde_json::from_slice(answer.body()).expect("JSON");
    assert_eq!(seen["refused"], "tenant-over-limit");
    assert_eq!(seen["limit-per-s"], RATE);
}

#[test]
fn limit_holds_while_another_gateway_takes_over_a_lost_ledger() {
    let mut fleet = Fleet::start();
    let kept = |gateway: &Gateway| holds_ledger(gateway);
    let lost = match fleet.others.iter().position(kept) {
        Some(other) => fleet.others.remove(other),
        None => {
            let other = fleet.others.remove(0);
            std::mem::replace(&mut fleet.world.gateway, other)
        }
    };
    let gateways = fleet.gateways();
    send_load(&gateways, || {
        std::thread::sleep(Duration::from_secs(1));
        drop(lost);
        eventually(|| {
            let kept = gateways.iter().any(|gateway| holds_ledger(gateway));
            kept.then_some(())
        });
        std::thread::sleep(Duration::from_secs(2));
    });
    let (max_requests_per_window, bound) = (fleet.max_requests_per_window("hot") as f64, bound());
    assert!(
        max_requests_per_window <= bound,
        "{max_requests_per_window} of {bound}"
    );
    for gateway in fleet.gateways() {
        eventually(|| (send_with_key(gateway, CALM).status() == 200).then_some(()));
    }
}

#[test]
fn silent_store_affects_neither_limits_nor_service() {
    let fleet = Fleet::start();
    let gateways = fleet.gateways();
    fleet.world.store.set_fault(Fault::Silent);
    send_load(&gateways, || {
        for round in 0..60 {
            let answer = send_with_key(gateways[round % 3], CALM);
            assert_eq!(answer.status(), 200, "round {round}");
            std::thread::sleep(Duration::from_millis(50));
        }
    });
    let (max_requests_per_window, bound) = (fleet.max_requests_per_window("hot") as f64, bound());
    assert!(
        max_requests_per_window <= bound,
        "{max_requests_per_window} of {bound}"
    );
}

#[test]
fn restart_of_all_gateways_gives_no_second_burst() {
    let mut fleet = Fleet::start();
    send_load(&fleet.gateways(), || {
        std::thread::sleep(Duration::from_secs(2));
    });
    let store = fleet.world.store.address();
    let again = |name| Gateway::start_named(name, store);
    fleet.others.clear();
    fleet.world.gateway = again("router-1");
    fleet.others = vec![again("router-2"), again("router-3")];
    fleet.world.gateway.await_ready();
    for gateway in &mut fleet.others {
        gateway.await_ready();
    }
    fleet.await_ledger();
    send_load(&fleet.gateways(), || {
        std::thread::sleep(Duration::from_secs(3));
    });
    let (max_requests_per_window, bound) = (fleet.max_requests_per_window("hot") as f64, bound());
    assert!(
        max_requests_per_window <= bound,
        "{max_requests_per_window} of {bound}"
    );
}
