//! A signal that something should stop, given once and seen by all clones.

use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, Waker};

use parking_lot::Mutex;

/// Clonable signal to stop. All clones share one state; it is never unset.
#[derive(Clone, Debug, Default)]
pub struct StopSignal {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    stopped: AtomicBool,
    waiters: Mutex<Waiters>,
}

#[derive(Debug, Default)]
struct Waiters {
    next_number: u64,
    wakers: BTreeMap<u64, Waker>,
}

impl StopSignal {
    /// A signal that is not yet given.
    pub fn new() -> Self {
        Self::default()
    }

    /// Gives the signal and wakes everyone who waits for it.
    pub fn stop(&self) {
        let wakers = {
            let mut waiters = self.shared.waiters.lock();
            // Set under the lock, so that a waiter either sees the flag or is
            // in the map taken here.
            self.shared.stopped.store(true, Ordering::Release);
            std::mem::take(&mut waiters.wakers)
        };
        for waker in wakers.into_values() {
            waker.wake();
        }
    }

    /// Whether the signal was given.
    pub fn is_stopped(&self) -> bool {
        self.shared.stopped.load(Ordering::Acquire)
    }

    /// Resolves when the signal is given.
    pub fn stopped(&self) -> Stopped {
        Stopped {
            shared: self.shared.clone(),
            registration: None,
        }
    }
}

/// Future of [`StopSignal::stopped`].
///
/// It takes the lock only when it is polled with another waker than before,
/// so that one kept for the life of a connection costs one atomic load a poll.
#[derive(Debug)]
pub struct Stopped {
    shared: Arc<Shared>,
    registration: Option<Registration>,
}

#[derive(Debug)]
struct Registration {
    number: u64,
    waker: Waker,
}

impl Future for Stopped {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        if self.shared.stopped.load(Ordering::Acquire) {
            return Poll::Ready(());
        }
        let waker = context.waker();
        match &self.registration {
            Some(registration) if registration.waker.will_wake(waker) => Poll::Pending,
            _ => self.register(waker),
        }
    }
}

impl Stopped {
    fn register(&mut self, waker: &Waker) -> Poll<()> {
        let shared = self.shared.clone();
        let mut waiters = shared.waiters.lock();
        if shared.stopped.load(Ordering::Acquire) {
            return Poll::Ready(());
        }
        let number = match &self.registration {
            Some(registration) => registration.number,
            None => {
                waiters.next_number += 1;
                waiters.next_number
            }
        };
        waiters.wakers.insert(number, waker.clone());
        self.registration = Some(Registration {
            number,
            waker: waker.clone(),
        });
        Poll::Pending
    }
}

impl Drop for Stopped {
    fn drop(&mut self) {
        if let Some(registration) = &self.registration {
            self.shared
                .waiters
                .lock()
                .wakers
                .remove(&registration.number);
        }
    }
}
