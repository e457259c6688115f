//! Stand-in of the platform's metadata store: objects, revisions, conditions,
//! lists and watches. Everything that it has acknowledged is kept.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{reason, Connection, Message};
use crate::json::Json;

/// Objects in one page of a list.
const PAGE: usize = 500;

#[derive(Clone)]
struct Object {
    spec: Json,
    revision: u64,
    made: u64,
}

struct Event {
    kind: String,
    name: String,
    revision: u64,
    object: Option<Object>,
    at: Instant,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    history: Vec<Event>,
    /// Revision up to which the history is forgotten.
    forgotten: u64,
}

/// The store. Clones share it.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    history: Duration,
    /// While set, calls are neither done nor answered.
    silent: Arc<AtomicBool>,
}

impl Store {
    /// A store that forgets its history after `history`.
    pub fn new(history: Duration) -> Store {
        let state = State {
            revision: 1,
            ..State::default()
        };
        Store {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            history,
            silent: Arc::default(),
        }
    }

    /// Another door to the same store, whose silence is set by itself.
    pub fn door(&self) -> Store {
        Store {
            silent: Arc::default(),
            ..self.clone()
        }
    }

    pub fn set_silent(&self, silent: bool) {
        self.silent.store(silent, Ordering::SeqCst);
    }

    /// Serves on a free port of 127.0.0.1.
    pub fn serve(&self) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let store = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                std::thread::spawn(move || store.connection(stream));
            }
        });
        Ok(address)
    }

    fn connection(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.read(false) {
            let answer = self.answer(&request);
            if self.silent.load(Ordering::SeqCst) {
                std::thread::sleep(Duration::from_secs(60));
                return;
            }
            let (status, body) = answer;
            let first = format!("HTTP/1.1 {status} {}", reason(status));
            let headers = [("Content-Type", "application/json".to_owned())];
            if connection.write(&first, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        if self.silent.load(Ordering::SeqCst) {
            return (503, String::new());
        }
        let (path, query) = request
            .target()
            .split_once('?')
            .unwrap_or((request.target(), ""));
        let query: BTreeMap<&str, &str> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        let Some(path) = path.strip_prefix("/api/objects/") else {
            return (404, "{}".to_owned());
        };
        let (kind, name) = match path.split_once('/') {
            Some((kind, name)) => (kind, Some(decode(name))),
            None => (path, None),
        };
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        match (request.method(), name) {
            ("GET", None) if query.contains_key("watch") => self.watch(kind, &query),
            ("GET", None) => self.list(kind, &decode(query.get("after").copied().unwrap_or(""))),
            ("GET", Some(name)) => self.read(kind, &name),
            ("POST", None) => self.create(kind, &body),
            ("PUT", Some(name)) => self.replace(kind, &name, &body),
            ("DELETE", Some(name)) => {
                self.remove(kind, &name);
                (200, "{}".to_owned())
            }
            _ => (400, "{}".to_owned()),
        }
    }

    /// Creates or replaces an object, as the operator and back ends do. The
    /// return is the acknowledgement. What changes nothing raises no revision.
    pub fn put(&self, kind: &str, name: &str, spec: Json) -> u64 {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let revision = state.put(kind, name, spec);
        state.forget(self.history);
        changed.notify_all();
        revision
    }

    /// Replaces an object without an event, as a heartbeat that changes nothing
    /// but `Sequence`.
    pub fn put_quietly(&self, kind: &str, name: &str, spec: Json) {
        let mut state = self.state.0.lock().unwrap();
        if let Some(object) = state.objects.get_mut(&(kind.to_owned(), name.to_owned())) {
            object.spec = spec;
        }
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        if state
            .objects
            .remove(&(kind.to_owned(), name.to_owned()))
            .is_some()
        {
            state.revision += 1;
            let revision = state.revision;
            state.record(kind, name, revision, None);
            changed.notify_all();
        }
    }

    pub fn get(&self, kind: &str, name: &str) -> Option<Json> {
        let state = self.state.0.lock().unwrap();
        let object = state.objects.get(&(kind.to_owned(), name.to_owned()));
        object.map(|object| object.spec.clone())
    }

    fn read(&self, kind: &str, name: &str) -> (u16, String) {
        let state = self.state.0.lock().unwrap();
        match state.objects.get(&(kind.to_owned(), name.to_owned())) {
            Some(object) => (200, object_json(name, object).to_string()),
            None => (404, "{}".to_owned()),
        }
    }

    fn create(&self, kind: &str, body: &Json) -> (u16, String) {
        let Some(name) = body
            .get("Metadata")
            .and_then(|data| data.get("Name"))
            .and_then(Json::as_text)
        else {
            return (400, "{}".to_owned());
        };
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        if let Some(found) = state.objects.get(&key) {
            return (409, object_json(name, found).to_string());
        }
        state.put(kind, name, body.get("Spec").cloned().unwrap_or(Json::Null));
        changed.notify_all();
        (200, object_json(name, &state.objects[&key]).to_string())
    }

    fn replace(&self, kind: &str, name: &str, body: &Json) -> (u16, String) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        let Some(found) = state.objects.get(&key) else {
            return (404, "{}".to_owned());
        };
        let expected = body
            .get("Metadata")
            .and_then(|data| data.get("Revision"))
            .and_then(Json::as_u64);
        if expected.is_some_and(|expected| expected != found.revision) {
            return (409, object_json(name, found).to_string());
        }
        state.put(kind, name, body.get("Spec").cloned().unwrap_or(Json::Null));
        changed.notify_all();
        (200, object_json(name, &state.objects[&key]).to_string())
    }

    fn list(&self, kind: &str, after: &str) -> (u16, String) {
        let state = self.state.0.lock().unwrap();
        let named = state
            .objects
            .iter()
            .filter(|((each, name), _)| each == kind && name.as_str() > after);
        let mut items: Vec<Json> = named
            .take(PAGE + 1)
            .map(|((_, name), object)| object_json(name, object))
            .collect();
        let more = items.len() > PAGE;
        items.truncate(PAGE);
        let list = Json::object([
            ("items", Json::List(items)),
            ("more", Json::Bool(more)),
            ("at", Json::number(state.revision)),
        ]);
        (200, list.to_string())
    }

    fn watch(&self, kind: &str, query: &BTreeMap<&str, &str>) -> (u16, String) {
        let number = |name: &str| {
            query
                .get(name)
                .and_then(|text| text.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let after = number("watch");
        let until = Instant::now() + Duration::from_millis(number("WaitMs").min(30_000));
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            if after < state.forgotten {
                return (410, "{}".to_owned());
            }
            let later = state
                .history
                .iter()
                .filter(|event| event.kind == kind && event.revision > after);
            let events: Vec<Json> = later.map(event_json).collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let answer = Json::object([
                    ("events", Json::List(events)),
                    ("at", Json::number(state.revision)),
                ]);
                return (200, answer.to_string());
            }
            state = changed.wait_timeout(state, until - now).unwrap().0;
        }
    }
}

impl State {
    fn put(&mut self, kind: &str, name: &str, spec: Json) -> u64 {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(same) = self.objects.get(&key).filter(|found| found.spec == spec) {
            return same.revision;
        }
        self.revision += 1;
        let revision = self.revision;
        let made = self.objects.get(&key).map_or(revision, |found| found.made);
        let object = Object {
            spec,
            revision,
            made,
        };
        self.objects.insert(key, object.clone());
        self.record(kind, name, revision, Some(object));
        revision
    }

    fn record(&mut self, kind: &str, name: &str, revision: u64, object: Option<Object>) {
        let (kind, name) = (kind.to_owned(), name.to_owned());
        self.history.push(Event {
            kind,
            name,
            revision,
            object,
            at: Instant::now(),
        });
    }

    fn forget(&mut self, history: Duration) {
        let old = self
            .history
            .iter()
            .take_while(|event| event.at.elapsed() > history)
            .count();
        if let Some(last) = self.history.drain(..old).last() {
            self.forgotten = last.revision;
        }
    }
}

fn object_json(name: &str, object: &Object) -> Json {
    let metadata = Json::object([
        ("Name", Json::text(name)),
        ("Revision", Json::number(object.revision)),
        ("made", Json::number(object.made)),
        ("finalizers", Json::List(Vec::new())),
        ("deleting", Json::Bool(false)),
    ]);
    Json::object([
        ("Metadata", metadata),
        ("Spec", object.spec.clone()),
        ("Status", Json::Null),
    ])
}

fn event_json(event: &Event) -> Json {
    let object = match &event.object {
        Some(object) => object_json(&event.name, object),
        None => {
            let metadata = Json::object([
                ("Name", Json::text(&*event.name)),
                ("Revision", Json::number(event.revision)),
            ]);
            Json::object([("Metadata", metadata)])
        }
    };
    Json::object([
        ("object", object),
        ("gone", Json::Bool(event.object.is_none())),
    ])
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = text
            .get(at + 1..at + 3)
            .and_then(|code| u8::from_str_radix(code, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                decoded.push(code);
                at += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
