//! Pipelined requests that run behind the current request of a connection.

use std::collections::VecDeque;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};

use futures::stream::{FuturesUnordered, Stream};
use http_types::{Method, Response};

use super::handler::Handler;
use super::inbound::Inbound;
use super::limits::ServerLimits;
use super::request::{self, ReadRequest, RequestHead};
use super::service::Service;
use crate::buffered_stream::BufferedStream;
use crate::head::HeadSearch;

/// Properties of a request that are needed to send its response.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestSummary {
    pub(super) method: Method,
    /// Whether the caller closes the connection after this request.
    pub(super) closes: bool,
}

impl RequestSummary {
    pub(super) fn of(head: &RequestHead) -> Self {
        RequestSummary {
            method: head.request.method(),
            closes: head.closes,
        }
    }
}

/// A started request, until it is the turn of its response.
#[derive(Debug)]
struct PipelineEntry {
    summary: RequestSummary,
    response: Option<Response>,
}

/// The handler future of one request, with the number of the request on the
/// connection.
struct NumberedResponse<F> {
    number: u64,
    future: Pin<Box<F>>,
}

impl<F: Future<Output = Response>> Future for NumberedResponse<F> {
    type Output = (u64, Response);

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Self::Output> {
        let number = self.number;
        let future = self.future.as_mut();
        future.poll(context).map(|response| (number, response))
    }
}

/// Queue of requests started before their turn, in order. It allocates nothing
/// while the caller waits for each response.
pub(super) struct Pipeline<F> {
    running: Option<FuturesUnordered<NumberedResponse<F>>>,
    entries: VecDeque<PipelineEntry>,
    /// Number of the first entry.
    first_number: u64,
    /// Number of unanswered requests without an entry: 1 while the first
    /// request is running or a response is being sent, otherwise 0.
    outside_queue: usize,
    /// Bytes of the bodies of completed responses that wait for their turn.
    buffered_bytes: u64,
    /// Whether further requests may be started.
    accepts_more: bool,
    /// Whether the connection closes after the last response.
    closing: bool,
    search: HeadSearch,
    /// The next request, if it must wait for all requests before it.
    deferred: Option<ReadRequest>,
}

impl<F: Future<Output = Response>> Pipeline<F> {
    pub(super) fn new() -> Self {
        Pipeline {
            running: None,
            entries: VecDeque::new(),
            first_number: 0,
            outside_queue: 0,
            buffered_bytes: 0,
            accepts_more: false,
            closing: false,
            search: HeadSearch::default(),
            deferred: None,
        }
    }

    /// Records that a request starts with none before it.
    pub(super) fn start_first<H>(&mut self, head: &RequestHead, service: &Service<H>)
    where
        H: Handler<ResponseFuture = F>,
    {
        self.search = HeadSearch::default();
        self.outside_queue = 1;
        self.accepts_more = service.limits.max_pipelined_requests > 0
            && !head.closes
            && service.handler.may_run_concurrently(&head.request);
    }

    /// Starts the next request if it may run now; returns whether it did.
    pub(super) fn start_next<H>(&mut self, inbound: &mut Inbound, service: &Service<H>) -> bool
    where
        H: Handler<ResponseFuture = F>,
    {
        let Inbound::RequestRead(buffered) = inbound else {
            return false;
        };
        if !self.has_room(&service.limits) || service.stop.is_stopped() {
            return false;
        }
        let Some(read) = self.read_next(buffered, &service.limits) else {
            return false;
        };
        let is_concurrent = |head: &RequestHead| {
            head.body.is_none() && service.handler.may_run_concurrently(&head.request)
        };
        match read.head {
            Ok(head) if is_concurrent(&head) => {
                let unanswered_before = self.unanswered();
                self.accepts_more = !head.closes;
                let summary = RequestSummary::of(&head);
                self.push(
                    summary,
                    service.handle(head.request, read.read_at, unanswered_before),
                );
                true
            }
            head => {
                self.deferred = Some(ReadRequest { head, ..read });
                false
            }
        }
    }

    fn unanswered(&self) -> usize {
        self.entries.len() + self.outside_queue
    }

    fn has_room(&self, limits: &ServerLimits) -> bool {
        self.accepts_more
            && self.deferred.is_none()
            && self.unanswered() <= limits.max_pipelined_requests
            && self.buffered_bytes < limits.max_pipelined_response_bytes
    }

    /// Takes the next head if it has arrived completely. A head that is too
    /// large stays unread and is refused when it is its turn.
    fn read_next(
        &mut self,
        buffered: &mut BufferedStream,
        limits: &ServerLimits,
    ) -> Option<ReadRequest> {
        buffered.skip_blank_lines();
        let length = self.search.find_end(buffered.unread())?;
        if length > limits.max_head_bytes {
            return None;
        }
        self.search = HeadSearch::default();
        Some(request::take_head(buffered, length, limits.max_body_bytes))
    }

    fn push(&mut self, summary: RequestSummary, future: F) {
        let number = self.first_number + self.entries.len() as u64;
        self.entries.push_back(PipelineEntry {
            summary,
            response: None,
        });
        let running = self.running.get_or_insert_with(FuturesUnordered::new);
        running.push(NumberedResponse {
            number,
            future: Box::pin(future),
        });
    }

    /// Polls the running requests.
    pub(super) fn poll_running(&mut self, context: &mut Context<'_>) {
        let Some(running) = &mut self.running else {
            return;
        };
        while let Poll::Ready(Some(done)) = Pin::new(&mut *running).poll_next(context) {
            let (number, response) = done;
            // Every number from the first one on has an entry.
            let Some(entry) = self.entries.get_mut((number - self.first_number) as usize) else {
                continue;
            };
            self.buffered_bytes += buffered_len(&response);
            entry.response = Some(response);
        }
    }

    /// Records that the response before the first entry has been sent.
    pub(super) fn finish_current(&mut self) {
        self.outside_queue = 0;
    }

    /// Returns the first response in order, if it is complete.
    pub(super) fn take_next_response(&mut self) -> Option<(RequestSummary, Response)> {
        let response = self.entries.front_mut()?.response.take()?;
        let entry = self.entries.pop_front()?;
        self.first_number += 1;
        self.outside_queue = 1;
        self.buffered_bytes -= buffered_len(&response);
        if self.entries.is_empty() {
            self.running = None;
        }
        Some((entry.summary, response))
    }

    /// Takes the request that waited for all requests before it.
    pub(super) fn take_deferred(&mut self) -> Option<ReadRequest> {
        self.deferred.take()
    }

    /// Starts no further requests; the connection closes after those already
    /// started.
    pub(super) fn close(&mut self) {
        self.accepts_more = false;
        self.closing = true;
    }

    pub(super) fn is_closing(&self) -> bool {
        self.closing
    }

    /// Number of started requests whose responses are still waiting for their
    /// turn.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }
}

/// Body length of a response. A body of unknown length is not read before its
/// turn and therefore occupies no memory.
fn buffered_len(response: &Response) -> u64 {
    response.len().unwrap_or(0) as u64
}
