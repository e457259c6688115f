//! One connection from a caller: reads its requests.

use std::future::{Future, poll_fn};
use std::net::Shutdown;
use std::pin::Pin;
use std::task::Poll;

use async_std::net::TcpStream;
use futures::FutureExt;
use http_types::Method;
use http_types::headers::CONNECTION;
use threadledge_types::NotRunReason;

use super::closing::linger;
use super::exchange::ResponseWrite;
use super::handler::Handler;
use super::inbound::Inbound;
use super::pipeline::Pipeline;
use super::report::CounterKind;
use super::request::{self, ReadRequest, RequestFault};
use super::response_encoder::ResponseEncoder;
use super::service::Service;
use crate::Instant;
use crate::buffered_stream::BufferedStream;
use crate::error_response;
use crate::head::{self, HeadError};
use crate::message_writer::MessageWriter;
use crate::stop::Stopped;
use crate::timer;

/// Rejects a connection above the limit. Sends only what the kernel accepts
/// without waiting.
pub(super) fn reject_connection(stream: &TcpStream) {
    let mut response =
        error_response::not_run(NotRunReason::Overloaded, "too many connections are open");
    response.insert_header(CONNECTION, "close");
    response.insert_header("retry-after", "1");
    let mut writer = MessageWriter::new(ResponseEncoder::new(response, Method::Get));
    let sent = poll_fn(|context| writer.poll_send(stream, context)).now_or_never();
    if sent.is_some() {
        let _ = stream.shutdown(Shutdown::Write);
    }
}

/// A connection with its pipeline of started requests.
pub(super) struct Connection<H: Handler> {
    pub(super) stream: TcpStream,
    /// Resolves when the server is told to stop.
    pub(super) stopped: Stopped,
    /// Resolves when the drain timeout has passed.
    pub(super) abort: Stopped,
    pub(super) pipeline: Pipeline<H::ResponseFuture>,
    pub(super) service: Service<H>,
}

impl<H: Handler> Connection<H> {
    pub(super) fn new(stream: TcpStream, service: Service<H>) -> Self {
        Connection {
            stream,
            stopped: service.stop.stopped(),
            abort: service.guard.abort_signal(),
            pipeline: Pipeline::new(),
            service,
        }
    }

    pub(super) async fn run(mut self) {
        let mut buffered = BufferedStream::new(self.stream.clone());
        while let Some(read) = self.next_request(&mut buffered).await {
            match read.head {
                Ok(head) => match self.serve_request(buffered, head, read.read_at).await {
                    Some(next) => buffered = next,
                    None => return,
                },
                Err(fault) => {
                    self.refuse(buffered, &fault).await;
                    return;
                }
            }
        }
    }

    /// Returns the next request, or `None` if there will be no more.
    async fn next_request(&mut self, buffered: &mut BufferedStream) -> Option<ReadRequest> {
        if let Some(deferred) = self.pipeline.take_deferred() {
            return Some(deferred);
        }
        if !self.wait_for_request(buffered).await {
            return None;
        }
        self.read_request(buffered).await
    }

    /// Waits for the first byte of a request; returns `false` if there will be
    /// none.
    async fn wait_for_request(&mut self, buffered: &mut BufferedStream) -> bool {
        buffered.shrink();
        let mut idle = timer::sleep(self.service.limits.idle_timeout);
        let mut stop_seen = false;
        poll_fn(|context| {
            loop {
                buffered.skip_blank_lines();
                if !buffered.unread().is_empty() {
                    return Poll::Ready(true);
                }
                match buffered.poll_fill(context) {
                    Poll::Ready(Ok(0) | Err(_)) => return Poll::Ready(false),
                    Poll::Ready(Ok(_)) => continue,
                    Poll::Pending => {}
                }
                if !stop_seen && Pin::new(&mut self.stopped).poll(context).is_ready() {
                    stop_seen = true;
                    idle = timer::sleep(self.service.limits.stop_idle_timeout);
                }
                let over = Pin::new(&mut idle).poll(context).is_ready()
                    || Pin::new(&mut self.abort).poll(context).is_ready();
                return if over {
                    Poll::Ready(false)
                } else {
                    Poll::Pending
                };
            }
        })
        .await
    }

    /// Reads a request head; `None` if the caller has closed the connection.
    async fn read_request(&mut self, buffered: &mut BufferedStream) -> Option<ReadRequest> {
        let limits = &self.service.limits;
        let read = head::read_head(buffered, limits.max_head_bytes);
        let fault = match timer::timeout(limits.head_timeout, read).await {
            Ok(Ok(length)) => {
                return Some(request::take_head(buffered, length, limits.max_body_bytes));
            }
            Err(_) => RequestFault::TooSlow,
            Ok(Err(HeadError::TooLarge)) => RequestFault::HeadTooLarge,
            Ok(Err(HeadError::Closed | HeadError::Truncated | HeadError::Io(_))) => return None,
        };
        Some(ReadRequest {
            head: Err(fault),
            read_at: Instant::now(),
        })
    }

    /// Sends an error response to a request that could not be read.
    async fn refuse(&mut self, buffered: BufferedStream, fault: &RequestFault) {
        self.service.guard.count(CounterKind::RefusedRequest, 1);
        tracing::debug!(peer = %self.service.info.peer, ?fault, "refused a request");
        let mut response = fault.response();
        response.insert_header(CONNECTION, "close");
        let mut inbound = Inbound::BodyUnread(buffered);
        let write = ResponseWrite::new(response, Method::Get, &self.service.limits);
        let sent = self.send(write, &mut inbound).await;
        if let (Ok(()), Inbound::BodyUnread(buffered)) = (sent, inbound) {
            linger(&self.stream, buffered, &mut self.abort).await;
        }
    }
}
