//! Handles one request, from its headers to its response.

use std::future::Future;
use std::time::Duration;

use async_std::net::TcpStream;
use async_std::task;
use futures::FutureExt;
use http_types::{Request, Response, StatusCode};
use threadledge_types::session::{
    DEADLINE_HEADER, EPOCH_HEADER, POINT_HEADER, REFUSAL_HEADER, Refusal, SERVICE_HEADER,
};
use threadledge_types::{Epoch, Point, ServiceId, Timestamp};

use super::disconnect::until_disconnect;
use super::slots::SlotError;
use super::state::{BackEnd, StartedWork, Work};
use crate::clock;
use crate::history::RequestId;

/// Header that carries the caller's request id end to end.
pub const LAB_REQUEST_HEADER: &str = "lab-request";
/// Header that carries the checksum of a response body.
pub const ANSWER_CHECKSUM_HEADER: &str = "lab-checksum";

/// Length that every response body is padded to, in bytes.
const ANSWER_BYTES: usize = 512;

/// Returns the response body for `request`.
pub fn answer_body(request: RequestId) -> String {
    let mut body = format!("request {request}\n");
    while body.len() < ANSWER_BYTES {
        body.push(char::from(b'a' + (body.len() % 26) as u8));
    }
    body
}

/// Returns the checksum of a body in the format of the header.
pub fn answer_checksum(body: &[u8]) -> String {
    format!("{:016x}", xxhash_rust::xxh3::xxh3_64(body))
}

/// The headers of a request that the back end uses.
struct RequestInfo {
    request: RequestId,
    service: ServiceId,
    point: Point,
    epoch: Epoch,
    deadline: Option<Timestamp>,
}

/// Outcome of a request.
enum Outcome {
    /// The work took effect.
    Done,
    /// The request was refused or its deadline passed.
    Refused(Refusal),
    /// The caller disconnected.
    Disconnected,
    /// A degradation dropped the request.
    Dropped,
}

/// Handles one request received on `stream`.
pub(super) async fn exchange(
    back_end: &BackEnd,
    stream: &TcpStream,
    mut request: Request,
) -> http_types::Result<Response> {
    let arrived = clock::now();
    // The body is read completely first. After that, data or end of stream on
    // the connection concerns the caller and not the body.
    request.body_bytes().await?;
    let Some(info) = read_headers(&request, arrived) else {
        return Ok(refusal_response(Refusal::Malformed));
    };
    match execute(back_end, stream, &info).await {
        Outcome::Done => Ok(answer(info.request)),
        Outcome::Refused(refusal) => Ok(refusal_response(refusal)),
        // An error closes the connection.
        Outcome::Disconnected => Err(http_types::Error::from_str(
            StatusCode::RequestTimeout,
            "the caller hung up",
        )),
        Outcome::Dropped => Err(http_types::Error::from_str(
            StatusCode::InternalServerError,
            "dropped by a degraded back end",
        )),
    }
}

/// Admits a request, waits for a slot and runs it.
async fn execute(back_end: &BackEnd, stream: &TcpStream, info: &RequestInfo) -> Outcome {
    let work = match back_end.admit(info.request, &info.service, info.point, info.epoch) {
        Ok(work) => work,
        Err(refusal) => return Outcome::Refused(refusal),
    };
    let _slot = match bounded(stream, info.deadline, back_end.slots.acquire()).await {
        Bounded::Finished(Ok(slot)) => slot,
        Bounded::Finished(Err(SlotError::QueueFull)) => {
            back_end.cancel(work);
            return Outcome::Refused(Refusal::Overloaded);
        }
        Bounded::DeadlinePassed => {
            back_end.cancel(work);
            return Outcome::Refused(Refusal::DeadlinePassed);
        }
        Bounded::Disconnected => {
            back_end.cancel(work);
            return Outcome::Disconnected;
        }
    };
    run(back_end, stream, info, work).await
}

/// Runs an admitted request that has a slot.
async fn run(back_end: &BackEnd, stream: &TcpStream, info: &RequestInfo, work: Work) -> Outcome {
    let StartedWork {
        work,
        service_time,
        will_be_dropped,
    } = match back_end.begin(work) {
        Ok(started) => started,
        Err(refusal) => return Outcome::Refused(refusal),
    };
    match bounded(stream, info.deadline, task::sleep(service_time)).await {
        Bounded::Finished(()) => {}
        Bounded::DeadlinePassed => {
            back_end.abandon(work);
            return Outcome::Refused(Refusal::DeadlinePassed);
        }
        Bounded::Disconnected => {
            back_end.abandon(work);
            return Outcome::Disconnected;
        }
    }
    if will_be_dropped {
        back_end.abandon(work);
        return Outcome::Dropped;
    }
    // A paused process resumes here long after its timers were due, so
    // ownership is checked once more when the work takes effect.
    match back_end.commit(work) {
        Ok(()) => Outcome::Done,
        Err(refusal) => Outcome::Refused(refusal),
    }
}

/// How a step that may be interrupted ended.
enum Bounded<T> {
    Finished(T),
    DeadlinePassed,
    Disconnected,
}

/// Runs `step` until it completes, the deadline passes or the caller
/// disconnects.
async fn bounded<T>(
    stream: &TcpStream,
    deadline: Option<Timestamp>,
    step: impl Future<Output = T>,
) -> Bounded<T> {
    let left = deadline.map(|deadline| deadline.since(clock::now()));
    let expiry = async {
        match left {
            Some(left) => task::sleep(left).await,
            None => std::future::pending().await,
        }
    };
    futures::select_biased! {
        value = std::pin::pin!(step.fuse()) => Bounded::Finished(value),
        () = std::pin::pin!(expiry.fuse()) => Bounded::DeadlinePassed,
        () = std::pin::pin!(until_disconnect(stream).fuse()) => Bounded::Disconnected,
    }
}

fn read_headers(request: &Request, arrived: Timestamp) -> Option<RequestInfo> {
    let text = |name: &str| request.header(name).map(|values| values.as_str());
    let deadline = match text(DEADLINE_HEADER) {
        Some(millis) => Some(arrived + Duration::from_millis(millis.parse().ok()?)),
        None => None,
    };
    Some(RequestInfo {
        request: RequestId(text(LAB_REQUEST_HEADER)?.parse().ok()?),
        service: ServiceId::try_from(text(SERVICE_HEADER)?.to_owned()).ok()?,
        point: Point::try_from(text(POINT_HEADER)?.to_owned()).ok()?,
        epoch: text(EPOCH_HEADER)?.parse().ok()?,
        deadline,
    })
}

fn answer(request: RequestId) -> Response {
    let body = answer_body(request);
    let mut response = Response::new(StatusCode::Ok);
    response.insert_header(ANSWER_CHECKSUM_HEADER, answer_checksum(body.as_bytes()));
    response.insert_header(LAB_REQUEST_HEADER, request.to_string());
    response.set_body(body);
    response
}

fn refusal_response(refusal: Refusal) -> Response {
    let status = match refusal {
        Refusal::WrongOwner | Refusal::LeaseLapsed => StatusCode::MisdirectedRequest,
        Refusal::Overloaded | Refusal::Draining | Refusal::DeadlinePassed | Refusal::Malformed => {
            StatusCode::ServiceUnavailable
        }
    };
    let mut response = Response::new(status);
    response.insert_header(REFUSAL_HEADER, refusal.as_str());
    response
}
