//! Starts real gateways with the command of the deploy file, and ends them.

use std::fs;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use crate::client::is_ready;

/// Settings of one gateway, with the figures of a small deployment.
#[derive(Clone, Debug)]
pub struct Settings {
    pub machine: String,
    pub zone: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub peers: SocketAddr,
    pub operators: SocketAddr,
    pub store: SocketAddr,
}

/// A free port of 127.0.0.1, outside the range that outgoing connections take
/// theirs from by themselves.
pub fn free_address() -> io::Result<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    const FIRST: u32 = 12_000;
    const PORTS: u32 = 20_000;
    let start = std::process::id().wrapping_mul(97);
    for _ in 0..PORTS {
        let offset = start.wrapping_add(NEXT.fetch_add(1, Ordering::SeqCst)) % PORTS;
        let address = SocketAddr::from(([127, 0, 0, 1], (FIRST + offset) as u16));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

impl Settings {
    pub fn new(machine: &str, zone: &str, store: SocketAddr) -> io::Result<Settings> {
        Ok(Settings {
            machine: machine.to_owned(),
            zone: zone.to_owned(),
            callers: free_address()?,
            readiness: free_address()?,
            peers: free_address()?,
            operators: free_address()?,
            store,
        })
    }

    /// The text of the settings file, as `deploy/settings.template.toml` gives
    /// it for the deployment of `kasamahan-gw`.
    fn text(&self) -> String {
        format!(
            r#"machine = "{machine}"
zone = "{zone}"
region = "luzon"
[listen]
callers = "{callers}"
readiness = "{readiness}"
peers = "{peers}"
operators = "{operators}"
[platform]
store = "{store}"
heartbeat-s = 1.3
[bounds]
grace-s = 6
configuration-s = 2
contact-s = 3
[zones]
"zone-a" = "luzon"
"zone-b" = "luzon"
"zone-c" = "luzon"
[retry-budget]
ratio = 0.2
slack = 62
window-s = 10
[ownership]
max-hold-s = 10
[limits]
link-mbps = 1000.0
cores = 0.2
memory-mb = 260
[log]
format = "json"
level = "info"
"#,
            machine = self.machine,
            zone = self.zone,
            callers = self.callers,
            readiness = self.readiness,
            peers = self.peers,
            operators = self.operators,
            store = self.store,
        )
    }
}

/// A running gateway. It is killed when it is dropped.
pub struct Gateway {
    pub settings: Settings,
    child: Child,
}

impl Gateway {
    /// Starts the program of the deploy file with a settings file in `folder`.
    pub fn start(program: &Path, settings: Settings, folder: &Path) -> io::Result<Gateway> {
        let file: PathBuf = folder.join(format!("{}.toml", settings.machine));
        fs::write(&file, settings.text())?;
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(folder.join(format!("{}.log", settings.machine)))?;
        let errors = log.try_clone()?;
        let child = Command::new(program)
            .args(["gateway", "--settings"])
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()?;
        Ok(Gateway { settings, child })
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits until it says that it is ready.
    pub fn until_ready(&self, most: Duration) -> bool {
        let until = Instant::now() + most;
        while Instant::now() < until {
            if is_ready(self.settings.readiness) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Whether it has ended by itself, and how.
    pub fn ended(&mut self) -> Option<String> {
        self.child
            .try_wait()
            .ok()
            .flatten()
            .map(|status| status.to_string())
    }

    /// Sends a signal, by the name that `kill` knows.
    pub fn signal(&self, name: &str) -> bool {
        let id = self.child.id().to_string();
        let sent = Command::new("kill")
            .args([&format!("-{name}"), &id])
            .status();
        sent.is_ok_and(|status| status.success())
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
