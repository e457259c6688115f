//! A small deployment: a store, back ends of one keyed service, gateways, and
//! callers. The back ends are replaced one after the other.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::back_end::{BackEnd, Config, Runs, State};
use crate::client::{Caller, Outcome, Outcomes, Try};
use crate::gateway::{Deployment, Gateway};
use crate::record::{Random, Record};
use crate::store::Store;
use crate::Arguments;

const SERVICE: &str = "registry";
const HOST: &str = "registry.example";
const PATH: &str = "/entries/";
const GATEWAYS: usize = 3;
/// Traffic starts so long after the machines do.
const LEAD: Duration = Duration::from_secs(8);
/// Longest time from the start until callers send no more.
const LONGEST: Duration = Duration::from_secs(108);
const HEARTBEAT: Duration = Duration::from_millis(1_300);
/// Pause until a fault comes again.
const FAULT_PAUSE: Duration = Duration::from_secs(1);

/// What differs between scenarios.
#[derive(Clone)]
pub struct Plan {
    /// `Kind` of the only route.
    pub route_kind: &'static str,
    pub method: &'static str,
    pub timeout_s: f64,
    pub target_latency_s: f64,
    pub deadline: Duration,
    pub back_ends: usize,
    /// How many of them, of those that run at the same time, are faulty.
    pub faulty: usize,
    pub slots: usize,
    pub queue: usize,
    pub work_ms: (u64, u64),
    pub callers: usize,
    /// Longest pause of a caller between two requests, in milliseconds.
    pub pause_ms: u64,
    pub length: Duration,
    /// What is planned: back ends are replaced, or one comes and goes.
    pub planned: Planned,
    /// How long the fault lasts.
    pub fault_length: Duration,
    /// Turns the fault of a back end on or off.
    pub set_fault: fn(&mut State, bool),
}

/// Planned work on the back ends.
#[derive(Clone, Copy)]
pub enum Planned {
    /// One after the other is replaced, each this long after the one before.
    Replace(Duration),
    /// Some come in each cycle, shortly after the fault of the first back ends
    /// has begun, and leave when that is over.
    Grow {
        /// How many come.
        joins: usize,
        /// The fault comes again while they leave.
        fault_while_leaving: bool,
    },
}

/// What was seen.
pub struct Seen {
    pub runs: Runs,
    pub outcomes: Outcomes,
    pub back_ends: Vec<BackEnd>,
    pub gateway_ended: bool,
}

fn configuration(plan: &Plan) -> String {
    format!(
        "{{\"Version\":\"r7\",\"Routes\":{{\"r-1\":{{\"Host\":\"{HOST}\",\"PathPrefix\":\"{PATH}\",\"Kind\":\"{}\",\"TimeoutS\":{},\"TargetLatencyS\":{},\"Priority\":1,\"Service\":\"{SERVICE}\",\"MaxAttempts\":2}}}},\
         \"Services\":{{\"{SERVICE}\":{{\"HealthPath\":\"/health\",\"MaxConnections\":130,\"Protocol\":\"h1\",\"Tls\":false,\"Sharded\":true,\"WarmS\":2.0,\"Grants\":\"call\"}}}},\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":67108864,\"HeaderTimeoutS\":3,\"IdleTimeoutS\":15}},\"BaseVersion\":\"r5\"}}",
        plan.route_kind, plan.timeout_s, plan.target_latency_s
    )
}

/// The registered back ends with their states.
#[derive(Clone)]
struct Fleet {
    store: Store,
    members: Arc<Mutex<Vec<(BackEnd, &'static str)>>>,
}

impl Fleet {
    fn beat(&self, sequence: u64) {
        for (back_end, state) in self.members.lock().unwrap().iter() {
            self.store.put(
                "servers",
                &back_end.config.id,
                back_end.entry(state, sequence),
            );
        }
    }

    fn join(&self, back_end: BackEnd) {
        let mut members = self.members.lock().unwrap();
        self.store
            .put("servers", &back_end.config.id, back_end.entry("ready", 1));
        members.push((back_end, "ready"));
    }

    fn drain(&self, back_end: &BackEnd) {
        let mut members = self.members.lock().unwrap();
        for (each, state) in members
            .iter_mut()
            .filter(|(each, _)| each.config.id == back_end.config.id)
        {
            *state = "draining";
            self.store
                .put("servers", &each.config.id, each.entry(state, 900_000));
        }
    }

    fn leave(&self, back_end: &BackEnd) {
        let mut members = self.members.lock().unwrap();
        members.retain(|(each, _)| each.config.id != back_end.config.id);
        self.store.remove("servers", &back_end.config.id);
        back_end.end();
    }
}

/// Plays a scenario; `None` if it could not run.
pub fn play(arguments: &Arguments, plan: &Plan, record: &Record) -> Option<Seen> {
    let begun = Instant::now();
    let store = Store::start();
    let runs = Runs::default();
    let zones = ["zone-a", "zone-b", "zone-c"].map(str::to_owned);
    let (seed, shared_runs, shared_record, shared_zones) =
        (arguments.seed, runs.clone(), record.clone(), zones.clone());
    let (slots, queue, work_ms) = (plan.slots, plan.queue, plan.work_ms);
    let start = move |number: usize| {
        let config = Config {
            id: format!("i-{number}"),
            service: SERVICE.to_owned(),
            zone: shared_zones[number % shared_zones.len()].clone(),
            keyed: true,
            slots,
            queue,
            work_ms,
            tells_load: false,
        };
        BackEnd::start(
            config,
            seed * 1_000 + number as u64,
            shared_runs.clone(),
            shared_record.clone(),
        )
    };
    let first: Vec<BackEnd> = (0..plan.back_ends).map(&start).collect();
    store.put("config", "main", configuration(plan));
    let fleet = Fleet {
        store: store.clone(),
        members: Arc::default(),
    };
    for back_end in &first {
        fleet.join(back_end.clone());
    }
    let over = Arc::new(AtomicBool::new(false));
    {
        let (fleet, over) = (fleet.clone(), over.clone());
        thread::spawn(move || {
            let mut sequence = 1;
            while !over.load(Ordering::Relaxed) {
                thread::sleep(HEARTBEAT);
                sequence += 1;
                fleet.beat(sequence);
            }
        });
    }
    let deployment = Deployment {
        program: arguments.program.clone(),
        folder: arguments.folder.clone(),
        store: store.address,
        zones: zones.to_vec(),
    };
    let mut gateways: Vec<Gateway> = (0..GATEWAYS)
        .map(|number| Gateway::start(&deployment, &format!("front-{number}"), &zones[number]))
        .collect();
    for gateway in &gateways {
        if !gateway.await_ready(Duration::from_secs(10)) {
            record.line(&format!("{} is not ready", gateway.name));
            return None;
        }
    }
    thread::sleep(LEAD);
    let held = |key: &u16| first.iter().any(|back_end| back_end.holds(*key));
    if ![0, 20_000, 40_000, 65_535].iter().all(held) {
        record.line("some keys have no owner");
        return None;
    }
    let outcomes = Outcomes::default();
    let until = (Instant::now() + plan.length).min(begun + LONGEST);
    let everyone = Arc::new(Mutex::new(first));
    {
        // Planned work: the back ends are replaced one after the other.
        let (fleet, everyone, plan) = (fleet.clone(), everyone.clone(), plan.clone());
        let (trouble, record, noted) = (arguments.trouble, record.clone(), runs.clone());
        thread::spawn(move || match plan.planned {
            Planned::Replace(every) => replace(&fleet, &everyone, &plan, every, until, start),
            Planned::Grow { .. } => grow(
                &fleet, &everyone, &plan, trouble, until, start, &record, &noted,
            ),
        });
    }
    if arguments.trouble && matches!(plan.planned, Planned::Replace(_)) {
        let (everyone, record, plan) = (everyone.clone(), record.clone(), plan.clone());
        thread::spawn(move || disturb(&everyone, &record, &plan, until));
    }
    let callers: Vec<_> = (0..plan.callers)
        .map(|number| {
            let mut caller = Caller::new(
                gateways[number % GATEWAYS].callers,
                outcomes.clone(),
                record.clone(),
            );
            let mut random = Random(arguments.seed * 77_777 + number as u64);
            let plan = plan.clone();
            thread::spawn(move || {
                while Instant::now() < until {
                    thread::sleep(Duration::from_millis(random.below(plan.pause_ms)));
                    send_with_retries(&mut caller, &plan, random.below(65_536) as u16);
                }
            })
        })
        .collect();
    for caller in callers {
        let _ = caller.join();
    }
    // What was refused must not run later either.
    thread::sleep(Duration::from_secs(2));
    over.store(true, Ordering::Relaxed);
    let gateway_ended = gateways.iter_mut().any(Gateway::has_ended);
    drop(gateways);
    let back_ends = everyone.lock().unwrap().clone();
    Some(Seen {
        runs,
        outcomes,
        back_ends,
        gateway_ended,
    })
}

fn replace(
    fleet: &Fleet,
    everyone: &Mutex<Vec<BackEnd>>,
    plan: &Plan,
    every: Duration,
    until: Instant,
    start: impl Fn(usize) -> BackEnd,
) {
    let mut next = 0;
    while Instant::now() + Duration::from_secs(5) < until {
        let new = start(plan.back_ends + next);
        everyone.lock().unwrap().push(new.clone());
        fleet.join(new);
        thread::sleep(every / 2);
        let old = everyone.lock().unwrap()[next].clone();
        next += 1;
        fleet.drain(&old);
        thread::sleep(every / 2);
        let fleet = fleet.clone();
        thread::spawn(move || {
            // It serves on for longer than `DrainS`, 2 s.
            thread::sleep(Duration::from_secs(3));
            fleet.leave(&old);
        });
    }
}

#[allow(clippy::too_many_arguments)]
fn grow(
    fleet: &Fleet,
    everyone: &Mutex<Vec<BackEnd>>,
    plan: &Plan,
    trouble: bool,
    until: Instant,
    start: impl Fn(usize) -> BackEnd,
    record: &Record,
    noted: &Runs,
) {
    let Planned::Grow {
        joins,
        fault_while_leaving,
    } = plan.planned
    else {
        return;
    };
    let faulty: Vec<BackEnd> = everyone.lock().unwrap()[..plan.faulty].to_vec();
    let set_fault = |on: bool| {
        noted.set_fault(on);
        for back_end in &faulty {
            back_end.set(|state| (plan.set_fault)(state, on));
        }
    };
    let mut next = plan.back_ends;
    while Instant::now() + Duration::from_secs(14) < until {
        let begun = Instant::now();
        if trouble {
            record.line("the fault begins");
            set_fault(true);
        }
        thread::sleep(Duration::from_millis(200));
        let mut joined = Vec::new();
        for _ in 0..joins {
            let new = start(next);
            next += 1;
            everyone.lock().unwrap().push(new.clone());
            fleet.join(new.clone());
            joined.push(new);
            if joined.len() < joins {
                thread::sleep(Duration::from_millis(700));
            }
        }
        thread::sleep((plan.fault_length).saturating_sub(begun.elapsed()));
        if trouble {
            record.line("the fault ends");
            set_fault(false);
        }
        // The late orders have been carried out before the back end leaves.
        thread::sleep(Duration::from_secs(3));
        if trouble && fault_while_leaving {
            set_fault(true);
        }
        for new in &joined {
            fleet.drain(new);
        }
        thread::sleep(Duration::from_secs(4));
        if trouble && fault_while_leaving {
            set_fault(false);
        }
        for new in &joined {
            fleet.leave(new);
        }
        thread::sleep(Duration::from_secs(2));
    }
}

fn disturb(everyone: &Mutex<Vec<BackEnd>>, record: &Record, plan: &Plan, until: Instant) {
    let faulty = |on: bool| {
        for (number, back_end) in everyone.lock().unwrap().iter().enumerate() {
            let is_faulty = number % plan.back_ends < plan.faulty;
            back_end.set(|state| (plan.set_fault)(state, on && is_faulty));
        }
    };
    while Instant::now() < until {
        faulty(true);
        record.line("the fault of some back ends begins");
        thread::sleep(plan.fault_length);
        faulty(false);
        record.line("the fault of some back ends ends");
        thread::sleep(FAULT_PAUSE);
    }
}

/// A caller that honours `Retry-After` and sends again, with a new id, only
/// after a promise that the request has not run.
fn send_with_retries(caller: &mut Caller, plan: &Plan, key: u16) {
    let body: &[u8] = if plan.method == "POST" {
        b"an entry that must be made once"
    } else {
        b""
    };
    let request = Try {
        method: plan.method,
        host: HOST,
        path: "/entries/2f",
        key: Some(key),
        deadline: plan.deadline,
        body,
    };
    for _ in 0..2 {
        let (_, outcome, answer) = caller.send(&request);
        if !matches!(outcome, Outcome::Status(429 | 503 | 408 | 421)) {
            return;
        }
        let wait = answer
            .as_ref()
            .and_then(|answer| answer.header("retry-after")?.parse().ok());
        thread::sleep(Duration::from_secs_f64(wait.unwrap_or(0.1_f64).min(0.5)));
    }
}
