//! The server side of messages between routers.

use async_std::net::TcpListener;
use http_types::{Method, Request, Response, StatusCode};
use thiserror::Error;
use threadledge_control::PeerBatch;
use threadledge_net::{ServeReport, ServerLimits, StopSignal, serve};

use super::PEER_PATH;
use super::safety::SafetyError;
use super::shared::ControlShell;
use crate::operations::ProblemBody;

/// Largest batch, in bytes: a snapshot travels in one message.
const MAX_BATCH_BYTES: u64 = 256 * 1024 * 1024;

/// Why a request on the peer address is refused. Nothing of it was looked at.
#[derive(Debug, Error)]
enum PeerRefusal {
    /// Another path.
    #[error("no such path; post batches to {PEER_PATH}")]
    Path,
    /// Another method.
    #[error("{0} is not allowed here; use POST")]
    Method(Method),
    /// The body did not come whole.
    #[error("the batch did not come whole ({0}); send it again")]
    Incomplete(String),
    /// The body is no batch.
    #[error("the batch cannot be read ({0}); run the same version on every router of the region")]
    Malformed(serde_json::Error),
    /// The sender has other safety settings.
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

/// Answers other routers until `stop` is given.
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
    // A body of one text always has a JSON form.
    let body = serde_json::to_vec(&ProblemBody { message }).unwrap_or_default();
    json(status, body)
}
