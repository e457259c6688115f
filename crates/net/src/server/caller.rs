//! Watches whether the caller of a running request is still there.

use std::pin::Pin;
use std::task::{Context, Poll};

use futures::channel::oneshot;
use std::future::Future;

use crate::body::{BodyFault, Returned};
use crate::wire::Wire;

/// Bytes of further requests that are read ahead while one is running. A
/// caller that sends more is read no further until its answer has left.
const READ_AHEAD: usize = 16 * 1024;

/// The receiving side of a connection while its request is running.
#[derive(Debug)]
pub(super) enum Caller {
    /// The request has been read whole.
    Listening(Wire),
    /// The handler is reading the body.
    Sending(oneshot::Receiver<Returned>),
    /// The rest of the body is unread, and nobody will read it.
    Unfinished(Wire),
    /// The body was malformed, too large or too slow. The handler decides
    /// what to answer.
    Misframed,
    /// The caller is gone.
    Gone,
}

impl Caller {
    /// Resolves when the caller has hung up. Bytes that it sent ahead are
    /// kept.
    pub(super) fn poll_hang_up(&mut self, context: &mut Context<'_>) -> Poll<()> {
        loop {
            match self {
                Caller::Listening(wire) => {
                    if wire.unread().len() >= READ_AHEAD {
                        return Poll::Pending;
                    }
                    match std::task::ready!(wire.poll_fill(context)) {
                        Ok(0) | Err(_) => *self = Caller::Gone,
                        Ok(_) => wire.note_arrival(),
                    }
                }
                Caller::Sending(body) => {
                    let returned = std::task::ready!(Pin::new(body).poll(context));
                    *self = Caller::after_body(returned.ok());
                }
                Caller::Unfinished(_) | Caller::Misframed => return Poll::Pending,
                Caller::Gone => return Poll::Ready(()),
            }
        }
    }

    /// Takes the connection for the next request, if the body was read to its
    /// end.
    pub(super) fn settle(&mut self) {
        if let Caller::Sending(body) = self {
            match body.try_recv() {
                Ok(Some(returned)) => *self = Caller::after_body(Some(returned)),
                Ok(None) => {}
                Err(_) => *self = Caller::Gone,
            }
        }
    }

    fn after_body(returned: Option<Returned>) -> Caller {
        match returned {
            Some(Returned::Clean(wire)) => Caller::Listening(wire),
            Some(Returned::Unfinished(wire)) => Caller::Unfinished(wire),
            Some(Returned::Broken(BodyFault::Truncated)) | None => Caller::Gone,
            Some(Returned::Broken(_)) => Caller::Misframed,
        }
    }
}
