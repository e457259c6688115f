//! Timers that are cheap to start and to drop.
//!
//! An async-std timer wakes the reactor thread with a system call on its first
//! poll. Nearly all timeouts here are dropped before they expire, several per
//! request. They therefore share one queue, and its driver is woken only when
//! the earliest deadline moves forward.

use std::collections::BTreeMap;
use std::future::{Future, poll_fn};
use std::pin::{Pin, pin};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use parking_lot::Mutex;

use crate::Instant;

/// Longest time that the driver sleeps before it checks the queue again. Its
/// own timer stands still while the machine is suspended; timers that expired
/// in the meantime are found when the next timer starts, and at the latest this
/// long after the suspension.
const MAX_DRIVER_SLEEP: Duration = Duration::from_millis(500);

/// The timeout expired first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the timeout expired; allow more time or find out what is slow")]
pub struct Elapsed;

/// Returns a future that resolves at `deadline`.
pub fn sleep_until(deadline: Instant) -> Sleep {
    Sleep {
        deadline,
        registration: None,
    }
}

/// Returns a future that resolves after `duration`.
pub fn sleep(duration: Duration) -> Sleep {
    sleep_until(Instant::now() + duration)
}

/// Runs `future` until it completes or `deadline` is reached.
pub async fn timeout_at<F: Future>(deadline: Instant, future: F) -> Result<F::Output, Elapsed> {
    let mut future = pin!(future);
    let mut sleep = sleep_until(deadline);
    poll_fn(|context| {
        if let Poll::Ready(output) = future.as_mut().poll(context) {
            return Poll::Ready(Ok(output));
        }
        Pin::new(&mut sleep).poll(context).map(|()| Err(Elapsed))
    })
    .await
}

/// Runs `future` until it completes or `duration` has passed.
pub async fn timeout<F: Future>(duration: Duration, future: F) -> Result<F::Output, Elapsed> {
    timeout_at(Instant::now() + duration, future).await
}

/// Future returned by [`sleep_until`].
#[derive(Debug)]
pub struct Sleep {
    deadline: Instant,
    registration: Option<(TimerKey, Waker)>,
}

impl Sleep {
    /// Time at which the future resolves.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        if Instant::now() >= self.deadline {
            return Poll::Ready(());
        }
        let waker = context.waker();
        match &self.registration {
            Some((key, registered)) if !registered.will_wake(waker) => {
                queue().set_waker(*key, waker)
            }
            Some((key, _)) if queue().contains(*key) => return Poll::Pending,
            _ => {
                let key = queue().insert(self.deadline, waker);
                self.registration = Some((key, waker.clone()));
                return Poll::Pending;
            }
        }
        if let Some((_, registered)) = &mut self.registration {
            registered.clone_from(waker);
        }
        Poll::Pending
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        if let Some((key, _)) = &self.registration {
            queue().remove(*key);
        }
    }
}

/// Key that orders timers by deadline; the number makes it unique.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TimerKey {
    deadline: Instant,
    number: u64,
}

/// Queue of all pending timers of the process.
#[derive(Debug, Default)]
struct TimerQueue {
    next_number: AtomicU64,
    state: Mutex<TimerState>,
}

/// Pending timers and the state of the driver.
#[derive(Debug, Default)]
struct TimerState {
    waiting: BTreeMap<TimerKey, Waker>,
    /// Time at which the driver checks the queue next; `None` while it is
    /// checking.
    driver_wakes: Option<Instant>,
    driver: Option<Waker>,
}

/// Returns the queue, and starts its driver on first use.
fn queue() -> &'static TimerQueue {
    static QUEUE: OnceLock<TimerQueue> = OnceLock::new();
    static DRIVER: OnceLock<()> = OnceLock::new();
    let queue = QUEUE.get_or_init(TimerQueue::default);
    DRIVER.get_or_init(|| {
        async_std::task::spawn(drive(queue));
    });
    queue
}

impl TimerQueue {
    fn insert(&self, deadline: Instant, waker: &Waker) -> TimerKey {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let key = TimerKey { deadline, number };
        self.set_waker(key, waker);
        key
    }

    /// Stores the waker of a timer, and wakes the driver if it would otherwise
    /// check the queue too late.
    fn set_waker(&self, key: TimerKey, waker: &Waker) {
        let mut state = self.state.lock();
        state.waiting.insert(key, waker.clone());
        // The second condition holds after the machine was suspended while the
        // driver slept.
        let wake_driver = state
            .driver_wakes
            .is_some_and(|at| key.deadline < at || at < Instant::now());
        let driver = if wake_driver {
            state.driver.take()
        } else {
            None
        };
        drop(state);
        if let Some(driver) = driver {
            driver.wake();
        }
    }

    fn contains(&self, key: TimerKey) -> bool {
        self.state.lock().waiting.contains_key(&key)
    }

    fn remove(&self, key: TimerKey) {
        self.state.lock().waiting.remove(&key);
    }

    /// Removes and returns the wakers of all expired timers.
    fn take_due(&self, now: Instant) -> Vec<Waker> {
        let mut state = self.state.lock();
        let mut due = Vec::new();
        while let Some(entry) = state.waiting.first_entry() {
            if entry.key().deadline > now {
                break;
            }
            due.push(entry.remove());
        }
        state.driver_wakes = None;
        due
    }

    /// Records when the driver checks the queue next and the waker that wakes
    /// it earlier. Returns that time.
    fn park_driver(&self, waker: &Waker) -> Instant {
        let mut state = self.state.lock();
        let earliest = state.waiting.keys().next().map(|key| key.deadline);
        let latest = Instant::now() + MAX_DRIVER_SLEEP;
        let wakes = earliest.map_or(latest, |earliest| earliest.min(latest));
        state.driver_wakes = Some(wakes);
        state.driver = Some(waker.clone());
        wakes
    }
}

/// Wakes expired timers, forever.
async fn drive(queue: &'static TimerQueue) {
    loop {
        for waker in queue.take_due(Instant::now()) {
            waker.wake();
        }
        wait_for_next(queue).await;
    }
}

/// Waits until the earliest timer expires or an earlier one is added.
async fn wait_for_next(queue: &'static TimerQueue) {
    let mut pause: Option<Pin<Box<dyn Future<Output = ()> + Send>>> = None;
    let mut parked_until = None;
    poll_fn(|context| {
        let wakes = queue.park_driver(context.waker());
        let earlier = parked_until.is_some_and(|until| wakes < until);
        if earlier || wakes <= Instant::now() {
            return Poll::Ready(());
        }
        parked_until = Some(wakes);
        let pause = pause.get_or_insert_with(|| {
            let left = wakes.saturating_duration_since(Instant::now());
            Box::pin(async_std::task::sleep(left))
        });
        pause.as_mut().poll(context)
    })
    .await;
}
