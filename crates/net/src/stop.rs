//! A signal that something should stop, given once and seen by all clones.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};

use parking_lot::Mutex;

/// Clonable signal to stop. All clones share one state; it is never unset.
#[derive(Clone, Debug, Default)]
pub struct StopSignal {
    shared: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    stopped: bool,
    next_waiter: u64,
    waiters: std::collections::BTreeMap<u64, Waker>,
}

impl StopSignal {
    /// A signal that is not yet given.
    pub fn new() -> Self {
        Self::default()
    }

    /// Gives the signal and wakes everyone who waits for it.
    pub fn stop(&self) {
        let waiters = {
            let mut state = self.shared.lock();
            state.stopped = true;
            std::mem::take(&mut state.waiters)
        };
        for waker in waiters.into_values() {
            waker.wake();
        }
    }

    /// Whether the signal was given.
    pub fn is_stopped(&self) -> bool {
        self.shared.lock().stopped
    }

    /// Resolves when the signal is given.
    pub fn stopped(&self) -> Stopped {
        let mut state = self.shared.lock();
        let number = state.next_waiter;
        state.next_waiter += 1;
        Stopped {
            shared: self.shared.clone(),
            number,
        }
    }
}

/// Future of [`StopSignal::stopped`].
#[derive(Debug)]
pub struct Stopped {
    shared: Arc<Mutex<State>>,
    number: u64,
}

impl Future for Stopped {
    type Output = ();

    fn poll(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        let mut state = self.shared.lock();
        if state.stopped {
            return Poll::Ready(());
        }
        let waker = context.waker();
        match state.waiters.get_mut(&self.number) {
            Some(known) if known.will_wake(waker) => {}
            Some(known) => known.clone_from(waker),
            None => {
                state.waiters.insert(self.number, waker.clone());
            }
        }
        Poll::Pending
    }
}

impl Drop for Stopped {
    fn drop(&mut self) {
        self.shared.lock().waiters.remove(&self.number);
    }
}
