//! A machine is cut off from the store and the other machine while a back end
//! leaves that carries its orders out late.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use threadledge_review_stand_ins_2::back_end::{Arrivals, BackEnd, Interceptor, Observer, Plan};
use threadledge_review_stand_ins_2::client::Request;
use threadledge_review_stand_ins_2::gateway::{free_address, Gateway};
use threadledge_review_stand_ins_2::http::Connection;
use threadledge_review_stand_ins_2::json::Json;
use threadledge_review_stand_ins_2::proxy::{Path, Renaming};
use threadledge_review_stand_ins_2::store::Store;
use threadledge_review_stand_ins_2::world::{
    configuration, configure, unix_ms, Case, Route, Traffic, BROKEN, HELD, HOST, NOT_RUN, ZONES,
};

/// How long one back end of five leaves its orders unanswered.
const UNANSWERED_S: f64 = 5.5;
/// How late it carries out grants and releases.
const GRANTS_LATE_S: f64 = 2.1;
const RELEASES_LATE_S: f64 = 11.0;
const GATEWAYS: usize = 4;
/// How long one machine is cut off.
const CUT_S: f64 = 10.0;
/// Keys that the clients ask for, all at one distance.
const KEYS: u64 = 64;

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

/// A request that was begun while another back end held its key as well.
struct Shared {
    at: Duration,
    key: u16,
    begun_at: String,
    also_held_by: String,
}

/// The paths of one gateway: to the store, and to each other gateway.
struct Paths {
    store: Path,
    peers: Vec<(usize, Path)>,
}

/// Starts the paths of gateways whose peer addresses are `real`.
fn start_paths(store: SocketAddr, real: &[SocketAddr]) -> std::io::Result<Vec<Paths>> {
    let count = real.len();
    let mut doors = BTreeMap::new();
    for from in 0..count {
        for to in (0..count).filter(|to| *to != from) {
            doors.insert((from, to), TcpListener::bind("127.0.0.1:0")?);
        }
    }
    // By what address each gateway knows each other one.
    let mut known = BTreeMap::new();
    for (pair, door) in &doors {
        known.insert(*pair, door.local_addr()?.to_string());
    }
    let mut paths = Vec::new();
    for from in 0..count {
        let others: Vec<usize> = (0..count).filter(|other| *other != from).collect();
        let pairs = others
            .iter()
            .map(|other| (known[&(from, *other)].clone(), real[*other].to_string()))
            .collect();
        let store = Path::start(TcpListener::bind("127.0.0.1:0")?, store, Renaming { pairs })?;
        let mut peers = Vec::new();
        for to in &others {
            let mut pairs = vec![
                (known[&(from, *to)].clone(), real[*to].to_string()),
                (real[from].to_string(), known[&(*to, from)].clone()),
            ];
            for third in others.iter().filter(|third| *third != to) {
                pairs.push((
                    known[&(from, *third)].clone(),
                    known[&(*to, *third)].clone(),
                ));
            }
            let Some(door) = doors.remove(&(from, *to)) else {
                continue;
            };
            peers.push((*to, Path::start(door, real[*to], Renaming { pairs })?));
        }
        paths.push(Paths { store, peers });
    }
    Ok(paths)
}

fn play(case: &Case) -> std::io::Result<(i32, String)> {
    let record = &case.record;
    let store = Store::new(seconds(20.0));
    let address = store.serve()?;
    let route = Route {
        name: "browse",
        prefix: "/browse/",
        kind: "safe",
        service: "gallery",
        timeout_s: 1.2,
        target_s: 0.2,
    };
    configure(&store, configuration(3, &[route], &[("gallery", true)]));
    let arrivals = Arrivals::default();
    // ONLY=cut and ONLY=late play one half of the disruption.
    let only = std::env::var("ONLY").unwrap_or_default();
    let (cuts, is_late) = (
        case.trouble && only != "late",
        case.trouble && only != "cut",
    );

    let late = Arc::new(AtomicBool::new(false));
    let (orders, late_orders) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let counted = orders.clone();
    let counts: Interceptor = Arc::new(move |_: &BackEnd, _: &mut Connection, request| {
        if request.target().starts_with("/api/") {
            counted.fetch_add(1, Ordering::SeqCst);
        }
        None
    });
    let (window, counted, counted_late, told) = (
        late.clone(),
        orders.clone(),
        late_orders.clone(),
        record.clone(),
    );
    let leaves_unanswered: Interceptor = Arc::new(
        move |back_end: &BackEnd, connection: &mut Connection, request| {
            let is_grant = request.target() == "/api/grant";
            if !request.target().starts_with("/api/") {
                return None;
            }
            counted.fetch_add(1, Ordering::SeqCst);
            if !window.load(Ordering::SeqCst) {
                return None;
            }
            counted_late.fetch_add(1, Ordering::SeqCst);
            let (back_end, request) = (back_end.clone(), request.clone());
            told.line(&format!(
                "{} leaves {} unanswered: {}",
                back_end.plan.id,
                request.target(),
                String::from_utf8_lossy(&request.body)
            ));
            let wait = seconds(if is_grant {
                GRANTS_LATE_S
            } else {
                RELEASES_LATE_S
            });
            std::thread::spawn(move || {
                std::thread::sleep(wait);
                back_end.answer(&request);
            });
            // No answer: the connection stays open until its other end closes it.
            let _ = connection.read(false);
            Some(false)
        },
    );
    let mut back_ends: Vec<BackEnd> = Vec::new();
    for number in 0..5 {
        let plan = Plan {
            id: format!("i-00{number}"),
            service: "gallery".to_owned(),
            zone: ZONES[number % 3].to_owned(),
            address: free_address()?,
            capacity: 2,
            keyed: true,
            work: Duration::from_millis(15),
            answer_bytes: 0,
            heartbeat: seconds(1.3),
        };
        let interceptor = if number == 0 {
            leaves_unanswered.clone()
        } else {
            counts.clone()
        };
        back_ends.push(BackEnd::start(
            plan,
            unix_ms(),
            &store,
            record,
            &arrivals,
            Some(interceptor),
        )?);
    }
    let shared: Arc<Mutex<Vec<Shared>>> = Arc::default();
    let all: Arc<Vec<BackEnd>> = Arc::new(back_ends.clone());
    let (seen, times) = (shared.clone(), record.clone());
    let observer: Observer = Arc::new(move |back_end: &BackEnd, id: &str, key: u16| {
        for other in all
            .iter()
            .filter(|other| other.plan.id != back_end.plan.id && other.holds(key))
        {
            times.line(&format!(
                "{} begins {id} on key {key}, which {} holds as well",
                back_end.plan.id, other.plan.id
            ));
            let (begun_at, also_held_by) = (back_end.plan.id.clone(), other.plan.id.clone());
            seen.lock().unwrap().push(Shared {
                at: times.now(),
                key,
                begun_at,
                also_held_by,
            });
        }
    });
    for back_end in &back_ends {
        back_end.observe(observer.clone());
    }

    let mut settings = Vec::new();
    for index in 0..GATEWAYS {
        settings.push(Case::settings(index, address)?);
    }
    let real: Vec<SocketAddr> = settings.iter().map(|settings| settings.peers).collect();
    let paths = start_paths(address, &real)?;
    for (settings, paths) in settings.iter_mut().zip(&paths) {
        settings.store = paths.store.address;
    }
    let mut gateways: Vec<Gateway> = Vec::new();
    for settings in settings {
        gateways.push(case.start_with(settings)?);
    }
    if !gateways
        .iter()
        .all(|gateway| gateway.until_ready(seconds(20.0)))
    {
        return Ok((NOT_RUN, "the gateways did not become ready".to_owned()));
    }
    std::thread::sleep(seconds(8.0));
    let doors: Vec<_> = gateways
        .iter()
        .map(|gateway| (gateway.settings.callers, gateway.settings.readiness))
        .collect();
    let make = Arc::new(|number: u64| {
        let key = number / 2 % KEYS * (65_536 / KEYS);
        Request {
            method: "GET".to_owned(),
            host: HOST.to_owned(),
            path: format!("/browse/{key}"),
            id: format!("b{number:06}"),
            deadline_ms: 1_200,
            key: Some(key as u16),
            body: Vec::new(),
        }
    });
    let traffic = Traffic::start(record, &doors, 24, Duration::from_millis(150), make);
    std::thread::sleep(seconds(4.0));

    // The machine that gives no orders is cut off.
    let lease = store.get("threadledge-leases", "gallery");
    let holder = lease
        .as_ref()
        .and_then(|lease| lease.get("holder"))
        .and_then(|holder| holder.get("node"));
    let coordinator = holder.and_then(Json::as_text).unwrap_or("").to_owned();
    let Some(off) = gateways
        .iter()
        .position(|gateway| gateway.settings.machine != coordinator)
        .filter(|_| !coordinator.is_empty())
    else {
        return Ok((NOT_RUN, "no machine gives orders".to_owned()));
    };
    record.line(&format!("{coordinator} gives the orders"));
    let before = (
        orders.load(Ordering::SeqCst),
        late_orders.load(Ordering::SeqCst),
    );
    if cuts {
        record.line(&format!(
            "{} is cut off from the store and from the other gateways",
            gateways[off].settings.machine
        ));
        paths[off].store.cut();
        for (from, paths) in paths.iter().enumerate() {
            for (to, path) in &paths.peers {
                if from == off || *to == off {
                    path.cut();
                }
            }
        }
    }
    late.store(is_late, Ordering::SeqCst);
    std::thread::sleep(seconds(0.8));
    back_ends[0].drain();
    std::thread::sleep(seconds(UNANSWERED_S - 0.8));
    late.store(false, Ordering::SeqCst);
    let share = (late_orders.load(Ordering::SeqCst) - before.1) as f64
        / (orders.load(Ordering::SeqCst) - before.0).max(1) as f64;
    std::thread::sleep(seconds(CUT_S - UNANSWERED_S));
    for paths in &paths {
        paths.store.heal();
        for (_, path) in &paths.peers {
            path.heal();
        }
    }
    record.line("all paths work again");
    std::thread::sleep(seconds(6.0));
    let ends = traffic.stop();
    drop(gateways);

    let shared = shared.lock().unwrap();
    let mut begun: BTreeMap<(u16, String, String), Vec<Duration>> = BTreeMap::new();
    for each in shared.iter() {
        begun
            .entry((each.key, each.begun_at.clone(), each.also_held_by.clone()))
            .or_default()
            .push(each.at);
    }
    // Both began requests on the key, within one time in which both held it.
    let both: Vec<&(u16, String, String)> = begun
        .keys()
        .filter(|(key, one, other)| {
            one < other && begun.contains_key(&(*key, other.clone(), one.clone()))
        })
        .collect();
    for (key, one, other) in &both {
        record.line(&format!("OWNER: {one} and {other} held key {key} at the same time, and both began requests on it"));
    }
    let served = ends.iter().filter(|end| end.status == 200).count();
    let told = format!(
        "{served} of {} requests served; {share:.2} of the orders of that time left unanswered; {} requests begun on keys that another back end held as well; {} keys on which both began requests",
        ends.len(),
        shared.len(),
        both.len()
    );
    if served * 2 < ends.len() {
        return Ok((NOT_RUN, format!("the deployment did not serve: {told}")));
    }
    match both.len() {
        0 => Ok((HELD, format!("held: {told}"))),
        _ => Ok((BROKEN, format!("OWNER broken: {told}"))),
    }
}
