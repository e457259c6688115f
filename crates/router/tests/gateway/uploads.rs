//! Long request bodies, through the real program: they reach one back end whole
//! or none at all, are sent again only if nothing ran, and are bounded by the
//! machine's memory.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use parking_lot::Mutex;
use threadledge_platform_stand_in::StandInBackEnd;

use super::process::{Gateway, TestRequest, World, eventually};

/// Length of a long body, in bytes: longer than what is read ahead, shorter
/// than what is kept.
const LONG_BODY: usize = 300_000;
/// Length of a body longer than what is kept, in bytes.
const LONGER_BODY: usize = 1_200_000;
/// Maximum chunk length, in bytes.
const MAX_CHUNK: usize = 20_000;
/// Number of uploads, enough for the back end under test to get at least one.
const UPLOADS: usize = 40;
/// Slots of the other back ends together.
const SLOTS_OF_OTHERS: usize = 4;

/// Bytes that vary by position, so that a gap or a repetition shows.
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
    for chunk in body.chunks(MAX_CHUNK) {
        sent.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        sent.extend_from_slice(chunk);
        sent.extend_from_slice(b"\r\n");
    }
    sent.extend_from_slice(b"0\r\n\r\n");
    sent
}

/// Returns the status of the first response, or `None` if the connection ends
/// first.
fn status(stream: &TcpStream) -> Option<u16> {
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).ok()?;
    line.get(9..12)?.parse().ok()
}

fn upload(callers: SocketAddr, sent: &[u8]) -> Option<u16> {
    let mut stream = TcpStream::connect(callers).expect("connected");
    // The response may come, and the connection end, before everything is sent.
    let _ = stream.write_all(sent);
    status(&stream)
}

fn metric(gateway: &Gateway, name: &str) -> usize {
    let start = format!("threadledge_gateway_{name} ");
    let text = gateway.metrics();
    let line = text.lines().find_map(|line| line.strip_prefix(&start));
    line.expect("a line").parse().expect("a count")
}

/// Starts an upload and sends only half of it.
fn start_stalled_upload(gateway: &Gateway, id: &str) -> TcpStream {
    let bytes = with_length(id, &body(LONG_BODY));
    let mut stream = TcpStream::connect(gateway.callers).expect("connected");
    stream.write_all(&bytes[..LONG_BODY / 2]).expect("sent");
    stream
}

/// Returns the bodies with which a request ran.
fn bodies_of(world: &World, id: &str) -> Vec<Vec<u8>> {
    let runs = world.plain.iter().flat_map(StandInBackEnd::runs);
    runs.filter(|run| run.id == id)
        .map(|run| run.body)
        .collect()
}

/// A back end that refuses every request with a body as soon as it has the
/// head, keeps the connection open and reads the body.
#[derive(Clone)]
struct EarlyRefuser {
    address: SocketAddr,
    refused: Arc<Mutex<Vec<String>>>,
    /// Times that other bytes arrived in place of an announced body.
    out_of_frame: Arc<AtomicUsize>,
}

impl EarlyRefuser {
    fn start() -> EarlyRefuser {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let early_refuser = EarlyRefuser {
            address: listener.local_addr().expect("an address"),
            refused: Arc::default(),
            out_of_frame: Arc::default(),
        };
        let shared = early_refuser.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                std::thread::spawn(move || shared.serve(stream));
            }
        });
        early_refuser
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
                let announced = read_announced_body(&mut reader, &lines);
                if !body(LONG_BODY).starts_with(&announced) {
                    self.out_of_frame.fetch_add(1, Ordering::SeqCst);
                }
            }
        }
    }
}

pub(super) fn read_head(reader: &mut BufReader<TcpStream>) -> Option<Vec<String>> {
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

pub(super) fn value(lines: &[String], name: &str) -> Option<String> {
    let value = lines.iter().find_map(|line| line.strip_prefix(name))?;
    Some(value.to_owned())
}

/// Reads the announced body as far as it arrives.
fn read_announced_body(reader: &mut BufReader<TcpStream>, lines: &[String]) -> Vec<u8> {
    let mut announced = Vec::new();
    if let Some(length) = value(lines, "content-length: ") {
        let length = length.parse().expect("a number");
        // The body may be truncated.
        let _ = reader.take(length).read_to_end(&mut announced);
        return announced;
    }
    loop {
        let mut line = String::new();
        let read = reader.read_line(&mut line);
        let length = u64::from_str_radix(line.trim(), 16).unwrap_or(0);
        let count = reader.take(length).read_to_end(&mut announced);
        let broke_off = read.is_err() || count.is_err();
        if broke_off || length == 0 || reader.read_line(&mut line).is_err() {
            return announced;
        }
    }
}

#[test]
fn upload_refused_before_its_body_has_arrived_runs_whole_at_another_back_end() {
    let world = World::start_with_long_timeouts();
    // All but one of the other slots are taken, so that this back end gets
    // requests too.
    let _holding: Vec<TcpStream> = (0..SLOTS_OF_OTHERS - 1)
        .map(|index| start_stalled_upload(&world.gateway, &format!("holding-{index}")))
        .collect();
    eventually(|| (metric(&world.gateway, "running") == SLOTS_OF_OTHERS - 1).then_some(()));
    let early_refuser = EarlyRefuser::start();
    let entry = world.plain[0].registration_at(early_refuser.address, "zone-a", "plain", "ready");
    world.store.put("servers", "hasty", entry);
    let all = world.keyed.len() + world.plain.len() + 1;
    eventually(|| (metric(&world.gateway, "back_ends") == all).then_some(()));
    let sent = body(LONG_BODY);
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
                early_refuser.refused.lock()
            ),
        }
        let was_refused = early_refuser.refused.lock().contains(&id);
        served += usize::from(was_refused && status == Some(200));
    }
    assert!(!early_refuser.refused.lock().is_empty(), "it had none");
    assert!(
        served > 0,
        "{:?} were refused for good",
        early_refuser.refused.lock()
    );
    assert_eq!(early_refuser.out_of_frame.load(Ordering::SeqCst), 0);
}

#[test]
fn long_body_that_comes_slowly_is_whole_at_each_of_two_back_ends() {
    let world = World::start_with_long_timeouts();
    let whole = body(LONG_BODY);
    let head = format!(
        "PUT /safe/x HTTP/1.1\r\nhost: plain.example\r\nx-request-id: slow\r\n\
         x-request-deadline-ms: 20000\r\ncontent-length: {LONG_BODY}\r\n\r\n"
    );
    let mut stream = TcpStream::connect(world.gateway.callers).expect("connected");
    stream.write_all(head.as_bytes()).expect("sent");
    stream.write_all(&whole[..LONG_BODY / 2]).expect("sent");
    // The hedged attempt begins while both wait for the rest of the body.
    eventually(|| (metric(&world.gateway, "hedges") == 1).then_some(()));
    stream.write_all(&whole[LONG_BODY / 2..]).expect("sent");
    assert_eq!(status(&stream), Some(200));
    let ran = bodies_of(&world, "slow");
    assert!(!ran.is_empty());
    assert!(ran.iter().all(|ran| *ran == whole), "{} runs", ran.len());
}

#[test]
fn body_longer_than_what_is_kept_arrives_whole() {
    let world = World::start_with_long_timeouts();
    let sent = body(LONGER_BODY);
    for (id, bytes) in [
        ("length", with_length("length", &sent)),
        ("chunks", in_chunks("chunks", &sent)),
    ] {
        assert_eq!(upload(world.gateway.callers, &bytes), Some(200), "{id}");
        assert!(bodies_of(&world, id) == [sent.clone()], "{id}");
    }
}

#[test]
fn bodies_truncated_by_callers_count_against_no_back_end() {
    let world = World::start_with_long_timeouts();
    let whole = body(LONG_BODY);
    for index in 0..UPLOADS {
        let id = format!("broken-{index}");
        let mut sent = in_chunks(&id, &whole[..LONG_BODY / 2]);
        // Replaces the last chunk, which ends the body.
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
fn uploads_beyond_the_memory_budget_are_refused_and_short_requests_are_served() {
    let mut world = World::start_with_long_timeouts();
    world.gateway = Gateway::start_small("router-2", world.store.address(), 16);
    world.gateway.await_ready();
    let mut streams = Vec::new();
    let refused = loop {
        let stream = start_stalled_upload(&world.gateway, &format!("stalled-{}", streams.len()));
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
    // Sent to back ends whose slots the stalled uploads do not hold.
    let short = TestRequest {
        host: "keyed.example",
        target: "/k/x",
        key: Some(5),
        ..TestRequest::default()
    };
    assert_eq!(short.send(&world.gateway).status(), 200);
    drop(streams);
    eventually(|| {
        let sent = with_length("late", &body(LONG_BODY));
        (upload(world.gateway.callers, &sent) == Some(200)).then_some(())
    });
}
