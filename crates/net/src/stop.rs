//! One-shot stop signal shared by all its clones.

use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, Waker};

use parking_lot::Mutex;

/// Stop signal that can be cloned. All clones share one state, and the signal
/// cannot be withdrawn.
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
    /// Creates a signal that has not been given.
    pub fn new() -> Self {
        Self::default()
    }

    /// Gives the signal and wakes all waiters.
    pub fn stop(&self) {
        let wakers = {
            let mut waiters = self.shared.waiters.lock();
            // The flag is set under the lock, so that a waiter either sees it
            // or is in the map taken here.
            self.shared.stopped.store(true, Ordering::Release);
            std::mem::take(&mut waiters.wakers)
        };
        for waker in wakers.into_values() {
            waker.wake();
        }
    }

    /// Whether the signal has been given.
    pub fn is_stopped(&self) -> bool {
        self.shared.stopped.load(Ordering::Acquire)
    }

    /// Returns a future that resolves when the signal is given.
    pub fn stopped(&self) -> Stopped {
        Stopped {
            shared: self.shared.clone(),
            registration: None,
        }
    }
}

/// Future returned by [`StopSignal::stopped`].
///
/// It takes the lock only when it is polled with a different waker, so that a
/// future kept for the lifetime of a connection costs one atomic load per poll.
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
