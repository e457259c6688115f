//! Watches whether the caller of a running request is still there.

use std::pin::Pin;
use std::task::{Context, Poll};

use futures::channel::oneshot;
use std::future::Future;

use crate::body::{BodyFault, ReleasedConnection};
use crate::buffered_stream::BufferedStream;

/// Bytes of further requests that are read ahead while one is running. A
/// caller that sends more is read no further until its answer has left.
const MAX_READ_AHEAD: usize = 16 * 1024;

/// The receiving side of a connection while its request is running.
#[derive(Debug)]
pub(super) enum Inbound {
    /// The request has been read whole.
    RequestRead(BufferedStream),
    /// The handler is reading the body.
    ReadingBody(oneshot::Receiver<ReleasedConnection>),
    /// The rest of the body is unread, and nobody will read it.
    BodyUnread(BufferedStream),
    /// The body was malformed, too large or too slow. The handler decides
    /// what to answer.
    BodyInvalid,
    /// The caller is gone.
    Closed,
}

impl Inbound {
    /// Resolves when the caller has hung up. Bytes that it sent ahead are
    /// kept.
    pub(super) fn poll_hang_up(&mut self, context: &mut Context<'_>) -> Poll<()> {
        loop {
            match self {
                Inbound::RequestRead(buffered) => {
                    if buffered.unread().len() >= MAX_READ_AHEAD {
                        return Poll::Pending;
                    }
                    match std::task::ready!(buffered.poll_fill(context)) {
                        Ok(0) | Err(_) => *self = Inbound::Closed,
                        Ok(_) => buffered.record_arrival(),
                    }
                }
                Inbound::ReadingBody(body) => {
                    let released = std::task::ready!(Pin::new(body).poll(context));
                    *self = Inbound::from_released(released.ok());
                }
                Inbound::BodyUnread(_) | Inbound::BodyInvalid => return Poll::Pending,
                Inbound::Closed => return Poll::Ready(()),
            }
        }
    }

    /// Takes the connection for the next request, if the body was read to its
    /// end.
    pub(super) fn reclaim_connection(&mut self) {
        if let Inbound::ReadingBody(body) = self {
            match body.try_recv() {
                Ok(Some(released)) => *self = Inbound::from_released(Some(released)),
                Ok(None) => {}
                Err(_) => *self = Inbound::Closed,
            }
        }
    }

    fn from_released(released: Option<ReleasedConnection>) -> Inbound {
        match released {
            Some(ReleasedConnection::Clean(buffered)) => Inbound::RequestRead(buffered),
            Some(ReleasedConnection::Unfinished(buffered)) => Inbound::BodyUnread(buffered),
            Some(ReleasedConnection::Broken(BodyFault::Truncated)) | None => Inbound::Closed,
            Some(ReleasedConnection::Broken(_)) => Inbound::BodyInvalid,
        }
    }
}
