//! Long bodies, through the real program: whole at one back end or at none,
//! sent again only where nothing ran, and bounded by the machine's memory.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use parking_lot::Mutex;
use threadledge_platform_stand_in::StandInBackEnd;

use super::process::{Gateway, TestRequest, World, eventually};

/// Length of a long body, in bytes: more than is read ahead, less than is
/// kept.
const LONG: usize = 300_000;
/// Length of a body that is longer than what is kept, in bytes.
const LONGER: usize = 1_200_000;
/// Longest chunk, in bytes.
const CHUNK: usize = 20_000;
/// Uploads until the back end under test has surely had one.
const UPLOADS: usize = 40;
/// Slots of the sound back ends.
const SLOTS: usize = 4;

/// Bytes that differ by place, so that a gap or a repetition shows.
fn body(length: usize) -> Vec<u8> {
    (0..length).map(|index| (index / 7 % 251) as u8).collect()
}

fn head(id: &str, framing: &str) -> String {
    format!(
        "POST /unsafe/x HTTP/1.1\r\nhost: plain.example\r\nx-request-id: {id}\r\n\
         x-request-deadline-ms: 20000\r\n{framing}\r\n\r\n"
    )
}

fn with_length(id: &str, body: &[u8]) -> Vec<u8> {
    let mut sent = head(id, &format!("content-length: {}", body.len())).into_bytes();
    sent.extend_from_slice(body);
    sent
}

fn in_chunks(id: &str, body: &[u8]) -> Vec<u8> {
    let mut sent = head(id, "transfer-encoding: chunked").into_bytes();
    for chunk in body.chunks(CHUNK) {
        sent.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        sent.extend_from_slice(chunk);
        sent.extend_from_slice(b"\r\n");
    }
    sent.extend_from_slice(b"0\r\n\r\n");
    sent
}

/// Status of the first answer; `None` when the connection ends first.
fn status(stream: &TcpStream) -> Option<u16> {
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).ok()?;
    line.get(9..12)?.parse().ok()
}

fn upload(callers: SocketAddr, sent: &[u8]) -> Option<u16> {
    let mut stream = TcpStream::connect(callers).expect("connected");
    // The answer may come before all is sent, and the connection end.
    let _ = stream.write_all(sent);
    status(&stream)
}

fn metric(gateway: &Gateway, name: &str) -> usize {
    let start = format!("threadledge_gateway_{name} ");
    let text = gateway.metrics();
    let line = text.lines().find_map(|line| line.strip_prefix(&start));
    line.expect("a line").parse().expect("a count")
}

/// An upload of which half has come.
fn stalled(gateway: &Gateway, id: &str) -> TcpStream {
    let bytes = with_length(id, &body(LONG));
    let mut stream = TcpStream::connect(gateway.callers).expect("connected");
    stream.write_all(&bytes[..LONG / 2]).expect("sent");
    stream
}

/// Bodies with which a request ran.
fn bodies_of(world: &World, id: &str) -> Vec<Vec<u8>> {
    let runs = world.plain.iter().flat_map(StandInBackEnd::runs);
    runs.filter(|run| run.id == id)
        .map(|run| run.body)
        .collect()
}

/// A back end that refuses every request with a body once it has its head,
/// keeps the connection and reads the body.
#[derive(Clone)]
struct Hasty {
    address: SocketAddr,
    refused: Arc<Mutex<Vec<String>>>,
    /// Times that other bytes came where a body was due.
    out_of_frame: Arc<AtomicUsize>,
}

impl Hasty {
    fn start() -> Hasty {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let hasty = Hasty {
            address: listener.local_addr().expect("an address"),
            refused: Arc::default(),
            out_of_frame: Arc::default(),
        };
        let shared = hasty.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                std::thread::spawn(move || shared.serve(stream));
            }
        });
        hasty
    }

    fn serve(&self, stream: TcpStream) {
        let mut reader = BufReader::new(stream);
        while let Some(lines) = read_head(&mut reader) {
            let refusal = "HTTP/1.1 503 Service Unavailable\r\nx-not-executed: 1\r\n\
                           content-length: 0\r\n\r\n";
            let _ = reader.get_mut().write_all(refusal.as_bytes());
            if lines[0].starts_with("post") {
                let id = value(&lines, "x-request-id: ").unwrap_or_default();
                self.refused.lock().push(id);
                let due = read_due(&mut reader, &lines);
                if !body(LONG).starts_with(&due) {
                    self.out_of_frame.fetch_add(1, Ordering::SeqCst);
                }
            }
        }
    }
}

fn read_head(reader: &mut BufReader<TcpStream>) -> Option<Vec<String>> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if line == "\r\n" {
            return Some(lines);
        }
        lines.push(line.trim().to_ascii_lowercase());
    }
}

fn value(lines: &[String], name: &str) -> Option<String> {
    let value = lines.iter().find_map(|line| line.strip_prefix(name))?;
    Some(value.to_owned())
}

/// Reads the body that a head announces, as far as it comes.
fn read_due(reader: &mut BufReader<TcpStream>, lines: &[String]) -> Vec<u8> {
    let mut due = Vec::new();
    if let Some(length) = value(lines, "content-length: ") {
        let length = length.parse().expect("a number");
        // It may break off.
        let _ = reader.take(length).read_to_end(&mut due);
        return due;
    }
    loop {
        let mut line = String::new();
        let read = reader.read_line(&mut line);
        let length = u64::from_str_radix(line.trim(), 16).unwrap_or(0);
        let count = reader.take(length).read_to_end(&mut due);
        let broke_off = read.is_err() || count.is_err();
        if broke_off || length == 0 || reader.read_line(&mut line).is_err() {
            return due;
        }
    }
}

#[test]
fn upload_that_is_refused_before_its_body_is_in_runs_whole_at_another_back_end() {
    let world = World::start_with_long_timeouts();
    // All slots of the others but one are taken, so that it gets requests too.
    let _holding: Vec<TcpStream> = (0..SLOTS - 1)
        .map(|index| stalled(&world.gateway, &format!("holding-{index}")))
        .collect();
    eventually(|| (metric(&world.gateway, "running") == SLOTS - 1).then_some(()));
    let hasty = Hasty::start();
    let entry = world.plain[0].registration_at(hasty.address, "zone-a", "plain", "ready");
    world.store.put("servers", "hasty", entry);
    let all = world.keyed.len() + world.plain.len() + 1;
    eventually(|| (metric(&world.gateway, "back_ends") == all).then_some(()));
    let sent = body(LONG);
    let mut served = 0;
    for index in 0..UPLOADS {
        let id = format!("upload-{index}");
        let bytes = match index % 2 {
            0 => with_length(&id, &sent),
            _ => in_chunks(&id, &sent),
        };
        let status = upload(world.gateway.callers, &bytes);
        let ran = bodies_of(&world, &id);
        match status {
            Some(200) => assert!(ran == [sent.clone()], "{id} ran {} times", ran.len()),
            Some(503) => assert!(ran.is_empty(), "{id} ran and was called not run"),
            other => panic!(
                "{id}: {other:?}, ran with {:?} bytes, refused: {:?}",
                ran.iter().map(Vec::len).collect::<Vec<_>>(),
                hasty.refused.lock()
            ),
        }
        let was_refused = hasty.refused.lock().contains(&id);
        served += usize::from(was_refused && status == Some(200));
    }
    assert!(!hasty.refused.lock().is_empty(), "it had none");
    assert!(
        served > 0,
        "{:?} were refused for good",
        hasty.refused.lock()
    );
    assert_eq!(hasty.out_of_frame.load(Ordering::SeqCst), 0);
}

#[test]
fn long_body_that_comes_slowly_is_whole_at_each_of_two_back_ends() {
    let world = World::start_with_long_timeouts();
    let whole = body(LONG);
    let head = format!(
        "PUT /safe/x HTTP/1.1\r\nhost: plain.example\r\nx-request-id: slow\r\n\
         x-request-deadline-ms: 20000\r\ncontent-length: {LONG}\r\n\r\n"
    );
    let mut stream = TcpStream::connect(world.gateway.callers).expect("connected");
    stream.write_all(head.as_bytes()).expect("sent");
    stream.write_all(&whole[..LONG / 2]).expect("sent");
    // The second attempt begins while both wait for the rest.
    eventually(|| (metric(&world.gateway, "hedges") == 1).then_some(()));
    stream.write_all(&whole[LONG / 2..]).expect("sent");
    assert_eq!(status(&stream), Some(200));
    let ran = bodies_of(&world, "slow");
    assert!(!ran.is_empty());
    assert!(ran.iter().all(|ran| *ran == whole), "{} runs", ran.len());
}

#[test]
fn body_longer_than_what_is_kept_arrives_whole() {
    let world = World::start_with_long_timeouts();
    let sent = body(LONGER);
    for (id, bytes) in [
        ("length", with_length("length", &sent)),
        ("chunks", in_chunks("chunks", &sent)),
    ] {
        assert_eq!(upload(world.gateway.callers, &bytes), Some(200), "{id}");
        assert!(bodies_of(&world, id) == [sent.clone()], "{id}");
    }
}

#[test]
fn callers_that_break_off_their_bodies_count_against_no_back_end() {
    let world = World::start_with_long_timeouts();
    let whole = body(LONG);
    for index in 0..UPLOADS {
        let id = format!("broken-{index}");
        let mut sent = in_chunks(&id, &whole[..LONG / 2]);
        // In place of the end of the chunks.
        sent.truncate(sent.len() - 5);
        sent.extend_from_slice(b"no chunk\r\n");
        let status = upload(world.gateway.callers, &sent);
        assert_ne!(status, Some(200), "{id}");
        assert!(bodies_of(&world, &id).iter().all(|ran| *ran != whole));
    }
    assert_eq!(metric(&world.gateway, "back_ends_ejected"), 0);
    assert_eq!(TestRequest::default().send(&world.gateway).status(), 200);
}

#[test]
fn uploads_beyond_the_memory_are_refused_and_short_requests_are_served() {
    let mut world = World::start_with_long_timeouts();
    world.gateway = Gateway::start_small("router-2", world.store.address(), 16);
    world.gateway.await_ready();
    let mut streams = Vec::new();
    let refused = loop {
        let stream = stalled(&world.gateway, &format!("stalled-{}", streams.len()));
        let short = std::time::Duration::from_millis(100);
        stream.set_read_timeout(Some(short)).expect("set");
        match status(&stream) {
            Some(status) => break status,
            None => streams.push(stream),
        }
        assert!(streams.len() < 100, "there is no end of memory");
    };
    assert_eq!(refused, 503);
    assert!(!streams.is_empty());
    // At back ends whose slots the stalled ones do not hold.
    let short = TestRequest {
        host: "keyed.example",
        target: "/k/x",
        key: Some(5),
        ..TestRequest::default()
    };
    assert_eq!(short.send(&world.gateway).status(), 200);
    drop(streams);
    eventually(|| {
        let sent = with_length("late", &body(LONG));
        (upload(world.gateway.callers, &sent) == Some(200)).then_some(())
    });
}
