//! Answers on their way to the caller while their end is still to come.

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

use super::exchange::Conclusion;
use super::stream::PrefixedBody;

/// An answer on its way to the caller. It tells the dispatcher how it ended;
/// one that is dropped before its end tells that the caller is gone.
///
/// Each caller gets its whole answer or sees that it did not: a fault of the
/// back end becomes a fault of this body, at which the server breaks the
/// connection off instead of ending the answer.
///
/// The deadline holds for the whole answer. A task of its own watches it,
/// because nobody reads the body while the caller takes nothing of it: slot
/// and connection are free at the deadline whatever back end and caller do.
#[derive(Debug)]
pub(super) struct Delivery {
    shared: Arc<Shared>,
    watch: AbortHandle,
}

#[derive(Debug)]
struct Shared {
    /// `None` once the answer has ended.
    passing: Mutex<Option<Passing>>,
    ended: Mutex<Ended>,
    reader: AtomicWaker,
}

/// How reading goes on after the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ended {
    Whole,
    Cut,
}

/// What is passed on. Dropping it closes the connection to the back end
/// unless the body has been read to its end.
#[derive(Debug)]
struct Passing {
    body: PrefixedBody,
    left: Option<u64>,
    attempt: AttemptNumber,
    conclusion: Conclusion,
}

impl Delivery {
    /// The body for the caller's answer. It breaks off at `deadline`.
    pub(super) fn start(
        body: PrefixedBody,
        length: Option<usize>,
        attempt: AttemptNumber,
        conclusion: Conclusion,
        deadline: Instant,
    ) -> Body {
        let shared = Arc::new(Shared {
            passing: Mutex::new(Some(Passing {
                body,
                left: length.map(|length| length as u64),
                attempt,
                conclusion,
            })),
            ended: Mutex::new(Ended::Cut),
            reader: AtomicWaker::new(),
        });
        let watched = shared.clone();
        let (watching, watch) = abortable(async move {
            timer::sleep_until(deadline).await;
            watched.end_at_deadline();
        });
        async_std::task::spawn(watching);
        let delivery = Delivery { shared, watch };
        Body::from_reader(BufReader::new(delivery), length)
    }
}

impl Drop for Delivery {
    fn drop(&mut self) {
        self.watch.abort();
        drop(self.shared.passing.lock().take());
    }
}

impl Shared {
    fn end_at_deadline(&self) {
        let Some(passing) = self.passing.lock().take() else {
            return;
        };
        passing.conclusion.conclude_at_deadline();
        drop(passing.body);
        self.reader.wake();
    }

    /// Reads on. The answer ends with its last byte, with an empty read or
    /// with a fault.
    fn poll_read(&self, context: &mut Context<'_>, buffer: &mut [u8]) -> Poll<io::Result<usize>> {
        self.reader.register(context.waker());
        let mut slot = self.passing.lock();
        let Some(passing) = slot.as_mut() else {
            return Poll::Ready(self.read_after_end());
        };
        let read = ready!(Pin::new(&mut passing.body).poll_read(context, buffer));
        let event = match &read {
            Ok(0) => Some(AttemptEvent::Completed),
            // A reader that knows the length does not ask once more.
            Ok(count) => passing.take(*count).then_some(AttemptEvent::Completed),
            Err(error) => Some(AttemptEvent::Failed(failure(error))),
        };
        let ended = event.and_then(|event| Some((event, slot.take()?)));
        drop(slot);
        if let Some((event, passing)) = ended {
            if event == AttemptEvent::Completed {
                *self.ended.lock() = Ended::Whole;
            }
            passing.conclusion.conclude(passing.attempt, event);
        }
        Poll::Ready(read)
    }

    fn read_after_end(&self) -> io::Result<usize> {
        match *self.ended.lock() {
            Ended::Whole => Ok(0),
            Ended::Cut => Err(io::Error::new(io::ErrorKind::TimedOut, BodyFault::TooSlow)),
        }
    }
}

impl Passing {
    /// Counts bytes that were passed on; says whether they were the last.
    fn take(&mut self, count: usize) -> bool {
        let Some(left) = &mut self.left else {
            return false;
        };
        *left = left.saturating_sub(count as u64);
        *left == 0
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
