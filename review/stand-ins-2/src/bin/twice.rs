//! Back ends are replaced while grants are carried out late and faulty back
//! ends send some of their rejections a second time, many answers later.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use threadledge_review_stand_ins_2::back_end::{Arrivals, BackEnd, Interceptor, Plan};
use threadledge_review_stand_ins_2::client::Request;
use threadledge_review_stand_ins_2::gateway::free_address;
use threadledge_review_stand_ins_2::http::Connection;
use threadledge_review_stand_ins_2::store::Store;
use threadledge_review_stand_ins_2::world::{
    configuration, configure, unix_ms, Case, Route, BROKEN, HELD, HOST, NOT_RUN, ZONES,
};

/// One answer in so many is sent a second time (`x` of `garble extra late` is 0.03).
const ONE_IN: u64 = 34;
/// The longest time for which a second answer is held back.
const LATEST: Duration = Duration::from_secs(1);
/// How late a grant is carried out that has no answer.
const GRANT_LATE: Duration = Duration::from_secs(2);
const BACK_ENDS: usize = 5;
const CLIENTS: usize = 80;
const PAUSE: Duration = Duration::from_millis(30);
/// Back ends that are replaced, one every 2 s.
const TURNS: usize = 36;

fn main() {
    let Some(case) = Case::open() else {
        std::process::exit(NOT_RUN)
    };
    match play(&case) {
        Ok((code, why)) => case.exit(code, &why),
        Err(error) => case.exit(NOT_RUN, &format!("could not run: {error}")),
    }
}

type Surplus = HashMap<(SocketAddr, String), (Vec<u8>, Instant, u64)>;

fn play(case: &Case) -> std::io::Result<(i32, String)> {
    let record = &case.record;
    let store = Store::new(Duration::from_secs(20));
    let address = store.serve()?;
    let route = Route {
        name: "greet",
        prefix: "/greet/",
        kind: "unsafe",
        service: "courtship",
        timeout_s: 3.0,
        target_s: 1.0,
    };
    configure(&store, configuration(3, &[route], &[("courtship", true)]));
    let arrivals = Arrivals::default();
    let surplus: Arc<Mutex<Surplus>> = Arc::default();
    let exchanges: Arc<Mutex<HashMap<SocketAddr, u64>>> = Arc::default();
    let (answers, sent, doubled) = (
        Arc::new(AtomicU64::new(0)),
        Arc::new(AtomicU64::new(0)),
        Arc::new(AtomicU64::new(0)),
    );
    let late = Arc::new(AtomicBool::new(false));
    let (troubled, count_sent, told) = (case.trouble, sent.clone(), record.clone());
    let (window, turn) = (late.clone(), AtomicU64::new(0));
    let repeats: Interceptor = Arc::new(
        move |back_end: &BackEnd, connection: &mut Connection, request| {
            if request.target().starts_with("/api/") {
                if request.target() == "/api/grant"
                    && window.load(Ordering::SeqCst)
                    && turn.fetch_add(1, Ordering::SeqCst) % 2 == 0
                {
                    told.line(&format!(
                        "{} leaves a grant unanswered: {}",
                        back_end.plan.id,
                        String::from_utf8_lossy(&request.body)
                    ));
                    let (back_end, request) = (back_end.clone(), request.clone());
                    std::thread::spawn(move || {
                        std::thread::sleep(GRANT_LATE);
                        back_end.answer(&request);
                    });
                    let _ = connection.read(false);
                    return Some(false);
                }
                return None;
            }
            let id = request.header("x-request-id")?.to_owned();
            let peer = connection.stream.peer_addr().ok()?;
            let number = {
                let mut exchanges = exchanges.lock().unwrap();
                let number = exchanges.entry(peer).or_default();
                *number += 1;
                *number
            };
            let copy = surplus.lock().unwrap().remove(&(peer, id.clone()));
            if let Some((copy, _, before)) = copy.filter(|(_, since, _)| since.elapsed() < LATEST) {
                told.line(&format!(
                    "{} sends its rejection of {id} a second time, {} answers later",
                    back_end.plan.id,
                    number - before
                ));
                count_sent.fetch_add(1, Ordering::SeqCst);
                let _ = std::io::Write::write_all(&mut connection.stream, &copy);
            }
            let answer = back_end.answer(request);
            let is_faulty = back_end.plan.id.ends_with(['0', '2', '4', '6', '8']);
            let second = told.now().as_millis() as u64 % 6_000;
            if !is_faulty || second >= 5_000 {
                let written = std::io::Write::write_all(&mut connection.stream, &answer);
                return Some(written.is_ok());
            }
            let count = answers.fetch_add(1, Ordering::SeqCst);
            if troubled
                && answer.starts_with(b"HTTP/1.1 421")
                && doubled.load(Ordering::SeqCst) < count / ONE_IN
            {
                doubled.fetch_add(1, Ordering::SeqCst);
                surplus
                    .lock()
                    .unwrap()
                    .insert((peer, id), (answer.clone(), Instant::now(), number));
            }
            let written = std::io::Write::write_all(&mut connection.stream, &answer);
            Some(written.is_ok())
        },
    );
    let number = AtomicU64::new(0);
    let plan = || -> std::io::Result<Plan> {
        let number = number.fetch_add(1, Ordering::SeqCst) as usize;
        Ok(Plan {
            id: format!("i-{number:03}"),
            service: "courtship".to_owned(),
            zone: ZONES[number % 3].to_owned(),
            address: free_address()?,
            capacity: 2,
            keyed: true,
            work: Duration::from_millis(2),
            answer_bytes: 0,
            heartbeat: Duration::from_millis(1_300),
        })
    };
    let start = |plan: Plan| {
        BackEnd::start(
            plan,
            unix_ms(),
            &store,
            record,
            &arrivals,
            Some(repeats.clone()),
        )
    };
    let mut back_ends = Vec::new();
    for _ in 0..BACK_ENDS {
        back_ends.push(start(plan()?)?);
    }
    let gateways = case.start_gateways(&vec![address; 2])?;
    std::thread::sleep(Duration::from_secs(6));
    let running = Arc::new(AtomicBool::new(true));
    let next = Arc::new(AtomicU64::new(0));
    let statuses: Arc<Mutex<BTreeMap<String, u16>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let gateway = gateways[client % gateways.len()].settings.callers;
            let (running, next, statuses, record) = (
                running.clone(),
                next.clone(),
                statuses.clone(),
                record.clone(),
            );
            std::thread::spawn(move || {
                let mut kept: Option<Connection> = None;
                while running.load(Ordering::SeqCst) {
                    let number = next.fetch_add(1, Ordering::SeqCst);
                    let request = Request {
                        method: "POST".to_owned(),
                        host: HOST.to_owned(),
                        path: format!("/greet/{number}"),
                        id: format!("g{number:06}"),
                        deadline_ms: 3_000,
                        key: Some((number * 7919 % 65_536) as u16),
                        body: b"a greeting".to_vec(),
                    };
                    let Some(mut connection) = kept
                        .take()
                        .or_else(|| TcpStream::connect(gateway).ok().map(Connection::new))
                    else {
                        continue;
                    };
                    let answer = request.send(&mut connection);
                    let status = match &answer {
                        Ok(Some(answer)) => answer.status(),
                        _ => 0,
                    };
                    record.line(&format!("client gets {status} for {}", request.id));
                    statuses.lock().unwrap().insert(request.id, status);
                    if matches!(&answer, Ok(Some(answer)) if !answer.closes()) {
                        kept = Some(connection);
                    }
                    std::thread::sleep(PAUSE);
                }
            })
        })
        .collect();
    // ONLY=second leaves the late grants out.
    let grants_late = case.trouble && std::env::var("ONLY").as_deref() != Ok("second");
    for turn in 0..TURNS {
        late.store(grants_late && turn % 3 != 2, Ordering::SeqCst);
        std::thread::sleep(Duration::from_millis(1_000));
        let added = start(plan()?)?;
        std::thread::sleep(Duration::from_millis(1_000));
        let leaving = std::mem::replace(&mut back_ends[turn % BACK_ENDS], added);
        leaving.drain();
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_secs(4));
            leaving.unregister();
            leaving.crash();
        });
    }
    running.store(false, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    drop(gateways);
    let statuses = statuses.lock().unwrap();
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for arrival in arrivals
        .0
        .lock()
        .unwrap()
        .iter()
        .filter(|arrival| arrival.ran)
    {
        *runs.entry(arrival.request.clone()).or_default() += 1;
    }
    let twice: Vec<&String> = runs
        .iter()
        .filter(|(_, runs)| **runs > 1)
        .map(|(id, _)| id)
        .collect();
    let refused: Vec<&String> = statuses
        .iter()
        .filter(|(id, status)| matches!(**status, 408 | 421 | 429 | 503) && runs.contains_key(*id))
        .map(|(id, _)| id)
        .collect();
    let served = statuses.values().filter(|status| **status == 200).count();
    let told = format!("{served} of {} requests served; {} second answers sent; {} ran more than once, {} refused and had run", statuses.len(), sent.load(Ordering::SeqCst), twice.len(), refused.len());
    if served * 2 < statuses.len() {
        return Ok((NOT_RUN, format!("the deployment did not serve: {told}")));
    }
    match twice.len() + refused.len() {
        0 => Ok((HELD, format!("held: {told}"))),
        _ => Ok((BROKEN, format!("TWICE broken: {told}"))),
    }
}
