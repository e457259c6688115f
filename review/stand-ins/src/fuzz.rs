//! A wide search: back ends with faults of many kinds, callers of many kinds.
//! Checks that each success is whole and its own, that nothing runs twice or is
//! refused after it ran, and that requests reach back ends unchanged.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::gateway::{Deployment, Gateway};
use crate::http::{Connection, Message};
use crate::record::{Random, Record};
use crate::store::Store;
use crate::{Arguments, Verdict};

fn hash(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

#[derive(Default)]
struct World {
    /// Runs by id.
    runs: BTreeMap<String, u32>,
    /// Statuses that back ends gave, by id.
    given: BTreeSet<(String, u16)>,
    /// Ids whose whole sound answer was written.
    answered: BTreeSet<String>,
    unasked: Vec<String>,
    mixed: Vec<String>,
    lost: Vec<String>,
    refused: Vec<String>,
    outcomes: BTreeMap<String, u32>,
    unsafe_ids: BTreeSet<String>,
    told_not_run: BTreeSet<String>,
}

type Shared = Arc<Mutex<World>>;

fn back_end(
    id: String,
    seed: u64,
    faults: Vec<String>,
    world: Shared,
    record: Record,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let mut number = seed * 1_000_000;
        for stream in listener.incoming().flatten() {
            number += 1;
            let (id, faults, world, record) =
                (id.clone(), faults.clone(), world.clone(), record.clone());
            thread::spawn(move || {
                serve(
                    Connection::new(stream),
                    &id,
                    Random(number),
                    &faults,
                    &world,
                    &record,
                )
            });
        }
    });
    address
}

fn reset(connection: &Connection) {
    // Unread bytes or not: the peer sees the end at once.
    let _ = connection.stream.shutdown(Shutdown::Both);
}

fn serve(
    mut connection: Connection,
    own: &str,
    mut random: Random,
    faults: &[String],
    world: &Shared,
    record: &Record,
) {
    let mut late: Option<Vec<u8>> = None;
    let has = |name: &str| faults.iter().any(|fault| fault == name);
    loop {
        // Reads the head first, so that long requests can be rejected early.
        let Ok(Some(mut request)) = connection.read_head() else {
            return;
        };
        let id = request.header("x-request-id").unwrap_or("").to_owned();
        if let Some(bytes) = late.take() {
            if connection.write(&bytes).is_err() {
                return;
            }
        }
        if request.path() == "/health" {
            if connection
                .write(&crate::http::response(200, &[("X-Instance-Id", own)], b""))
                .is_err()
            {
                return;
            }
            continue;
        }
        let head = |status: u16, extra: &str| {
            format!(
                "HTTP/1.1 {status} Answer\r\nX-Request-Id: {id}\r\nX-Server-Load: 1,0,8\r\n{extra}"
            )
        };
        let length = request
            .header("content-length")
            .and_then(|text| text.parse::<usize>().ok());
        let is_long = length.is_none_or(|length| length > 60_000) && request.method() == "POST";
        if has("early") && is_long && random.below(100) < 20 {
            let text = head(503, "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            if connection.write(text.as_bytes()).is_err()
                || connection.read_body(&mut request).is_err()
            {
                return;
            }
            continue;
        }
        if connection.read_body(&mut request).is_err() {
            return;
        }
        if request
            .header("x-expected-instance")
            .is_some_and(|expected| expected != own)
        {
            let text = head(
                421,
                &format!("X-Instance-Id: {own}\r\nContent-Length: 0\r\n\r\n"),
            );
            if connection.write(text.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        if has("reject") && random.below(100) < 10 {
            let text = head(503, "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            if connection.write(text.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        // It runs.
        {
            let mut world = world.lock().unwrap();
            *world.runs.entry(id.clone()).or_default() += 1;
            let expected = request.header("x-check").unwrap_or("").to_owned();
            let got = format!(
                "{}|{}|{:x}",
                request.method(),
                request.target(),
                hash(&request.body)
            );
            if expected != got {
                world
                    .unasked
                    .push(format!("{id}: sent {expected}, got {got}"));
            }
        }
        let longest: u64 = std::env::var("WORK_MS")
            .ok()
            .and_then(|text| text.parse().ok())
            .unwrap_or(30);
        thread::sleep(Duration::from_millis(random.below(longest)));
        let status = if has("fail") && random.below(100) < 5 {
            500
        } else {
            200
        };
        let size = match random.below(10) {
            0 => 70_000 + random.below(200_000) as usize,
            1 => 0,
            2 => 65_536,
            _ => random.below(3_000) as usize,
        };
        let fill = hash(id.as_bytes()).to_le_bytes();
        let body: Vec<u8> = (0..size).map(|at| fill[at % 8]).collect();
        let stamp = format!(
            "X-Server-Stamp: {own}.{id}.{}.{:x}\r\n",
            body.len(),
            hash(&body)
        );
        let shape = random.below(10);
        let mut closes = false;
        let mut bytes;
        if has("unframed") && shape == 0 {
            bytes = head(status, &stamp).into_bytes();
            bytes.extend_from_slice(b"\r\n");
            bytes.extend_from_slice(&body);
            closes = true;
        } else if shape < 4 {
            bytes = head(
                status,
                &format!("{stamp}Transfer-Encoding: chunked\r\n\r\n"),
            )
            .into_bytes();
            for part in body.chunks(1 + random.below(30_000) as usize) {
                bytes.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
                bytes.extend_from_slice(part);
                bytes.extend_from_slice(b"\r\n");
            }
            bytes.extend_from_slice(b"0\r\n\r\n");
        } else {
            if has("close") && random.below(20) == 0 {
                closes = true;
            }
            let close = if closes { "Connection: close\r\n" } else { "" };
            bytes = head(
                status,
                &format!("{stamp}{close}Content-Length: {}\r\n\r\n", body.len()),
            )
            .into_bytes();
            bytes.extend_from_slice(&body);
        }
        let fault = random.below(1_000);
        if has("lost") && fault < 30 {
            thread::sleep(Duration::from_millis(random.below(200)));
            reset(&connection);
            return;
        }
        if has("cut") && (30..60).contains(&fault) {
            let kept = random.below(bytes.len() as u64) as usize;
            // An answer without a length that is cut must be reset.
            if closes {
                let _ = connection.write(&bytes[..kept.min(20)]);
            } else {
                let _ = connection.write(&bytes[..kept]);
            }
            reset(&connection);
            return;
        }
        if has("spoil") && (60..90).contains(&fault) {
            let _ = connection.write(b"\x01\x02 these bytes are no answer \r\n\r\n\x00\x00");
            reset(&connection);
            return;
        }
        {
            let mut world = world.lock().unwrap();
            world.given.insert((id.clone(), status));
            world.answered.insert(id.clone());
        }
        if has("extra") && (90..120).contains(&fault) && !closes {
            let copy = bytes.clone();
            bytes.extend_from_slice(&copy);
        }
        if has("late") && (120..150).contains(&fault) {
            late = Some(bytes.clone());
        }
        if has("slow") && (150..180).contains(&fault) {
            for part in bytes.chunks(bytes.len() / 5 + 1) {
                if connection.write(part).is_err() {
                    return;
                }
                thread::sleep(Duration::from_millis(40));
            }
        } else if connection.write(&bytes).is_err() {
            return;
        }
        if closes {
            let _ = connection.stream.shutdown(Shutdown::Write);
            let mut rest = [0; 1024];
            let _ = connection
                .stream
                .set_read_timeout(Some(Duration::from_secs(1)));
            while matches!(connection.stream.read(&mut rest), Ok(count) if count > 0) {}
            return;
        }
        if has("idle") && random.below(40) == 0 {
            record.line("closes idle");
            return;
        }
    }
}

/// One request as bytes, with its id.
fn request(random: &mut Random, name: &str) -> (String, bool, Vec<u8>) {
    let id = format!("{name}{:x}", random.next());
    let is_safe = random.below(2) == 0;
    let (method, route) = if is_safe {
        ("GET", "safe")
    } else {
        ("POST", "unsafe")
    };
    let target = format!("/{route}/{:x}?n={}", random.below(1 << 30), random.below(9));
    let size = match (is_safe, random.below(12)) {
        (true, _) => 0,
        (_, 0) => 70_000 + random.below(300_000) as usize,
        (_, 1) => 520_000 + random.below(100_000) as usize,
        (_, 2) => 65_536 + random.below(2) as usize,
        _ => random.below(2_000) as usize,
    };
    let body: Vec<u8> = (0..size)
        .map(|at| (at % 251) as u8 ^ (id.len() as u8))
        .collect();
    let check = format!("{method}|{target}|{:x}", hash(&body));
    let mut bytes = format!(
        "{method} {target} HTTP/1.1\r\nHost: registry.example\r\nX-Request-Id: {id}\r\nX-Request-Deadline-Ms: 3000\r\nX-Check: {check}\r\n"
    )
    .into_bytes();
    if is_safe {
        bytes.extend_from_slice(b"\r\n");
    } else if random.below(3) == 0 {
        bytes.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n");
        for part in body.chunks(1 + random.below(20_000) as usize) {
            bytes.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
            bytes.extend_from_slice(part);
            bytes.extend_from_slice(b"\r\n");
        }
        bytes.extend_from_slice(b"0\r\n\r\n");
    } else {
        bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
        bytes.extend_from_slice(&body);
    }
    (id, is_safe, bytes)
}

fn check(world: &Shared, id: &str, is_safe: bool, answer: &Message) {
    let mut world = world.lock().unwrap();
    let status = answer.status();
    *world.outcomes.entry(status.to_string()).or_default() += 1;
    let stamp = answer.header("x-server-stamp").map(str::to_owned);
    if (200..300).contains(&status) {
        let parts: Vec<String> = stamp
            .clone()
            .unwrap_or_default()
            .split('.')
            .map(str::to_owned)
            .collect();
        let good = parts.len() == 4
            && parts[1] == id
            && parts[2] == answer.body.len().to_string()
            && parts[3] == format!("{:x}", hash(&answer.body));
        if !good {
            world.mixed.push(format!(
                "{id}: {status} stamp {stamp:?}, body of {}",
                answer.body.len()
            ));
        }
    } else if stamp.is_some() && !world.given.contains(&(id.to_owned(), status)) {
        world
            .mixed
            .push(format!("{id}: {status} stamp {stamp:?} not given"));
    }
    if answer
        .header("x-request-id")
        .is_some_and(|echoed| echoed != id)
    {
        world.mixed.push(format!(
            "{id}: answer with id {:?}",
            answer.header("x-request-id")
        ));
    }
    if !is_safe && matches!(status, 503 | 429 | 408 | 421) {
        world.told_not_run.insert(id.to_owned());
    }
}

fn caller(gateway: SocketAddr, number: u64, until: Instant, world: &Shared) {
    let mut random = Random(number * 7_919);
    let mut kept: Option<Connection> = None;
    while Instant::now() < until {
        thread::sleep(Duration::from_millis(random.below(60)));
        let mut connection = match kept.take() {
            Some(kept) if !kept.is_closed() => kept,
            _ => match TcpStream::connect(gateway) {
                Ok(stream) => Connection::new(stream),
                Err(_) => continue,
            },
        };
        let _ = connection
            .stream
            .set_read_timeout(Some(Duration::from_millis(3_500)));
        let _ = connection
            .stream
            .set_write_timeout(Some(Duration::from_millis(3_500)));
        let count = if random.below(4) == 0 {
            2 + random.below(4)
        } else {
            1
        };
        let mut sent = Vec::new();
        let mut all = Vec::new();
        for at in 0..count {
            let (id, is_safe, bytes) = request(&mut random, &format!("c{number}-"));
            // Only safe requests are sent before an answer.
            if count > 1 && !is_safe {
                if at == 0 {
                    sent.push((id, is_safe));
                    all.extend(bytes);
                }
                break;
            }
            sent.push((id, is_safe));
            all.extend(bytes);
        }
        for (id, is_safe) in &sent {
            if !is_safe {
                world.lock().unwrap().unsafe_ids.insert(id.clone());
            }
        }
        let writer = connection.stream.try_clone();
        let writing =
            thread::spawn(move || writer.is_ok_and(|mut writer| writer.write_all(&all).is_ok()));
        if random.below(30) == 0 {
            thread::sleep(Duration::from_millis(random.below(20)));
            let _ = connection.stream.shutdown(Shutdown::Both);
            let _ = writing.join();
            continue;
        }
        let mut open = true;
        for (at, (id, is_safe)) in sent.iter().enumerate() {
            match connection.read() {
                Ok(Some(answer)) => {
                    check(world, id, *is_safe, &answer);
                    if answer.closes() {
                        open = false;
                        break;
                    }
                }
                other => {
                    let mut world = world.lock().unwrap();
                    *world.outcomes.entry("none".to_owned()).or_default() += 1;
                    let ran = world.runs.get(id).copied().unwrap_or(0);
                    if ran > 0 && !world.answered.contains(id) && at == 0 {
                        *world
                            .outcomes
                            .entry("none, in work".to_owned())
                            .or_default() += 1;
                    }
                    if world.answered.contains(id) && at == 0 {
                        let text = format!(
                            "{id}: {:?}, ran {ran}, answered by its back end",
                            other.map(|_| "closed")
                        );
                        world.lost.push(text);
                    }
                    open = false;
                    break;
                }
            }
        }
        let _ = writing.join();
        if open && !connection.has_unread() {
            kept = Some(connection);
        } else if open {
            world
                .lock()
                .unwrap()
                .mixed
                .push("bytes behind the last answer".to_owned());
        }
    }
}

pub fn run(arguments: &Arguments) -> Verdict {
    let record = Record::create(&arguments.record);
    let faults: Vec<String> = std::env::var("FAULTS")
        .unwrap_or_default()
        .split(',')
        .map(str::to_owned)
        .collect();
    let world: Shared = Arc::default();
    let store = Store::start();
    let route = |name: &str| {
        format!("\"{name}\":{{\"Host\":\"registry.example\",\"PathPrefix\":\"/{name}/\",\"Kind\":\"{name}\",\"TimeoutS\":2.5,\"TargetLatencyS\":0.6,\"Priority\":1,\"Service\":\"plain\",\"MaxAttempts\":3}}")
    };
    store.put("config", "main", format!(
        "{{\"Version\":\"r7\",\"Routes\":{{{},{}}},\"Services\":{{\"plain\":{{\"HealthPath\":\"/health\",\"MaxConnections\":130}}}},\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":67108864,\"HeaderTimeoutS\":3,\"IdleTimeoutS\":15}}}}",
        route("safe"), route("unsafe")));
    for number in 0..3 {
        let id = format!("i-{number}");
        let faults = if arguments.trouble && number < 2 {
            faults.clone()
        } else {
            Vec::new()
        };
        let address = back_end(
            id.clone(),
            arguments.seed * 10 + number,
            faults,
            world.clone(),
            record.clone(),
        );
        store.put("servers", &id, format!(
            "{{\"Service\":\"plain\",\"Address\":\"{address}\",\"Zone\":\"zone-a\",\"Version\":\"v1\",\"Capacity\":8,\"State\":\"ready\",\"ColdRemainingS\":0,\"Sequence\":4}}"));
    }
    let deployment = Deployment {
        program: arguments.program.clone(),
        folder: arguments.folder.clone(),
        store: store.address,
        zones: vec!["zone-a".to_owned()],
    };
    let mut gateways: Vec<Gateway> = (0..2)
        .map(|number| Gateway::start(&deployment, &format!("front-{number}"), "zone-a"))
        .collect();
    for gateway in &gateways {
        if !gateway.await_ready(Duration::from_secs(10)) {
            return Verdict::CouldNotRun;
        }
    }
    let until = Instant::now() + Duration::from_secs(40);
    let callers: Vec<_> = (0..24)
        .map(|number| {
            let (gateway, world, seed) = (
                gateways[number % 2].callers,
                world.clone(),
                arguments.seed * 1_000,
            );
            thread::spawn(move || caller(gateway, seed + number as u64, until, &world))
        })
        .collect();
    if arguments.trouble && faults.iter().any(|fault| fault == "term") {
        let mut next = 0;
        while Instant::now() + Duration::from_secs(6) < until {
            let gateway = &mut gateways[next % 2];
            record.line(&format!("SIGTERM to {}", gateway.name));
            gateway.terminate();
            let asked = Instant::now();
            while !gateway.has_ended() && asked.elapsed() < Duration::from_secs(6) {
                thread::sleep(Duration::from_millis(5));
            }
            if !gateway.has_ended() {
                println!("{} still runs after 6 s", gateway.name);
                gateway.kill();
            }
            record.line(&format!(
                "{} ended after {:?}",
                gateway.name,
                asked.elapsed()
            ));
            gateway.start_again(&deployment);
            thread::sleep(Duration::from_millis(1_500));
            next += 1;
        }
    }
    for caller in callers {
        let _ = caller.join();
    }
    thread::sleep(Duration::from_secs(1));
    let mut world = world.lock().unwrap();
    let told: Vec<String> = world
        .told_not_run
        .iter()
        .filter(|id| world.runs.contains_key(*id))
        .cloned()
        .collect();
    world.refused = told;
    let twice: Vec<String> = world
        .unsafe_ids
        .iter()
        .filter(|id| world.runs.get(*id).is_some_and(|runs| *runs > 1))
        .cloned()
        .collect();
    println!("{faults:?} outcomes {:?}; MIXED {} UNASKED {} TWICE {} REFUSED {} closed without answer {}", world.outcomes, world.mixed.len(), world.unasked.len(), twice.len(), world.refused.len(), world.lost.len());
    for text in world
        .mixed
        .iter()
        .chain(&world.unasked)
        .chain(&twice)
        .chain(&world.refused)
        .chain(&world.lost)
        .take(12)
    {
        println!("  {text}");
    }
    record.finish();
    let bad = world.mixed.len() + world.unasked.len() + twice.len() + world.refused.len();
    if bad > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
