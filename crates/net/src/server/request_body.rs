//! Attaches the body that follows a request head on the connection.

use futures::channel::oneshot;
use http_types::headers::CONTENT_LENGTH;
use http_types::{Body, Request};

use super::inbound::Inbound;
use super::limits::ServerLimits;
use super::request::RequestHead;
use crate::Instant;
use crate::body::{BodyDeadline, BodyReader};
use crate::buffered_stream::BufferedStream;
use crate::message::Message;

/// Moves the connection into the body of the request, which returns it to the
/// [`Inbound`] state when it ends.
pub(super) fn attach_body(
    buffered: BufferedStream,
    head: RequestHead,
    limits: &ServerLimits,
) -> (Request, Inbound) {
    let mut request = head.request;
    let Some(decoder) = head.body else {
        request.take_body_keeping_headers();
        return (request, Inbound::RequestRead(buffered));
    };
    let length = request
        .header(CONTENT_LENGTH)
        .and_then(|value| value.last().as_str().parse::<usize>().ok());
    let (sender, receiver) = oneshot::channel();
    let body_deadline = BodyDeadline::Rate {
        start: Instant::now(),
        base: limits.body_timeout,
    };
    let on_release = Box::new(move |released| {
        // If nobody receives this, the connection is already closed.
        let _ = sender.send(released);
    });
    let reader = BodyReader::new(
        buffered,
        decoder,
        limits.max_body_bytes,
        body_deadline,
        on_release,
    );
    request.replace_body_keeping_headers(Body::from_reader(reader, length));
    (request, Inbound::ReadingBody(receiver))
}
