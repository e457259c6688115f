//! A back end's answer, read ahead as far as it is small.

use std::io;

use futures::{AsyncReadExt, FutureExt};
use http_types::{Body, Method, Response, StatusCode};
use threadledge_net::BodyFault;
use threadledge_net::message::Message;
use threadledge_routing::AttemptFailure;
use threadledge_types::session::{REFUSAL_HEADER, REQUEST_ID_HEADER, Refusal};

use super::headers;
use super::memory_budget::{BufferedBody, MemoryBudget, buffer_for};
use super::stream::PrefixedBody;

/// Bytes of a refusal's body that are read to keep its connection.
const MAX_REFUSAL_BODY: u64 = 4 * 1024;

/// An answer that may go to the caller.
#[derive(Debug)]
pub(crate) struct Answer {
    /// Its head.
    pub(crate) response: Response,
    /// Its body.
    pub(crate) body: AnswerBody,
}

/// An answer's body.
#[derive(Debug)]
pub(crate) enum AnswerBody {
    /// It is here whole, or the answer has none.
    Complete(Body),
    /// Its end is still to come.
    Streamed {
        /// What came, and the rest.
        body: PrefixedBody,
        /// Length that the head told.
        length: Option<usize>,
    },
}

/// What a back end said.
#[derive(Debug)]
pub(crate) enum Said {
    /// The typed refusal: it did not run the request.
    Refused(Refusal),
    /// An answer.
    Answered(Box<Answer>),
    /// Something that is no answer to this request.
    Failed(AttemptFailure),
}

/// Reads what a back end said to the request numbered `request_id`.
pub(crate) async fn read(
    mut response: Response,
    method: Method,
    request_id: &str,
    max_buffered: usize,
    budget: &MemoryBudget,
) -> Said {
    // Invariant: no caller gets the answer to another's request. HTTP/1.1
    // pairs requests and answers by their order alone; a back end that echoes
    // the number lets a wrong pair be seen.
    let echoed = response.header(REQUEST_ID_HEADER);
    if echoed.is_some_and(|echoed| echoed.last().as_str() != request_id) {
        return Said::Failed(AttemptFailure::BadAnswer);
    }
    if let Some(refusal) = refusal_of(&response) {
        drain_available(response.take_body_keeping_headers());
        return Said::Refused(refusal);
    }
    let body = response.take_body_keeping_headers();
    headers::strip(&mut response);
    let bodiless = method == Method::Head
        || matches!(
            response.status(),
            StatusCode::NoContent | StatusCode::NotModified
        );
    let body = if bodiless {
        // Its length, if any, speaks of a body that does not follow.
        AnswerBody::Complete(body)
    } else {
        match read_ahead(body, max_buffered, budget).await {
            Ok(body) => body,
            Err(error) => return Said::Failed(failure(&error)),
        }
    };
    Said::Answered(Box::new(Answer { response, body }))
}

/// The refusal that a response carries. Both status and header must say so:
/// only then has the back end promised that nothing ran.
fn refusal_of(response: &Response) -> Option<Refusal> {
    let value = headers::single(response.as_ref(), REFUSAL_HEADER)?;
    let refusal = Refusal::parse(value)?;
    let status = u16::from(response.status());
    matches!(status, 421 | 503).then_some(refusal)
}

/// Reads a body over if it is here already, so that its connection can be
/// used again.
pub(crate) fn drain_available(body: Body) {
    let mut sink = Vec::new();
    let _ = body
        .take(MAX_REFUSAL_BODY)
        .read_to_end(&mut sink)
        .now_or_never();
}

pub(crate) async fn read_ahead(
    mut body: Body,
    max_buffered: usize,
    budget: &MemoryBudget,
) -> io::Result<AnswerBody> {
    let length = body.len();
    let wanted = length.unwrap_or(max_buffered);
    let reservation = Some(wanted)
        .filter(|wanted| *wanted <= max_buffered)
        .and_then(|wanted| budget.reserve(wanted));
    if reservation.is_none() {
        let body = PrefixedBody::new(Vec::new(), body);
        return Ok(AnswerBody::Streamed { body, length });
    }
    let mut start = buffer_for(length);
    let limit = max_buffered as u64 + 1;
    (&mut body).take(limit).read_to_end(&mut start).await?;
    if start.len() <= max_buffered {
        return Ok(AnswerBody::Complete(
            BufferedBody::new(start, reservation).into_body(),
        ));
    }
    let body = PrefixedBody::new(start, body);
    Ok(AnswerBody::Streamed { body, length })
}

pub(crate) fn failure(error: &io::Error) -> AttemptFailure {
    match BodyFault::from_io_error(error) {
        Some(BodyFault::TooSlow) | None => AttemptFailure::ConnectionLost,
        Some(_) => AttemptFailure::BadAnswer,
    }
}
