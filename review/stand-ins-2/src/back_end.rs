//! Stand-in of a back end: it records itself in the store, holds keys by grant
//! and runs requests.

use std::collections::BTreeMap;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{encode, reason, Connection, Message};
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;

/// Requests that wait when all slots are taken; others are rejected.
const QUEUE: usize = 8;

/// What stays the same over the lives of a back end.
#[derive(Clone)]
pub struct Plan {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub capacity: usize,
    /// Whether it runs requests only for keys that it holds.
    pub keyed: bool,
    /// How long a request takes.
    pub work: Duration,
    /// Length that the bodies of its answers are filled up to.
    pub answer_bytes: usize,
    pub heartbeat: Duration,
}

/// One request that arrived at a back end.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub request: String,
    pub back_end: String,
    pub at: Duration,
    /// Whether the back end began to work on it.
    pub ran: bool,
}

/// All arrivals at all back ends.
#[derive(Clone, Default)]
pub struct Arrivals(pub Arc<Mutex<Vec<Arrival>>>);

#[derive(Clone, Copy)]
struct Hold {
    first: u16,
    last: u16,
    until: Instant,
}

#[derive(Default)]
struct State {
    running: usize,
    waiting: usize,
    /// Keys of the running requests.
    work: BTreeMap<u64, u16>,
    holds: Vec<Hold>,
    /// The fences seen, by range.
    fences: Vec<(u16, u16, u64)>,
    connections: Vec<TcpStream>,
}

/// Changes how a back end answers one request: it is called before anything
/// else, with the connection, and returns whether it has dealt with the
/// request.
pub type Interceptor =
    Arc<dyn Fn(&BackEnd, &mut Connection, &Message) -> Option<bool> + Send + Sync>;

/// Is told of each request that a back end begins to work on, with its key.
pub type Observer = Arc<dyn Fn(&BackEnd, &str, u16) + Send + Sync>;

/// One life of a back end. Clones share it.
#[derive(Clone)]
pub struct BackEnd {
    pub plan: Plan,
    /// The Unix millisecond at which it started, by its own clock.
    pub born: u64,
    store: Store,
    record: Arc<Record>,
    arrivals: Arrivals,
    state: Arc<(Mutex<State>, Condvar)>,
    ended: Arc<AtomicBool>,
    sequence: Arc<AtomicU64>,
    draining: Arc<AtomicBool>,
    interceptor: Option<Interceptor>,
    observer: Arc<Mutex<Option<Observer>>>,
}

impl BackEnd {
    /// Starts a life: it listens, and records itself in the store.
    pub fn start(
        plan: Plan,
        born: u64,
        store: &Store,
        record: &Arc<Record>,
        arrivals: &Arrivals,
        interceptor: Option<Interceptor>,
    ) -> std::io::Result<BackEnd> {
        let listener = TcpListener::bind(plan.address)?;
        let back_end = BackEnd {
            plan,
            born,
            store: store.clone(),
            record: record.clone(),
            arrivals: arrivals.clone(),
            state: Arc::default(),
            ended: Arc::default(),
            sequence: Arc::default(),
            draining: Arc::default(),
            interceptor,
            observer: Arc::default(),
        };
        let server = back_end.clone();
        std::thread::spawn(move || server.listen(listener));
        back_end.register();
        let beating = back_end.clone();
        std::thread::spawn(move || beating.beat());
        record.line(&format!(
            "{} starts, born {born}, at {}",
            back_end.plan.id, back_end.plan.address
        ));
        Ok(back_end)
    }

    fn spec(&self) -> Json {
        let state = if self.draining.load(Ordering::SeqCst) {
            "draining"
        } else {
            "ready"
        };
        Json::object([
            ("Service", Json::text(&*self.plan.service)),
            ("Address", Json::text(self.plan.address.to_string())),
            ("Zone", Json::text(&*self.plan.zone)),
            ("Version", Json::text("v1")),
            ("Capacity", Json::number(self.plan.capacity)),
            ("State", Json::text(state)),
            ("ColdRemainingS", Json::number(0)),
            (
                "Sequence",
                Json::number(self.sequence.load(Ordering::SeqCst)),
            ),
            ("born", Json::number(self.born)),
        ])
    }

    fn register(&self) {
        self.store.put("servers", &self.plan.id, self.spec());
    }

    fn beat(&self) {
        loop {
            std::thread::sleep(self.plan.heartbeat);
            if self.has_ended() {
                return;
            }
            self.sequence.fetch_add(1, Ordering::SeqCst);
            self.store
                .put_quietly("servers", &self.plan.id, self.spec());
        }
    }

    /// Sets who is told of the requests that it begins.
    pub fn observe(&self, observer: Observer) {
        *self.observer.lock().unwrap() = Some(observer);
    }

    pub fn has_ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }

    /// States `draining`; returns once the store has acknowledged it.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
        self.register();
        self.record.line(&format!(
            "{} states draining; the store has acknowledged it",
            self.plan.id
        ));
    }

    /// Ends this life at once: its connections break and its port is closed.
    /// The entry in the store stays as it is.
    pub fn crash(&self) {
        self.ended.store(true, Ordering::SeqCst);
        for stream in self.state.0.lock().unwrap().connections.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Wakes the listener, which then ends.
        let _ = TcpStream::connect(self.plan.address);
        self.record.line(&format!("{} ends", self.plan.id));
    }

    /// Removes its entry, as after a planned end.
    pub fn unregister(&self) {
        self.store.remove("servers", &self.plan.id);
    }

    fn listen(&self, listener: TcpListener) {
        for stream in listener.incoming().flatten() {
            if self.has_ended() {
                return;
            }
            if let Ok(copy) = stream.try_clone() {
                self.state.0.lock().unwrap().connections.push(copy);
            }
            let server = self.clone();
            std::thread::spawn(move || server.connection(stream));
        }
    }

    fn connection(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.read(false) {
            if self.has_ended() {
                return;
            }
            let interceptor = self.interceptor.clone();
            match interceptor.and_then(|intercept| intercept(self, &mut connection, &request)) {
                Some(true) => continue,
                Some(false) => return,
                None => {}
            }
            let answer = self.answer(&request);
            if self.has_ended()
                || std::io::Write::write_all(&mut connection.stream, &answer).is_err()
            {
                return;
            }
        }
    }

    /// The bytes of the answer to a request.
    pub fn answer(&self, request: &Message) -> Vec<u8> {
        let path = request.target().split('?').next().unwrap_or("");
        let expected = request.header("x-expected-instance");
        if expected.is_some_and(|expected| expected != self.plan.id) {
            return self.rejection(421, request);
        }
        match path {
            "/api/grant" => self.grant(request),
            "/api/release" => self.release(request),
            "/health" => {
                let status = if self.draining.load(Ordering::SeqCst) {
                    503
                } else {
                    200
                };
                let first = format!("HTTP/1.1 {status} {}", reason(status));
                encode(&first, &[("X-Instance-Id", self.plan.id.clone())], b"")
            }
            _ => self.run(request),
        }
    }

    /// The bytes of the answer to a request that was not run.
    pub fn rejection(&self, status: u16, request: &Message) -> Vec<u8> {
        let mut headers = vec![
            ("X-Not-Executed", "1".to_owned()),
            ("X-Instance-Id", self.plan.id.clone()),
        ];
        if let Some(id) = request.header("x-request-id") {
            headers.push(("X-Request-Id", id.to_owned()));
        }
        encode(
            &format!("HTTP/1.1 {status} {}", reason(status)),
            &headers,
            b"",
        )
    }

    fn arrived(&self, request: &str, ran: bool) {
        let at = self.record.now();
        let what = if ran { "runs" } else { "rejects" };
        self.record
            .line(&format!("{} {what} {request}", self.plan.id));
        let arrival = Arrival {
            request: request.to_owned(),
            back_end: self.plan.id.clone(),
            at,
            ran,
        };
        self.arrivals.0.lock().unwrap().push(arrival);
    }

    /// Whether it holds a key now.
    pub fn holds(&self, key: u16) -> bool {
        let now = Instant::now();
        let state = self.state.0.lock().unwrap();
        state
            .holds
            .iter()
            .any(|hold| hold.first <= key && key <= hold.last && now < hold.until)
    }

    fn run(&self, request: &Message) -> Vec<u8> {
        let Some(id) = request.header("x-request-id").map(str::to_owned) else {
            return self.rejection(400, request);
        };
        let key: Option<u16> = request
            .header("x-shard-key")
            .and_then(|key| key.parse().ok());
        let left = request
            .header("x-request-deadline-ms")
            .and_then(|left| left.parse().ok());
        let until = Instant::now() + Duration::from_millis(left.unwrap_or(30_000));
        let (lock, freed) = &*self.state;
        let number = {
            let mut state = lock.lock().unwrap();
            if state.running >= self.plan.capacity {
                if state.waiting >= QUEUE {
                    drop(state);
                    self.arrived(&id, false);
                    return self.rejection(503, request);
                }
                state.waiting += 1;
                while state.running >= self.plan.capacity && Instant::now() < until {
                    let left = until.saturating_duration_since(Instant::now());
                    state = freed.wait_timeout(state, left).unwrap().0;
                }
                state.waiting -= 1;
                if state.running >= self.plan.capacity {
                    drop(state);
                    self.arrived(&id, false);
                    return self.rejection(503, request);
                }
            }
            let now = Instant::now();
            let held = |key: u16| {
                state
                    .holds
                    .iter()
                    .any(|hold| hold.first <= key && key <= hold.last && now < hold.until)
            };
            if self.plan.keyed && !key.is_some_and(held) {
                drop(state);
                self.arrived(&id, false);
                return self.rejection(421, request);
            }
            state.running += 1;
            let number = self.sequence.fetch_add(1, Ordering::SeqCst) + (1 << 32);
            state.work.insert(number, key.unwrap_or(0));
            number
        };
        self.arrived(&id, true);
        let observer = self.observer.lock().unwrap().clone();
        if let (Some(observer), Some(key)) = (observer, key) {
            observer(self, &id, key);
        }
        std::thread::sleep(self.plan.work);
        let mut state = lock.lock().unwrap();
        state.running -= 1;
        state.work.remove(&number);
        let load = format!("{},{},{}", state.running, state.waiting, self.plan.capacity);
        drop(state);
        freed.notify_all();
        let headers = [
            ("X-Request-Id", id.clone()),
            ("X-Server-Stamp", format!("stamp.{}.{id}", self.plan.id)),
            ("X-Server-Load", load),
        ];
        let mut body = format!("answer to {id} ").into_bytes();
        body.resize(body.len().max(self.plan.answer_bytes), b'.');
        encode("HTTP/1.1 200 OK", &headers, &body)
    }

    fn grant(&self, request: &Message) -> Vec<u8> {
        let Some((first, last, fence, hold)) = order(request) else {
            return self.rejection(400, request);
        };
        let mut state = self.state.0.lock().unwrap();
        if state.highest_fence(first, last) > fence {
            return encode("HTTP/1.1 409 Conflict", &[], b"");
        }
        state.drop_keys(first, last);
        state.fences.push((first, last, fence));
        let until = Instant::now() + hold;
        state.holds.push(Hold { first, last, until });
        drop(state);
        self.record.line(&format!(
            "{} takes keys {first} to {last} under {fence}",
            self.plan.id
        ));
        encode("HTTP/1.1 200 OK", &[], b"{}")
    }

    fn release(&self, request: &Message) -> Vec<u8> {
        let Some((first, last, fence, _)) = order(request) else {
            return self.rejection(400, request);
        };
        let (lock, freed) = &*self.state;
        let mut state = lock.lock().unwrap();
        state.drop_keys(first, last);
        state.fences.push((first, last, fence));
        self.record.line(&format!(
            "{} releases keys {first} to {last} under {fence}",
            self.plan.id
        ));
        while state.work.values().any(|key| first <= *key && *key <= last) {
            state = freed
                .wait_timeout(state, Duration::from_millis(50))
                .unwrap()
                .0;
        }
        drop(state);
        encode(
            "HTTP/1.1 200 OK",
            &[("X-Handover", format!("h{first}x{fence}"))],
            b"{}",
        )
    }
}

impl State {
    fn highest_fence(&self, first: u16, last: u16) -> u64 {
        let seen = self
            .fences
            .iter()
            .filter(|(from, to, _)| *from <= last && first <= *to);
        seen.map(|(_, _, fence)| *fence).max().unwrap_or(0)
    }

    fn drop_keys(&mut self, first: u16, last: u16) {
        let mut kept = Vec::new();
        for hold in self.holds.drain(..) {
            if hold.last < first || last < hold.first {
                kept.push(hold);
                continue;
            }
            if hold.first < first {
                kept.push(Hold {
                    last: first - 1,
                    ..hold
                });
            }
            if hold.last > last {
                kept.push(Hold {
                    first: last + 1,
                    ..hold
                });
            }
        }
        self.holds = kept;
    }
}

/// The keys, the fence and the time of an order.
fn order(request: &Message) -> Option<(u16, u16, u64, Duration)> {
    let body = Json::parse(std::str::from_utf8(&request.body).ok()?)?;
    let key = |name: &str| {
        body.get(name)
            .and_then(Json::as_u64)
            .and_then(|key| u16::try_from(key).ok())
    };
    let hold = body.get("HoldS").and_then(Json::as_f64).unwrap_or(0.0);
    let fence = body.get("fence").and_then(Json::as_u64)?;
    Some((
        key("From")?,
        key("TargetVersion")?,
        fence,
        Duration::from_secs_f64(hold),
    ))
}
