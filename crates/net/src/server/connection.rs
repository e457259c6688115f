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

use super::ahead::Ahead;
use super::answering::Delivery;
use super::caller::Caller;
use super::closing::linger;
use super::handler::Handler;
use super::report::Count;
use super::request::{self, ReadRequest, RequestFault};
use super::respond::ResponseBytes;
use super::service::Service;
use crate::Instant;
use crate::error_response;
use crate::head::{self, HeadError};
use crate::stop::Stopped;
use crate::timer;
use crate::transmit::Outgoing;
use crate::wire::Wire;

/// Answers a connection above the limit, as far as the kernel takes it now.
pub(super) fn refuse_at_once(stream: &TcpStream) {
    let mut response =
        error_response::not_run(NotRunReason::Overloaded, "too many connections are open");
    response.insert_header(CONNECTION, "close");
    response.insert_header("retry-after", "1");
    let mut outgoing = Outgoing::new(ResponseBytes::new(response, Method::Get));
    let sent = poll_fn(|context| outgoing.poll_send(stream, context)).now_or_never();
    if sent.is_some() {
        let _ = stream.shutdown(Shutdown::Write);
    }
}

pub(super) struct Connection<H: Handler> {
    pub(super) stream: TcpStream,
    pub(super) stopped: Stopped,
    pub(super) cut: Stopped,
    pub(super) ahead: Ahead<H::ResponseFuture>,
    pub(super) service: Service<H>,
}

impl<H: Handler> Connection<H> {
    pub(super) fn new(stream: TcpStream, service: Service<H>) -> Self {
        Connection {
            stream,
            stopped: service.stop.stopped(),
            cut: service.guard.cut(),
            ahead: Ahead::new(),
            service,
        }
    }

    pub(super) async fn run(mut self) {
        let mut wire = Wire::new(self.stream.clone());
        while let Some(read) = self.next_request(&mut wire).await {
            match read.head {
                Ok(head) => match self.answer(wire, head, read.at).await {
                    Some(next) => wire = next,
                    None => return,
                },
                Err(fault) => {
                    self.refuse(wire, &fault).await;
                    return;
                }
            }
        }
    }

    /// The next request; `None` when none will come.
    async fn next_request(&mut self, wire: &mut Wire) -> Option<ReadRequest> {
        if let Some(parked) = self.ahead.take_parked() {
            return Some(parked);
        }
        if !self.wait_for_request(wire).await {
            return None;
        }
        self.read_request(wire).await
    }

    /// Waits for the first byte of a request; `false` when none will come.
    async fn wait_for_request(&mut self, wire: &mut Wire) -> bool {
        wire.shrink();
        let mut idle = timer::sleep(self.service.limits.idle_timeout);
        let mut stop_seen = false;
        poll_fn(|context| {
            loop {
                wire.skip_blank_lines();
                if !wire.unread().is_empty() {
                    return Poll::Ready(true);
                }
                match wire.poll_fill(context) {
                    Poll::Ready(Ok(0) | Err(_)) => return Poll::Ready(false),
                    Poll::Ready(Ok(_)) => continue,
                    Poll::Pending => {}
                }
                if !stop_seen && Pin::new(&mut self.stopped).poll(context).is_ready() {
                    stop_seen = true;
                    idle = timer::sleep(self.service.limits.stop_idle_timeout);
                }
                let over = Pin::new(&mut idle).poll(context).is_ready()
                    || Pin::new(&mut self.cut).poll(context).is_ready();
                return if over {
                    Poll::Ready(false)
                } else {
                    Poll::Pending
                };
            }
        })
        .await
    }

    /// Reads a head; `None` when the caller is gone.
    async fn read_request(&mut self, wire: &mut Wire) -> Option<ReadRequest> {
        let limits = &self.service.limits;
        let read = head::read_head(wire, limits.max_head_bytes);
        let fault = match timer::timeout(limits.head_timeout, read).await {
            Ok(Ok(length)) => return Some(request::take(wire, length, limits.max_body_bytes)),
            Err(_) => RequestFault::TooSlow,
            Ok(Err(HeadError::TooLarge)) => RequestFault::HeadTooLarge,
            Ok(Err(HeadError::Closed | HeadError::Truncated | HeadError::Io(_))) => return None,
        };
        Some(ReadRequest {
            head: Err(fault),
            at: Instant::now(),
        })
    }

    /// Refuses a request that could not be read.
    async fn refuse(&mut self, wire: Wire, fault: &RequestFault) {
        self.service.guard.count(Count::RefusedRequest, 1);
        tracing::debug!(peer = %self.service.info.peer, ?fault, "refused a request");
        let mut response = fault.response();
        response.insert_header(CONNECTION, "close");
        let mut caller = Caller::Unfinished(wire);
        let delivery = Delivery::new(response, Method::Get, &self.service.limits);
        let sent = self.send(delivery, &mut caller).await;
        if let (Ok(()), Caller::Unfinished(wire)) = (sent, caller) {
            linger(&self.stream, wire, &mut self.cut).await;
        }
    }
}
