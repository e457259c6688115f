//! Callers that are slow to take their answers or to go.

use std::future::{Future, poll_fn};
use std::net::Shutdown;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use async_std::net::TcpStream;

use crate::stop::Stopped;
use crate::timer;
use crate::wire::Wire;

/// Longest wait for a caller to take a last answer and close.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// Bytes read and dropped during that wait: above the largest body that callers
/// are known to send (360 KB), of which an early answer leaves the rest unread.
const LINGER_BYTES: usize = 512 * 1024;

/// Closes without losing the last answer: a close with bytes unread would
/// reset the connection, and the answer with it.
pub(super) async fn linger(stream: &TcpStream, mut wire: Wire, cut: &mut Stopped) {
    if stream.shutdown(Shutdown::Write).is_err() {
        return;
    }
    let mut sleep = timer::sleep(LINGER_TIME);
    let mut dropped = 0;
    poll_fn(|context| {
        loop {
            dropped += wire.unread().len();
            wire.consume(wire.unread().len());
            if dropped > LINGER_BYTES {
                return Poll::Ready(());
            }
            match wire.poll_fill(context) {
                Poll::Ready(Ok(0) | Err(_)) => return Poll::Ready(()),
                Poll::Ready(Ok(_)) => {}
                Poll::Pending => break,
            }
        }
        if Pin::new(&mut sleep).poll(context).is_ready() {
            return Poll::Ready(());
        }
        Pin::new(&mut *cut).poll(context)
    })
    .await;
}

/// Notices a caller that takes nothing of its answer for too long.
pub(super) struct WriteProgress {
    allowed: Duration,
    total: u64,
    sleep: Option<timer::Sleep>,
}

impl WriteProgress {
    pub(super) fn new(allowed: Duration) -> Self {
        WriteProgress {
            allowed,
            total: 0,
            sleep: None,
        }
    }

    pub(super) fn poll(&mut self, total: u64, context: &mut Context<'_>) -> Poll<()> {
        if total != self.total {
            self.total = total;
            self.sleep = None;
        }
        let allowed = self.allowed;
        let sleep = self.sleep.get_or_insert_with(|| timer::sleep(allowed));
        Pin::new(sleep).poll(context)
    }
}
