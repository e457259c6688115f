//! A minimal object API for one router: one group object, one back end that never
//! changes, and watches that end immediately.

use std::net::SocketAddr;
use std::sync::Arc;

use async_std::net::TcpListener;
use async_std::task;
use http_types::{Method, Request, Response, StatusCode};
use parking_lot::Mutex;
use serde_json::{Value, json};
use threadledge_net::{ServerLimits, StopSignal, serve};

/// Version of every object and of the store.
const VERSION: &str = "5";

/// Recorded requests and writes.
#[derive(Debug, Default)]
pub struct Store {
    /// The group object, once it has been created.
    pub group: Option<Value>,
    /// Statuses of the back end from accepted writes.
    pub statuses: Vec<Value>,
    /// Number of further status writes to refuse as conflicts.
    pub conflicts: usize,
    /// `Authorization` of each request.
    pub authorizations: Vec<Option<String>>,
}

/// A running object API. Clones share the store.
#[derive(Clone)]
pub struct ObjectApi {
    pub address: SocketAddr,
    pub store: Arc<Mutex<Store>>,
    back_end: Arc<Value>,
}

impl ObjectApi {
    /// Serves `back_end`, to which it adds a version, until `stop` is signalled.
    pub async fn start(mut back_end: Value, stop: StopSignal) -> ObjectApi {
        back_end["metadata"]["resourceVersion"] = json!(VERSION);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let api = ObjectApi {
            address: listener.local_addr().expect("bound"),
            store: Arc::default(),
            back_end: Arc::new(back_end),
        };
        let served = api.clone();
        let handler = move |request, _| served.clone().answer(request);
        task::spawn(serve(listener, ServerLimits::default(), stop, handler));
        api
    }

    async fn answer(self, mut request: Request) -> Response {
        let body = request.body_bytes().await.expect("a whole body");
        let body = serde_json::from_slice(&body).unwrap_or_default();
        let mut store = self.store.lock();
        let token = request.header("authorization");
        let token = token.map(|values| values.last().as_str().to_owned());
        store.authorizations.push(token);
        let watches = request.url().query_pairs().any(|(name, _)| name == "watch");
        let path = request.url().path();
        if path.contains("/routergroups") {
            return group_answer(&mut store, request.method(), body);
        }
        if path.ends_with("/status") {
            return status_answer(&mut store, body);
        }
        match (watches, path.rsplit('/').next()) {
            (true, _) => Response::new(StatusCode::Ok),
            (false, Some("backends")) => list(vec![(*self.back_end).clone()]),
            (false, Some("keyedservices")) => list(Vec::new()),
            (false, _) => object(StatusCode::Ok, &self.back_end),
        }
    }
}

fn group_answer(store: &mut Store, method: Method, mut body: Value) -> Response {
    if method == Method::Post {
        body["metadata"]["resourceVersion"] = json!(VERSION);
        store.group = Some(body);
    }
    match &store.group {
        Some(group) => object(StatusCode::Ok, group),
        None => Response::new(StatusCode::NotFound),
    }
}

fn status_answer(store: &mut Store, body: Value) -> Response {
    if store.conflicts > 0 {
        store.conflicts -= 1;
        return Response::new(StatusCode::Conflict);
    }
    store.statuses.push(body["status"].clone());
    object(StatusCode::Ok, &body)
}

fn list(items: Vec<Value>) -> Response {
    let list = json!({ "metadata": { "resourceVersion": VERSION }, "items": items });
    object(StatusCode::Ok, &list)
}

fn object(status: StatusCode, value: &Value) -> Response {
    let mut response = Response::new(status);
    response.set_body(value.to_string());
    response
}
