//! Responses that arrive a second time, in the place of the next one due.

mod support;

use std::net::SocketAddr;

use async_std::channel::{self, Receiver};
use async_std::net::TcpListener;
use futures::AsyncReadExt;
use http_types::{Method, Request, Url};
use support::{RawCaller, read_request_head, soon, within};
use threadledge_net::{ExchangeError, ExchangeFault, Pool, PoolSettings, RequestIdentity};

const REJECTED: &str = "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";
const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

/// Rejects the first request of each connection, a second time once the next
/// one has arrived there, and executes that one. Reports accepted connections.
async fn peer() -> (SocketAddr, Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, accepted) = channel::unbounded();
    async_std::task::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = sender.send(()).await;
            async_std::task::spawn(async move {
                let mut caller = RawCaller::from(stream);
                for response in [REJECTED.to_owned(), format!("{REJECTED}{OK}")] {
                    if read_request_head(&mut caller).await {
                        caller.send(response).await;
                    }
                }
                caller.rest().await;
            });
        }
    });
    (address, accepted)
}

fn pool(limit: usize) -> Pool {
    Pool::new(PoolSettings {
        connections_per_address: limit,
        ..PoolSettings::default()
    })
}

/// Sends a request and returns the status of its response.
async fn send(pool: &Pool, address: SocketAddr, id: &str) -> Result<u16, ExchangeError> {
    let identity = Some(RequestIdentity::of(id));
    let opened = within(pool.checkout_for(address, identity, None, soon())).await;
    let url = Url::parse(&format!("http://{address}/")).unwrap();
    let request = Request::new(Method::Post, url);
    let mut response = within(opened?.exchange(request, soon())).await?;
    within(response.read_to_end(&mut Vec::new())).await.unwrap();
    Ok(response.status().into())
}

#[async_std::test]
async fn a_repeated_response_is_never_that_of_the_next_copy_of_its_request() {
    let (address, accepted) = peer().await;
    let pool = pool(64);
    for _ in 0..3 {
        assert_eq!(send(&pool, address, "a").await.unwrap(), 503);
    }
    assert_eq!(
        accepted.len(),
        3,
        "each copy got the first response of its own"
    );
    assert_eq!(pool.open_connections(address), (0, 3));
}

#[async_std::test]
async fn other_requests_reuse_the_connection() {
    let (address, accepted) = peer().await;
    let pool = pool(64);
    for id in ["a", "b"] {
        send(&pool, address, id).await.unwrap();
    }
    assert_eq!(accepted.len(), 1);
}

#[async_std::test]
async fn a_copy_at_the_connection_limit_replaces_an_idle_connection_that_carried_it() {
    let (address, accepted) = peer().await;
    let pool = pool(1);
    for _ in 0..3 {
        assert_eq!(send(&pool, address, "a").await.unwrap(), 503);
        assert_eq!(pool.open_connections(address), (0, 1));
    }
    assert_eq!(accepted.len(), 3);
    let in_use = pool.checkout(address, soon()).await.unwrap();
    let error = send(&pool, address, "a").await.unwrap_err();
    assert!(matches!(error.fault, ExchangeFault::NoConnectionFree));
    drop(in_use);
}
