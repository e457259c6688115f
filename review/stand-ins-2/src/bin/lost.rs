//! Clients send several safe requests before the first has been answered, and
//! two back ends of four break off a few of their answers.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use threadledge_review_stand_ins_2::back_end::{Arrivals, BackEnd, Interceptor, Plan};
use threadledge_review_stand_ins_2::gateway::free_address;
use threadledge_review_stand_ins_2::http::{encode, Connection};
use threadledge_review_stand_ins_2::store::Store;
use threadledge_review_stand_ins_2::world::{
    configuration, configure, unix_ms, Case, Route, BROKEN, HELD, HOST, NOT_RUN, ZONES,
};

/// One answer in so many of the faulty back ends is broken off (`x` of `garble`
/// is 0.02), for 5 s of 6 (`for_s`).
const ONE_IN: u64 = 50;
/// Requests that a client sends before it reads the first answer.
const AT_ONCE: usize = 8;
const ANSWER_BYTES: usize = 100 * 1024;
const FAULTY: [&str; 2] = ["i-001", "i-003"];

fn main() {
    let Some(case) = Case::open() else {
        std::process::exit(NOT_RUN)
    };
    match play(&case) {
        Ok((code, why)) => case.exit(code, &why),
        Err(error) => case.exit(NOT_RUN, &format!("could not run: {error}")),
    }
}

/// What the clients saw.
#[derive(Default)]
struct Seen {
    answered: usize,
    /// Requests behind a broken answer, or without one on their own.
    unanswered: BTreeSet<String>,
    /// Requests whose own answer broke off.
    broken: BTreeSet<String>,
}

fn play(case: &Case) -> std::io::Result<(i32, String)> {
    let record = &case.record;
    let store = Store::new(Duration::from_secs(20));
    let address = store.serve()?;
    let route = Route {
        name: "browse",
        prefix: "/browse/",
        kind: "safe",
        service: "gallery",
        timeout_s: 2.0,
        target_s: 0.6,
    };
    configure(&store, configuration(3, &[route], &[("gallery", false)]));
    let arrivals = Arrivals::default();
    let answers = Arc::new(AtomicU64::new(0));
    let (garbles, told) = (case.trouble, record.clone());
    let breaks_off: Interceptor = Arc::new(
        move |back_end: &BackEnd, connection: &mut Connection, request| {
            if !garbles || request.header("x-request-id").is_none() {
                return None;
            }
            if told.now().as_millis() % 6_000 >= 5_000 {
                return None;
            }
            if answers.fetch_add(1, Ordering::SeqCst) % ONE_IN != ONE_IN - 1 {
                return None;
            }
            let answer = back_end.answer(request);
            let _ =
                std::io::Write::write_all(&mut connection.stream, &answer[..answer.len() * 9 / 10]);
            let _ = connection.stream.shutdown(Shutdown::Both);
            Some(false)
        },
    );
    let mut back_ends = Vec::new();
    for number in 0..4 {
        let plan = Plan {
            id: format!("i-00{number}"),
            service: "gallery".to_owned(),
            zone: ZONES[number % 3].to_owned(),
            address: free_address()?,
            capacity: 4,
            keyed: false,
            work: Duration::from_millis(20),
            answer_bytes: ANSWER_BYTES,
            heartbeat: Duration::from_millis(1_300),
        };
        let interceptor = FAULTY
            .contains(&plan.id.as_str())
            .then(|| breaks_off.clone());
        back_ends.push(BackEnd::start(
            plan,
            unix_ms(),
            &store,
            record,
            &arrivals,
            interceptor,
        )?);
    }
    let gateways = case.start_gateways(&[address; 3])?;
    std::thread::sleep(Duration::from_secs(2));
    let running = Arc::new(AtomicBool::new(true));
    let number = Arc::new(AtomicU64::new(0));
    let seen = Arc::new(Mutex::new(Seen::default()));
    let clients: Vec<_> = (0..6)
        .map(|client: usize| {
            let gateway = gateways[client % 3].settings.callers;
            let (running, number, seen, record) = (
                running.clone(),
                number.clone(),
                seen.clone(),
                record.clone(),
            );
            std::thread::spawn(move || {
                while running.load(Ordering::SeqCst) {
                    let ids: Vec<String> = (0..AT_ONCE)
                        .map(|_| format!("b{:06}", number.fetch_add(1, Ordering::SeqCst)))
                        .collect();
                    let answered = send_all(gateway, &ids);
                    for (id, status) in ids.iter().zip(&answered) {
                        record.line(&format!("client gets {status} for {id} at {gateway}"));
                    }
                    if answered.len() < ids.len() {
                        record.line(&format!(
                            "client: the connection to {gateway} ends within the answer to {}",
                            ids[answered.len()]
                        ));
                    }
                    let mut seen = seen.lock().unwrap();
                    seen.answered += answered.len();
                    for (position, id) in ids.iter().enumerate().skip(answered.len()) {
                        match position == answered.len() {
                            true => seen.broken.insert(id.clone()),
                            false => seen.unanswered.insert(id.clone()),
                        };
                    }
                    drop(seen);
                    std::thread::sleep(Duration::from_millis(250));
                }
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(50));
    running.store(false, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    drop(gateways);

    let seen = seen.lock().unwrap();
    let mut at: BTreeMap<String, String> = BTreeMap::new();
    for arrival in arrivals
        .0
        .lock()
        .unwrap()
        .iter()
        .filter(|arrival| arrival.ran)
    {
        at.insert(arrival.request.clone(), arrival.back_end.clone());
    }
    let sound = |id: &&String| {
        at.get(*id)
            .is_some_and(|back_end| !FAULTY.contains(&back_end.as_str()))
    };
    let lost: Vec<&String> = seen.unanswered.iter().filter(sound).collect();
    for id in &lost {
        record.line(&format!("{id} ran at {} and has no answer", at[*id]));
    }
    let told = format!(
        "{} requests answered; {} answers broke off; {} requests that a sound back end ran have no answer, since their connection was closed",
        seen.answered,
        seen.broken.len(),
        lost.len()
    );
    if seen.answered < 1_000 {
        return Ok((NOT_RUN, format!("the deployment did not serve: {told}")));
    }
    match lost.len() {
        0..=3 => Ok((HELD, format!("held: {told}"))),
        _ => Ok((BROKEN, format!("LOST broken: {told}"))),
    }
}

/// Sends all requests on one connection and returns the statuses of the whole
/// answers, in order.
fn send_all(gateway: SocketAddr, ids: &[String]) -> Vec<u16> {
    let mut statuses = Vec::new();
    let Ok(stream) = TcpStream::connect_timeout(&gateway, Duration::from_secs(1)) else {
        return statuses;
    };
    let mut bytes = Vec::new();
    for id in ids {
        let headers = [
            ("Host", HOST.to_owned()),
            ("X-Request-Id", id.clone()),
            ("X-Request-Deadline-Ms", "3000".to_owned()),
        ];
        bytes.extend(encode(&format!("GET /browse/{id} HTTP/1.1"), &headers, b""));
    }
    let mut connection = Connection::new(stream);
    let _ = connection
        .stream
        .set_read_timeout(Some(Duration::from_secs(4)));
    if std::io::Write::write_all(&mut connection.stream, &bytes).is_err() {
        return statuses;
    }
    for id in ids {
        match connection.read(true) {
            Ok(Some(answer)) if answer.header("x-request-id").is_none_or(|each| each == id) => {
                statuses.push(answer.status())
            }
            _ => break,
        }
    }
    statuses
}
