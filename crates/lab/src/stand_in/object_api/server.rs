//! The HTTP server of the object API.

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
use super::faults::{FaultCommand, WriteOutcome};
use super::history::HistoryEntry;
use super::operation::{Write, WriteTarget};
use super::path::{Collection, Query, Target};
use super::state::{ObjectApiSettings, Shared};
use super::watch;

/// Path that accepts a [`FaultCommand`] by POST.
pub const FAULTS_PATH: &str = "/lab/faults";
/// Path that returns the history as JSON lines.
pub const HISTORY_PATH: &str = "/lab/history";

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: u64 = 4 << 20;
/// Maximum number of open connections; further ones are closed at once.
const MAX_CONNECTIONS: usize = 1_024;
const JSON: &str = "application/json";
/// Value of the `retry-after` header of responses with status 429.
const RETRY_AFTER_SECONDS: &str = "1";

/// A running object API server.
pub struct ObjectApi {
    address: SocketAddr,
    shared: Arc<Shared>,
    accepting: JoinHandle<()>,
}

/// Makes the server close the connection without a response.
#[derive(Debug, thiserror::Error)]
#[error("connection closed without a response, as a fault requires")]
struct NoResponse;

/// Result of a request: a response, an API error, or a closed connection.
type RequestResult = Result<Result<Response, ApiError>, NoResponse>;

impl ObjectApi {
    /// Starts serving on a bound listener.
    ///
    /// # Errors
    ///
    /// Fails if the listener's local address cannot be read.
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

    /// Returns the address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Injects or clears a fault.
    ///
    /// # Errors
    ///
    /// Fails if the store cannot restore the given version.
    pub fn inject_fault(&self, command: &FaultCommand) -> Result<(), ApiError> {
        self.shared.with(|inner| inner.run_command(command))
    }

    /// Returns the current version of the store.
    pub fn version(&self) -> u64 {
        self.shared.with(|inner| inner.store.version())
    }

    /// Returns the number of running watches.
    pub fn watch_count(&self) -> usize {
        self.shared.with(|inner| inner.watch_count())
    }

    /// Returns the operations recorded so far.
    pub fn history(&self) -> Vec<HistoryEntry> {
        self.shared.with(|inner| inner.history.clone())
    }

    /// Serves until the process ends.
    pub async fn run(self) {
        self.accepting.await;
    }

    /// Stops accepting connections and ends every watch.
    pub async fn stop(self) {
        self.shared.with(|inner| {
            // `Down` cannot fail; it ends the open watches.
            let _ = inner.run_command(&FaultCommand::Down(true));
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

async fn respond(shared: Arc<Shared>, mut request: Request) -> Result<Response, NoResponse> {
    let path = request.url().path().to_owned();
    let answer = match (request.method(), path.as_str()) {
        (Method::Post, FAULTS_PATH) => Ok(set_fault(&shared, &mut request).await),
        (Method::Get, HISTORY_PATH) => Ok(Ok(history(&shared))),
        _ => serve(shared, &path, request).await,
    };
    Ok(answer?.unwrap_or_else(|error| error_response(&error)))
}

async fn set_fault(shared: &Shared, request: &mut Request) -> Result<Response, ApiError> {
    let command: FaultCommand = read_json(request).await?;
    shared.with(|inner| inner.run_command(&command))?;
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

async fn serve(shared: Arc<Shared>, path: &str, mut request: Request) -> RequestResult {
    let slow = shared.with(|inner| inner.faults.slow);
    sleep(slow).await;
    if shared.with(|inner| inner.faults.down) {
        return Err(NoResponse);
    }
    let writes = !matches!(request.method(), Method::Get | Method::Head);
    let (target, principal) = match authorize(&shared, path, &request, writes) {
        Ok(admitted) => admitted,
        Err(error) => return Ok(Err(error)),
    };
    if !writes {
        return Ok(read(shared, target, &request).await);
    }
    match read_write(target, &mut request).await {
        Ok(write) => apply_write(shared, write, principal),
        Err(error) => Ok(Err(error)),
    }
}

fn authorize(
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
        if !writes && inner.faults.next_read_rejected() {
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
            reject_selectors(&query)?;
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

/// Rejects selectors. Routers read whole collections, so selectors are not
/// implemented, and ignoring them would return the wrong objects.
fn reject_selectors(query: &Query) -> Result<(), ApiError> {
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

/// Parses a request into a write.
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

/// Applies a write subject to the faults in force.
fn apply_write(shared: Arc<Shared>, write: Write, principal: Option<String>) -> RequestResult {
    let outcome = shared.with(|inner| inner.faults.next_write_outcome());
    if let WriteOutcome::Delayed(delay) = outcome {
        spawn(async move {
            sleep(delay).await;
            // The connection is already closed, so the result is unused.
            let _ = shared.with(|inner| inner.write(&write, principal, outcome));
        });
        return Err(NoResponse);
    }
    let created = write.target == WriteTarget::Create;
    let result = shared.with(|inner| inner.write(&write, principal, outcome));
    if outcome != WriteOutcome::Answered {
        return Err(NoResponse);
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

fn error_response(error: &ApiError) -> Response {
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
