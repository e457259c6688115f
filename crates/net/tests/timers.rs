//! Timers and stop signals wake their waiters and no others.

mod support;

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Wake, Waker};
use std::time::Duration;

use async_std::channel;
use support::within;
use threadledge_net::{Instant, StopSignal, timer};

#[async_std::test]
async fn every_timer_fires_and_none_early() {
    let start = Instant::now() + Duration::from_millis(50);
    let (sender, receiver) = channel::unbounded();
    for number in [5_u64, 1, 9, 3, 7, 0, 8, 2, 6, 4] {
        let sender = sender.clone();
        async_std::task::spawn(async move {
            let at = start + Duration::from_millis(number);
            timer::sleep_until(at).await;
            assert!(Instant::now() >= at);
            let _ = sender.send(number).await;
        });
    }
    let mut ended = Vec::new();
    while ended.len() < 10 {
        ended.push(within(receiver.recv()).await.unwrap());
    }
    ended.sort_unstable();
    assert_eq!(ended, (0..10).collect::<Vec<_>>());
}

#[async_std::test]
async fn an_earlier_timer_started_later_does_not_wait_for_the_other() {
    let mut long = timer::sleep(Duration::from_secs(3_600));
    let mut context = Context::from_waker(Waker::noop());
    assert!(Pin::new(&mut long).poll(&mut context).is_pending());
    within(timer::sleep(Duration::from_millis(1))).await;
    assert!(Pin::new(&mut long).poll(&mut context).is_pending());
}

#[async_std::test]
async fn a_timer_polled_by_another_task_wakes_that_task() {
    let mut sleep = timer::sleep(Duration::from_millis(30));
    let mut context = Context::from_waker(Waker::noop());
    assert!(Pin::new(&mut sleep).poll(&mut context).is_pending());
    within(async_std::task::spawn(sleep)).await;
}

#[async_std::test]
async fn a_timeout_that_is_not_reached_returns_the_result() {
    let deadline = support::soon();
    assert_eq!(timer::timeout_at(deadline, async { 7 }).await, Ok(7));
    let never = std::future::pending::<()>();
    let late = timer::timeout(Duration::from_millis(1), never).await;
    assert_eq!(late, Err(timer::Elapsed));
}

struct Count(AtomicUsize);

impl Wake for Count {
    fn wake(self: Arc<Self>) {
        self.0.fetch_add(1, Ordering::SeqCst);
    }
}

#[async_std::test]
async fn a_stop_signal_wakes_each_waiter_once_and_no_dropped_one() {
    let stop = StopSignal::new();
    let count = Arc::new(Count(AtomicUsize::new(0)));
    let waker = Waker::from(count.clone());
    let mut context = Context::from_waker(&waker);
    let mut waiting = [stop.stopped(), stop.clone().stopped()];
    let mut dropped = stop.stopped();
    for stopped in waiting.iter_mut().chain([&mut dropped]) {
        assert!(Pin::new(&mut *stopped).poll(&mut context).is_pending());
        assert!(Pin::new(stopped).poll(&mut context).is_pending());
    }
    drop(dropped);
    assert!(!stop.is_stopped());
    stop.stop();
    stop.stop();
    assert_eq!(count.0.load(Ordering::SeqCst), 2);
    assert!(stop.is_stopped());
    for stopped in &mut waiting {
        assert!(Pin::new(stopped).poll(&mut context).is_ready());
    }
    within(stop.stopped()).await;
}
