//! Stand-in of a back end: slots, a queue, keys with fences, and the faults that
//! a scenario turns on.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{response, Connection, Message};
use crate::json;
use crate::record::{Random, Record};

/// Time between two looks at whether a caller has left.
const LOOK: Duration = Duration::from_millis(5);

#[derive(Clone)]
pub struct Config {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub keyed: bool,
    pub slots: usize,
    pub queue: usize,
    /// Work of one request, from and to, in milliseconds.
    pub work_ms: (u64, u64),
    /// Answers carry `X-Server-Load`.
    pub tells_load: bool,
}

#[derive(Clone)]
struct Hold {
    first: u16,
    last: u16,
    fence: u64,
    /// Since when the keys are held without a break.
    since: Instant,
    until: Instant,
}

/// The begin of a request.
#[derive(Clone)]
struct Begin {
    back_end: String,
    key: u16,
    at: Instant,
    id: String,
}

/// Work on one key.
#[derive(Clone)]
struct Work {
    id: String,
    key: u16,
    /// End of the hold under which it runs, as of the last renewal.
    lease_ends: Instant,
}

/// Orders that get no answer and are carried out later.
#[derive(Clone, Copy)]
pub struct LateOrders {
    /// Share of the orders.
    pub share: f64,
    /// By how much grants and releases are late; from 2 to 12 s at random if
    /// nothing is given.
    pub delays: Option<(Duration, Duration)>,
}

#[derive(Default)]
pub struct State {
    running: usize,
    waiting: usize,
    holds: Vec<Hold>,
    /// Highest fence seen, by range.
    fences: Vec<(u16, u16, u64)>,
    work: BTreeMap<u64, u16>,
    next_work: u64,
    /// The share of answers to requests after which a second one follows late.
    pub surplus_share: f64,
    /// The same for answers to orders.
    pub order_surplus_share: f64,
    pub answers: u64,
    pub order_answers: u64,
    pub surplus_answers: u64,
    pub ended: bool,
    pub late_orders: Option<LateOrders>,
    pub late_order_count: u64,
    random: Option<Random>,
}

/// A run of a request.
#[derive(Clone)]
pub struct Run {
    pub id: String,
    pub target: String,
}

/// What all back ends of a scenario did.
#[derive(Clone, Default)]
pub struct Runs {
    pub all: Arc<Mutex<Vec<Run>>>,
    /// Work in progress, by back end and number.
    work: Arc<Mutex<BTreeMap<(String, u64), Work>>>,
    /// Keys that were given to a back end while another one was still at work
    /// on them, within its lease.
    pub given_early: Arc<Mutex<Vec<String>>>,
    /// What each back end holds.
    holds: Arc<Mutex<BTreeMap<String, Vec<Hold>>>>,
    begins: Arc<Mutex<Vec<Begin>>>,
    /// Two back ends that held the same keys and both began requests on them.
    both_began: Arc<Mutex<Vec<String>>>,
    /// Whether a fault is on, and the orders to all back ends while one was.
    fault_is_on: Arc<AtomicBool>,
    orders_in_fault: Arc<AtomicU64>,
}

impl Runs {
    pub fn set_fault(&self, on: bool) {
        self.fault_is_on.store(on, Ordering::Relaxed);
    }

    pub fn orders_in_fault(&self) -> u64 {
        self.orders_in_fault.load(Ordering::Relaxed)
    }

    pub fn both_began(&self) -> Vec<String> {
        self.both_began.lock().unwrap().clone()
    }

    /// Notes the begin of a request at a back end that holds its key. Another
    /// one may hold the key as well and have begun a request on the keys that
    /// both hold since both hold them.
    fn begin(&self, record: &Record, back_end: &str, key: u16, id: &str) {
        let now = Instant::now();
        let holds = self.holds.lock().unwrap();
        let covering = |hold: &&Hold| hold.first <= key && key <= hold.last && hold.until > now;
        let own = holds
            .get(back_end)
            .and_then(|holds| holds.iter().find(covering).cloned());
        let mut begins = self.begins.lock().unwrap();
        begins.retain(|begin| now - begin.at < Duration::from_secs(10));
        if let Some(own) = own {
            for (other, theirs) in holds.iter().filter(|(other, _)| *other != back_end) {
                let Some(theirs) = theirs.iter().find(covering) else {
                    continue;
                };
                let (first, last) = (own.first.max(theirs.first), own.last.min(theirs.last));
                let both_since = own.since.max(theirs.since);
                let text = format!(
                    "{back_end} (fence {}) begins {id} on key {key}; {other} (fence {}) holds keys {first}-{last} as well, for {} ms so far",
                    own.fence,
                    theirs.fence,
                    (now - both_since).as_millis()
                );
                record.line(&format!("two holders: {text}"));
                let earlier = begins.iter().find(|begin| {
                    begin.back_end == *other
                        && first <= begin.key
                        && begin.key <= last
                        && begin.at >= both_since
                });
                if let Some(earlier) = earlier {
                    let text = format!(
                        "{text}; {other} began {} on key {} in that time",
                        earlier.id, earlier.key
                    );
                    record.line(&format!("OWNER: {text}"));
                    self.both_began.lock().unwrap().push(text);
                }
            }
        }
        begins.push(Begin {
            back_end: back_end.to_owned(),
            key,
            at: now,
            id: id.to_owned(),
        });
    }
}

#[derive(Clone)]
pub struct BackEnd {
    pub config: Config,
    pub address: SocketAddr,
    pub state: Arc<(Mutex<State>, Condvar)>,
    runs: Runs,
    record: Record,
}

/// The answer to a request, and whether its connection is still of use.
enum Answer {
    Send(Vec<u8>),
    CallerLeft,
}

impl BackEnd {
    pub fn start(config: Config, seed: u64, runs: Runs, record: Record) -> BackEnd {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for a back end");
        let back_end = BackEnd {
            config,
            address: listener.local_addr().expect("an address"),
            state: Arc::default(),
            runs,
            record,
        };
        back_end.state.0.lock().unwrap().random = Some(Random(seed));
        let shared = back_end.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                if shared.state.0.lock().unwrap().ended {
                    return;
                }
                thread::spawn(move || shared.serve(Connection::new(stream)));
            }
        });
        back_end
    }

    /// Its entry in the store.
    pub fn entry(&self, state: &str, sequence: u64) -> String {
        format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\"Capacity\":{},\"State\":\"{state}\",\"ColdRemainingS\":0,\"Sequence\":{sequence}}}",
            self.config.service, self.address, self.config.zone, self.config.slots
        )
    }

    pub fn set(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.state.0.lock().unwrap());
    }

    /// Whether it holds a key now.
    pub fn holds(&self, key: u16) -> bool {
        self.state.0.lock().unwrap().holds(key)
    }

    fn serve(&self, mut connection: Connection) {
        let mut surplus: Option<Vec<u8>> = None;
        loop {
            let request = match connection.read() {
                Ok(Some(request)) => request,
                Ok(None) | Err(_) => return,
            };
            if self.state.0.lock().unwrap().ended {
                return;
            }
            // A surplus answer arrives late, in the place of the next one due.
            if let Some(late) = surplus.take() {
                self.record.line(&format!(
                    "back end {} sends a surplus answer in the place of the answer to {} {}",
                    self.config.id,
                    request.path(),
                    request.header("x-request-id").unwrap_or("-")
                ));
                if connection.write(&late).is_err() {
                    return;
                }
            }
            let is_order = request.path().starts_with("/api/");
            if is_order && self.runs.fault_is_on.load(Ordering::Relaxed) {
                self.runs.orders_in_fault.fetch_add(1, Ordering::Relaxed);
            }
            if is_order && self.carries_out_late(&request) {
                // No answer; the caller gives up.
                while !connection.is_closed() {
                    thread::sleep(LOOK);
                }
                return;
            }
            let answer = match self.answer(&request, &mut connection) {
                Answer::Send(answer) => answer,
                Answer::CallerLeft => return,
            };
            if connection.write(&answer).is_err() {
                return;
            }
            let mut state = self.state.0.lock().unwrap();
            let share = if is_order {
                state.order_surplus_share
            } else {
                state.surplus_share
            };
            if is_order {
                state.order_answers += 1;
            } else {
                state.answers += 1;
            }
            let faulty = if is_order {
                share > 0.0
                    && state
                        .random
                        .as_mut()
                        .is_some_and(|random| random.unit() < share)
            } else {
                // The faulty code is that of the rejections. The share is that of
                // all answers to requests.
                let rejects = answer.windows(14).any(|part| part == b"X-Not-Executed");
                rejects && (state.surplus_answers + 1) as f64 <= share * state.answers as f64
            };
            if faulty {
                state.surplus_answers += 1;
                surplus = Some(answer);
            }
        }
    }

    /// Whether an order stays unanswered and is carried out later.
    fn carries_out_late(&self, request: &Message) -> bool {
        let mut state = self.state.0.lock().unwrap();
        let Some(late) = state.late_orders else {
            return false;
        };
        let random = state.random.as_mut().expect("seeded");
        let drawn = random.unit() < late.share;
        let any_delay = Duration::from_millis(2_000 + random.below(10_000));
        if !drawn {
            return false;
        }
        state.late_order_count += 1;
        state.order_answers += 1;
        drop(state);
        let is_grant = request.path() == "/api/grant";
        let delay = match (is_grant, late.delays) {
            (_, None) => any_delay,
            (true, Some((grant, _))) => grant,
            (false, Some((_, release))) => release,
        };
        let (own, body, path) = (
            self.clone(),
            request.text().to_owned(),
            request.path().to_owned(),
        );
        self.record.line(&format!(
            "back end {} leaves {path} {body} unanswered",
            self.config.id
        ));
        thread::spawn(move || {
            thread::sleep(delay);
            own.record.line(&format!(
                "back end {} carries out {path} {body} late",
                own.config.id
            ));
            let answer = if is_grant {
                own.grant(&body)
            } else {
                own.release(&body)
            };
            let status = String::from_utf8_lossy(&answer[9..12]).into_owned();
            own.record.line(&format!(
                "back end {} would have answered {status}",
                own.config.id
            ));
        });
        true
    }

    fn answer(&self, request: &Message, connection: &mut Connection) -> Answer {
        let own = self.config.id.as_str();
        let id = request.header("x-request-id").unwrap_or("").to_owned();
        if request
            .header("x-expected-instance")
            .is_some_and(|expected| expected != own)
        {
            return Answer::Send(response(
                421,
                &[("X-Request-Id", &id), ("X-Instance-Id", own)],
                b"",
            ));
        }
        match request.path() {
            "/api/grant" if self.config.keyed => return Answer::Send(self.grant(request.text())),
            "/api/release" if self.config.keyed => {
                return Answer::Send(self.release(request.text()))
            }
            "/health" => return Answer::Send(response(200, &[("X-Instance-Id", own)], b"")),
            _ => {}
        }
        if id.is_empty() {
            return Answer::Send(response(400, &[("X-Not-Executed", "1")], b""));
        }
        self.run(&id, request, connection)
    }

    fn load(&self, state: &State) -> String {
        format!("{},{},{}", state.running, state.waiting, self.config.slots)
    }

    fn not_executed(&self, status: u16, id: &str, load: &str) -> Answer {
        self.record.line(&format!(
            "back end {} rejects {id} with {status}, not run",
            self.config.id
        ));
        let mut headers = vec![("X-Request-Id", id), ("X-Not-Executed", "1")];
        if self.config.tells_load {
            headers.push(("X-Server-Load", load));
        }
        Answer::Send(response(status, &headers, b""))
    }

    fn run(&self, id: &str, request: &Message, connection: &mut Connection) -> Answer {
        let arrived = Instant::now();
        let left = request
            .header("x-request-deadline-ms")
            .and_then(|text| text.parse().ok());
        let deadline = arrived + Duration::from_millis(left.unwrap_or(10_000));
        let key: Option<u16> = request
            .header("x-shard-key")
            .and_then(|text| text.parse().ok());
        let (lock, changed) = (&self.state.0, &self.state.1);
        let mut state = lock.lock().unwrap();
        let refused = |state: &State| self.config.keyed && !key.is_some_and(|key| state.holds(key));
        if refused(&state) {
            let load = self.load(&state);
            drop(state);
            return self.not_executed(421, id, &load);
        }
        if state.running >= self.config.slots {
            if state.waiting >= self.config.queue {
                let load = self.load(&state);
                drop(state);
                return self.not_executed(503, id, &load);
            }
            state.waiting += 1;
            while state.running >= self.config.slots {
                state = changed.wait_timeout(state, LOOK).unwrap().0;
                if connection.is_closed() {
                    state.waiting -= 1;
                    return Answer::CallerLeft;
                }
                if Instant::now() >= deadline {
                    state.waiting -= 1;
                    let load = self.load(&state);
                    drop(state);
                    return self.not_executed(503, id, &load);
                }
            }
            state.waiting -= 1;
            if refused(&state) {
                let load = self.load(&state);
                drop(state);
                changed.notify_all();
                return self.not_executed(421, id, &load);
            }
        }
        state.running += 1;
        state.next_work += 1;
        let work = state.next_work;
        if let Some((key, lease_ends)) = key.and_then(|key| Some((key, state.lease_ends(key)?))) {
            state.work.insert(work, key);
            let entry = Work {
                id: id.to_owned(),
                key,
                lease_ends,
            };
            self.runs
                .work
                .lock()
                .unwrap()
                .insert((self.config.id.clone(), work), entry);
        }
        let (low, high) = self.config.work_ms;
        let random = state.random.as_mut().expect("seeded");
        let duration = Duration::from_millis(low + random.below(high - low + 1));
        self.runs.all.lock().unwrap().push(Run {
            id: id.to_owned(),
            target: request.target().to_owned(),
        });
        self.record.line(&format!(
            "back end {} begins to run {id} key {key:?} {}",
            self.config.id, request.start
        ));
        if let Some(key) = key.filter(|_| self.config.keyed) {
            self.runs.begin(&self.record, &self.config.id, key, id);
        }
        drop(state);
        let ends = Instant::now() + duration;
        let mut left = false;
        while Instant::now() < ends && Instant::now() < deadline {
            let now = Instant::now();
            thread::sleep(LOOK.min(ends.saturating_duration_since(now)));
            if connection.is_closed() {
                left = true;
                break;
            }
        }
        let mut state = lock.lock().unwrap();
        state.running -= 1;
        state.work.remove(&work);
        self.runs
            .work
            .lock()
            .unwrap()
            .remove(&(self.config.id.clone(), work));
        let lapsed = self.config.keyed && !key.is_some_and(|key| state.holds_or_released(key));
        let load = self.load(&state);
        drop(state);
        changed.notify_all();
        if left {
            return Answer::CallerLeft;
        }
        let status = match (Instant::now() >= deadline, lapsed) {
            (true, _) => 504,
            (_, true) => 500,
            _ => 200,
        };
        let stamp = format!("stamp-{}-{id}", self.config.id);
        let mut headers = vec![("X-Request-Id", id), ("X-Server-Stamp", stamp.as_str())];
        if self.config.tells_load {
            headers.push(("X-Server-Load", load.as_str()));
        }
        let body = format!("answer to {id} from {}", self.config.id);
        Answer::Send(response(status, &headers, body.as_bytes()))
    }

    fn grant(&self, body: &str) -> Vec<u8> {
        let Some((first, last, fence)) = range_of(body) else {
            return response(400, &[], b"");
        };
        let hold = json::number(body, "HoldS").unwrap_or(0.0);
        let mut state = self.state.0.lock().unwrap();
        let higher = |seen: &(u16, u16, u64)| seen.0 <= last && first <= seen.1 && seen.2 > fence;
        if state.fences.iter().any(higher) {
            return response(409, &[], b"");
        }
        let fresh = !state.holds.iter().any(|hold| {
            hold.first <= first
                && last <= hold.last
                && hold.fence == fence
                && hold.until > Instant::now()
        });
        let now = Instant::now();
        let covering = |hold: &&Hold| hold.first <= first && last <= hold.last && hold.until > now;
        let since = state
            .holds
            .iter()
            .find(covering)
            .map_or(now, |hold| hold.since);
        state.drop_keys(first, last);
        state.see(first, last, fence);
        let until = now + Duration::from_secs_f64(hold);
        state.holds.push(Hold {
            first,
            last,
            fence,
            since,
            until,
        });
        self.show_holds(&state);
        if fresh {
            self.check_others(first, last, fence);
        }
        self.renew_work(first, last, until);
        drop(state);
        if fresh {
            self.record.line(&format!(
                "back end {} takes keys {first}-{last} fence {fence}",
                self.config.id
            ));
        }
        response(200, &[], b"")
    }

    fn show_holds(&self, state: &State) {
        let mut holds = self.runs.holds.lock().unwrap();
        holds.insert(self.config.id.clone(), state.holds.clone());
    }

    /// Ends it: it holds nothing any more and answers nobody.
    pub fn end(&self) {
        let mut state = self.state.0.lock().unwrap();
        state.ended = true;
        state.holds.clear();
        self.show_holds(&state);
    }

    /// Work in progress goes on under the renewed hold.
    fn renew_work(&self, first: u16, last: u16, until: Instant) {
        let mut work = self.runs.work.lock().unwrap();
        let own = work
            .iter_mut()
            .filter(|((back_end, _), _)| *back_end == self.config.id);
        for (_, each) in own.filter(|(_, each)| first <= each.key && each.key <= last) {
            each.lease_ends = until;
        }
    }

    /// Notes keys that are given to this back end while another one is still at
    /// work on them, before its lease would have run out.
    fn check_others(&self, first: u16, last: u16, fence: u64) {
        let now = Instant::now();
        let work = self.runs.work.lock().unwrap();
        let others = work
            .iter()
            .filter(|((back_end, _), _)| *back_end != self.config.id);
        for ((back_end, _), each) in
            others.filter(|(_, each)| first <= each.key && each.key <= last)
        {
            if each.lease_ends <= now {
                continue;
            }
            let text = format!(
                "{} takes keys {first}-{last} fence {fence} while {back_end} is at work on key {} ({}), {} ms before its lease ends",
                self.config.id,
                each.key,
                each.id,
                (each.lease_ends - now).as_millis()
            );
            self.record.line(&format!("OWNER: {text}"));
            self.runs.given_early.lock().unwrap().push(text);
        }
    }

    fn release(&self, body: &str) -> Vec<u8> {
        let Some((first, last, fence)) = range_of(body) else {
            return response(400, &[], b"");
        };
        let mut state = self.state.0.lock().unwrap();
        state.drop_keys(first, last);
        state.see(first, last, fence);
        self.show_holds(&state);
        self.record.line(&format!(
            "back end {} releases keys {first}-{last} fence {fence}",
            self.config.id
        ));
        let busy = |state: &State| state.work.values().any(|key| first <= *key && *key <= last);
        while busy(&state) {
            state = self.state.1.wait_timeout(state, LOOK).unwrap().0;
        }
        drop(state);
        let token = format!("handover-{}-{fence}", self.config.id);
        response(200, &[("X-Handover", &token)], b"")
    }
}

impl State {
    fn holds(&self, key: u16) -> bool {
        let now = Instant::now();
        self.holds
            .iter()
            .any(|hold| hold.first <= key && key <= hold.last && hold.until > now)
    }

    fn lease_ends(&self, key: u16) -> Option<Instant> {
        let covering = self
            .holds
            .iter()
            .filter(|hold| hold.first <= key && key <= hold.last);
        covering.map(|hold| hold.until).max()
    }

    /// Whether a request that runs may go on: its key is held, or was released
    /// in time, which ends no work.
    fn holds_or_released(&self, key: u16) -> bool {
        let lapsed =
            |hold: &Hold| hold.first <= key && key <= hold.last && hold.until <= Instant::now();
        !self.holds.iter().any(lapsed)
    }

    fn drop_keys(&mut self, first: u16, last: u16) {
        let mut rest = Vec::new();
        for hold in self.holds.drain(..) {
            if hold.last < first || last < hold.first {
                rest.push(hold);
                continue;
            }
            if hold.first < first {
                rest.push(Hold {
                    last: first - 1,
                    ..hold.clone()
                });
            }
            if last < hold.last {
                rest.push(Hold {
                    first: last + 1,
                    ..hold
                });
            }
        }
        self.holds = rest;
    }

    fn see(&mut self, first: u16, last: u16, fence: u64) {
        self.fences
            .retain(|seen| !(first <= seen.0 && seen.1 <= last && seen.2 <= fence));
        self.fences.push((first, last, fence));
    }
}

fn range_of(body: &str) -> Option<(u16, u16, u64)> {
    let first = json::number(body, "From")? as u16;
    let last = json::number(body, "TargetVersion")? as u16;
    let fence = json::number(body, "fence")? as u64;
    (first <= last).then_some((first, last, fence))
}
