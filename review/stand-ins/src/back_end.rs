//! Stand-in of a back end: slots, a queue, keys with fences, and the faults that
//! a scenario turns on.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
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
    until: Instant,
}

/// Work on one key.
#[derive(Clone)]
struct Work {
    id: String,
    key: u16,
    /// End of the hold under which it runs, as of the last renewal.
    lease_ends: Instant,
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
        state.drop_keys(first, last);
        state.see(first, last, fence);
        let until = Instant::now() + Duration::from_secs_f64(hold);
        state.holds.push(Hold {
            first,
            last,
            fence,
            until,
        });
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
