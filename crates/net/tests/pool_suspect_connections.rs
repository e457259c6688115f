//! Idle connections while another connection to the same address is silent.

mod support;

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use async_std::net::TcpListener;
use futures::AsyncReadExt;
use futures::future::{join_all, select};
use http_types::{Method, Request, Url};
use support::{RawCaller, read_request_head, soon, within};
use threadledge_net::{ExchangeFault, Instant, Pool, PoolSettings, timer};

/// Value of `suspect_idle_after` in these tests.
const SUSPECT_AFTER: Duration = Duration::from_millis(50);
/// Time to wait for responses that never come; longer than [`SUSPECT_AFTER`].
const RESPONSE_WAIT: Duration = Duration::from_millis(120);
/// Number of idle connections in the pool.
const IDLE_CONNECTIONS: usize = 3;

const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Responds to requests for `/` and to no others.
async fn peer() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    async_std::task::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            async_std::task::spawn(async move {
                let mut probe = stream.clone();
                let mut caller = RawCaller::from(stream);
                let mut start = [0; 6];
                while within(probe.read_exact(&mut start)).await.is_ok() {
                    if !read_request_head(&mut caller).await {
                        return;
                    }
                    if &start == b"GET / " {
                        caller.send(OK).await;
                    }
                }
            });
        }
    });
    address
}

fn get(address: SocketAddr, path: &str) -> Request {
    let url = Url::parse(&format!("http://{address}{path}")).unwrap();
    Request::new(Method::Get, url)
}

async fn expect_response(pool: &Pool, address: SocketAddr) {
    let sent = within(pool.exchange(address, get(address, "/"), soon())).await;
    let mut body = String::new();
    let mut response = sent.unwrap();
    within(response.read_to_string(&mut body)).await.unwrap();
    assert_eq!(body, "ok");
}

async fn expect_timeout(pool: &Pool, address: SocketAddr, wait: Duration) {
    let request = get(address, "/silent");
    let sent = within(pool.exchange(address, request, Instant::now() + wait)).await;
    let fault = sent.unwrap_err().fault;
    assert!(matches!(fault, ExchangeFault::DeadlinePassed), "{fault}");
}

/// A pool with idle connections.
async fn pool_with_idle_connections(
    address: SocketAddr,
    suspect_idle_after: Option<Duration>,
) -> Pool {
    let pool = Pool::new(PoolSettings {
        suspect_idle_after,
        ..PoolSettings::default()
    });
    let opening = (0..IDLE_CONNECTIONS).map(|_| pool.checkout(address, soon()));
    let open = within(join_all(opening)).await;
    assert!(open.iter().all(Result::is_ok));
    drop(open);
    assert_eq!(pool.open_connections(address), (0, IDLE_CONNECTIONS));
    pool
}

#[async_std::test]
async fn a_silent_reused_connection_makes_other_idle_ones_suspect() {
    let address = peer().await;
    let pool = pool_with_idle_connections(address, Some(SUSPECT_AFTER)).await;
    expect_timeout(&pool, address, RESPONSE_WAIT).await;
    assert_eq!(pool.open_connections(address), (0, IDLE_CONNECTIONS - 1));
    expect_response(&pool, address).await;
    assert_eq!(pool.open_connections(address), (0, 1), "a new one");
    expect_response(&pool, address).await;
    assert_eq!(pool.open_connections(address), (0, 1), "used again");
}

#[async_std::test]
async fn idle_connections_become_suspect_before_the_silent_exchange_ends() {
    let address = peer().await;
    let pool = pool_with_idle_connections(address, Some(SUSPECT_AFTER)).await;
    let waiting = Box::pin(pool.exchange(address, get(address, "/silent"), soon()));
    let Err((_, waiting)) = run_for_response_wait(waiting).await else {
        panic!("unexpected response");
    };
    assert_eq!(pool.open_connections(address), (1, IDLE_CONNECTIONS - 1));
    expect_response(&pool, address).await;
    assert_eq!(pool.open_connections(address), (1, 1));
    drop(waiting);
    assert_eq!(pool.open_connections(address), (0, 1));
}

/// Runs `future` for longer than [`SUSPECT_AFTER`].
async fn run_for_response_wait<F: Future + Unpin>(future: F) -> Result<F::Output, ((), F)> {
    match select(future, timer::sleep(RESPONSE_WAIT)).await {
        futures::future::Either::Left((output, _)) => Ok(output),
        futures::future::Either::Right((slept, future)) => Err((slept, future)),
    }
}

#[async_std::test]
async fn an_exchange_that_ends_early_makes_no_connection_suspect() {
    let address = peer().await;
    let pool = pool_with_idle_connections(address, Some(Duration::from_secs(60))).await;
    expect_timeout(&pool, address, RESPONSE_WAIT).await;
    expect_response(&pool, address).await;
    assert_eq!(pool.open_connections(address), (0, IDLE_CONNECTIONS - 1));
}

#[async_std::test]
async fn a_silent_new_connection_makes_no_idle_one_suspect() {
    let address = peer().await;
    let pool = pool_with_idle_connections(address, Some(SUSPECT_AFTER)).await;
    let opening = (0..IDLE_CONNECTIONS).map(|_| pool.checkout(address, soon()));
    let old = within(join_all(opening)).await;
    let new = within(pool.checkout(address, soon())).await.unwrap();
    drop(old);
    let request = get(address, "/silent");
    let sent = within(new.exchange(request, Instant::now() + RESPONSE_WAIT)).await;
    let fault = sent.unwrap_err().fault;
    assert!(matches!(fault, ExchangeFault::DeadlinePassed), "{fault}");
    expect_response(&pool, address).await;
    assert_eq!(pool.open_connections(address), (0, IDLE_CONNECTIONS));
}

#[async_std::test]
async fn without_the_setting_no_connection_is_suspect() {
    let address = peer().await;
    let pool = pool_with_idle_connections(address, None).await;
    expect_timeout(&pool, address, RESPONSE_WAIT).await;
    expect_response(&pool, address).await;
    assert_eq!(pool.open_connections(address), (0, IDLE_CONNECTIONS - 1));
}
