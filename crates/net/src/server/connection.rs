//! One connection from a caller: its requests in turn.

use std::future::{Future, poll_fn};
use std::net::Shutdown;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::Poll;

use async_std::net::TcpStream;
use futures::FutureExt;
use futures::io::AsyncWriteExt;
use http_types::headers::CONNECTION;
use http_types::{Method, Request, Response};
use threadledge_types::{NotRunReason, UnknownReason};

use super::attach::attach_body;
use super::caller::Caller;
use super::closing::{WriteProgress, linger};
use super::limits::ServerLimits;
use super::report::{ConnectionGuard, ConnectionInfo, Count};
use super::request::{self, RequestFault, RequestHead};
use super::respond::ResponseBytes;
use crate::head::{self, HeadError};
use crate::refusal;
use crate::stop::{StopSignal, Stopped};
use crate::timer;
use crate::transmit::{Outgoing, SendFault};
use crate::wire::Wire;

const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
const CRLF: &[u8] = b"\r\n";

/// Answers a connection above the limit, as far as the kernel takes it now.
pub(super) fn refuse_at_once(stream: &TcpStream) {
    let mut response = refusal::not_run(NotRunReason::Overloaded, "too many connections are open");
    response.insert_header(CONNECTION, "close");
    response.insert_header("retry-after", "1");
    let mut outgoing = Outgoing::new(ResponseBytes::new(response, Method::Get));
    let sent = poll_fn(|context| outgoing.poll_send(stream, context)).now_or_never();
    if sent.is_some() {
        let _ = stream.shutdown(Shutdown::Write);
    }
}

/// What ended a request before its answer had left whole.
#[derive(Clone, Copy, Debug)]
enum Interruption {
    HungUp,
    /// The answer's body failed after some of the answer had left.
    Truncated,
    /// The answer's body failed before any of the answer had left.
    Unsent,
    Cut,
}

impl Interruption {
    fn count(self) -> Count {
        match self {
            Interruption::HungUp => Count::HungUp,
            Interruption::Truncated | Interruption::Unsent => Count::Truncated,
            Interruption::Cut => Count::Cut,
        }
    }
}

pub(super) struct Connection<H> {
    stream: TcpStream,
    info: ConnectionInfo,
    limits: Arc<ServerLimits>,
    stop: StopSignal,
    stopped: Stopped,
    cut: Stopped,
    guard: ConnectionGuard,
    handler: H,
}

impl<H, F> Connection<H>
where
    H: Fn(Request, ConnectionInfo) -> F + Send + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    pub(super) fn new(
        stream: TcpStream,
        info: ConnectionInfo,
        limits: Arc<ServerLimits>,
        stop: StopSignal,
        guard: ConnectionGuard,
        handler: H,
    ) -> Self {
        Connection {
            stopped: stop.stopped(),
            cut: guard.cut(),
            stream,
            info,
            limits,
            stop,
            guard,
            handler,
        }
    }

    pub(super) async fn run(mut self) {
        let mut wire = Wire::new(self.stream.clone());
        while self.wait_for_request(&mut wire).await {
            match self.read_request(&mut wire).await {
                Ok(Some(head)) => match self.answer(wire, head).await {
                    Some(next) => wire = next,
                    None => return,
                },
                Ok(None) => return,
                Err(fault) => {
                    self.refuse(wire, &fault).await;
                    return;
                }
            }
        }
    }

    /// Waits for the first byte of a request; `false` when none will come.
    async fn wait_for_request(&mut self, wire: &mut Wire) -> bool {
        wire.shrink();
        let mut idle = timer::sleep(self.limits.idle_timeout);
        let mut stop_seen = false;
        poll_fn(|context| {
            loop {
                skip_blank_lines(wire);
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
                    idle = timer::sleep(self.limits.stop_idle);
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

    /// Reads a head; `Ok(None)` when the caller is gone.
    async fn read_request(&mut self, wire: &mut Wire) -> Result<Option<RequestHead>, RequestFault> {
        let read = head::read_head(wire, self.limits.max_head_bytes);
        let length = match timer::timeout(self.limits.head_timeout, read).await {
            Err(_) => return Err(RequestFault::TooSlow),
            Ok(Err(HeadError::TooLarge)) => return Err(RequestFault::HeadTooLarge),
            Ok(Err(HeadError::Closed | HeadError::Truncated | HeadError::Io(_))) => {
                return Ok(None);
            }
            Ok(Ok(length)) => length,
        };
        let head = request::parse(&wire.unread()[..length], self.limits.max_body_bytes)?;
        wire.consume(length);
        Ok(Some(head))
    }

    /// Runs one request and sends its answer. Returns the connection if it
    /// can carry another one.
    async fn answer(&mut self, wire: Wire, head: RequestHead) -> Option<Wire> {
        self.guard.count(Count::Request);
        let method = head.request.method();
        let closes = head.closes;
        if head.body.is_some() && head.expects_continue {
            self.stream.write_all(CONTINUE).await.ok()?;
        }
        let (request, mut caller) = attach_body(wire, head, &self.limits);
        let response = match self.run_handler(request, &mut caller).await {
            Ok(response) => response,
            Err(interruption) => return self.end(interruption),
        };
        let (response, closes) = self.mark_close(response, closes, &mut caller);
        match self.send(response, method, &mut caller).await {
            Ok(()) => {}
            Err(Interruption::Unsent) => {
                self.tell_failed(method, &mut caller).await;
                return self.end(Interruption::Unsent);
            }
            Err(interruption) => return self.end(interruption),
        }
        caller.settle();
        match caller {
            Caller::Listening(wire) if !closes => Some(wire),
            Caller::Listening(wire) | Caller::Unfinished(wire) => {
                linger(&self.stream, wire, &mut self.cut).await;
                None
            }
            Caller::Sending(_) | Caller::Misframed | Caller::Gone => None,
        }
    }

    /// Tells the caller that its answer was lost, while there is still time
    /// for a whole answer. The work behind may have been done.
    async fn tell_failed(&mut self, method: Method, caller: &mut Caller) {
        let detail = "the answer was cut short before any of it was passed on";
        let mut response = refusal::unknown(UnknownReason::BadAnswer, detail);
        response.insert_header(CONNECTION, "close");
        // Whatever comes of it, the connection ends.
        let _ = self.send(response, method, caller).await;
    }

    fn end(&self, interruption: Interruption) -> Option<Wire> {
        self.guard.count(interruption.count());
        None
    }

    /// Runs the handler; drops it when the caller hangs up. The caller is
    /// looked for before each poll: a handler that could go on after a wait
    /// does nothing more for a caller that left meanwhile, and one for a
    /// caller that left before it was read does not begin.
    async fn run_handler(
        &mut self,
        request: Request,
        caller: &mut Caller,
    ) -> Result<Response, Interruption> {
        let mut running = pin!((self.handler)(request, self.info));
        let cut = &mut self.cut;
        poll_fn(|context| {
            if caller.poll_hang_up(context).is_ready() {
                return Poll::Ready(Err(Interruption::HungUp));
            }
            if let Poll::Ready(response) = running.as_mut().poll(context) {
                return Poll::Ready(Ok(response));
            }
            Pin::new(&mut *cut)
                .poll(context)
                .map(|()| Err(Interruption::Cut))
        })
        .await
    }

    /// Says `Connection: close` when this is the last answer.
    fn mark_close(
        &self,
        mut response: Response,
        caller_closes: bool,
        caller: &mut Caller,
    ) -> (Response, bool) {
        caller.settle();
        let readable = matches!(caller, Caller::Listening(_) | Caller::Sending(_));
        let closes = caller_closes
            || self.stop.is_stopped()
            || !readable
            || head::connection_has(response.as_ref(), "close");
        if closes {
            response.insert_header(CONNECTION, "close");
        }
        (response, closes)
    }

    async fn send(
        &mut self,
        response: Response,
        method: Method,
        caller: &mut Caller,
    ) -> Result<(), Interruption> {
        let mut outgoing = Outgoing::new(ResponseBytes::new(response, method));
        let mut progress = WriteProgress::new(self.limits.write_timeout);
        let stream = &self.stream;
        let cut = &mut self.cut;
        poll_fn(|context| {
            match outgoing.poll_send(stream, context) {
                Poll::Ready(Ok(())) => return Poll::Ready(Ok(())),
                Poll::Ready(Err(SendFault::Source(_))) if outgoing.any_written() => {
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
            if caller.poll_hang_up(context).is_ready() {
                return Poll::Ready(Err(Interruption::HungUp));
            }
            if outgoing.waits_for_stream() && progress.poll(outgoing.total(), context).is_ready() {
                return Poll::Ready(Err(Interruption::HungUp));
            }
            Pin::new(&mut *cut)
                .poll(context)
                .map(|()| Err(Interruption::Cut))
        })
        .await
    }

    /// Refuses a request that could not be read.
    async fn refuse(&mut self, wire: Wire, fault: &RequestFault) {
        self.guard.count(Count::RefusedRequest);
        tracing::debug!(peer = %self.info.peer, ?fault, "refused a request");
        let mut response = fault.response();
        response.insert_header(CONNECTION, "close");
        let mut caller = Caller::Unfinished(wire);
        let sent = self.send(response, Method::Get, &mut caller).await;
        if let (Ok(()), Caller::Unfinished(wire)) = (sent, caller) {
            linger(&self.stream, wire, &mut self.cut).await;
        }
    }
}

/// Blank lines before a request are allowed and skipped.
fn skip_blank_lines(wire: &mut Wire) {
    while wire.unread().starts_with(CRLF) {
        wire.consume(CRLF.len());
    }
}
