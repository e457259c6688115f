//! Handling of callers that are slow to read their responses or to close.

use std::future::{Future, poll_fn};
use std::net::Shutdown;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use async_std::net::TcpStream;

use crate::buffered_stream::BufferedStream;
use crate::stop::Stopped;
use crate::timer;

/// Maximum wait for a caller to read its last response and close.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of bytes read and discarded during that wait. Above the
/// largest body that callers are known to send (360 KB), because an early
/// response leaves the rest of the body unread.
const MAX_LINGER_BYTES: usize = 512 * 1024;

/// Closes the connection without losing the last response: closing with unread
/// bytes would reset the connection and discard the response.
pub(super) async fn linger(stream: &TcpStream, mut buffered: BufferedStream, abort: &mut Stopped) {
    if stream.shutdown(Shutdown::Write).is_err() {
        return;
    }
    let mut sleep = timer::sleep(LINGER_TIMEOUT);
    let mut discarded = 0;
    poll_fn(|context| {
        loop {
            discarded += buffered.unread().len();
            buffered.consume(buffered.unread().len());
            if discarded > MAX_LINGER_BYTES {
                return Poll::Ready(());
            }
            match buffered.poll_fill(context) {
                Poll::Ready(Ok(0) | Err(_)) => return Poll::Ready(()),
                Poll::Ready(Ok(_)) => {}
                Poll::Pending => break,
            }
        }
        if Pin::new(&mut sleep).poll(context).is_ready() {
            return Poll::Ready(());
        }
        Pin::new(&mut *abort).poll(context)
    })
    .await;
}

/// Detects a caller that reads nothing of its response for too long.
pub(super) struct WriteStallTimer {
    timeout: Duration,
    bytes_sent: u64,
    sleep: Option<timer::Sleep>,
}

impl WriteStallTimer {
    pub(super) fn new(timeout: Duration) -> Self {
        WriteStallTimer {
            timeout,
            bytes_sent: 0,
            sleep: None,
        }
    }

    pub(super) fn poll(&mut self, bytes_sent: u64, context: &mut Context<'_>) -> Poll<()> {
        if bytes_sent != self.bytes_sent {
            self.bytes_sent = bytes_sent;
            self.sleep = None;
        }
        let timeout = self.timeout;
        let sleep = self.sleep.get_or_insert_with(|| timer::sleep(timeout));
        Pin::new(sleep).poll(context)
    }
}
