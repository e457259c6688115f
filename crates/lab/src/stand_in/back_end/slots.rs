//! Slots and the bounded queue before them.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use async_channel::{Receiver, Sender};

/// Slots of one back end. Clones share them.
#[derive(Clone, Debug)]
pub struct Slots {
    free: Receiver<()>,
    returned: Sender<()>,
    total: u32,
    queue: u32,
    waiting: Arc<AtomicU32>,
}

/// One slot in use; dropping it frees the slot.
#[derive(Debug)]
pub struct SlotGuard {
    returned: Sender<()>,
}

/// No slot was given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SlotRefusal {
    /// All slots are taken and the queue is full.
    #[error("all slots and the queue are taken; send the request again later")]
    QueueFull,
}

/// Counts one waiter for as long as it lives, however its wait ends.
struct Waiter<'a>(&'a AtomicU32);

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        // The channel holds as many as there are slots, so there is room.
        let _ = self.returned.try_send(());
    }
}

impl Slots {
    /// `total` slots with room for `queue` waiters.
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

    /// Waits for a slot. Dropping the future leaves the queue.
    ///
    /// # Errors
    ///
    /// [`SlotRefusal::QueueFull`] at once when the queue is full.
    pub async fn acquire(&self) -> Result<SlotGuard, SlotRefusal> {
        if self.free.try_recv().is_ok() {
            return Ok(self.guard());
        }
        let before = self.waiting.fetch_add(1, Ordering::SeqCst);
        let _waiter = Waiter(&self.waiting);
        if before >= self.queue {
            return Err(SlotRefusal::QueueFull);
        }
        self.free.recv().await.map_err(|_| SlotRefusal::QueueFull)?;
        Ok(self.guard())
    }

    /// Slots in use.
    pub fn running(&self) -> u32 {
        self.total - u32::try_from(self.free.len()).unwrap_or(self.total)
    }

    /// Requests waiting.
    pub fn waiting(&self) -> u32 {
        self.waiting.load(Ordering::SeqCst)
    }

    fn guard(&self) -> SlotGuard {
        SlotGuard {
            returned: self.returned.clone(),
        }
    }
}
