//! Detects a caller that disconnects while its request is running.

use std::pin::Pin;
use std::task::{Context, Poll};

use futures::channel::oneshot;
use std::future::Future;

use crate::body::{BodyFault, ReleasedConnection};
use crate::buffered_stream::BufferedStream;

/// Maximum number of bytes of further requests that are read while one is
/// running. If a caller sends more, reading stops until its response has been
/// sent.
const MAX_READ_AHEAD: usize = 16 * 1024;

/// Receiving side of a connection while its request is running.
#[derive(Debug)]
pub(super) enum Inbound {
    /// The request has been read completely.
    RequestRead(BufferedStream),
    /// The handler is reading the body.
    ReadingBody(oneshot::Receiver<ReleasedConnection>),
    /// The rest of the body is unread, and no one will read it.
    BodyUnread(BufferedStream),
    /// The body was malformed, too large or too slow. The handler decides on
    /// the response.
    BodyInvalid,
    /// The caller has disconnected.
    Closed,
}

impl Inbound {
    /// Resolves when the caller has disconnected. Bytes that it sent ahead are
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

    /// Takes the connection back for the next request if the body has been read
    /// to its end.
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
