//! Callers that send further requests before the first is answered, through
//! the real program.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};

use threadledge_platform_stand_in::{Behaviour, StandInBackEnd};

use super::process::{World, eventually};

/// Requests on one connection at once.
const AT_ONCE: usize = 8;

/// A caller that reads its answers when it likes.
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

    /// Status and body of the next answer, and whether it is the last.
    fn answer(&mut self) -> (u16, String, bool) {
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

fn safe(id: &str) -> String {
    format!("GET /safe/x HTTP/1.1\r\nhost: plain.example\r\nx-request-id: {id}\r\n\r\n")
}

/// A request that changes something, by its route and not by its method.
fn changing(id: &str) -> String {
    format!("GET /unsafe/x HTTP/1.1\r\nhost: plain.example\r\nx-request-id: {id}\r\n\r\n")
}

fn ids(kind: &str) -> Vec<String> {
    (0..AT_ONCE)
        .map(|index| format!("{kind}-{index}"))
        .collect()
}

fn set_all(world: &World, behaviour: Behaviour) {
    for back_end in &world.plain {
        back_end.set_behaviour(behaviour);
    }
}

fn at_work(world: &World) -> usize {
    world.plain.iter().map(StandInBackEnd::in_flight).sum()
}

#[test]
fn every_answer_comes_in_its_turn() {
    let world = World::start();
    let mut caller = Caller::connect(world.gateway.callers);
    let (before, behind) = (ids("before"), ids("behind"));
    let mut requests: Vec<String> = before.iter().map(|id| safe(id)).collect();
    requests.push(changing("change"));
    requests.extend(behind.iter().map(|id| safe(id)));
    caller.send(&requests);
    for id in before
        .iter()
        .chain([&"change".to_owned()])
        .chain(behind.iter())
    {
        let (status, body, _) = caller.answer();
        assert_eq!(status, 200, "{id}: {body}");
        assert!(body.starts_with(&format!("answer to {id} ")), "{body}");
    }
    assert_eq!(world.runs_of("change"), 1);
}

#[test]
fn safe_requests_are_at_back_ends_together_and_one_that_changes_something_waits() {
    let world = World::start_with_long_timeouts();
    set_all(&world, Behaviour::Silent);
    let mut caller = Caller::connect(world.gateway.callers);
    let ids = ids("together");
    let mut requests: Vec<String> = ids.iter().map(|id| safe(id)).collect();
    requests.push(changing("change"));
    caller.send(&requests);
    eventually(|| ids.iter().all(|id| world.runs_of(id) > 0).then_some(()));
    drop(caller);
    eventually(|| (at_work(&world) == 0).then_some(()));
    assert_eq!(world.runs_of("change"), 0);
}

#[test]
fn planned_stop_answers_what_was_sent_on_and_says_so_in_the_last_answer() {
    let world = World::start_with_long_timeouts();
    set_all(&world, Behaviour::Silent);
    let mut caller = Caller::connect(world.gateway.callers);
    caller.send(&[safe("first")]);
    // With the second attempt beside the first, which also stays silent.
    eventually(|| (world.runs_of("first") == 2).then_some(()));
    set_all(&world, Behaviour::Healthy);
    let behind = ids("behind");
    let requests: Vec<String> = behind.iter().map(|id| safe(id)).collect();
    caller.send(&requests);
    eventually(|| behind.iter().all(|id| world.runs_of(id) > 0).then_some(()));
    eventually(|| (at_work(&world) == 2).then_some(()));
    world.gateway.signal("-TERM");
    eventually(|| (world.gateway.readiness() != Some(200)).then_some(()));
    // The answers behind the first are here, so that nothing but the first
    // ends with its back ends.
    for back_end in &world.plain {
        back_end.crash();
    }
    let (_, _, closes) = caller.answer();
    assert!(!closes, "there are answers behind it");
    for (index, id) in behind.iter().enumerate() {
        let (status, body, closes) = caller.answer();
        assert_eq!(status, 200, "{id}: {body}");
        assert!(body.starts_with(&format!("answer to {id} ")), "{body}");
        assert_eq!(closes, index + 1 == behind.len());
    }
    assert_eq!(caller.0.read(&mut [0; 1]).expect("the end"), 0);
}
