//! Gives a request the body that follows its head on the connection.

use futures::channel::oneshot;
use http_types::headers::CONTENT_LENGTH;
use http_types::{Body, Request};

use super::caller::Caller;
use super::limits::ServerLimits;
use super::request::RequestHead;
use crate::Instant;
use crate::body::{BodyReader, Pace};
use crate::message::Message;
use crate::wire::Wire;

/// Puts the connection into the request's body, which gives it back to the
/// [`Caller`] when it ends.
pub(super) fn attach_body(
    wire: Wire,
    head: RequestHead,
    limits: &ServerLimits,
) -> (Request, Caller) {
    let mut request = head.request;
    let Some(decoder) = head.body else {
        request.take_body_keeping_headers();
        return (request, Caller::Listening(wire));
    };
    let length = request
        .header(CONTENT_LENGTH)
        .and_then(|value| value.last().as_str().parse::<usize>().ok());
    let (sender, receiver) = oneshot::channel();
    let pace = Pace::Rate {
        start: Instant::now(),
        base: limits.body_timeout,
    };
    let give_back = Box::new(move |returned| {
        // The connection is closed already when nobody receives this.
        let _ = sender.send(returned);
    });
    let reader = BodyReader::new(wire, decoder, limits.max_body_bytes, pace, give_back);
    request.replace_body_keeping_headers(Body::from_reader(reader, length));
    (request, Caller::Sending(receiver))
}
