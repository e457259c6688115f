//! Tests of processes that run for a part of the time only, and of targets that
//! read slowly.

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::Command;
use std::time::{Duration, Instant};

use async_std::task;
use rustix::net::sockopt;
use threadledge_soak::fault::{FaultSet, Kind};
use threadledge_soak::process::duty::{PERIOD, ProcessSlot};
use threadledge_soak::proxy::Proxy;
use threadledge_soak::{Fault, Options};

const LONG: Duration = Duration::from_secs(30);
/// Time within which a state of a process has to be seen.
const SIGHT: Duration = Duration::from_secs(10);

/// A proxy whose target reads slowly, and a connection through it.
struct SlowReader {
    proxy: Proxy,
    client: TcpStream,
    server: TcpStream,
}

impl SlowReader {
    fn start(bytes_per_s: u32) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let target = listener.local_addr().expect("its address");
        let proxy = task::block_on(Proxy::start(target)).expect("a proxy");
        let client = TcpStream::connect(proxy.address()).expect("a connection");
        let (server, _) = listener.accept().expect("its continuation");
        proxy.read_slowly(bytes_per_s, LONG);
        SlowReader {
            proxy,
            client,
            server,
        }
    }
}

fn read(stream: &mut TcpStream, length: usize) -> Vec<u8> {
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).expect("bytes");
    bytes
}

fn reset(stream: TcpStream) {
    sockopt::set_socket_linger(&stream, Some(Duration::ZERO)).expect("set");
}

fn assert_reset(stream: &mut TcpStream) {
    let error = stream.read(&mut [0]).expect_err("a reset");
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
}

#[test]
fn slow_reader_takes_no_more_than_its_rate() {
    let mut slow = SlowReader::start(400);
    let start = Instant::now();
    slow.client.write_all(&[7; 160]).expect("sent");
    assert_eq!(read(&mut slow.server, 160), [7; 160]);
    assert!(start.elapsed() >= Duration::from_millis(350));
}

#[test]
fn answers_of_a_slow_reader_are_not_held_back() {
    let mut slow = SlowReader::start(1);
    slow.client.write_all(&[7; 200]).expect("sent");
    slow.server.write_all(b"back").expect("sent");
    let start = Instant::now();
    assert_eq!(read(&mut slow.client, 4), b"back");
    assert!(start.elapsed() < Duration::from_secs(5));
}

#[test]
fn slow_reader_takes_what_waits_after_its_sender_has_reset_the_connection() {
    let mut slow = SlowReader::start(400);
    slow.client.write_all(&[7; 160]).expect("sent");
    reset(slow.client);
    assert_eq!(read(&mut slow.server, 160), [7; 160]);
    assert_reset(&mut slow.server);
}

#[test]
fn reader_that_is_fast_again_takes_what_waits_after_a_reset() {
    let mut slow = SlowReader::start(20);
    slow.client.write_all(&[7; 2_000]).expect("sent");
    reset(slow.client);
    assert_eq!(read(&mut slow.server, 1), [7; 1]);
    slow.proxy.read_at_once();
    assert_eq!(read(&mut slow.server, 1_999), [7; 1_999]);
    assert_reset(&mut slow.server);
}

#[test]
fn only_what_was_taken_in_the_slow_time_counts_as_unread() {
    let before = Instant::now();
    let slow = SlowReader::start(20);
    assert!(!slow.proxy.may_have_read_late(before));
    assert!(slow.proxy.may_have_read_late(Instant::now()));
    slow.proxy.read_at_once();
    let later = Instant::now() + Duration::from_secs(1);
    assert!(!slow.proxy.may_have_read_late(later));
}

/// Returns the state of a process as the kernel shows it.
fn process_state(pid: u32) -> char {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).expect("it runs");
    let (_, after_name) = stat.rsplit_once(") ").expect("a name");
    after_name.chars().next().expect("a state")
}

fn await_state(pid: u32, wanted: impl Fn(char) -> bool) {
    let start = Instant::now();
    while !wanted(process_state(pid)) {
        assert!(start.elapsed() < SIGHT, "state {}", process_state(pid));
        std::thread::sleep(Duration::from_millis(1));
    }
}

fn is_stopped(state: char) -> bool {
    state == 'T'
}

fn started_slot() -> (ProcessSlot, u32) {
    let slot = ProcessSlot::default();
    slot.set(Command::new("sleep").arg("60").spawn().expect("started"));
    let pid = slot.pid().expect("it runs");
    (slot, pid)
}

#[test]
fn process_with_a_share_is_stopped_in_each_period_and_goes_on() {
    let (slot, pid) = started_slot();
    slot.set_share(Some(PERIOD / 2));
    for _ in 0..3 {
        await_state(pid, is_stopped);
        await_state(pid, |state| !is_stopped(state));
    }
    slot.set_share(None);
    await_state(pid, |state| !is_stopped(state));
    std::thread::sleep(PERIOD * 3);
    assert!(!is_stopped(process_state(pid)));
    slot.kill();
    assert!(!slot.is_running());
}

#[test]
fn paused_process_with_a_share_stays_stopped() {
    let (slot, pid) = started_slot();
    slot.set_share(Some(PERIOD / 2));
    slot.pause().expect("signalled");
    await_state(pid, is_stopped);
    let start = Instant::now();
    while start.elapsed() < PERIOD * 3 {
        assert!(is_stopped(process_state(pid)));
    }
    slot.resume().expect("signalled");
    await_state(pid, |state| !is_stopped(state));
    slot.kill();
}

fn options(slow_gateways: bool, slow_readers: bool) -> Options {
    Options {
        program: "none".into(),
        dir: "none".into(),
        seed: 5,
        length: Duration::from_secs(60),
        gateways: 6,
        back_ends: 12,
        faults: FaultSet::Regions,
        crashing_requests: false,
        reuse_ids: false,
        omitted_ids: false,
        time_factor: 1,
        link_mbps: Some(60),
        slow_gateways,
        slow_readers,
    }
}

fn is_slow(fault: &Fault) -> bool {
    matches!(
        fault.kind,
        Kind::SlowGateway { .. } | Kind::SlowReader { .. }
    )
}

#[test]
fn slow_gateways_and_readers_leave_the_other_faults_of_a_seed_unchanged() {
    let plain = options(false, false).plan();
    let all = options(true, true).plan();
    assert!(all.is_sorted_by_key(|fault| fault.at));
    let (slow, others): (Vec<Fault>, Vec<Fault>) = all.into_iter().partition(is_slow);
    assert_eq!(others, plain);
    let gateways = options(true, false).plan().into_iter().filter(is_slow);
    let readers = options(false, true).plan().into_iter().filter(is_slow);
    let apart: Vec<Fault> = gateways.chain(readers).collect();
    assert_eq!(slow, apart);
    assert!(slow.len() > 6);
}
