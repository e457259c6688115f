//! A back end restarts under its former id after its machine's clock was set
//! right, and later states that it is leaving.

use std::sync::Arc;
use std::time::Duration;

use threadledge_review_stand_ins_2::back_end::{Arrivals, BackEnd, Plan};
use threadledge_review_stand_ins_2::client::Request;
use threadledge_review_stand_ins_2::gateway::{free_address, Gateway};
use threadledge_review_stand_ins_2::store::Store;
use threadledge_review_stand_ins_2::world::{
    configuration, configure, unix_ms, Case, Route, Traffic, BROKEN, HELD, HOST, NOT_RUN, ZONES,
};

/// The jump of the clock, as `kinds` gives it for `clock_step`.
const JUMP_MS: u64 = 2_000;
/// `DrainS` of the deployment.
const DRAIN: Duration = Duration::from_secs(2);
/// How much longer than `DrainS` the back end serves on.
const SERVES_ON: Duration = Duration::from_secs(5);

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn main() {
    let Some(case) = Case::open() else {
        std::process::exit(NOT_RUN)
    };
    match play(&case) {
        Ok((code, why)) => case.exit(code, &why),
        Err(error) => case.exit(NOT_RUN, &format!("could not run: {error}")),
    }
}

fn play(case: &Case) -> std::io::Result<(i32, String)> {
    let record = &case.record;
    let store = Store::new(Duration::from_secs(20));
    let address = store.serve()?;
    let route = Route {
        name: "greet",
        prefix: "/greet/",
        kind: "unsafe",
        service: "courtship",
        timeout_s: 0.8,
        target_s: 0.25,
    };
    configure(&store, configuration(3, &[route], &[("courtship", false)]));
    let arrivals = Arrivals::default();
    let plan = |number: usize| -> std::io::Result<Plan> {
        Ok(Plan {
            id: format!("i-00{number}"),
            service: "courtship".to_owned(),
            zone: ZONES[number % 3].to_owned(),
            address: free_address()?,
            capacity: 2,
            keyed: false,
            work: Duration::from_millis(60),
            answer_bytes: 0,
            heartbeat: seconds(1.3),
        })
    };
    let start = |plan: Plan, born: u64| BackEnd::start(plan, born, &store, record, &arrivals, None);
    let others = [start(plan(0)?, unix_ms())?, start(plan(1)?, unix_ms())?];
    let gateways = case.start_gateways(&[address; 3])?;
    std::thread::sleep(seconds(2.0));
    let doors: Vec<_> = gateways
        .iter()
        .map(|gateway: &Gateway| (gateway.settings.callers, gateway.settings.readiness))
        .collect();
    let make = Arc::new(|number: u64| Request {
        method: "POST".to_owned(),
        host: HOST.to_owned(),
        path: format!("/greet/{number}"),
        id: format!("g{number:06}"),
        deadline_ms: 1_500,
        key: None,
        body: b"a greeting".to_vec(),
    });
    let traffic = Traffic::start(record, &doors, 6, Duration::from_millis(150), make);
    std::thread::sleep(seconds(1.0));

    // The clock of this back end's machine is ahead while it starts.
    let ahead = if case.trouble { JUMP_MS } else { 0 };
    let leaving = plan(2)?;
    let first = start(leaving.clone(), unix_ms() + ahead)?;
    std::thread::sleep(seconds(1.0));
    first.crash();
    std::thread::sleep(seconds(0.4));
    // The clock is right again.
    let second = start(leaving, unix_ms())?;
    std::thread::sleep(seconds(6.0));
    second.drain();
    let acknowledged = record.now();
    std::thread::sleep(DRAIN + SERVES_ON);
    second.crash();
    second.unregister();
    let ended = record.now();
    std::thread::sleep(seconds(2.0));
    let ends = traffic.stop();
    drop(gateways);
    drop(others);

    let arrivals = arrivals.0.lock().unwrap();
    let at_leaving = arrivals
        .iter()
        .filter(|arrival| arrival.back_end == "i-002");
    let before = at_leaving
        .clone()
        .filter(|arrival| arrival.at < acknowledged)
        .count();
    let late = at_leaving
        .filter(|arrival| arrival.at > acknowledged + DRAIN)
        .count();
    let lost = ends
        .iter()
        .filter(|end| {
            end.sent > acknowledged + DRAIN
                && end.sent < ended + seconds(1.0)
                && matches!(end.status, 0 | 502 | 504)
        })
        .count();
    let served = ends.iter().filter(|end| end.status == 200).count();
    let told = format!(
        "{served} of {} requests served; i-002 got {before} requests before it stated draining and {late} later than DrainS after the store acknowledged it; {lost} requests around its end had no answer that tells whether they ran",
        ends.len()
    );
    if served * 2 < ends.len() || before == 0 {
        return Ok((NOT_RUN, format!("the deployment did not serve: {told}")));
    }
    match late {
        0 => Ok((HELD, format!("held: {told}"))),
        _ => Ok((BROKEN, format!("DRAIN broken: {told}"))),
    }
}
