//! A machine that was suspended: its clock went on, the timers of the system
//! did not. One test after the other, since all share the clock.

mod support;

use std::time::Duration;

use async_std::net::TcpListener;
use http_types::{Method, Request, Url};
use threadledge_net::instant::simulate_suspension;
use threadledge_net::{ExchangeFault, Instant, Pool, PoolSettings, timer};

use support::{SAFETY, soon, within};

/// Longer than anything here waits, shorter than a test may take.
const SUSPENDED: Duration = Duration::from_secs(60);

#[async_std::test]
async fn what_was_due_or_over_meanwhile_is_so_at_once() {
    timers_that_were_due_fire().await;
    deadlines_that_passed_send_nothing().await;
    connections_that_rested_too_long_are_not_used().await;
}

fn get(address: std::net::SocketAddr) -> Request {
    let url = Url::parse(&format!("http://{address}/")).expect("valid");
    Request::new(Method::Get, url)
}

/// A timer of a minute fires within moments of the end of a suspension.
async fn timers_that_were_due_fire() {
    let sleep = async_std::task::spawn(timer::sleep(SUSPENDED));
    timer::sleep(Duration::from_millis(20)).await;
    simulate_suspension(SUSPENDED);
    // A timer of the system, which stood still.
    let fired = async_std::future::timeout(SAFETY, sleep).await;
    fired.expect("the timer was due");
}

/// What was decided before the suspension, with a deadline within it, is not
/// sent after it.
async fn deadlines_that_passed_send_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let pool = Pool::new(PoolSettings::default());
    let deadline = Instant::now() + SUSPENDED / 2;
    let connection = pool.checkout(address, deadline).await.expect("opened");
    simulate_suspension(SUSPENDED);
    let error = within(connection.exchange(get(address), deadline)).await;
    let error = error.expect_err("too late");
    assert!(matches!(error.fault, ExchangeFault::DeadlinePassed));
    assert!(!error.stage.may_have_been_received());
}

/// The peer has closed them long since.
async fn connections_that_rested_too_long_are_not_used() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let pool = Pool::new(PoolSettings {
        idle_timeout: SUSPENDED / 2,
        ..PoolSettings::default()
    });
    drop(pool.checkout(address, soon()).await.expect("opened"));
    simulate_suspension(SUSPENDED);
    drop(pool.checkout(address, soon()).await.expect("opened"));
    for _ in 0..2 {
        let accepted = async_std::future::timeout(SAFETY, listener.accept()).await;
        accepted
            .expect("a connection of its own")
            .expect("accepted");
    }
}
