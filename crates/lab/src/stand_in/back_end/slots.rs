//! Execution slots with a bounded wait queue.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use async_channel::{Receiver, Sender};

/// Execution slots of one back end. Clones share them.
#[derive(Clone, Debug)]
pub struct Slots {
    free: Receiver<()>,
    returned: Sender<()>,
    total: u32,
    queue: u32,
    waiting: Arc<AtomicU32>,
}

/// A slot in use, freed on drop.
#[derive(Debug)]
pub struct SlotGuard {
    returned: Sender<()>,
}

/// Reason why no slot was acquired.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SlotError {
    /// All slots are taken and the queue is full.
    #[error("all slots and the queue are taken; send the request again later")]
    QueueFull,
}

/// Counts a waiter until it is dropped, however its wait ends.
struct Waiter<'a>(&'a AtomicU32);

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        // The channel has capacity for every slot, so sending cannot fail.
        let _ = self.returned.try_send(());
    }
}

impl Slots {
    /// Creates `total` slots with room for `queue` waiters.
    pub fn new(total: u32, queue: u32) -> Self {
        let total = total.max(1);
        let (returned, free) = async_channel::bounded(total as usize);
        for _ in 0..total {
            let _ = returned.try_send(());
        }
        Slots {
            free,
            returned,
            total,
            queue,
            waiting: Arc::new(AtomicU32::new(0)),
        }
    }

    /// Waits for a free slot. Dropping the future leaves the queue.
    ///
    /// # Errors
    ///
    /// Fails at once with [`SlotError::QueueFull`] if the queue is full.
    pub async fn acquire(&self) -> Result<SlotGuard, SlotError> {
        if self.free.try_recv().is_ok() {
            return Ok(self.guard());
        }
        let before = self.waiting.fetch_add(1, Ordering::SeqCst);
        let _waiter = Waiter(&self.waiting);
        if before >= self.queue {
            return Err(SlotError::QueueFull);
        }
        self.free.recv().await.map_err(|_| SlotError::QueueFull)?;
        Ok(self.guard())
    }

    /// Returns the number of slots in use.
    pub fn running(&self) -> u32 {
        self.total - u32::try_from(self.free.len()).unwrap_or(self.total)
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> u32 {
        self.waiting.load(Ordering::SeqCst)
    }

    fn guard(&self) -> SlotGuard {
        SlotGuard {
            returned: self.returned.clone(),
        }
    }
}
