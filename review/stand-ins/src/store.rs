//! Stand-in of the platform's metadata store.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{response, Connection, Message};
use crate::json;

const PREFIX: &str = "/api/objects/";
/// Most items of one list.
const PAGE: usize = 500;

#[derive(Clone)]
struct Object {
    spec: String,
    status: String,
    revision: u64,
    made: u64,
}

struct Event {
    revision: u64,
    kind: String,
    name: String,
    object: Option<Object>,
}

#[derive(Default)]
struct State {
    /// The counter begins above 0.
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
}

/// A store; clones are the same one.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

fn shown(name: &str, object: &Object) -> String {
    format!(
        "{{\"Metadata\":{{\"Name\":\"{name}\",\"Revision\":{},\"made\":{},\"finalizers\":[],\"deleting\":false}},\"Spec\":{},\"Status\":{}}}",
        object.revision, object.made, object.spec, object.status
    )
}

impl State {
    fn put(&mut self, kind: &str, name: &str, spec: String, status: Option<String>) -> Object {
        let key = (kind.to_owned(), name.to_owned());
        let old = self.objects.get(&key);
        if let Some(old) = old {
            let same =
                old.spec == spec && status.as_ref().is_none_or(|status| *status == old.status);
            if same {
                return old.clone();
            }
        }
        let made = old.map_or(self.revision + 1, |old| old.made);
        let status = status.or_else(|| old.map(|old| old.status.clone()));
        self.revision += 1;
        let object = Object {
            spec,
            status: status.unwrap_or_else(|| "null".to_owned()),
            revision: self.revision,
            made,
        };
        self.objects.insert(key, object.clone());
        self.events.push(Event {
            revision: self.revision,
            kind: kind.to_owned(),
            name: name.to_owned(),
            object: Some(object.clone()),
        });
        object
    }

    fn remove(&mut self, kind: &str, name: &str) {
        if self
            .objects
            .remove(&(kind.to_owned(), name.to_owned()))
            .is_none()
        {
            return;
        }
        self.revision += 1;
        self.events.push(Event {
            revision: self.revision,
            kind: kind.to_owned(),
            name: name.to_owned(),
            object: None,
        });
    }

    fn list(&self, kind: &str, after: &str) -> String {
        let matching = self
            .objects
            .iter()
            .filter(|((each, name), _)| each == kind && name.as_str() > after);
        let items: Vec<String> = matching
            .map(|((_, name), object)| shown(name, object))
            .collect();
        let more = items.len() > PAGE;
        let items = &items[..items.len().min(PAGE)];
        format!(
            "{{\"items\":[{}],\"more\":{more},\"at\":{}}}",
            items.join(","),
            self.revision
        )
    }

    fn events_after(&self, kind: &str, after: u64) -> Option<String> {
        let events = self
            .events
            .iter()
            .filter(|event| event.kind == kind && event.revision > after);
        let events: Vec<String> = events
            .map(|event| match &event.object {
                Some(object) => format!("{{\"object\":{},\"gone\":false}}", shown(&event.name, object)),
                None => format!(
                    "{{\"object\":{{\"Metadata\":{{\"Name\":\"{}\",\"Revision\":{}}}}},\"gone\":true}}",
                    event.name, event.revision
                ),
            })
            .collect();
        (!events.is_empty()).then(|| {
            format!(
                "{{\"events\":[{}],\"at\":{}}}",
                events.join(","),
                self.revision
            )
        })
    }
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the store");
        let store = Store {
            address: listener.local_addr().expect("an address"),
            state: Arc::default(),
        };
        store.state.0.lock().unwrap().revision = 7;
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || shared.serve(Connection::new(stream)));
            }
        });
        store
    }

    /// Writes an object, as the operator or a back end does.
    pub fn put(&self, kind: &str, name: &str, spec: String) {
        self.state.0.lock().unwrap().put(kind, name, spec, None);
        self.state.1.notify_all();
    }

    pub fn remove(&self, kind: &str, name: &str) {
        self.state.0.lock().unwrap().remove(kind, name);
        self.state.1.notify_all();
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(request)) = connection.read() {
            let (status, body) = self.answer(&request);
            let headers = [("Content-Type", "application/json")];
            if connection
                .write(&response(status, &headers, body.as_bytes()))
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let refused = || "{}".to_owned();
        let Some(path) = request.path().strip_prefix(PREFIX) else {
            return (404, refused());
        };
        let mut parts = path.split('/');
        let kind = parts.next().unwrap_or("").to_owned();
        let name = parts.next().map(str::to_owned);
        let is_status = parts.next() == Some("status");
        let key = |name: &str| (kind.clone(), name.to_owned());
        let body = request.text();
        if request.method() == "GET" && name.is_none() {
            if let Some(after) = request.query("watch") {
                let after = after.parse().unwrap_or(0);
                let wait = request
                    .query("WaitMs")
                    .and_then(|text| text.parse().ok())
                    .unwrap_or(0);
                return (200, self.watch(&kind, after, Duration::from_millis(wait)));
            }
            let after = request.query("after").unwrap_or("");
            return (200, self.state.0.lock().unwrap().list(&kind, after));
        }
        let mut state = self.state.0.lock().unwrap();
        let metadata = json::member(body, "Metadata").unwrap_or("{}").to_owned();
        let condition = json::number(&metadata, "Revision").map(|revision| revision as u64);
        let condition = condition.or_else(|| request.query("Revision")?.parse().ok());
        let answer = match (request.method(), name) {
            ("GET", Some(name)) => match state.objects.get(&key(&name)) {
                Some(object) => (200, shown(&name, object)),
                None => (404, refused()),
            },
            ("POST", None) => {
                let Some(name) = json::string(&metadata, "Name").map(str::to_owned) else {
                    return (400, refused());
                };
                if let Some(object) = state.objects.get(&key(&name)) {
                    return (409, shown(&name, object));
                }
                let spec = json::member(body, "Spec").unwrap_or("null").to_owned();
                let object = state.put(&kind, &name, spec, None);
                (200, shown(&name, &object))
            }
            ("PUT" | "DELETE", Some(name)) => {
                let Some(found) = state.objects.get(&key(&name)).cloned() else {
                    return (404, refused());
                };
                if condition.is_some_and(|condition| condition != found.revision) {
                    return (409, shown(&name, &found));
                }
                if request.method() == "DELETE" {
                    state.remove(&kind, &name);
                    (200, refused())
                } else if is_status {
                    let status = json::member(body, "Status").unwrap_or("null").to_owned();
                    let object = state.put(&kind, &name, found.spec, Some(status));
                    (200, shown(&name, &object))
                } else {
                    let spec = json::member(body, "Spec").unwrap_or("null").to_owned();
                    let object = state.put(&kind, &name, spec, None);
                    (200, shown(&name, &object))
                }
            }
            _ => (400, refused()),
        };
        drop(state);
        self.state.1.notify_all();
        answer
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        loop {
            if let Some(events) = state.events_after(kind, after) {
                return events;
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return format!("{{\"events\":[],\"at\":{}}}", state.revision);
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }
}
