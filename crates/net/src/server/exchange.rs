//! Executes the requests of a connection and sends their responses in order.

use std::future::{Future, poll_fn};
use std::pin::{Pin, pin};
use std::task::{Context, Poll};

use futures::io::AsyncWriteExt;
use http_types::headers::CONNECTION;
use http_types::{Method, Request, Response};
use threadledge_types::UnknownReason;

use super::closing::{WriteStallTimer, linger};
use super::connection::Connection;
use super::handler::Handler;
use super::inbound::Inbound;
use super::interruption::Interruption;
use super::limits::ServerLimits;
use super::pipeline::{Pipeline, RequestSummary};
use super::report::CounterKind;
use super::request::RequestHead;
use super::request_body::attach_body;
use super::response_encoder::ResponseEncoder;
use super::service::Service;
use crate::Instant;
use crate::buffered_stream::BufferedStream;
use crate::error_response;
use crate::head;
use crate::message_writer::{MessageWriter, SendFault};

const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// One response being sent.
pub(super) struct ResponseWrite {
    writer: MessageWriter<ResponseEncoder>,
    stall_timer: WriteStallTimer,
}

impl ResponseWrite {
    pub(super) fn new(response: Response, method: Method, limits: &ServerLimits) -> Self {
        ResponseWrite {
            writer: MessageWriter::new(ResponseEncoder::new(response, method)),
            stall_timer: WriteStallTimer::new(limits.write_timeout),
        }
    }
}

/// Starts and polls the pipelined requests behind the current one. Resolves
/// when the caller has disconnected, as detected by [`Inbound::poll_hang_up`].
/// That check comes first, so that a waiting handler does no more work for a
/// caller that has left, and the handler of a caller that left before its
/// request was read never starts.
fn poll_pipeline<H: Handler>(
    inbound: &mut Inbound,
    pipeline: &mut Pipeline<H::ResponseFuture>,
    service: &mut Service<H>,
    context: &mut Context<'_>,
) -> Poll<()> {
    while pipeline.start_next(inbound, service) {
        // Starting a request freed buffer space, so more can be read.
        if inbound.poll_hang_up(context).is_ready() {
            return Poll::Ready(());
        }
    }
    pipeline.poll_running(context);
    Poll::Pending
}

impl<H: Handler> Connection<H> {
    /// Executes one request and those pipelined behind it, and sends their
    /// responses. Returns the connection if it can be reused for another
    /// request.
    pub(super) async fn serve_request(
        &mut self,
        buffered: BufferedStream,
        head: RequestHead,
        read_at: Instant,
    ) -> Option<BufferedStream> {
        if head.body.is_some() && head.expects_continue {
            self.stream.write_all(CONTINUE).await.ok()?;
        }
        self.pipeline.start_first(&head, &self.service);
        let summary = RequestSummary::of(&head);
        let (request, mut inbound) = attach_body(buffered, head, &self.service.limits);
        let mut current = match self.run_handler(request, read_at, &mut inbound).await {
            Ok(response) => (summary, response),
            Err(interruption) => return self.record_interruption(interruption),
        };
        let closes = loop {
            let (summary, response) = current;
            let (response, closes) = self.decide_close(response, summary.closes, &mut inbound);
            if let Err(interruption) = self
                .send_response(response, summary.method, &mut inbound)
                .await
            {
                return self.record_interruption(interruption);
            }
            if closes || self.pipeline.len() == 0 {
                break closes;
            }
            current = match self.next_response(&mut inbound).await {
                Ok(next) => next,
                Err(interruption) => return self.record_interruption(interruption),
            };
        };
        inbound.reclaim_connection();
        match inbound {
            Inbound::RequestRead(buffered) if !closes => Some(buffered),
            Inbound::RequestRead(buffered) | Inbound::BodyUnread(buffered) => {
                linger(&self.stream, buffered, &mut self.abort).await;
                None
            }
            Inbound::ReadingBody(_) | Inbound::BodyInvalid | Inbound::Closed => None,
        }
    }

    /// Counts the interrupted request and those behind it. Always returns
    /// `None`, because the connection cannot be reused.
    fn record_interruption(&self, interruption: Interruption) -> Option<BufferedStream> {
        let guard = &self.service.guard;
        guard.count(interruption.count(), 1);
        guard.count(interruption.count_queued(), self.pipeline.len());
        None
    }

    /// Runs the handler of the first request in the pipeline, and drops it when
    /// the caller disconnects.
    async fn run_handler(
        &mut self,
        request: Request,
        read_at: Instant,
        inbound: &mut Inbound,
    ) -> Result<Response, Interruption> {
        let mut running = pin!(self.service.handle(request, read_at, 0));
        let (pipeline, service, abort) = (&mut self.pipeline, &mut self.service, &mut self.abort);
        poll_fn(|context| {
            if inbound.poll_hang_up(context).is_ready() {
                return Poll::Ready(Err(Interruption::HungUp));
            }
            if let Poll::Ready(response) = running.as_mut().poll(context) {
                return Poll::Ready(Ok(response));
            }
            if poll_pipeline(inbound, pipeline, service, context).is_ready() {
                return Poll::Ready(Err(Interruption::HungUp));
            }
            Pin::new(&mut *abort)
                .poll(context)
                .map(|()| Err(Interruption::Aborted))
        })
        .await
    }

    /// Waits for the next response in order.
    async fn next_response(
        &mut self,
        inbound: &mut Inbound,
    ) -> Result<(RequestSummary, Response), Interruption> {
        self.pipeline.finish_current();
        let (pipeline, service, abort) = (&mut self.pipeline, &mut self.service, &mut self.abort);
        poll_fn(|context| {
            let hung_up = inbound.poll_hang_up(context).is_ready()
                || poll_pipeline(inbound, pipeline, service, context).is_ready();
            if hung_up {
                return Poll::Ready(Err(Interruption::HungUp));
            }
            if let Some(next) = pipeline.take_next_response() {
                return Poll::Ready(Ok(next));
            }
            Pin::new(&mut *abort)
                .poll(context)
                .map(|()| Err(Interruption::Aborted))
        })
        .await
    }

    /// Adds `Connection: close` if this is the last response, and returns
    /// whether it is. If requests are running behind it, it is not the last:
    /// they are answered first, and no further request is started.
    fn decide_close(
        &mut self,
        mut response: Response,
        caller_closes: bool,
        inbound: &mut Inbound,
    ) -> (Response, bool) {
        inbound.reclaim_connection();
        let readable = matches!(inbound, Inbound::RequestRead(_) | Inbound::ReadingBody(_));
        let response_closes = head::connection_header_has(response.as_ref(), "close");
        let closes = caller_closes
            || self.service.stop.is_stopped()
            || self.pipeline.is_closing()
            || !readable
            || response_closes;
        if !closes {
            return (response, false);
        }
        // This applies even if the pipeline is empty: a request started while
        // this response is being sent would run and get no response.
        self.pipeline.close();
        if self.pipeline.len() > 0 {
            response.remove_header(CONNECTION);
            return (response, false);
        }
        response.insert_header(CONNECTION, "close");
        (response, true)
    }

    /// Sends a response. If it fails before any of it was sent, an error
    /// response is sent instead.
    async fn send_response(
        &mut self,
        response: Response,
        method: Method,
        inbound: &mut Inbound,
    ) -> Result<(), Interruption> {
        let write = ResponseWrite::new(response, method, &self.service.limits);
        let sent = self.send(write, inbound).await;
        if !matches!(sent, Err(Interruption::Unsent)) {
            return sent;
        }
        let more_follow = self.pipeline.len() > 0;
        let reported = self.send_failure(method, inbound).await;
        if more_follow && reported.is_ok() {
            self.service.guard.count(CounterKind::Truncated, 1);
            return Ok(());
        }
        sent
    }

    /// Sends an error response in place of one that failed before any of it was
    /// sent. The request may have been executed. The connection closes
    /// afterwards, unless requests are running behind this one.
    async fn send_failure(
        &mut self,
        method: Method,
        inbound: &mut Inbound,
    ) -> Result<(), Interruption> {
        let detail = "the answer was cut short before any of it was passed on";
        let mut response = error_response::unknown(UnknownReason::BadAnswer, detail);
        if self.pipeline.len() == 0 {
            response.insert_header(CONNECTION, "close");
        }
        let write = ResponseWrite::new(response, method, &self.service.limits);
        self.send(write, inbound).await
    }

    /// Sends a response while the pipelined requests behind it run.
    pub(super) async fn send(
        &mut self,
        write: ResponseWrite,
        inbound: &mut Inbound,
    ) -> Result<(), Interruption> {
        let ResponseWrite {
            mut writer,
            mut stall_timer,
        } = write;
        let stream = &self.stream;
        let (pipeline, service, abort) = (&mut self.pipeline, &mut self.service, &mut self.abort);
        poll_fn(|context| {
            match writer.poll_send(stream, context) {
                Poll::Ready(Ok(())) => return Poll::Ready(Ok(())),
                Poll::Ready(Err(SendFault::Source(_))) if writer.any_written() => {
                    return Poll::Ready(Err(Interruption::Truncated));
                }
                Poll::Ready(Err(SendFault::Source(_))) => {
                    return Poll::Ready(Err(Interruption::Unsent));
                }
                Poll::Ready(Err(SendFault::Stream(_))) => {
                    return Poll::Ready(Err(Interruption::HungUp));
                }
                Poll::Pending => {}
            }
            let hung_up = inbound.poll_hang_up(context).is_ready()
                || poll_pipeline(inbound, pipeline, service, context).is_ready();
            if hung_up {
                return Poll::Ready(Err(Interruption::HungUp));
            }
            if writer.is_blocked() && stall_timer.poll(writer.bytes_sent(), context).is_ready() {
                return Poll::Ready(Err(Interruption::HungUp));
            }
            Pin::new(&mut *abort)
                .poll(context)
                .map(|()| Err(Interruption::Aborted))
        })
        .await
    }
}
