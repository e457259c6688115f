//! Callers that send further requests before the first is answered, through
//! the real program.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};

use threadledge_platform_stand_in::{Behaviour, StandInBackEnd};

use super::process::{World, eventually};

/// Number of requests sent at once on one connection.
const CONCURRENT_REQUESTS: usize = 8;

/// A caller that decides itself when to read its responses.
struct Caller(BufReader<TcpStream>);

impl Caller {
    fn connect(callers: SocketAddr) -> Caller {
        Caller(BufReader::new(
            TcpStream::connect(callers).expect("connected"),
        ))
    }

    fn send(&mut self, requests: &[String]) {
        let stream = self.0.get_mut();
        stream
            .write_all(requests.concat().as_bytes())
            .expect("sent");
    }

    /// Reads the next response. Returns its status and body, and whether it
    /// closes the connection.
    fn read_response(&mut self) -> (u16, String, bool) {
        let mut lines = Vec::new();
        loop {
            let mut line = String::new();
            self.0.read_line(&mut line).expect("a line");
            if line.trim().is_empty() {
                break;
            }
            lines.push(line.to_ascii_lowercase());
        }
        let value = |name: &str| {
            let line = lines.iter().find_map(|line| line.strip_prefix(name));
            line.map(|value| value.trim().to_owned())
        };
        let status = lines[0][9..12].parse().expect("a status");
        let length = value("content-length:").expect("a length");
        let mut body = vec![0; length.parse().expect("a number")];
        self.0.read_exact(&mut body).expect("a body");
        let closes = value("connection:").as_deref() == Some("close");
        (status, String::from_utf8(body).expect("text"), closes)
    }
}

fn repeatable(id: &str) -> String {
    format!("GET /safe/x HTTP/1.1\r\nhost: plain.example\r\nx-request-id: {id}\r\n\r\n")
}

/// A request that is not repeatable, by its route and not by its method.
fn unrepeatable(id: &str) -> String {
    format!("GET /unsafe/x HTTP/1.1\r\nhost: plain.example\r\nx-request-id: {id}\r\n\r\n")
}

fn ids(kind: &str) -> Vec<String> {
    (0..CONCURRENT_REQUESTS)
        .map(|index| format!("{kind}-{index}"))
        .collect()
}

fn set_all(world: &World, behaviour: Behaviour) {
    for back_end in &world.plain {
        back_end.set_behaviour(behaviour);
    }
}

fn in_flight(world: &World) -> usize {
    world.plain.iter().map(StandInBackEnd::in_flight).sum()
}

#[test]
fn responses_come_in_the_order_of_the_requests() {
    let world = World::start();
    let mut caller = Caller::connect(world.gateway.callers);
    let (before, behind) = (ids("before"), ids("behind"));
    let mut requests: Vec<String> = before.iter().map(|id| repeatable(id)).collect();
    requests.push(unrepeatable("change"));
    requests.extend(behind.iter().map(|id| repeatable(id)));
    caller.send(&requests);
    for id in before
        .iter()
        .chain([&"change".to_owned()])
        .chain(behind.iter())
    {
        let (status, body, _) = caller.read_response();
        assert_eq!(status, 200, "{id}: {body}");
        assert!(body.starts_with(&format!("answer to {id} ")), "{body}");
    }
    assert_eq!(world.runs_of("change"), 1);
}

#[test]
fn repeatable_requests_run_concurrently_and_an_unrepeatable_one_waits() {
    let world = World::start_with_long_timeouts();
    set_all(&world, Behaviour::Silent);
    let mut caller = Caller::connect(world.gateway.callers);
    let ids = ids("together");
    let mut requests: Vec<String> = ids.iter().map(|id| repeatable(id)).collect();
    requests.push(unrepeatable("change"));
    caller.send(&requests);
    eventually(|| ids.iter().all(|id| world.runs_of(id) > 0).then_some(()));
    drop(caller);
    eventually(|| (in_flight(&world) == 0).then_some(()));
    assert_eq!(world.runs_of("change"), 0);
}

#[test]
fn planned_stop_answers_running_requests_and_closes_with_the_last_response() {
    let world = World::start_with_long_timeouts();
    set_all(&world, Behaviour::Silent);
    let mut caller = Caller::connect(world.gateway.callers);
    caller.send(&[repeatable("first")]);
    // Counts the hedged attempt as well, which also gets no response.
    eventually(|| (world.runs_of("first") == 2).then_some(()));
    set_all(&world, Behaviour::Healthy);
    let behind = ids("behind");
    let requests: Vec<String> = behind.iter().map(|id| repeatable(id)).collect();
    caller.send(&requests);
    eventually(|| behind.iter().all(|id| world.runs_of(id) > 0).then_some(()));
    eventually(|| (in_flight(&world) == 2).then_some(()));
    world.gateway.signal("-TERM");
    eventually(|| (world.gateway.readiness() != Some(200)).then_some(()));
    // The responses to the later requests have arrived, so that only the first
    // request is cut off with its back ends.
    for back_end in &world.plain {
        back_end.crash();
    }
    let (_, _, closes) = caller.read_response();
    assert!(!closes, "there are answers behind it");
    for (index, id) in behind.iter().enumerate() {
        let (status, body, closes) = caller.read_response();
        assert_eq!(status, 200, "{id}: {body}");
        assert!(body.starts_with(&format!("answer to {id} ")), "{body}");
        assert_eq!(closes, index + 1 == behind.len());
    }
    assert_eq!(caller.0.read(&mut [0; 1]).expect("the end"), 0);
}
