//! A gateway in its own process.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use eyre::{WrapErr, eyre};
use rustix::process::{Pid, Signal, kill_process};

use crate::check::ZONE_DRAIN;
use crate::regions;
use crate::world::ZONES;

/// Hold time of a grant: short, so that holds expire within a soak.
const GRANT_HOLD: Duration = Duration::from_secs(2);

/// Port on which a gateway listens for other gateways.
pub const PEER_PORT: u16 = 8_083;

/// Configuration with which a gateway is started.
#[derive(Clone, Debug)]
pub struct GatewayConfig<'a> {
    /// The gateway program.
    pub program: &'a Path,
    /// Directory for settings and logs.
    pub dir: &'a Path,
    /// Number of the gateway.
    pub number: usize,
    /// Address at which the gateway reaches the store.
    pub store: SocketAddr,
    /// Zones lie in two regions.
    pub regions: bool,
}

/// A gateway process. Dropping it kills the process.
#[derive(Debug)]
pub struct Gateway {
    number: usize,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// Address for the requests of callers.
    pub callers: SocketAddr,
    /// Address of the readiness check and the metrics.
    pub readiness: SocketAddr,
    /// Number of processes started so far.
    pub incarnation: u64,
}

impl Gateway {
    /// Writes the settings file and starts the process.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be written or the program does not start.
    pub fn start(config: &GatewayConfig<'_>) -> eyre::Result<Self> {
        let own = gateway_address(config.number);
        let callers = SocketAddr::from((own, 8_081));
        let readiness = SocketAddr::from((own, 8_082));
        let name = format!("gateway-{}", config.number);
        let settings = config.dir.join(format!("{name}.toml"));
        let store = config.store;
        let drain = ZONE_DRAIN.as_secs();
        let (zone, region) = match config.regions {
            true => (
                regions::zone_of(config.number),
                format!(
                    "region = \"region-{}\"\n",
                    regions::region_of(config.number)
                ),
            ),
            false => (config.number % ZONES, String::new()),
        };
        let last = match config.regions {
            true => regions::settings(),
            false => {
                let hold = GRANT_HOLD.as_secs();
                format!("[ownership]\nhold-s = {hold}\nmax-hold-s = {hold}\n")
            }
        };
        let text = format!(
            "machine = \"{name}\"\nzone = \"zone-{zone}\"\n{region}[listen]\n\
             callers = \"{callers}\"\nreadiness = \"{readiness}\"\n\
             peers = \"{own}:{PEER_PORT}\"\n[platform]\nstore = \"{store}\"\n\
             [bounds]\nzone-drain-s = {drain}\n{last}"
        );
        std::fs::write(&settings, text)
            .wrap_err_with(|| format!("{} cannot be written", settings.display()))?;
        let mut gateway = Gateway {
            number: config.number,
            program: config.program.to_owned(),
            settings,
            log: config.dir.join(format!("{name}.log")),
            child: None,
            callers,
            readiness,
            incarnation: 0,
        };
        gateway.spawn()?;
        Ok(gateway)
    }

    /// Starts a process, unless one is running.
    ///
    /// # Errors
    ///
    /// Fails if the program does not start.
    pub fn spawn(&mut self) -> eyre::Result<()> {
        if self.child.is_some() {
            return Ok(());
        }
        let log = File::options().append(true).create(true).open(&self.log)?;
        let child = Command::new(&self.program)
            .args(["gateway", "--settings"])
            .arg(&self.settings)
            .stdout(Stdio::from(log))
            .spawn();
        self.child = Some(child.wrap_err_with(|| {
            format!(
                "{} does not start; build it or name it with --program",
                self.program.display()
            )
        })?);
        self.incarnation += 1;
        Ok(())
    }

    /// Returns whether a process was started and its end has not been observed.
    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Returns the id of the process, if one is running.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends a signal to the process, if one is running.
    ///
    /// # Errors
    ///
    /// Fails if the signal cannot be sent.
    pub fn signal(&self, signal: Signal) -> eyre::Result<()> {
        let Some(child) = &self.child else {
            return Ok(());
        };
        let pid = i32::try_from(child.id()).ok().and_then(Pid::from_raw);
        let pid = pid.ok_or_else(|| eyre!("gateway {} has no process id", self.number))?;
        Ok(kill_process(pid, signal)?)
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // A process that has already ended needs no kill.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns the exit status if the process ended by itself, and forgets the
    /// process.
    pub fn take_exit_status(&mut self) -> Option<std::process::ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status)
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A distinct loopback address for each gateway of each soak process.
pub fn gateway_address(number: usize) -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let number = u8::try_from(number).unwrap_or(u8::MAX);
    Ipv4Addr::new(127, 128 | (high & 63), low, number.saturating_add(1))
}
