//! A small deployment: a store, gateways in three zones, and the platform's
//! entry, which passes new connections to gateways that are ready.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::client::{is_ready, Request};
use crate::gateway::{Gateway, Settings};
use crate::http::Message;
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;

/// Exit codes of a script.
pub const BROKEN: i32 = 1;
pub const HELD: i32 = 0;
pub const NOT_RUN: i32 = 2;

pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
pub const HOST: &str = "kasamahan.example";

/// What a script is given.
pub struct Case {
    pub program: PathBuf,
    pub record: Arc<Record>,
    /// For settings and logs; removed at the end unless `KEEP` is set.
    pub folder: PathBuf,
    /// Whether the disruption happens.
    pub trouble: bool,
}

impl Case {
    /// Reads the arguments (the program and the folder of the case) and
    /// `TROUBLE`.
    pub fn open() -> Option<Case> {
        let mut arguments = std::env::args().skip(1);
        let program = PathBuf::from(arguments.next()?);
        let case = PathBuf::from(arguments.next()?);
        if !program.is_file() {
            eprintln!("build the program of the deploy file first");
            return None;
        }
        let record = Record::create(case.join("record.txt").to_str()?).ok()?;
        let name = format!("threadledge-review-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).ok()?;
        let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
        record.line(&format!("trouble: {trouble}"));
        Some(Case {
            program,
            record: Arc::new(record),
            folder,
            trouble,
        })
    }

    /// Ends the script.
    pub fn exit(self, code: i32, why: &str) -> ! {
        self.record.say(why);
        match std::env::var("KEEP") {
            Ok(_) => println!("kept {}", self.folder.display()),
            Err(_) => drop(std::fs::remove_dir_all(&self.folder)),
        }
        std::process::exit(code)
    }

    /// Starts a gateway for each store address and waits until all are ready. A
    /// gateway that cannot have its ports is started again with others.
    pub fn start_gateways(&self, store: &[SocketAddr]) -> std::io::Result<Vec<Gateway>> {
        let mut gateways = Vec::new();
        for (index, store) in store.iter().enumerate() {
            gateways.push(self.start_gateway(index, *store)?);
        }
        let until = self.record.now() + Duration::from_secs(25);
        for (index, store) in store.iter().enumerate() {
            while !is_ready(gateways[index].settings.readiness) {
                if self.record.now() > until {
                    return Err(std::io::Error::other("the gateways did not become ready"));
                }
                if gateways[index].ended().is_some() {
                    gateways[index] = self.start_gateway(index, *store)?;
                }
                std::thread::sleep(Duration::from_millis(100));
            }
        }
        Ok(gateways)
    }

    fn start_gateway(&self, index: usize, store: SocketAddr) -> std::io::Result<Gateway> {
        self.start_with(Case::settings(index, store)?)
    }

    /// Settings of the gateway with this number.
    pub fn settings(index: usize, store: SocketAddr) -> std::io::Result<Settings> {
        let machine = format!("front-{}", index + 1);
        Settings::new(&machine, ZONES[index % ZONES.len()], store)
    }

    pub fn start_with(&self, settings: Settings) -> std::io::Result<Gateway> {
        Gateway::start(&self.program, settings, Path::new(&self.folder))
    }
}

/// The Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

/// One route of a configuration.
pub struct Route<'a> {
    pub name: &'a str,
    pub prefix: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_s: f64,
    pub target_s: f64,
}

/// A configuration as the operator writes it. `services` are names with whether
/// they are divided by key.
pub fn configuration(version: u64, routes: &[Route], services: &[(&str, bool)]) -> Json {
    let routes = routes.iter().map(|route| {
        let fields = Json::object([
            ("Host", Json::text(HOST)),
            ("PathPrefix", Json::text(route.prefix)),
            ("Service", Json::text(route.service)),
            ("Kind", Json::text(route.kind)),
            ("MaxAttempts", Json::number(3)),
            ("TimeoutS", Json::number(route.timeout_s)),
            ("TargetLatencyS", Json::number(route.target_s)),
            ("Priority", Json::number(1)),
        ]);
        (route.name.to_owned(), fields)
    });
    let services = services.iter().map(|(name, sharded)| {
        let fields = Json::object([
            ("HealthPath", Json::text("/health")),
            ("MaxConnections", Json::number(130)),
            ("Sharded", Json::Bool(*sharded)),
        ]);
        ((*name).to_owned(), fields)
    });
    let limits = Json::object([
        ("MaxHeaderBytes", Json::number(8192)),
        ("MaxBodyBytes", Json::number(1_048_576)),
        ("HeaderTimeoutS", Json::number(5)),
        ("IdleTimeoutS", Json::number(30)),
    ]);
    Json::object([
        ("Version", Json::text(format!("r{version}"))),
        ("Routes", Json::Object(routes.collect())),
        ("Services", Json::Object(services.collect())),
        ("Limits", limits),
    ])
}

/// Gives the configuration to the store, whose answer is the acknowledgement.
pub fn configure(store: &Store, configuration: Json) {
    store.put("config", "main", configuration);
}

/// The end of one request, as its client saw it.
#[derive(Clone, Debug)]
pub struct End {
    pub id: String,
    pub sent: Duration,
    pub ended: Duration,
    /// Status of a complete answer; 0 where there was none.
    pub status: u16,
    pub key: Option<u16>,
}

/// Clients that send requests at a steady pace, each on a new connection to a
/// gateway that is ready, and never repeat one.
pub struct Traffic {
    running: Arc<AtomicBool>,
    pub ends: Arc<Mutex<Vec<End>>>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

/// Makes the next request from its number.
pub type Maker = Arc<dyn Fn(u64) -> Request + Send + Sync>;

impl Traffic {
    /// Starts `clients` clients, each with a request every `pause`.
    pub fn start(
        record: &Arc<Record>,
        gateways: &[(SocketAddr, SocketAddr)],
        clients: usize,
        pause: Duration,
        make: Maker,
    ) -> Traffic {
        let running = Arc::new(AtomicBool::new(true));
        let ends = Arc::new(Mutex::new(Vec::new()));
        let number = Arc::new(AtomicU64::new(0));
        let ready = Arc::new(Mutex::new(vec![true; gateways.len()]));
        watch_readiness(gateways, &running, &ready);
        let threads: Vec<_> = (0..clients)
            .map(|client| {
                let (record, gateways, running) =
                    (record.clone(), gateways.to_vec(), running.clone());
                let (ends, number, ready, make) =
                    (ends.clone(), number.clone(), ready.clone(), make.clone());
                std::thread::spawn(move || {
                    std::thread::sleep(pause * client as u32 / clients as u32);
                    while running.load(Ordering::SeqCst) {
                        let next = number.fetch_add(1, Ordering::SeqCst);
                        let request = make(next);
                        let sent = record.now();
                        let gateway = pick(&gateways, &ready, next as usize);
                        record.line(&format!(
                            "client sends {} {} {} to {gateway}",
                            request.id, request.method, request.path
                        ));
                        let answer = request.send_to(gateway);
                        let status = match &answer {
                            Ok(Some(answer)) => answer.status(),
                            _ => 0,
                        };
                        record.line(&format!("client gets {} for {}", told(&answer), request.id));
                        let (id, key) = (request.id.clone(), request.key);
                        ends.lock().unwrap().push(End {
                            id,
                            sent,
                            ended: record.now(),
                            status,
                            key,
                        });
                        let next_at = sent + pause;
                        std::thread::sleep(next_at.saturating_sub(record.now()));
                    }
                })
            })
            .collect();
        Traffic {
            running,
            ends,
            threads,
        }
    }

    /// Ends the clients and returns the ends of all requests.
    pub fn stop(self) -> Vec<End> {
        self.running.store(false, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        let ends = self.ends.lock().unwrap();
        ends.clone()
    }
}

fn told(answer: &std::io::Result<Option<Message>>) -> String {
    match answer {
        Ok(Some(answer)) => format!(
            "{} ({})",
            answer.status(),
            String::from_utf8_lossy(&answer.body[..answer.body.len().min(60)]).trim()
        ),
        Ok(None) => "a closed connection".to_owned(),
        Err(error) => format!("no answer ({error})"),
    }
}

/// Asks each gateway each second whether it is ready; two misses take it out.
fn watch_readiness(
    gateways: &[(SocketAddr, SocketAddr)],
    running: &Arc<AtomicBool>,
    ready: &Arc<Mutex<Vec<bool>>>,
) {
    for (index, (_, readiness)) in gateways.iter().copied().enumerate() {
        let (running, ready) = (running.clone(), ready.clone());
        std::thread::spawn(move || {
            let mut misses = 0;
            while running.load(Ordering::SeqCst) {
                misses = if is_ready(readiness) { 0 } else { misses + 1 };
                ready.lock().unwrap()[index] = misses < 2;
                std::thread::sleep(Duration::from_secs(1));
            }
        });
    }
}

fn pick(
    gateways: &[(SocketAddr, SocketAddr)],
    ready: &Mutex<Vec<bool>>,
    number: usize,
) -> SocketAddr {
    let ready = ready.lock().unwrap();
    let usable: Vec<SocketAddr> = gateways
        .iter()
        .zip(ready.iter())
        .filter(|(_, ready)| **ready)
        .map(|(each, _)| each.0)
        .collect();
    match usable.is_empty() {
        true => gateways[number % gateways.len()].0,
        false => usable[number % usable.len()],
    }
}
