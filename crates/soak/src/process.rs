//! One gateway as a process of its own.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use eyre::{WrapErr, eyre};
use rustix::process::{Pid, Signal, kill_process};

use crate::check::ZONE_DRAIN;
use crate::world::ZONES;

/// Hold of a grant: short, so that holds are waited out in a soak.
const HOLD: Duration = Duration::from_secs(2);

/// Port at which a gateway listens for others.
pub const PEER_PORT: u16 = 8_083;

/// What a gateway is started with.
#[derive(Clone, Debug)]
pub struct Setup<'a> {
    /// The program.
    pub program: &'a Path,
    /// Folder for settings and logs.
    pub dir: &'a Path,
    /// Number of the gateway.
    pub number: usize,
    /// Where it finds the store.
    pub store: SocketAddr,
}

/// A gateway. Dropping it ends its process.
#[derive(Debug)]
pub struct Gateway {
    number: usize,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// Where it takes requests.
    pub callers: SocketAddr,
    /// Where it tells whether it is ready, and its metrics.
    pub readiness: SocketAddr,
    /// Lives so far.
    pub life: u64,
}

impl Gateway {
    /// Writes its settings and starts it.
    ///
    /// # Errors
    ///
    /// A file cannot be written, or the program does not start.
    pub fn start(setup: &Setup<'_>) -> eyre::Result<Self> {
        let own = own_address(setup.number);
        let callers = SocketAddr::from((own, 8_081));
        let readiness = SocketAddr::from((own, 8_082));
        let name = format!("gateway-{}", setup.number);
        let settings = setup.dir.join(format!("{name}.toml"));
        let zone = setup.number % ZONES;
        let hold = HOLD.as_secs();
        let text = format!(
            "machine = \"{name}\"\nzone = \"zone-{zone}\"\n[listen]\ncallers = \"{callers}\"\n\
             readiness = \"{readiness}\"\npeers = \"{own}:{PEER_PORT}\"\n[platform]\nstore = \"{}\"\n\
             [bounds]\nzone-drain-s = {}\n[ownership]\nhold-s = {hold}\nmax-hold-s = {hold}\n",
            setup.store,
            ZONE_DRAIN.as_secs(),
        );
        std::fs::write(&settings, text)
            .wrap_err_with(|| format!("{} cannot be written", settings.display()))?;
        let mut gateway = Gateway {
            number: setup.number,
            program: setup.program.to_owned(),
            settings,
            log: setup.dir.join(format!("{name}.log")),
            child: None,
            callers,
            readiness,
            life: 0,
        };
        gateway.begin()?;
        Ok(gateway)
    }

    /// Starts a process, unless one runs.
    ///
    /// # Errors
    ///
    /// The program does not start.
    pub fn begin(&mut self) -> eyre::Result<()> {
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
        self.life += 1;
        Ok(())
    }

    /// Whether a process runs, as far as is known.
    pub fn runs(&self) -> bool {
        self.child.is_some()
    }

    /// The number of its process, if one runs.
    pub fn process(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends a signal to its process, if one runs.
    ///
    /// # Errors
    ///
    /// The signal cannot be sent.
    pub fn signal(&self, signal: Signal) -> eyre::Result<()> {
        let Some(child) = &self.child else {
            return Ok(());
        };
        let id = i32::try_from(child.id()).ok().and_then(Pid::from_raw);
        let id = id.ok_or_else(|| eyre!("gateway {} has no process id", self.number))?;
        Ok(kill_process(id, signal)?)
    }

    /// Kills its process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // One that has ended by itself needs no kill.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether its process ended by itself; with which status.
    pub fn ended(&mut self) -> Option<std::process::ExitStatus> {
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

/// A loopback address of its own for each gateway of each soak.
pub fn own_address(number: usize) -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let number = u8::try_from(number).unwrap_or(u8::MAX);
    Ipv4Addr::new(127, 128 | (high & 63), low, number.saturating_add(1))
}
