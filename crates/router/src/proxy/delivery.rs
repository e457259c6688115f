//! Forwarding of responses that are still arriving from the back end.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use futures::future::{AbortHandle, abortable};
use futures::io::{AsyncRead, BufReader};
use futures::task::AtomicWaker;
use http_types::Body;
use parking_lot::Mutex;
use threadledge_net::{BodyFault, Instant, timer};
use threadledge_routing::{AttemptEvent, AttemptFailure, AttemptNumber};

use super::exchange::Completion;
use super::stream::PrefixedBody;

/// The body of a streamed response. It reports to the dispatcher how the
/// response ended; if it is dropped before its end, it reports that the caller
/// disconnected.
///
/// A caller receives the whole response or can tell that it did not: a fault
/// of the back end becomes a read error of this body, on which the server
/// closes the connection instead of completing the response.
///
/// The deadline covers the whole response. A separate task enforces it,
/// because the body is not polled while the caller does not read: slot and
/// connection are released at the deadline whatever back end and caller do.
#[derive(Debug)]
pub(super) struct Delivery {
    shared: Arc<Shared>,
    deadline_task: AbortHandle,
}

#[derive(Debug)]
struct Shared {
    /// `None` once the response has ended.
    active: Mutex<Option<ActiveResponse>>,
    ended: Mutex<Ended>,
    reader: AtomicWaker,
}

/// End of a response, which determines the result of later reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ended {
    Complete,
    Truncated,
}

/// A response that is being forwarded. Dropping it closes the connection to
/// the back end unless the body has been read to its end.
#[derive(Debug)]
struct ActiveResponse {
    body: PrefixedBody,
    remaining: Option<u64>,
    attempt: AttemptNumber,
    completion: Completion,
}

impl Delivery {
    /// Returns the body for the caller's response. Reading it fails once
    /// `deadline` has passed.
    pub(super) fn start(
        body: PrefixedBody,
        length: Option<usize>,
        attempt: AttemptNumber,
        completion: Completion,
        deadline: Instant,
    ) -> Body {
        let shared = Arc::new(Shared {
            active: Mutex::new(Some(ActiveResponse {
                body,
                remaining: length.map(|length| length as u64),
                attempt,
                completion,
            })),
            ended: Mutex::new(Ended::Truncated),
            reader: AtomicWaker::new(),
        });
        let task_shared = shared.clone();
        let (enforce_deadline, deadline_task) = abortable(async move {
            timer::sleep_until(deadline).await;
            task_shared.end_at_deadline();
        });
        async_std::task::spawn(enforce_deadline);
        let delivery = Delivery {
            shared,
            deadline_task,
        };
        Body::from_reader(BufReader::new(delivery), length)
    }
}

impl Drop for Delivery {
    fn drop(&mut self) {
        self.deadline_task.abort();
        drop(self.shared.active.lock().take());
    }
}

impl Shared {
    fn end_at_deadline(&self) {
        let Some(active) = self.active.lock().take() else {
            return;
        };
        active.completion.complete_at_deadline();
        drop(active.body);
        self.reader.wake();
    }

    /// Reads the next bytes. The response ends with its last byte, an empty read
    /// or a read error.
    fn poll_read(&self, context: &mut Context<'_>, buffer: &mut [u8]) -> Poll<io::Result<usize>> {
        self.reader.register(context.waker());
        let mut slot = self.active.lock();
        let Some(active) = slot.as_mut() else {
            return Poll::Ready(self.read_after_end());
        };
        let read = ready!(Pin::new(&mut active.body).poll_read(context, buffer));
        let event = match &read {
            Ok(0) => Some(AttemptEvent::Completed),
            // A reader that knows the length does not read again after the last
            // byte.
            Ok(count) => active
                .count_forwarded(*count)
                .then_some(AttemptEvent::Completed),
            Err(error) => Some(AttemptEvent::Failed(failure(error))),
        };
        let ended = event.and_then(|event| Some((event, slot.take()?)));
        drop(slot);
        if let Some((event, active)) = ended {
            if event == AttemptEvent::Completed {
                *self.ended.lock() = Ended::Complete;
            }
            active.completion.complete(active.attempt, event);
        }
        Poll::Ready(read)
    }

    fn read_after_end(&self) -> io::Result<usize> {
        match *self.ended.lock() {
            Ended::Complete => Ok(0),
            Ended::Truncated => Err(io::Error::new(io::ErrorKind::TimedOut, BodyFault::TooSlow)),
        }
    }
}

impl ActiveResponse {
    /// Subtracts forwarded bytes from the remaining length. Returns whether they
    /// were the last.
    fn count_forwarded(&mut self, count: usize) -> bool {
        let Some(remaining) = &mut self.remaining else {
            return false;
        };
        *remaining = remaining.saturating_sub(count as u64);
        *remaining == 0
    }
}

fn failure(error: &io::Error) -> AttemptFailure {
    match BodyFault::from_io_error(error) {
        Some(BodyFault::Truncated | BodyFault::Malformed(_) | BodyFault::TooLarge) => {
            AttemptFailure::BadAnswer
        }
        Some(BodyFault::TooSlow) | None => AttemptFailure::ConnectionLost,
    }
}

impl AsyncRead for Delivery {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        self.shared.poll_read(context, buffer)
    }
}
