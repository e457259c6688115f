//! A back end's response, which is read ahead if it is small.

use std::io;

use futures::{AsyncReadExt, FutureExt};
use http_types::{Body, Method, Response, StatusCode};
use threadledge_net::BodyFault;
use threadledge_net::message::Message;
use threadledge_net::status;
use threadledge_routing::AttemptFailure;
use threadledge_types::session::{REFUSAL_HEADER, REQUEST_ID_HEADER, Refusal};

use super::headers;
use super::memory_budget::{BufferedBody, MemoryBudget, buffer_for};
use super::stream::PrefixedBody;

/// Maximum number of bytes of a refusal's body that are read so that its
/// connection can be reused.
const MAX_REFUSAL_BODY: u64 = 4 * 1024;

/// A response that may be forwarded to the caller.
#[derive(Debug)]
pub(crate) struct Answer {
    /// The response without its body.
    pub(crate) response: Response,
    /// The body.
    pub(crate) body: AnswerBody,
}

/// The body of a response.
#[derive(Debug)]
pub(crate) enum AnswerBody {
    /// The body has been received completely, or the response has none.
    Complete(Body),
    /// The body is still arriving.
    Streamed {
        /// The bytes received so far, followed by the remaining ones.
        body: PrefixedBody,
        /// Length announced by the head.
        length: Option<usize>,
    },
}

/// Result of reading a back end's response.
#[derive(Debug)]
pub(crate) enum ReadOutcome {
    /// A typed refusal: the back end did not run the request.
    Refused(Refusal),
    /// A response for the caller.
    Answered(Box<Answer>),
    /// Not a valid response to this request.
    Failed(AttemptFailure),
}

/// Reads a back end's response to the request with the id `request_id`.
pub(crate) async fn read(
    mut response: Response,
    method: Method,
    request_id: &str,
    max_buffered: usize,
    budget: &MemoryBudget,
) -> ReadOutcome {
    // Invariant: no caller receives the response to another caller's request.
    // HTTP/1.1 matches responses to requests by their order alone; if the back
    // end echoes the request id, a mismatch can be detected.
    let echoed = response.header(REQUEST_ID_HEADER);
    if echoed.is_some_and(|echoed| echoed.last().as_str() != request_id) {
        return ReadOutcome::Failed(AttemptFailure::BadAnswer);
    }
    if let Some(refusal) = refusal_of(&response) {
        drain_available(response.take_body_keeping_headers());
        return ReadOutcome::Refused(refusal);
    }
    let body = response.take_body_keeping_headers();
    headers::strip(&mut response);
    let bodiless = method == Method::Head
        || matches!(
            response.status(),
            StatusCode::NoContent | StatusCode::NotModified
        );
    let body = if bodiless {
        // The announced length, if any, is that of a body that does not follow.
        AnswerBody::Complete(body)
    } else {
        match read_ahead(body, max_buffered, budget).await {
            Ok(body) => body,
            Err(error) => return ReadOutcome::Failed(failure(&error)),
        }
    };
    ReadOutcome::Answered(Box::new(Answer { response, body }))
}

/// Returns the refusal that a response carries. Both status and header must
/// indicate it: only then has the back end promised that nothing ran.
fn refusal_of(response: &Response) -> Option<Refusal> {
    let value = headers::single(response.as_ref(), REFUSAL_HEADER)?;
    let refusal = Refusal::parse(value)?;
    let status = status::code(response);
    matches!(status, 421 | 503).then_some(refusal)
}

/// Reads and discards a body that has already been received, so that its
/// connection can be reused.
pub(crate) fn drain_available(body: Body) {
    let mut sink = Vec::new();
    let _ = body
        .take(MAX_REFUSAL_BODY)
        .read_to_end(&mut sink)
        .now_or_never();
}

/// Buffers a body of up to `max_buffered` bytes, as far as `budget` allows; a
/// larger one is returned as a stream.
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

/// Classifies an error of reading a response body.
pub(crate) fn failure(error: &io::Error) -> AttemptFailure {
    match BodyFault::from_io_error(error) {
        Some(BodyFault::TooSlow) | None => AttemptFailure::ConnectionLost,
        Some(_) => AttemptFailure::BadAnswer,
    }
}
