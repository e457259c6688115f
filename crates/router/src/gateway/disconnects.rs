//! Callers that leave before they have their answer, counted by how far their
//! requests had come.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use futures::io::{AsyncBufRead, AsyncRead};
use http_types::{Body, Method, Response};
use prometheus::{IntCounterVec, Opts, Registry};
use threadledge_net::message::Message;

use crate::proxy::stream::poll_read_buffered;

/// Lengths above which a body is passed on while it comes, in bytes: shorter
/// ones leave at once. What [`super::attempt`] reads ahead.
const MAX_BUFFERED: usize = super::attempt::READ_AHEAD;

/// How far a request had come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// The caller had left before anything was done for the request.
    Unread,
    /// Its body was being read.
    Reading,
    /// It was at no back end: it waited for a slot or an owner.
    Waiting,
    /// It was at a back end, or about to be sent to one.
    AtBackEnd,
    /// A long answer was being passed on.
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

/// Counts callers that left. Clones share the counts.
#[derive(Clone, Debug)]
pub(super) struct DisconnectCounter {
    total: IntCounterVec,
}

impl DisconnectCounter {
    /// Registers the counts.
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

    /// A request came.
    pub(super) fn track(&self) -> RequestTracker {
        RequestTracker {
            disconnects: self.clone(),
            stage: Some(Stage::Unread),
        }
    }
}

/// One request, which counts as left if it is dropped before it is over.
#[derive(Debug)]
pub(super) struct RequestTracker {
    disconnects: DisconnectCounter,
    stage: Option<Stage>,
}

impl RequestTracker {
    /// It has come this far.
    pub(super) fn reached(&mut self, stage: Stage) {
        self.stage = Some(stage);
    }

    /// It has its answer, or the answer leaves at once.
    pub(super) fn complete(&mut self) {
        self.stage = None;
    }

    /// Goes with an answer, until all of it has left.
    pub(super) fn track_response(mut self, response: &mut Response, method: Method) {
        let length = response.len();
        if method == Method::Head || length.is_some_and(|length| length <= MAX_BUFFERED) {
            return self.complete();
        }
        self.reached(Stage::Answering);
        let tracked = TrackedBody {
            body: response.take_body_only(),
            remaining: length,
            tracker: self,
        };
        response.replace_body_only(Body::from_reader(tracked, length));
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

/// An answer's body with the visit that it ends.
struct TrackedBody {
    body: Body,
    /// Bytes to come, if the answer tells its length.
    remaining: Option<usize>,
    tracker: RequestTracker,
}

impl AsyncBufRead for TrackedBody {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let tracked = self.get_mut();
        let filled = std::task::ready!(Pin::new(&mut tracked.body).poll_fill_buf(context));
        // The end of the body, or a fault of its back end: no caller left.
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
