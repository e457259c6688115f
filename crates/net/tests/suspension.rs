//! Behaviour after a suspension of the machine, during which the clock advances
//! but the timers of the system do not. The cases run in one test, because all
//! share the clock.

mod support;

use std::time::Duration;

use async_std::net::TcpListener;
use http_types::{Method, Request, Url};
use threadledge_net::instant::simulate_suspension;
use threadledge_net::{ExchangeFault, Instant, Pool, PoolSettings, timer};

use support::{SAFETY, soon, within};

/// Longer than any wait in these tests, and shorter than a test may take.
const SUSPENDED: Duration = Duration::from_secs(60);

#[async_std::test]
async fn timers_and_deadlines_passed_during_suspension_take_effect_at_once() {
    expired_timers_fire().await;
    nothing_is_sent_after_the_deadline().await;
    connections_idle_for_too_long_are_not_reused().await;
}

fn get(address: std::net::SocketAddr) -> Request {
    let url = Url::parse(&format!("http://{address}/")).expect("valid");
    Request::new(Method::Get, url)
}

/// A timer of one minute fires promptly after a suspension.
async fn expired_timers_fire() {
    let sleep = async_std::task::spawn(timer::sleep(SUSPENDED));
    timer::sleep(Duration::from_millis(20)).await;
    simulate_suspension(SUSPENDED);
    // This is a timer of the system, which stood still.
    let fired = async_std::future::timeout(SAFETY, sleep).await;
    fired.expect("the timer was due");
}

/// A request whose deadline passed during the suspension is not sent
/// afterwards.
async fn nothing_is_sent_after_the_deadline() {
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

/// The peer has closed such connections in the meantime.
async fn connections_idle_for_too_long_are_not_reused() {
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
