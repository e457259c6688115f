//! Counts callers that disconnect before they have their response, by the stage
//! that their requests had reached.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use futures::io::{AsyncBufRead, AsyncRead};
use http_types::{Body, Method, Response};
use prometheus::{IntCounterVec, Opts, Registry};
use threadledge_net::message::Message;

use crate::proxy::stream::poll_read_buffered;

/// Longest body, in bytes, that is sent at once; longer ones are streamed.
/// Equal to what [`super::attempt`] reads ahead.
const MAX_BUFFERED: usize = super::attempt::MAX_READ_AHEAD_BYTES;

/// The stage that a request has reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// The caller had disconnected before the request was processed.
    Unread,
    /// The request's body was being read.
    Reading,
    /// The request waited for a slot or an owner and was at no back end.
    Waiting,
    /// The request was at a back end or about to be sent to one.
    AtBackEnd,
    /// A long response was being streamed to the caller.
    Answering,
}

impl Stage {
    fn as_str(self) -> &'static str {
        match self {
            Stage::Unread => "unread",
            Stage::Reading => "reading",
            Stage::Waiting => "waiting",
            Stage::AtBackEnd => "at-back-end",
            Stage::Answering => "answering",
        }
    }
}

/// Counts callers that disconnected. Clones share the counts.
#[derive(Clone, Debug)]
pub(super) struct DisconnectCounter {
    total: IntCounterVec,
}

impl DisconnectCounter {
    /// Registers the counters.
    ///
    /// # Errors
    ///
    /// Never with the names compiled in; the library checks them at run time.
    pub(super) fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let total = IntCounterVec::new(
            Opts::new(
                "threadledge_gateway_left_total",
                "Requests whose caller left before it had its answer, by how far they had come",
            ),
            &["stage"],
        )?;
        registry.register(Box::new(total.clone()))?;
        Ok(DisconnectCounter { total })
    }

    /// Starts tracking a new request.
    pub(super) fn track(&self) -> RequestTracker {
        RequestTracker {
            disconnects: self.clone(),
            stage: Some(Stage::Unread),
        }
    }
}

/// Tracks one request and counts it as disconnected if dropped before
/// completion.
#[derive(Debug)]
pub(super) struct RequestTracker {
    disconnects: DisconnectCounter,
    stage: Option<Stage>,
}

impl RequestTracker {
    /// Records the stage that the request has reached.
    pub(super) fn reached(&mut self, stage: Stage) {
        self.stage = Some(stage);
    }

    /// Records that the response is complete, or small enough to be sent at
    /// once.
    pub(super) fn complete(&mut self) {
        self.stage = None;
    }

    /// Keeps tracking the request until its response has been sent.
    pub(super) fn track_response(mut self, response: &mut Response, method: Method) {
        let length = response.len();
        if method == Method::Head || length.is_some_and(|length| length <= MAX_BUFFERED) {
            return self.complete();
        }
        self.reached(Stage::Answering);
        let tracked = TrackedBody {
            body: response.take_body_keeping_headers(),
            remaining: length,
            tracker: self,
        };
        response.replace_body_keeping_headers(Body::from_reader(tracked, length));
    }
}

impl Drop for RequestTracker {
    fn drop(&mut self) {
        if let Some(stage) = self.stage {
            let total = &self.disconnects.total;
            total.with_label_values(&[stage.as_str()]).inc();
        }
    }
}

/// A response body that completes its request's tracker at its end.
struct TrackedBody {
    body: Body,
    /// Remaining bytes, if the response's length is known.
    remaining: Option<usize>,
    tracker: RequestTracker,
}

impl AsyncBufRead for TrackedBody {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let tracked = self.get_mut();
        let filled = std::task::ready!(Pin::new(&mut tracked.body).poll_fill_buf(context));
        // At the end of the body or after a back end's failure the caller did
        // not disconnect.
        if filled.as_ref().map_or(true, |bytes| bytes.is_empty()) {
            tracked.tracker.complete();
        }
        Poll::Ready(filled)
    }

    fn consume(self: Pin<&mut Self>, amount: usize) {
        let tracked = self.get_mut();
        Pin::new(&mut tracked.body).consume(amount);
        tracked.count(amount);
    }
}

impl TrackedBody {
    fn count(&mut self, bytes: usize) {
        self.remaining = self.remaining.map(|left| left.saturating_sub(bytes));
        if self.remaining == Some(0) {
            self.tracker.complete();
        }
    }
}

impl AsyncRead for TrackedBody {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        poll_read_buffered(self, context, buffer)
    }
}
