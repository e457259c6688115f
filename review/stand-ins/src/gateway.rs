//! Starts gateways with the command of the deploy file.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;

pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    process: Child,
}

/// Figures of a small deployment, as the sheet of the site gives them.
pub struct Deployment {
    pub program: String,
    pub folder: String,
    pub store: SocketAddr,
    pub zones: Vec<String>,
}

fn free_ports(count: usize) -> Vec<SocketAddr> {
    let bound: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port"))
        .collect();
    bound
        .iter()
        .map(|each| each.local_addr().expect("an address"))
        .collect()
}

/// Writes down the id of a process, so that it can be ended if this one is
/// ended early.
fn note_process(folder: &str, id: u32) {
    let path = format!("{folder}/processes");
    let mut known = fs::read_to_string(&path).unwrap_or_default();
    known += &format!("{id}\n");
    let _ = fs::write(&path, known);
}

impl Gateway {
    pub fn start(deployment: &Deployment, name: &str, zone: &str) -> Gateway {
        let ports = free_ports(4);
        let zones: String = deployment
            .zones
            .iter()
            .map(|zone| format!("\"{zone}\" = \"region\"\n"))
            .collect();
        let settings = format!(
            "machine = \"{name}\"\nzone = \"{zone}\"\nregion = \"region\"\n\
             [listen]\ncallers = \"{}\"\nreadiness = \"{}\"\npeers = \"{}\"\noperators = \"{}\"\n\
             [platform]\nstore = \"{}\"\nheartbeat-s = 1.3\n\
             [bounds]\ngrace-s = 6\nconfiguration-s = 2\ncontact-s = 3\n\
             [zones]\n{zones}\
             [retry-budget]\nratio = 0.2\nslack = 62\nwindow-s = 10\n\
             [ownership]\nmax-hold-s = 10\n\
             [limits]\nlink-mbps = 1000.0\ncores = 0.2\nmemory-mb = 260\n\
             [tenant-limits]\n[log]\nformat = \"json\"\nlevel = \"info\"\n",
            ports[0], ports[1], ports[2], ports[3], deployment.store
        );
        let path = format!("{}/{name}.toml", deployment.folder);
        fs::write(&path, settings).expect("the settings can be written");
        let log = fs::File::create(format!("{}/{name}.log", deployment.folder)).expect("a log");
        let process = Command::new(&deployment.program)
            .args(["gateway", "--settings", &path])
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .expect("the gateway starts");
        note_process(&deployment.folder, process.id());
        Gateway {
            name: name.to_owned(),
            callers: ports[0],
            readiness: ports[1],
            process,
        }
    }

    pub fn is_ready(&self) -> bool {
        let Ok(stream) = std::net::TcpStream::connect(self.readiness) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let mut connection = Connection::new(stream);
        let asked =
            connection.write(b"GET /api/ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n");
        asked.is_ok() && matches!(connection.read(), Ok(Some(answer)) if answer.status() == 200)
    }

    pub fn await_ready(&self, longest: Duration) -> bool {
        let until = Instant::now() + longest;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Asks the process to stop as planned.
    pub fn terminate(&self) {
        let id = self.process.id().to_string();
        let _ = Command::new("kill").args(["-TERM", id.as_str()]).status();
    }

    /// Starts the program again with the same settings.
    pub fn start_again(&mut self, deployment: &Deployment) {
        let path = format!("{}/{}.toml", deployment.folder, self.name);
        let log = fs::OpenOptions::new()
            .append(true)
            .open(format!("{}/{}.log", deployment.folder, self.name))
            .expect("the log");
        self.process = Command::new(&deployment.program)
            .args(["gateway", "--settings", &path])
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .expect("the gateway starts");
        note_process(&deployment.folder, self.process.id());
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.process.try_wait(), Ok(Some(_)))
    }

    pub fn kill(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}
