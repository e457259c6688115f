//! Reads response bodies whole, within limits of bytes and time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::sync::{Mutex, MutexGuard};
use futures::io::AsyncReadExt;
use http_types::Body;

use crate::Instant;
use crate::client_error::ClientError;
use crate::pool::PoolSettings;
use crate::timer;

/// Largest read buffer.
const PART_BYTES: usize = 16 * 1024;

/// Time for a body.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TimeLimits {
    /// Longest time without receiving a byte, if there is a limit of its own.
    pub(crate) idle: Option<Duration>,
    /// End of the time for the whole body.
    pub(crate) deadline: Instant,
}

impl TimeLimits {
    fn next_deadline(&self) -> Instant {
        let idle = self.idle.map(|idle| Instant::now() + idle);
        idle.map_or(self.deadline, |idle| idle.min(self.deadline))
    }
}

/// Reads bodies whole. Clones share the buffer of large bodies.
#[derive(Clone, Debug)]
pub(crate) struct WholeBodies {
    max_bytes: u64,
    large_bytes: u64,
    /// Buffer of the body that is larger than `large_bytes`. Only one is read at
    /// a time, and the buffer outlives one that fails: the allocator would keep
    /// the memory of many, one for each thread.
    large: Arc<Mutex<Vec<u8>>>,
}

impl WholeBodies {
    pub(crate) fn new(settings: &PoolSettings) -> Self {
        WholeBodies {
            max_bytes: settings.max_body_bytes,
            large_bytes: settings.large_body_bytes,
            large: Arc::default(),
        }
    }

    /// The limit of a body, in bytes.
    pub(crate) fn max_bytes(&self) -> u64 {
        self.max_bytes
    }

    /// Reads a body to its end. Invariant: of all bodies, at most one takes more
    /// than `large_bytes` of memory while it is read.
    pub(crate) async fn read(
        &self,
        from: SocketAddr,
        mut body: Body,
        limits: TimeLimits,
    ) -> Result<Vec<u8>, ClientError> {
        self.check_announced(from, &body)?;
        let part_bytes = body.len().unwrap_or(PART_BYTES).clamp(1, PART_BYTES);
        let mut large: Option<MutexGuard<'_, Vec<u8>>> = None;
        let mut bytes = Vec::new();
        let mut part = vec![0; part_bytes];
        loop {
            let reading = body.read(&mut part);
            let read = match timer::timeout_at(limits.next_deadline(), reading).await {
                Err(timer::Elapsed) => return Err(ClientError::timed_out(from)),
                Ok(Err(error)) => return Err(ClientError::from_body(from, error)),
                Ok(Ok(read)) => read,
            };
            if read == 0 {
                return Ok(large.map_or(bytes, |mut large| std::mem::take(&mut large)));
            }
            let received = large.as_ref().map_or(bytes.len(), |large| large.len());
            let length = (received + read) as u64;
            if length > self.max_bytes {
                return Err(self.too_large(from));
            }
            if length > self.large_bytes && large.is_none() {
                let mut buffer = self.take_large(from, limits.deadline).await?;
                buffer.clear();
                buffer.extend(std::mem::take(&mut bytes));
                large = Some(buffer);
            }
            let buffer = large.as_deref_mut().unwrap_or(&mut bytes);
            buffer.extend_from_slice(&part[..read]);
        }
    }

    /// Waits until no other body is large.
    async fn take_large(
        &self,
        from: SocketAddr,
        deadline: Instant,
    ) -> Result<MutexGuard<'_, Vec<u8>>, ClientError> {
        let large = timer::timeout_at(deadline, self.large.lock()).await;
        large.map_err(|timer::Elapsed| ClientError::timed_out(from))
    }

    /// Refuses a body whose head has announced more than the limit.
    fn check_announced(&self, from: SocketAddr, body: &Body) -> Result<(), ClientError> {
        let announced = body.len().unwrap_or_default() as u64;
        if announced > self.max_bytes {
            return Err(self.too_large(from));
        }
        Ok(())
    }

    fn too_large(&self, address: SocketAddr) -> ClientError {
        ClientError::ResponseTooLarge {
            address,
            limit: self.max_bytes,
        }
    }
}
