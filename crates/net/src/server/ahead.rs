//! Requests of one connection that run behind the one being answered.

use std::collections::VecDeque;
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};

use futures::stream::{FuturesUnordered, Stream};
use http_types::{Method, Response};

use super::caller::Caller;
use super::handler::Handler;
use super::limits::ServerLimits;
use super::request::{self, ReadRequest, RequestHead};
use super::service::Service;
use crate::head::HeadSearch;
use crate::wire::Wire;

/// What an answer has to know of its request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Asked {
    pub(super) method: Method,
    /// The caller closes the connection after this request.
    pub(super) closes: bool,
}

impl Asked {
    pub(super) fn of(head: &RequestHead) -> Self {
        Asked {
            method: head.request.method(),
            closes: head.closes,
        }
    }
}

/// A request that was begun, until its answer's turn has come.
#[derive(Debug)]
struct Place {
    asked: Asked,
    response: Option<Response>,
}

/// The work on one request, with its number on the connection.
struct Numbered<F> {
    number: u64,
    answering: Pin<Box<F>>,
}

impl<F: Future<Output = Response>> Future for Numbered<F> {
    type Output = (u64, Response);

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Self::Output> {
        let number = self.number;
        let answering = self.answering.as_mut();
        answering.poll(context).map(|response| (number, response))
    }
}

/// Requests begun before their turn, in their order. It costs nothing while
/// the caller waits for each answer.
pub(super) struct Ahead<F> {
    running: Option<FuturesUnordered<Numbered<F>>>,
    places: VecDeque<Place>,
    /// Number of the first place.
    first: u64,
    /// Requests not answered that have no place: the one that began with none
    /// before it, or the one whose answer is leaving.
    without_place: usize,
    /// Bytes of the bodies of answers that wait for their turn.
    held: u64,
    /// Further requests may be begun.
    open: bool,
    /// The connection closes after the last answer.
    closing: bool,
    search: HeadSearch,
    /// The next request, which waits for all before it.
    parked: Option<ReadRequest>,
}

impl<F: Future<Output = Response>> Ahead<F> {
    pub(super) fn new() -> Self {
        Ahead {
            running: None,
            places: VecDeque::new(),
            first: 0,
            without_place: 0,
            held: 0,
            open: false,
            closing: false,
            search: HeadSearch::default(),
            parked: None,
        }
    }

    /// A request begins with none before it.
    pub(super) fn begin_at<H>(&mut self, head: &RequestHead, service: &Service<H>)
    where
        H: Handler<ResponseFuture = F>,
    {
        self.search = HeadSearch::default();
        self.without_place = 1;
        self.open = service.limits.max_pipelined_requests > 0
            && !head.closes
            && service.handler.may_run_concurrently(&head.request);
    }

    /// Begins the next request if it may run now; `false` if not.
    pub(super) fn begin_next<H>(&mut self, caller: &mut Caller, service: &Service<H>) -> bool
    where
        H: Handler<ResponseFuture = F>,
    {
        let Caller::Listening(wire) = caller else {
            return false;
        };
        if !self.has_room(&service.limits) || service.stop.is_stopped() {
            return false;
        }
        let Some(read) = self.read_next(wire, &service.limits) else {
            return false;
        };
        let beside = |head: &RequestHead| {
            head.body.is_none() && service.handler.may_run_concurrently(&head.request)
        };
        match read.head {
            Ok(head) if beside(&head) => {
                let unanswered_before = self.unanswered();
                self.open = !head.closes;
                let asked = Asked::of(&head);
                self.push(
                    asked,
                    service.handle(head.request, read.at, unanswered_before),
                );
                true
            }
            head => {
                self.parked = Some(ReadRequest { head, ..read });
                false
            }
        }
    }

    fn unanswered(&self) -> usize {
        self.places.len() + self.without_place
    }

    fn has_room(&self, limits: &ServerLimits) -> bool {
        self.open
            && self.parked.is_none()
            && self.unanswered() <= limits.max_pipelined_requests
            && self.held < limits.max_pipelined_response_bytes
    }

    /// Takes the next head if it is here whole. One that is too large is left
    /// for its turn, in which it is refused.
    fn read_next(&mut self, wire: &mut Wire, limits: &ServerLimits) -> Option<ReadRequest> {
        wire.skip_blank_lines();
        let length = self.search.find_end(wire.unread())?;
        if length > limits.max_head_bytes {
            return None;
        }
        self.search = HeadSearch::default();
        Some(request::take(wire, length, limits.max_body_bytes))
    }

    fn push(&mut self, asked: Asked, answering: F) {
        let number = self.first + self.places.len() as u64;
        self.places.push_back(Place {
            asked,
            response: None,
        });
        let running = self.running.get_or_insert_with(FuturesUnordered::new);
        running.push(Numbered {
            number,
            answering: Box::pin(answering),
        });
    }

    /// Lets the requests go on that can.
    pub(super) fn poll_running(&mut self, context: &mut Context<'_>) {
        let Some(running) = &mut self.running else {
            return;
        };
        while let Poll::Ready(Some(done)) = Pin::new(&mut *running).poll_next(context) {
            let (number, response) = done;
            // All numbers from the first on have a place.
            let Some(place) = self.places.get_mut((number - self.first) as usize) else {
                continue;
            };
            self.held += held_bytes(&response);
            place.response = Some(response);
        }
    }

    /// The answer before the first place has left.
    pub(super) fn next_turn(&mut self) {
        self.without_place = 0;
    }

    /// The answer whose turn it is, once it is there.
    pub(super) fn take_first(&mut self) -> Option<(Asked, Response)> {
        let response = self.places.front_mut()?.response.take()?;
        let place = self.places.pop_front()?;
        self.first += 1;
        self.without_place = 1;
        self.held -= held_bytes(&response);
        if self.places.is_empty() {
            self.running = None;
        }
        Some((place.asked, response))
    }

    /// The request that waited for all before it.
    pub(super) fn take_parked(&mut self) -> Option<ReadRequest> {
        self.parked.take()
    }

    /// Begins no further request: the connection closes after those begun.
    pub(super) fn close(&mut self) {
        self.open = false;
        self.closing = true;
    }

    pub(super) fn is_closing(&self) -> bool {
        self.closing
    }

    /// Requests begun whose answers have not had their turn.
    pub(super) fn len(&self) -> usize {
        self.places.len()
    }
}

/// A body of unknown length is not read before its turn and holds nothing.
fn held_bytes(response: &Response) -> u64 {
    response.len().unwrap_or(0) as u64
}
