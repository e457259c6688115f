//! A gateway in its own process.

pub mod duty;

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::Duration;

use duty::ProcessSlot;
use eyre::WrapErr;

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
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    /// The process.
    pub process: ProcessSlot,
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
            program: config.program.to_owned(),
            settings,
            log: config.dir.join(format!("{name}.log")),
            process: ProcessSlot::default(),
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
        if self.process.is_running() {
            return Ok(());
        }
        let log = File::options().append(true).create(true).open(&self.log)?;
        let child = Command::new(&self.program)
            .args(["gateway", "--settings"])
            .arg(&self.settings)
            .stdout(Stdio::from(log))
            .spawn();
        self.process.set(child.wrap_err_with(|| {
            format!(
                "{} does not start; build it or name it with --program",
                self.program.display()
            )
        })?);
        self.incarnation += 1;
        Ok(())
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.process.set_share(None);
        self.process.kill();
    }
}

/// A distinct loopback address for each gateway of each soak process.
pub fn gateway_address(number: usize) -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let number = u8::try_from(number).unwrap_or(u8::MAX);
    Ipv4Addr::new(127, 128 | (high & 63), low, number.saturating_add(1))
}
