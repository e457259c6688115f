//! The server side of messages between routers.

use async_std::net::TcpListener;
use http_types::{Method, Request, Response, StatusCode};
use threadledge_control::PeerBatch;
use threadledge_net::{ServeReport, ServerLimits, StopSignal, serve};

use super::PEER_PATH;
use super::shared::ControlShell;

/// Largest batch, in bytes: a snapshot travels in one message.
const MAX_BATCH_BYTES: u64 = 256 * 1024 * 1024;

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

async fn answer(shell: ControlShell, mut request: Request) -> Response {
    if request.method() != Method::Post || request.url().path() != PEER_PATH {
        return refuse(StatusCode::NotFound, "post a batch to the peer path");
    }
    let body = match request.body_bytes().await {
        Ok(body) => body,
        Err(error) => return refuse(StatusCode::BadRequest, &error.to_string()),
    };
    let batch: PeerBatch = match serde_json::from_slice(&body) {
        Ok(batch) => batch,
        Err(error) => return refuse(StatusCode::BadRequest, &error.to_string()),
    };
    match serde_json::to_vec(&shell.answer_batch(batch)) {
        Ok(body) => reply(body),
        Err(error) => refuse(StatusCode::InternalServerError, &error.to_string()),
    }
}

fn reply(body: Vec<u8>) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.set_content_type(http_types::mime::JSON);
    response.set_body(body);
    response
}

fn refuse(status: StatusCode, message: &str) -> Response {
    let mut response = Response::new(status);
    response.set_body(message);
    response
}
