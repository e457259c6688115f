//! The stand-in on its socket.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use async_std::net::{TcpListener, TcpStream};
use async_std::task::{JoinHandle, sleep, spawn};
use futures::io::{AsyncReadExt, BufReader};
use http_types::headers::AUTHORIZATION;
use http_types::{Body, Method, Request, Response, StatusCode};
use k8s_openapi::jiff;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use threadledge_types::objects::API_VERSION;

use super::error::ApiError;
use super::faults::{FaultCommand, WriteFate};
use super::history::HistoryEntry;
use super::operation::{Write, WriteTarget};
use super::path::{Collection, Query, Target};
use super::state::{ObjectApiSettings, Shared};
use super::watch;

/// Path that takes a [`FaultCommand`].
pub const FAULTS_PATH: &str = "/lab/faults";
/// Path that gives the history as lines of JSON.
pub const HISTORY_PATH: &str = "/lab/history";

/// Largest body taken, in bytes.
const MAX_BODY_BYTES: u64 = 4 << 20;
/// Most connections at once; further ones are closed.
const MAX_CONNECTIONS: usize = 1_024;
const JSON: &str = "application/json";
const RETRY_AFTER_SECONDS: &str = "1";

/// A running stand-in.
pub struct ObjectApi {
    address: SocketAddr,
    shared: Arc<Shared>,
    accepting: JoinHandle<()>,
}

/// The connection closes without an answer.
#[derive(Debug, thiserror::Error)]
#[error("closed without an answer on command")]
struct NoAnswer;

/// What a request ends with: an answer, a refusal, or neither.
type Answer = Result<Result<Response, ApiError>, NoAnswer>;

impl ObjectApi {
    /// Serves on a bound listener.
    ///
    /// # Errors
    ///
    /// The listener has no address.
    pub fn serve(listener: TcpListener, settings: ObjectApiSettings) -> io::Result<ObjectApi> {
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::new(settings));
        let accepting = spawn(accept(listener, shared.clone()));
        Ok(ObjectApi {
            address,
            shared,
            accepting,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets or causes a fault.
    ///
    /// # Errors
    ///
    /// The store cannot go back to the version named.
    pub fn fault(&self, command: &FaultCommand) -> Result<(), ApiError> {
        self.shared.with(|inner| inner.apply(command))
    }

    /// Version of the store.
    pub fn version(&self) -> u64 {
        self.shared.with(|inner| inner.store.version())
    }

    /// Number of running watches.
    pub fn watch_count(&self) -> usize {
        self.shared.with(|inner| inner.watch_count())
    }

    /// What was done so far.
    pub fn history(&self) -> Vec<HistoryEntry> {
        self.shared.with(|inner| inner.history.clone())
    }

    /// Serves until the process ends.
    pub async fn run(self) {
        self.accepting.await;
    }

    /// Stops accepting and ends every watch.
    pub async fn stop(self) {
        self.shared.with(|inner| {
            // Down cannot fail; it closes what is open.
            let _ = inner.apply(&FaultCommand::Down(true));
        });
        self.accepting.cancel().await;
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    let open = Arc::new(AtomicUsize::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        if open.fetch_add(1, Ordering::Relaxed) >= MAX_CONNECTIONS {
            open.fetch_sub(1, Ordering::Relaxed);
            continue;
        }
        let shared = shared.clone();
        let open = open.clone();
        spawn(async move {
            serve_connection(stream, shared).await;
            open.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

async fn serve_connection(stream: TcpStream, shared: Arc<Shared>) {
    let served = async_h1::accept(stream, |request| {
        let shared = shared.clone();
        async move {
            let answer = respond(shared, request).await?;
            Ok::<_, http_types::Error>(answer)
        }
    })
    .await;
    if let Err(error) = served {
        tracing::debug!(%error, "connection ended");
    }
}

async fn respond(shared: Arc<Shared>, mut request: Request) -> Result<Response, NoAnswer> {
    let path = request.url().path().to_owned();
    let answer = match (request.method(), path.as_str()) {
        (Method::Post, FAULTS_PATH) => Ok(set_fault(&shared, &mut request).await),
        (Method::Get, HISTORY_PATH) => Ok(Ok(history(&shared))),
        _ => serve(shared, &path, request).await,
    };
    Ok(answer?.unwrap_or_else(|error| refusal(&error)))
}

async fn set_fault(shared: &Shared, request: &mut Request) -> Result<Response, ApiError> {
    let command: FaultCommand = read_json(request).await?;
    shared.with(|inner| inner.apply(&command))?;
    let version = shared.with(|inner| inner.store.version());
    Ok(json_response(200, &json!({ "resourceVersion": version })))
}

fn history(shared: &Shared) -> Response {
    let lines = shared.with(|inner| {
        let line = |entry: &HistoryEntry| format!("{}\n", json!(entry));
        inner.history.iter().map(line).collect::<String>()
    });
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(lines);
    response.insert_header("content-type", "application/jsonl");
    response
}

async fn serve(shared: Arc<Shared>, path: &str, mut request: Request) -> Answer {
    let slow = shared.with(|inner| inner.faults.slow);
    sleep(slow).await;
    if shared.with(|inner| inner.faults.down) {
        return Err(NoAnswer);
    }
    let writes = !matches!(request.method(), Method::Get | Method::Head);
    let (target, principal) = match admit(&shared, path, &request, writes) {
        Ok(admitted) => admitted,
        Err(error) => return Ok(Err(error)),
    };
    if !writes {
        return Ok(read(shared, target, &request).await);
    }
    match read_write(target, &mut request).await {
        Ok(write) => carry_out(shared, write, principal),
        Err(error) => Ok(Err(error)),
    }
}

fn admit(
    shared: &Shared,
    path: &str,
    request: &Request,
    writes: bool,
) -> Result<(Target, Option<String>), ApiError> {
    let target = Target::parse(path)?;
    let header = request.header(AUTHORIZATION);
    let header = header.map(|values| values.last().as_str());
    shared.with(|inner| {
        let principal = inner.authorization.check(header, &target, writes)?;
        if !writes && inner.faults.refuses_read() {
            return Err(ApiError::too_many_requests());
        }
        Ok((target, principal))
    })
}

async fn read(
    shared: Arc<Shared>,
    target: Target,
    request: &Request,
) -> Result<Response, ApiError> {
    match target {
        Target::Object(path) | Target::Status(path) => {
            let object = shared.with(|inner| inner.store.get(&path).cloned())?;
            Ok(json_response(200, &object))
        }
        Target::Collection(collection) => {
            let query = Query::new(request.url().query_pairs());
            refuse_selectors(&query)?;
            if !query.flag("watch") {
                return list(&shared, &collection, &query);
            }
            let body = watch::begin(shared, collection, &query).await?;
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(Body::from_reader(BufReader::new(body), None));
            response.insert_header("content-type", JSON);
            Ok(response)
        }
    }
}

/// Routers read whole collections, so selectors are not served; ignoring them
/// would answer another question.
fn refuse_selectors(query: &Query) -> Result<(), ApiError> {
    for name in ["labelSelector", "fieldSelector"] {
        if query.text(name).is_some() {
            return Err(ApiError::bad_request(format!("{name} is not served")));
        }
    }
    Ok(())
}

fn list(shared: &Shared, collection: &Collection, query: &Query) -> Result<Response, ApiError> {
    let limit = query.number("limit")?;
    let limit = limit.map(|limit| usize::try_from(limit).unwrap_or(usize::MAX));
    let token = query.text("continue");
    let at_least = query.number("resourceVersion")?.unwrap_or_default();
    let page = shared.with(|inner| {
        let current = inner.store.version();
        if at_least > current {
            return Err(ApiError::too_large_version(at_least, current));
        }
        inner.store.list(collection, limit, token)
    })?;
    let list = json!({
        "apiVersion": API_VERSION,
        "kind": format!("{}List", collection.resource.kind),
        "metadata": {
            "resourceVersion": page.version.to_string(),
            "continue": page.continue_token.unwrap_or_default(),
        },
        "items": page.items,
    });
    Ok(json_response(200, &list))
}

async fn read_write(target: Target, request: &mut Request) -> Result<Write, ApiError> {
    let time = jiff::Timestamp::now().to_string();
    match (request.method(), target) {
        (Method::Post, Target::Collection(collection)) => {
            Write::create(&collection, read_json(request).await?, time)
        }
        (Method::Put, Target::Object(path)) => {
            let object = read_json(request).await?;
            Write::replace(path, WriteTarget::Spec, object, time)
        }
        (Method::Put, Target::Status(path)) => {
            let object = read_json(request).await?;
            Write::replace(path, WriteTarget::Status, object, time)
        }
        (Method::Delete, Target::Object(path)) => {
            let options: Value = read_json(request).await.unwrap_or_default();
            Ok(Write::delete(path, &options, time))
        }
        (method, _) => Err(ApiError::bad_request(format!(
            "{method} is not served here"
        ))),
    }
}

fn carry_out(shared: Arc<Shared>, write: Write, principal: Option<String>) -> Answer {
    let fate = shared.with(|inner| inner.faults.write_fate());
    if let WriteFate::Delayed(delay) = fate {
        spawn(async move {
            sleep(delay).await;
            // Nobody waits for this answer.
            let _ = shared.with(|inner| inner.write(&write, principal, fate));
        });
        return Err(NoAnswer);
    }
    let created = write.target == WriteTarget::Create;
    let result = shared.with(|inner| inner.write(&write, principal, fate));
    if fate != WriteFate::Answered {
        return Err(NoAnswer);
    }
    let code = if created { 201 } else { 200 };
    Ok(result.map(|object| json_response(code, &object)))
}

async fn read_json<T: DeserializeOwned>(request: &mut Request) -> Result<T, ApiError> {
    let mut body = Vec::new();
    let mut limited = request.take(MAX_BODY_BYTES);
    let read = limited.read_to_end(&mut body).await;
    read.map_err(|error| ApiError::bad_request(error.to_string()))?;
    serde_json::from_slice(&body).map_err(|error| ApiError::bad_request(error.to_string()))
}

fn refusal(error: &ApiError) -> Response {
    let mut response = json_response(error.code, &json!(error.status()));
    if error.code == 429 {
        response.insert_header("retry-after", RETRY_AFTER_SECONDS);
    }
    response
}

fn json_response(code: u16, value: &Value) -> Response {
    let status = StatusCode::try_from(code).unwrap_or(StatusCode::InternalServerError);
    let mut response = Response::new(status);
    response.set_body(value.to_string());
    response.insert_header("content-type", JSON);
    response
}
