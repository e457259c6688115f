//! Runs a gateway process with stand-ins of its platform.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use async_std::task::block_on;
use serde_json::{Value, json};
use threadledge_net::HttpClient;
pub use threadledge_platform_stand_in::configuration;
use threadledge_platform_stand_in::{CallerRequest, StandInBackEnd, StandInStore};

use super::template::fill;

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_threadledge");
/// Longest wait for any condition.
const MAX_WAIT: Duration = Duration::from_secs(30);
/// A route timeout longer than [`MAX_WAIT`], in seconds.
const LONG_TIMEOUT_S: f64 = 120.0;
const POLL_INTERVAL: Duration = Duration::from_millis(10);
pub const TIMEOUT: Duration = Duration::from_secs(10);

/// A gateway, its platform, and back ends of the services `keyed` and `plain`.
pub struct World {
    pub store: StandInStore,
    pub keyed: Vec<StandInBackEnd>,
    pub plain: Vec<StandInBackEnd>,
    pub gateway: Gateway,
}

/// One gateway process; killed on drop.
pub struct Gateway {
    process: Child,
    settings: PathBuf,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub operators: SocketAddr,
    pub peers: SocketAddr,
}

impl World {
    /// Starts everything and waits until every key is held.
    pub fn start() -> World {
        let mut world = World::start_without_configuration();
        world.store.put("config", "main", configuration(1));
        world.gateway.await_ready();
        world.await_all_keys_held();
        world
    }

    /// Like [`World::start`], with route timeouts that no test reaches.
    pub fn start_with_long_timeouts() -> World {
        let mut world = World::start_without_configuration();
        let mut wanted = configuration(1);
        for route in ["safe", "unsafe"] {
            wanted["Routes"][route]["TimeoutS"] = json!(LONG_TIMEOUT_S);
        }
        world.store.put("config", "main", wanted);
        world.gateway.await_ready();
        world.await_all_keys_held();
        world
    }

    pub fn start_without_configuration() -> World {
        let store = block_on(StandInStore::start()).expect("a store");
        let start = |name: &str, keyed| block_on(StandInBackEnd::start(name, keyed)).expect("one");
        let keyed = vec![start("k-1", true), start("k-2", true)];
        let plain = vec![start("p-1", false), start("p-2", false)];
        for back_end in &keyed {
            store.put(
                "servers",
                &back_end.id,
                back_end.registration("keyed", "ready"),
            );
        }
        for back_end in &plain {
            store.put(
                "servers",
                &back_end.id,
                back_end.registration("plain", "ready"),
            );
        }
        let gateway = Gateway::start(store.address());
        World {
            store,
            keyed,
            plain,
            gateway,
        }
    }

    /// Waits until every sampled key has a holder.
    pub fn await_all_keys_held(&self) {
        eventually(|| {
            let keys = (0..=u16::MAX).step_by(4_096);
            let held = |key| self.keyed.iter().any(|back_end| back_end.holds(key));
            keys.into_iter().all(held).then_some(())
        });
    }

    /// Number of requests with this id that were executed by any back end.
    pub fn runs_of(&self, id: &str) -> usize {
        let all = self.keyed.iter().chain(&self.plain);
        all.flat_map(StandInBackEnd::runs)
            .filter(|run| run.id == id)
            .count()
    }
}

impl Gateway {
    pub fn start(store: SocketAddr) -> Gateway {
        Gateway::start_named("router-1", store)
    }

    pub fn start_named(name: &str, store: SocketAddr) -> Gateway {
        Gateway::start_in("zone-a", name, store)
    }

    pub fn start_in(zone: &str, name: &str, store: SocketAddr) -> Gateway {
        Gateway::start_with(zone, name, store, &[])
    }

    /// Starts a gateway with further template values. `log.level` and
    /// `without-peers` are not in the template and are handled here.
    pub fn start_with(
        zone: &str,
        name: &str,
        store: SocketAddr,
        more: &[(&'static str, &str)],
    ) -> Gateway {
        Gateway::start_on(zone, name, store, &[], more)
    }

    /// Starts a gateway that knows the regions of zones, including its own.
    pub fn start_in_region(
        zone: &str,
        name: &str,
        store: SocketAddr,
        regions: &[(&str, &str)],
    ) -> Gateway {
        Gateway::start_on(zone, name, store, regions, &[])
    }

    /// Starts a gateway with a memory limit in MB.
    pub fn start_small(name: &str, store: SocketAddr, memory_mb: u32) -> Gateway {
        let memory = memory_mb.to_string();
        Gateway::start_with("zone-a", name, store, &[("Limits.MemoryMb", &memory)])
    }

    fn start_on(
        zone: &str,
        name: &str,
        store: SocketAddr,
        regions: &[(&str, &str)],
        more: &[(&'static str, &str)],
    ) -> Gateway {
        let own = own_address();
        let address = |port| SocketAddr::from((own, port));
        let [callers, readiness, peers, operators] = [8_081, 8_082, 8_083, 8_084].map(address);
        let text = |value: &dyn ToString| value.to_string();
        let mut values: BTreeMap<&str, String> = [
            ("NodeName", text(&name)),
            ("Zone", text(&zone)),
            ("Listen.Front", text(&callers)),
            ("Listen.Ready", text(&readiness)),
            ("Ip", text(&own)),
            ("InternalPortRange.0", text(&peers.port())),
            ("InternalPortRange.1", text(&operators.port())),
            ("HeartbeatIntervalS", "1.3".to_owned()),
            ("Platform.Address", text(&store)),
            ("Bounds.GraceS", text(&6)),
            ("Bounds.EvacuationS", text(&5)),
            ("Bounds.ColdOverage", text(&1.5)),
            ("Bounds.ColdSlack", text(&8)),
            ("Bounds.RetryBudgetRatio", text(&0.2)),
            ("Bounds.RetryBudgetSlack", text(&62)),
            ("Bounds.BudgetWindowS", text(&10)),
            ("Bounds.MaxHoldS", text(&10)),
            ("Limits.LinkMbps", text(&1_000.0)),
            ("Limits.CpuShare", "1".to_owned()),
            ("Limits.MemoryMb", "1024".to_owned()),
        ]
        .into();
        let own_region = regions.iter().find(|(each, _)| *each == zone);
        if let Some((_, region)) = own_region {
            values.insert("Region", text(region));
        }
        let more = more.iter();
        values.extend(more.map(|(name, value)| (*name, (*value).to_owned())));
        let file = format!("threadledge-{own}.toml");
        let settings = std::env::temp_dir().join(file);
        let mut zones = "[zones]\n".to_owned();
        for (zone, region) in regions {
            zones.push_str(&format!("{zone:?} = {region:?}\n"));
        }
        let mut filled = fill(&values).replace("[zones]\n", &zones);
        if let Some(level) = values.get("log.level") {
            filled = filled.replace("level = \"info\"", &format!("level = \"{level}\""));
        }
        if values.contains_key("without-peers") {
            let own_peers = format!("peers = \"{peers}\"\n");
            filled = filled.replace(&own_peers, "");
        }
        std::fs::write(&settings, filled).expect("settings written");
        let process = Command::new(PROGRAM)
            .args(["gateway", "--settings"])
            .arg(&settings)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program starts");
        Gateway {
            process,
            settings,
            callers,
            readiness,
            operators,
            peers,
        }
    }

    /// The status of the readiness endpoint; `None` if there is no response.
    pub fn readiness(&self) -> Option<u16> {
        let request = http::Request::get("/api/ready")
            .body(Vec::new())
            .expect("valid");
        let client = HttpClient::default();
        let answer = block_on(client.send(self.readiness, request, TIMEOUT)).ok()?;
        Some(answer.status().as_u16())
    }

    pub fn await_ready(&mut self) {
        eventually(|| (self.readiness() == Some(200)).then_some(()));
    }

    /// Whether a request that may be repeated is served.
    pub fn serves(&self, host: &str, target: &str, key: Option<u16>) -> bool {
        let request = TestRequest {
            host,
            target,
            key,
            ..TestRequest::default()
        };
        request.send(self).status() == 200
    }

    pub fn metrics(&self) -> String {
        self.operator_get("/metrics")
    }

    /// Body of a GET request to the operator address.
    pub fn operator_get(&self, path: &str) -> String {
        let request = http::Request::get(path).body(Vec::new()).expect("valid");
        let client = HttpClient::default();
        let answer = block_on(client.send(self.operators, request, TIMEOUT)).expect("an answer");
        String::from_utf8(answer.into_body()).expect("text")
    }

    /// The most memory that the process has had so far, in KiB.
    pub fn peak_memory_kib(&self) -> u64 {
        let status = format!("/proc/{}/status", self.process.id());
        let status = std::fs::read_to_string(status).expect("a status");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let value = line.and_then(|line| line.trim().strip_suffix(" kB"));
        value.and_then(|value| value.parse().ok()).expect("a value")
    }

    pub fn signal(&self, name: &str) {
        let pid = self.process.id().to_string();
        let sent = Command::new("kill").args([name, &pid]).status();
        assert!(sent.expect("kill runs").success());
    }

    /// Stops the process and waits until each of its threads has stopped: on a
    /// busy machine a thread may still run for a moment after the signal was
    /// sent.
    pub fn freeze(&self) {
        self.signal("-STOP");
        let tasks = format!("/proc/{}/task", self.process.id());
        let stopped = |task: std::fs::DirEntry| {
            let stat = std::fs::read_to_string(task.path().join("stat")).unwrap_or_default();
            // The state follows the name, which is in parentheses.
            let state = stat
                .rsplit(')')
                .next()
                .and_then(|rest| rest.trim().chars().next());
            state == Some('T')
        };
        eventually(|| {
            let mut tasks = std::fs::read_dir(&tasks).expect("the process's threads");
            tasks.all(|task| task.is_ok_and(stopped)).then_some(())
        });
    }

    /// Waits for the process to exit and returns its status and log lines.
    pub fn wait_for_exit(mut self) -> (ExitStatus, Vec<Value>) {
        let status = eventually(|| self.process.try_wait().expect("waited for"));
        let mut log = String::new();
        if let Some(mut output) = self.process.stdout.take() {
            std::io::Read::read_to_string(&mut output, &mut log).expect("text");
        }
        let lines = log
            .lines()
            .map(|line| serde_json::from_str(line).expect("every line is JSON"));
        (status, lines.collect())
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

pub fn eventually<T>(mut attempt: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(value) = attempt() {
            return value;
        }
        assert!(
            start.elapsed() < MAX_WAIT,
            "condition not met within {MAX_WAIT:?}"
        );
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// A loopback address on which no other process of this test run listens, so
/// that its ports are free.
fn own_address() -> Ipv4Addr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    Ipv4Addr::new(127, 64 | (high & 63), low, number)
}

/// A caller's request to a gateway.
pub struct TestRequest<'a> {
    pub method: &'a str,
    pub host: &'a str,
    pub target: &'a str,
    pub id: &'a str,
    pub key: Option<u16>,
    pub api_key: Option<&'a str>,
    pub tenant: Option<&'a str>,
    pub cookie: Option<&'a str>,
    pub body: &'a str,
    pub deadline_ms: u64,
}

impl Default for TestRequest<'_> {
    fn default() -> Self {
        TestRequest {
            method: "GET",
            host: "plain.example",
            target: "/safe/x",
            id: "request-1",
            key: None,
            api_key: None,
            tenant: None,
            cookie: None,
            body: "",
            deadline_ms: 5_000,
        }
    }
}

impl TestRequest<'_> {
    pub fn send(&self, gateway: &Gateway) -> http::Response<Vec<u8>> {
        block_on(self.send_async(gateway.callers))
    }

    pub async fn send_async(&self, callers: SocketAddr) -> http::Response<Vec<u8>> {
        let request = CallerRequest {
            method: &self.method.parse().expect("a method"),
            host: self.host,
            target: self.target,
            id: self.id,
            key: self.key,
            api_key: self.api_key,
            tenant: self.tenant,
            cookie: self.cookie,
            body: self.body.as_bytes(),
            deadline: Duration::from_millis(self.deadline_ms),
        };
        let request = request.build().expect("valid");
        let client = HttpClient::default();
        let answer = client.send(callers, request, TIMEOUT).await;
        answer.expect("an answer")
    }
}
