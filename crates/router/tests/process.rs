//! Tests of the program as a process: exit codes, readiness and planned stops.

use std::net::{Ipv4Addr, SocketAddr};
use std::process::{Child, Command, ExitStatus, Output, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use async_std::task;
use threadledge::operations::{NotReadyReason, OperatorClient, StatusReport};
use threadledge_net::HttpClient;

const PROGRAM: &str = env!("CARGO_BIN_EXE_threadledge");
/// Maximum wait. It is long because a busy machine may be slow.
const TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running router, killed if the test ends before it does.
struct Router {
    process: Child,
    operator: SocketAddr,
}

impl Router {
    /// Starts a router that can reach neither the platform nor other routers.
    fn start() -> Router {
        let [caller, peer, operator, platform] = unique_addresses();
        let process = Command::new(PROGRAM)
            .arg("router")
            .args(["--machine", "router-1"])
            .args(["--region", "luzon"])
            .args(["--zone", "luzon-a"])
            .args(["--caller-address", &caller.to_string()])
            .args(["--peer-address", &peer.to_string()])
            .args(["--operator-address", &operator.to_string()])
            .args(["--platform-address", &platform.to_string()])
            .args(["--machine-list-address", &platform.to_string()])
            .args(["--log-format", "json"])
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let router = Router { process, operator };
        router.await_status();
        router
    }

    fn await_status(&self) -> StatusReport {
        let client = OperatorClient::new(self.operator);
        eventually(|| task::block_on(client.status()).ok())
    }

    fn readiness(&self) -> (u16, String) {
        let request = http::Request::get("/readyz")
            .body(Vec::new())
            .expect("a valid request");
        let client = HttpClient::default();
        let answer = client.send(self.operator, request, TIMEOUT);
        let response = task::block_on(answer).expect("an answer");
        let status = response.status().as_u16();
        let body = String::from_utf8(response.into_body()).expect("text");
        (status, body)
    }

    /// Waits for the process to exit. Returns its status and the numbers of the
    /// events that it logged.
    fn wait_for_exit(mut self) -> (ExitStatus, Vec<u64>) {
        let status = eventually(|| self.process.try_wait().expect("waited for"));
        let mut log = String::new();
        if let Some(mut stderr) = self.process.stderr.take() {
            std::io::Read::read_to_string(&mut stderr, &mut log).expect("text");
        }
        let events = log
            .lines()
            .filter_map(|line| {
                serde_json::from_str::<serde_json::Value>(line).ok()?["event"].as_u64()
            })
            .collect();
        (status, events)
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Repeats `attempt` until it returns a value.
fn eventually<T>(mut attempt: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(value) = attempt() {
            return value;
        }
        assert!(start.elapsed() < TIMEOUT, "nothing for {TIMEOUT:?}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Returns addresses with a loopback IP address that no other process of this
/// test run uses, so that the ports are free.
fn unique_addresses() -> [SocketAddr; 4] {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let ip = Ipv4Addr::new(127, 64 | (high & 63), low, number);
    [8_081, 8_082, 8_083, 8_084].map(|port| SocketAddr::from((ip, port)))
}

fn run(arguments: &[&str]) -> Output {
    Command::new(PROGRAM)
        .args(arguments)
        .output()
        .expect("the program starts")
}

#[test]
fn router_without_configuration_is_not_ready_and_says_why() {
    let router = Router::start();
    let (status, body) = router.readiness();
    assert_eq!(status, 503);
    assert!(
        body.contains(NotReadyReason::NoConfiguration.as_str()),
        "{body}"
    );
}

#[test]
fn sigterm_is_a_planned_stop() {
    let router = Router::start();
    let pid = router.process.id().to_string();
    let sent = Command::new("kill").args(["-TERM", &pid]).status();
    assert!(sent.expect("kill runs").success());
    let (status, events) = router.wait_for_exit();
    assert_eq!(status.code(), Some(0));
    for expected in [101, 102, 103] {
        assert!(events.contains(&expected), "{expected} not in {events:?}");
    }
}

#[test]
fn drain_is_a_planned_stop() {
    let router = Router::start();
    let output = run(&["drain", "--operator", &router.operator.to_string()]);
    assert!(output.status.success());
    let (status, events) = router.wait_for_exit();
    assert_eq!(status.code(), Some(0));
    let stop_requests = events.iter().filter(|event| **event == 102).count();
    assert_eq!(stop_requests, 1, "{events:?}");
}

#[test]
fn status_has_a_json_form() {
    let router = Router::start();
    let operator = router.operator.to_string();
    let output = run(&["status", "--operator", &operator, "--output", "json"]);
    assert!(output.status.success());
    let report: StatusReport = serde_json::from_slice(&output.stdout).expect("a status");
    assert_eq!(report.router.machine.0, "router-1");
}

#[test]
fn failures_and_invalid_arguments_have_different_exit_codes() {
    assert_eq!(
        run(&["router", "--machine", "router-1"]).status.code(),
        Some(2)
    );
    assert_eq!(run(&["unknown"]).status.code(), Some(2));
    assert_eq!(run(&["--help"]).status.code(), Some(0));
    assert_eq!(run(&["check", "/nowhere.json"]).status.code(), Some(1));
    assert_eq!(
        run(&["status", "--operator", "127.0.0.1:9"]).status.code(),
        Some(1)
    );
}
