//! Server for messages from other routers.

use async_std::net::TcpListener;
use http_types::{Method, Request, Response, StatusCode};
use thiserror::Error;
use threadledge_control::PeerBatch;
use threadledge_net::{ServeReport, ServerLimits, StopSignal, serve};

use super::PEER_PATH;
use super::safety::SafetyError;
use super::shared::ControlShell;
use crate::operations::ProblemBody;

/// Maximum size of a batch, in bytes. A snapshot is sent as one message, so this
/// must be large.
const MAX_BATCH_BYTES: u64 = 256 * 1024 * 1024;

/// Reason why a request on the peer address is refused. Its messages were not
/// processed.
#[derive(Debug, Error)]
enum PeerRefusal {
    /// The path is not [`PEER_PATH`].
    #[error("no such path; post batches to {PEER_PATH}")]
    Path,
    /// The method is not POST.
    #[error("{0} is not allowed here; use POST")]
    Method(Method),
    /// The body was not received completely.
    #[error("the batch did not come whole ({0}); send it again")]
    Incomplete(String),
    /// The body is not a batch.
    #[error("the batch cannot be read ({0}); run the same version on every router of the region")]
    Malformed(serde_json::Error),
    /// The sender has different safety settings.
    #[error(transparent)]
    Safety(#[from] SafetyError),
}

impl PeerRefusal {
    const fn status(&self) -> StatusCode {
        match self {
            PeerRefusal::Path => StatusCode::NotFound,
            PeerRefusal::Method(_) => StatusCode::MethodNotAllowed,
            PeerRefusal::Incomplete(_) | PeerRefusal::Malformed(_) => StatusCode::BadRequest,
            PeerRefusal::Safety(_) => StatusCode::Conflict,
        }
    }
}

/// Serves other routers until `stop` is signalled.
pub async fn serve_peers(
    shell: ControlShell,
    listener: TcpListener,
    stop: StopSignal,
) -> ServeReport {
    let limits = ServerLimits {
        max_body_bytes: MAX_BATCH_BYTES,
        ..Default::default()
    };
    serve(listener, limits, stop, move |request, _| {
        answer(shell.clone(), request)
    })
    .await
}

async fn answer(shell: ControlShell, request: Request) -> Response {
    let batch = match read_batch(&shell, request).await {
        Ok(batch) => batch,
        Err(refusal) => return refuse(refusal.status(), &refusal.to_string()),
    };
    match serde_json::to_vec(&shell.answer_batch(batch)) {
        Ok(body) => json(StatusCode::Ok, body),
        Err(error) => refuse(StatusCode::InternalServerError, &error.to_string()),
    }
}

async fn read_batch(shell: &ControlShell, mut request: Request) -> Result<PeerBatch, PeerRefusal> {
    if request.url().path() != PEER_PATH {
        return Err(PeerRefusal::Path);
    }
    if request.method() != Method::Post {
        return Err(PeerRefusal::Method(request.method()));
    }
    shell.safety().check(request.url())?;
    let body = request.body_bytes().await;
    let body = body.map_err(|error| PeerRefusal::Incomplete(error.to_string()))?;
    serde_json::from_slice(&body).map_err(PeerRefusal::Malformed)
}

fn json(status: StatusCode, body: Vec<u8>) -> Response {
    let mut response = Response::new(status);
    response.set_content_type(http_types::mime::JSON);
    response.set_body(body);
    response
}

fn refuse(status: StatusCode, message: &str) -> Response {
    let message = message.to_owned();
    // A struct of one string can always be serialized.
    let body = serde_json::to_vec(&ProblemBody { message }).unwrap_or_default();
    json(status, body)
}
