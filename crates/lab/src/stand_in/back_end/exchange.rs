//! One request and its answer.

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

use super::hang_up::hang_up;
use super::slots::SlotRefusal;
use super::state::{BackEnd, Begun, Work};
use crate::clock;
use crate::history::RequestId;

/// Header in which callers of the lab name their requests, end to end.
pub const LAB_REQUEST_HEADER: &str = "lab-request";
/// Header with the checksum of an answer's body.
pub const ANSWER_CHECKSUM_HEADER: &str = "lab-checksum";

/// Length that every answer's body is padded to.
const ANSWER_BYTES: usize = 512;

/// The body that answers `request`.
pub fn answer_body(request: RequestId) -> String {
    let mut body = format!("request {request}\n");
    while body.len() < ANSWER_BYTES {
        body.push(char::from(b'a' + (body.len() % 26) as u8));
    }
    body
}

/// Checksum of a body, as the header carries it.
pub fn answer_checksum(body: &[u8]) -> String {
    format!("{:016x}", xxhash_rust::xxh3::xxh3_64(body))
}

struct Ask {
    request: RequestId,
    service: ServiceId,
    point: Point,
    epoch: Epoch,
    deadline: Option<Timestamp>,
}

/// How a request ended.
enum End {
    Done,
    Refused(Refusal),
    HungUp,
    Dropped,
}

/// Serves one request that came on `stream`.
pub(super) async fn exchange(
    back_end: &BackEnd,
    stream: &TcpStream,
    mut request: Request,
) -> http_types::Result<Response> {
    let arrived = clock::now();
    // Read whole first: from then on, bytes or an end on the connection tell
    // about the caller and not about the body.
    request.body_bytes().await?;
    let Some(ask) = read_headers(&request, arrived) else {
        return Ok(refusal_response(Refusal::Malformed));
    };
    match carry_out(back_end, stream, &ask).await {
        End::Done => Ok(answer(ask.request)),
        End::Refused(refusal) => Ok(refusal_response(refusal)),
        // An error closes the connection.
        End::HungUp => Err(http_types::Error::from_str(
            StatusCode::RequestTimeout,
            "the caller hung up",
        )),
        End::Dropped => Err(http_types::Error::from_str(
            StatusCode::InternalServerError,
            "dropped by sickness",
        )),
    }
}

async fn carry_out(back_end: &BackEnd, stream: &TcpStream, ask: &Ask) -> End {
    let work = match back_end.admit(ask.request, &ask.service, ask.point, ask.epoch) {
        Ok(work) => work,
        Err(refusal) => return End::Refused(refusal),
    };
    let _slot = match bounded(stream, ask.deadline, back_end.slots.acquire()).await {
        Bounded::Finished(Ok(slot)) => slot,
        Bounded::Finished(Err(SlotRefusal::QueueFull)) => {
            back_end.give_up(work);
            return End::Refused(Refusal::Overloaded);
        }
        Bounded::DeadlinePassed => {
            back_end.give_up(work);
            return End::Refused(Refusal::DeadlinePassed);
        }
        Bounded::HungUp => {
            back_end.give_up(work);
            return End::HungUp;
        }
    };
    run(back_end, stream, ask, work).await
}

async fn run(back_end: &BackEnd, stream: &TcpStream, ask: &Ask, work: Work) -> End {
    let Begun {
        work,
        takes,
        is_dropped,
    } = match back_end.begin(work) {
        Ok(begun) => begun,
        Err(refusal) => return End::Refused(refusal),
    };
    match bounded(stream, ask.deadline, task::sleep(takes)).await {
        Bounded::Finished(()) => {}
        Bounded::DeadlinePassed => {
            back_end.abandon(work);
            return End::Refused(Refusal::DeadlinePassed);
        }
        Bounded::HungUp => {
            back_end.abandon(work);
            return End::HungUp;
        }
    }
    if is_dropped {
        back_end.abandon(work);
        return End::Dropped;
    }
    // A process that was paused comes back here with its timers long due, so
    // ownership is asked for once more at the moment of the effect.
    match back_end.take_effect(work) {
        Ok(()) => End::Done,
        Err(refusal) => End::Refused(refusal),
    }
}

enum Bounded<T> {
    Finished(T),
    DeadlinePassed,
    HungUp,
}

/// Runs `step` until it ends, the deadline passes or the caller hangs up.
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
        () = std::pin::pin!(hang_up(stream).fuse()) => Bounded::HungUp,
    }
}

fn read_headers(request: &Request, arrived: Timestamp) -> Option<Ask> {
    let text = |name: &str| request.header(name).map(|values| values.as_str());
    let deadline = match text(DEADLINE_HEADER) {
        Some(millis) => Some(arrived + Duration::from_millis(millis.parse().ok()?)),
        None => None,
    };
    Some(Ask {
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
