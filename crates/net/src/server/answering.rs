//! Runs the requests of a connection and sends their answers in order.

use std::future::{Future, poll_fn};
use std::pin::{Pin, pin};
use std::task::{Context, Poll};

use futures::io::AsyncWriteExt;
use http_types::headers::CONNECTION;
use http_types::{Method, Request, Response};
use threadledge_types::UnknownReason;

use super::ahead::{Ahead, Asked};
use super::attach::attach_body;
use super::caller::Caller;
use super::closing::{WriteProgress, linger};
use super::connection::Connection;
use super::handler::Handler;
use super::interruption::Interruption;
use super::limits::ServerLimits;
use super::report::Count;
use super::request::RequestHead;
use super::respond::ResponseBytes;
use super::service::Service;
use crate::Instant;
use crate::error_response;
use crate::head;
use crate::transmit::{Outgoing, SendFault};
use crate::wire::Wire;

const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// One answer on its way.
pub(super) struct Delivery {
    outgoing: Outgoing<ResponseBytes>,
    progress: WriteProgress,
}

impl Delivery {
    pub(super) fn new(response: Response, method: Method, limits: &ServerLimits) -> Self {
        Delivery {
            outgoing: Outgoing::new(ResponseBytes::new(response, method)),
            progress: WriteProgress::new(limits.write_timeout),
        }
    }
}

/// Begins and runs the requests behind the one whose turn it is. Resolves when
/// the caller has hung up, as [`Caller::poll_hang_up`] does, which is asked
/// first: a handler that could go on after a wait does nothing more for a
/// caller that left meanwhile, and one for a caller that left before it was
/// read does not begin.
fn poll_behind<H: Handler>(
    caller: &mut Caller,
    ahead: &mut Ahead<H::ResponseFuture>,
    service: &mut Service<H>,
    context: &mut Context<'_>,
) -> Poll<()> {
    while ahead.begin_next(caller, service) {
        // What was begun made room for more to be read.
        if caller.poll_hang_up(context).is_ready() {
            return Poll::Ready(());
        }
    }
    ahead.poll_running(context);
    Poll::Pending
}

impl<H: Handler> Connection<H> {
    /// Runs one request and those begun behind it, and sends their answers.
    /// Returns the connection if it can carry another one.
    pub(super) async fn answer(
        &mut self,
        wire: Wire,
        head: RequestHead,
        read_at: Instant,
    ) -> Option<Wire> {
        if head.body.is_some() && head.expects_continue {
            self.stream.write_all(CONTINUE).await.ok()?;
        }
        self.ahead.begin_at(&head, &self.service);
        let asked = Asked::of(&head);
        let (request, mut caller) = attach_body(wire, head, &self.service.limits);
        let mut answered = match self.run_first(request, read_at, &mut caller).await {
            Ok(response) => (asked, response),
            Err(interruption) => return self.end(interruption),
        };
        let closes = loop {
            let (asked, response) = answered;
            let (response, closes) = self.mark_close(response, asked.closes, &mut caller);
            if let Err(interruption) = self.deliver(response, asked.method, &mut caller).await {
                return self.end(interruption);
            }
            if closes || self.ahead.len() == 0 {
                break closes;
            }
            answered = match self.next_answer(&mut caller).await {
                Ok(next) => next,
                Err(interruption) => return self.end(interruption),
            };
        };
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

    fn end(&self, interruption: Interruption) -> Option<Wire> {
        let guard = &self.service.guard;
        guard.count(interruption.count(), 1);
        guard.count(interruption.count_behind(), self.ahead.len());
        None
    }

    /// Runs the handler of a request with none before it; drops it when the
    /// caller hangs up.
    async fn run_first(
        &mut self,
        request: Request,
        read_at: Instant,
        caller: &mut Caller,
    ) -> Result<Response, Interruption> {
        let mut running = pin!(self.service.handle(request, read_at, 0));
        let (ahead, service, cut) = (&mut self.ahead, &mut self.service, &mut self.cut);
        poll_fn(|context| {
            if caller.poll_hang_up(context).is_ready() {
                return Poll::Ready(Err(Interruption::HungUp));
            }
            if let Poll::Ready(response) = running.as_mut().poll(context) {
                return Poll::Ready(Ok(response));
            }
            if poll_behind(caller, ahead, service, context).is_ready() {
                return Poll::Ready(Err(Interruption::HungUp));
            }
            Pin::new(&mut *cut)
                .poll(context)
                .map(|()| Err(Interruption::Cut))
        })
        .await
    }

    /// Waits for the answer whose turn it is.
    async fn next_answer(
        &mut self,
        caller: &mut Caller,
    ) -> Result<(Asked, Response), Interruption> {
        self.ahead.next_turn();
        let (ahead, service, cut) = (&mut self.ahead, &mut self.service, &mut self.cut);
        poll_fn(|context| {
            let left = caller.poll_hang_up(context).is_ready()
                || poll_behind(caller, ahead, service, context).is_ready();
            if left {
                return Poll::Ready(Err(Interruption::HungUp));
            }
            if let Some(next) = ahead.take_first() {
                return Poll::Ready(Ok(next));
            }
            Pin::new(&mut *cut)
                .poll(context)
                .map(|()| Err(Interruption::Cut))
        })
        .await
    }

    /// Says `Connection: close` when this is the last answer. While requests
    /// run behind it, it is not: those are answered first, and no further one
    /// is begun.
    fn mark_close(
        &mut self,
        mut response: Response,
        caller_closes: bool,
        caller: &mut Caller,
    ) -> (Response, bool) {
        caller.settle();
        let readable = matches!(caller, Caller::Listening(_) | Caller::Sending(_));
        let asked = head::connection_has(response.as_ref(), "close");
        let closes = caller_closes
            || self.service.stop.is_stopped()
            || self.ahead.is_closing()
            || !readable
            || asked;
        if !closes {
            return (response, false);
        }
        // Also where none is ahead: one that is begun while this answer leaves
        // would run and get none.
        self.ahead.close();
        if self.ahead.len() > 0 {
            response.remove_header(CONNECTION);
            return (response, false);
        }
        response.insert_header(CONNECTION, "close");
        (response, true)
    }

    /// Sends an answer. One that is lost before any of it left is replaced.
    async fn deliver(
        &mut self,
        response: Response,
        method: Method,
        caller: &mut Caller,
    ) -> Result<(), Interruption> {
        let delivery = Delivery::new(response, method, &self.service.limits);
        let sent = self.send(delivery, caller).await;
        if !matches!(sent, Err(Interruption::Unsent)) {
            return sent;
        }
        let goes_on = self.ahead.len() > 0;
        let told = self.tell_failed(method, caller).await;
        if goes_on && told.is_ok() {
            self.service.guard.count(Count::Truncated, 1);
            return Ok(());
        }
        sent
    }

    /// Tells the caller that its answer was lost, while there is still time
    /// for a whole answer. The work behind may have been done. The connection
    /// ends, unless requests run behind this one.
    async fn tell_failed(
        &mut self,
        method: Method,
        caller: &mut Caller,
    ) -> Result<(), Interruption> {
        let detail = "the answer was cut short before any of it was passed on";
        let mut response = error_response::unknown(UnknownReason::BadAnswer, detail);
        if self.ahead.len() == 0 {
            response.insert_header(CONNECTION, "close");
        }
        let delivery = Delivery::new(response, method, &self.service.limits);
        self.send(delivery, caller).await
    }

    pub(super) async fn send(
        &mut self,
        delivery: Delivery,
        caller: &mut Caller,
    ) -> Result<(), Interruption> {
        let Delivery {
            mut outgoing,
            mut progress,
        } = delivery;
        let stream = &self.stream;
        let (ahead, service, cut) = (&mut self.ahead, &mut self.service, &mut self.cut);
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
            let left = caller.poll_hang_up(context).is_ready()
                || poll_behind(caller, ahead, service, context).is_ready();
            if left {
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
}
