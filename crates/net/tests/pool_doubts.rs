//! Connections at rest while another one to the same address fell silent.

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

/// How long nothing may be heard here.
const DOUBT_AFTER: Duration = Duration::from_millis(50);
/// Waited for answers that do not come: long enough to doubt.
const LONG: Duration = Duration::from_millis(120);
/// Connections that come to rest.
const AT_REST: usize = 3;

const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Answers requests for `/`, and none for another path.
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

async fn answered(pool: &Pool, address: SocketAddr) {
    let sent = within(pool.exchange(address, get(address, "/"), soon())).await;
    let mut body = String::new();
    let mut response = sent.unwrap();
    within(response.read_to_string(&mut body)).await.unwrap();
    assert_eq!(body, "ok");
}

async fn unanswered(pool: &Pool, address: SocketAddr, wait: Duration) {
    let request = get(address, "/silent");
    let sent = within(pool.exchange(address, request, Instant::now() + wait)).await;
    let fault = sent.unwrap_err().fault;
    assert!(matches!(fault, ExchangeFault::DeadlinePassed), "{fault}");
}

/// A pool with connections at rest.
async fn rested(address: SocketAddr, suspect_idle_after: Option<Duration>) -> Pool {
    let pool = Pool::new(PoolSettings {
        suspect_idle_after,
        ..PoolSettings::default()
    });
    let opening = (0..AT_REST).map(|_| pool.checkout(address, soon()));
    let open = within(join_all(opening)).await;
    assert!(open.iter().all(Result::is_ok));
    drop(open);
    assert_eq!(pool.open_connections(address), (0, AT_REST));
    pool
}

#[async_std::test]
async fn one_that_fell_silent_casts_doubt_on_those_at_rest_since_before() {
    let address = peer().await;
    let pool = rested(address, Some(DOUBT_AFTER)).await;
    unanswered(&pool, address, LONG).await;
    assert_eq!(pool.open_connections(address), (0, AT_REST - 1));
    answered(&pool, address).await;
    assert_eq!(pool.open_connections(address), (0, 1), "a new one");
    answered(&pool, address).await;
    assert_eq!(pool.open_connections(address), (0, 1), "used again");
}

#[async_std::test]
async fn one_that_is_silent_casts_doubt_before_its_exchange_ends() {
    let address = peer().await;
    let pool = rested(address, Some(DOUBT_AFTER)).await;
    let waiting = Box::pin(pool.exchange(address, get(address, "/silent"), soon()));
    let Err((_, waiting)) = timed(waiting).await else {
        panic!("there is no answer");
    };
    assert_eq!(pool.open_connections(address), (1, AT_REST - 1));
    answered(&pool, address).await;
    assert_eq!(pool.open_connections(address), (1, 1));
    drop(waiting);
    assert_eq!(pool.open_connections(address), (0, 1));
}

/// Runs `future` for long enough to doubt.
async fn timed<F: Future + Unpin>(future: F) -> Result<F::Output, ((), F)> {
    match select(future, timer::sleep(LONG)).await {
        futures::future::Either::Left((output, _)) => Ok(output),
        futures::future::Either::Right((slept, future)) => Err((slept, future)),
    }
}

#[async_std::test]
async fn an_exchange_that_is_given_up_soon_casts_no_doubt() {
    let address = peer().await;
    let pool = rested(address, Some(Duration::from_secs(60))).await;
    unanswered(&pool, address, LONG).await;
    answered(&pool, address).await;
    assert_eq!(pool.open_connections(address), (0, AT_REST - 1));
}

#[async_std::test]
async fn a_new_connection_without_an_answer_casts_no_doubt_on_old_ones() {
    let address = peer().await;
    let pool = rested(address, Some(DOUBT_AFTER)).await;
    let opening = (0..AT_REST).map(|_| pool.checkout(address, soon()));
    let old = within(join_all(opening)).await;
    let new = within(pool.checkout(address, soon())).await.unwrap();
    drop(old);
    let request = get(address, "/silent");
    let sent = within(new.exchange(request, Instant::now() + LONG)).await;
    let fault = sent.unwrap_err().fault;
    assert!(matches!(fault, ExchangeFault::DeadlinePassed), "{fault}");
    answered(&pool, address).await;
    assert_eq!(pool.open_connections(address), (0, AT_REST));
}

#[async_std::test]
async fn a_pool_that_is_told_nothing_doubts_nothing() {
    let address = peer().await;
    let pool = rested(address, None).await;
    unanswered(&pool, address, LONG).await;
    answered(&pool, address).await;
    assert_eq!(pool.open_connections(address), (0, AT_REST - 1));
}
