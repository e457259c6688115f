//! One request and its response on one connection.

use std::future::poll_fn;
use std::task::{Context, Poll};

use futures::task::noop_waker_ref;
use http_types::{Body, Method, Request, Response};

use super::error::{ExchangeFault, Stage};
use super::pairing::{Pairing, PassedOver, Unpaired, Verdict};
use super::request_encoder::RequestEncoder;
use super::response::{self, ResponseHead};
use super::{PoolSettings, UnframedBodies};
use crate::body::{BodyDeadline, BodyReader, ReleasedConnection};
use crate::buffered_stream::BufferedStream;
use crate::framing::{BodyDecoder, DecodeStep};
use crate::head::{HeadError, HeadSearch};
use crate::message::Message;
use crate::message_writer::{MessageWriter, SendFault};

/// Maximum number of interim responses before the final one.
const MAX_INTERIM: usize = 8;
/// Maximum number of repeated responses before the final one.
const MAX_PASSED_OVER: usize = 1;
/// Maximum size of the body of a repeated response, in bytes.
const MAX_PASSED_OVER_BYTES: u64 = 64 * 1024;

/// Returns an idle connection if the peer has neither closed it nor sent
/// anything: unsolicited bytes belong to an earlier exchange.
pub(super) fn verify_idle(mut buffered: BufferedStream) -> Option<BufferedStream> {
    let mut context = Context::from_waker(noop_waker_ref());
    let silent = buffered.unread().is_empty() && buffered.poll_fill(&mut context).is_pending();
    silent.then_some(buffered)
}

/// State of one exchange until its response head has been read.
pub(super) struct Exchange {
    method: Method,
    writer: MessageWriter<RequestEncoder>,
    whole_request_sent: bool,
    buffered: BufferedStream,
    pairing: Pairing,
    /// Whether the response named no request although it had to.
    nameless: bool,
    /// Repeated responses to earlier requests that were read and discarded.
    passed_over: usize,
    max_head_bytes: usize,
    unframed_bodies: UnframedBodies,
    stage: Stage,
}

impl Exchange {
    pub(super) fn new(
        request: Request,
        buffered: BufferedStream,
        pairing: Pairing,
        settings: &PoolSettings,
    ) -> Self {
        Exchange {
            method: request.method(),
            writer: MessageWriter::new(RequestEncoder::new(request)),
            whole_request_sent: false,
            buffered,
            pairing,
            nameless: false,
            passed_over: 0,
            max_head_bytes: settings.max_head_bytes,
            unframed_bodies: settings.unframed_bodies,
            stage: Stage::NothingSent,
        }
    }

    /// Returns the progress of the exchange.
    pub(super) fn stage(&self) -> Stage {
        self.stage
    }

    /// Whether the response named no request although it had to.
    pub(super) fn is_nameless(&self) -> bool {
        self.nameless
    }

    /// Sends the request and reads the response head. A response that arrives
    /// before the whole request was sent ends the sending.
    ///
    /// Invariant: a response is passed on only if it names the request, or if
    /// nothing else was sent on the connection.
    pub(super) async fn run(&mut self) -> Result<ResponseHead, ExchangeFault> {
        for _ in 0..=MAX_INTERIM + MAX_PASSED_OVER {
            let mut search = HeadSearch::default();
            let length = poll_fn(|context| self.poll_head(&mut search, context)).await?;
            let bytes = &self.buffered.unread()[..length];
            let mut head = response::parse(bytes, self.method, self.unframed_bodies)?;
            if head.is_interim() {
                self.buffered.consume(length);
                continue;
            }
            match self.pairing.judge(&head.response) {
                Verdict::Due => {}
                Verdict::DueWithoutId => {
                    self.nameless = self.pairing.request.is_some();
                    head.closes = true;
                }
                Verdict::Repeated => {
                    // Its framing is that of the request that it answers.
                    let repeated = response::parse(bytes, Method::Get, UnframedBodies::Refuse)?;
                    self.buffered.consume(length);
                    // Boxed: this rare step takes no room in other exchanges.
                    Box::pin(self.pass_over(repeated)).await?;
                    continue;
                }
                Verdict::Unpaired(unpaired) => {
                    self.nameless = unpaired == Unpaired::NoRequest;
                    return Err(unpaired.into());
                }
            }
            self.buffered.consume(length);
            return Ok(head);
        }
        let detail = "more interim responses than allowed";
        Err(ExchangeFault::Malformed(detail.to_owned()))
    }

    /// Reads the rest of a repeated response to an earlier request, whose head
    /// was read, and discards it: the response that is due follows.
    async fn pass_over(&mut self, repeated: ResponseHead) -> Result<(), ExchangeFault> {
        if repeated.closes || self.passed_over == MAX_PASSED_OVER {
            return Err(Unpaired::Repeated.into());
        }
        self.passed_over += 1;
        if let Some(mut decoder) = repeated.body {
            let mut left = MAX_PASSED_OVER_BYTES;
            poll_fn(|context| self.poll_discard(&mut decoder, &mut left, context)).await?;
        }
        // Nothing has been received of the response that is due.
        self.stage = Stage::Sent;
        Ok(())
    }

    /// Sends more of the request and discards more of a body, at most `left`
    /// bytes. Resolves at the end of the body.
    fn poll_discard(
        &mut self,
        decoder: &mut BodyDecoder,
        left: &mut u64,
        context: &mut Context<'_>,
    ) -> Poll<Result<(), ExchangeFault>> {
        if let Poll::Ready(fault) = self.poll_send(context) {
            return Poll::Ready(Err(fault));
        }
        loop {
            let step = decoder.next(self.buffered.unread());
            match step.map_err(|fault| ExchangeFault::Malformed(fault.to_string()))? {
                DecodeStep::End => return Poll::Ready(Ok(())),
                DecodeStep::Framing(count) => self.buffered.consume(count),
                DecodeStep::Data(count) if count as u64 > *left => {
                    return Poll::Ready(Err(Unpaired::Repeated.into()));
                }
                DecodeStep::Data(count) => {
                    *left -= count as u64;
                    self.buffered.consume(count);
                    decoder.consume(count);
                }
                DecodeStep::NeedMore => {
                    if std::task::ready!(self.buffered.poll_fill(context))? == 0 {
                        return Poll::Ready(Err(ExchangeFault::Truncated));
                    }
                }
            }
        }
    }

    /// Sends more of the request and reads more of the response. Resolves to
    /// the length of a complete head.
    fn poll_head(
        &mut self,
        search: &mut HeadSearch,
        context: &mut Context<'_>,
    ) -> Poll<Result<usize, ExchangeFault>> {
        if let Poll::Ready(fault) = self.poll_send(context) {
            return Poll::Ready(Err(fault));
        }
        if self.stage == Stage::NothingSent {
            return Poll::Pending;
        }
        let found = search.poll(&mut self.buffered, self.max_head_bytes, context);
        if !self.buffered.unread().is_empty() {
            self.stage = Stage::ResponseHead;
        }
        match std::task::ready!(found) {
            Ok(length) => Poll::Ready(Ok(length)),
            Err(error) => Poll::Ready(Err(fault_from_head_error(error))),
        }
    }

    /// Continues to send the request. Resolves only with a fault that ends the
    /// exchange: if the connection fails after part of the request was sent, a
    /// response may still be readable.
    fn poll_send(&mut self, context: &mut Context<'_>) -> Poll<ExchangeFault> {
        if self.whole_request_sent || self.buffered.has_write_error() {
            return Poll::Pending;
        }
        let sent = self.writer.poll_send(self.buffered.stream(), context);
        if self.writer.any_written() {
            self.stage = self.stage.max(Stage::Sent);
        }
        match std::task::ready!(sent) {
            Ok(()) => self.whole_request_sent = true,
            Err(SendFault::Source(error)) => {
                return Poll::Ready(ExchangeFault::RequestBody(error));
            }
            Err(SendFault::Stream(error)) if self.stage == Stage::NothingSent => {
                return Poll::Ready(ExchangeFault::Io(error));
            }
            Err(SendFault::Stream(error)) => self.buffered.record_write_error(&error),
        }
        Poll::Pending
    }

    /// Attaches the body to the response. `on_release` gets the connection if
    /// it can be reused, and `None` otherwise.
    pub(super) fn into_response(
        self,
        head: ResponseHead,
        body_deadline: BodyDeadline,
        on_release: impl FnOnce(Option<BufferedStream>) + Send + Sync + 'static,
    ) -> Response {
        let ResponseHead {
            mut response,
            body,
            length,
            closes,
        } = head;
        let reusable = self.whole_request_sent && !closes && self.passed_over == 0;
        if self.passed_over > 0 {
            response.ext_mut().insert(PassedOver(self.passed_over));
        }
        let finish = move |released| match released {
            ReleasedConnection::Clean(buffered) if reusable && buffered.unread().is_empty() => {
                on_release(Some(buffered));
            }
            ReleasedConnection::Clean(_)
            | ReleasedConnection::Unfinished(_)
            | ReleasedConnection::Broken(_) => on_release(None),
        };
        match body {
            Some(decoder) => {
                let reader = BodyReader::new(
                    self.buffered,
                    decoder,
                    u64::MAX,
                    body_deadline,
                    Box::new(finish),
                );
                response.replace_body_keeping_headers(Body::from_reader(reader, length));
            }
            None => {
                finish(ReleasedConnection::Clean(self.buffered));
                let empty = futures::io::empty();
                response.replace_body_keeping_headers(Body::from_reader(empty, length));
            }
        }
        response
    }
}

fn fault_from_head_error(error: HeadError) -> ExchangeFault {
    match error {
        HeadError::TooLarge => {
            ExchangeFault::Malformed("the head is larger than allowed".to_owned())
        }
        HeadError::Io(error) => ExchangeFault::Io(error),
        HeadError::Closed | HeadError::Truncated => ExchangeFault::Truncated,
    }
}
