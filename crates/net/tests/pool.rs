//! Stages at which exchanges fail, and reuse of connections.

mod support;

use std::net::{Shutdown, SocketAddr};
use std::time::Duration;

use async_std::channel::{self, Receiver};
use async_std::net::TcpListener;
use futures::AsyncReadExt;
use http_types::{Body, Method, Request, Response, Url};
use support::{RawCaller, peer_with_script, read_request_head, soon, within};
use threadledge_net::{ExchangeError, ExchangeFault, Instant, Pool, PoolSettings, Stage};

fn request(address: SocketAddr, method: Method) -> Request {
    let url = Url::parse(&format!("http://{address}/path?query")).unwrap();
    Request::new(method, url)
}

fn get(address: SocketAddr) -> Request {
    request(address, Method::Get)
}

fn pool() -> Pool {
    Pool::new(PoolSettings::default())
}

async fn read_body(mut response: Response) -> std::io::Result<String> {
    let mut body = String::new();
    within(response.read_to_string(&mut body)).await?;
    Ok(body)
}

async fn exchange(pool: &Pool, address: SocketAddr) -> Result<Response, ExchangeError> {
    within(pool.exchange(address, get(address), soon())).await
}

/// Sends `raw_response` for every request of every connection, closing after
/// each if `closes` is set; reports the number of each connection when it is
/// accepted.
async fn peer(raw_response: &'static str, closes: bool) -> (SocketAddr, Receiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, receiver) = channel::unbounded();
    async_std::task::spawn(async move {
        let mut number = 0;
        while let Ok((stream, _)) = listener.accept().await {
            number += 1;
            let _ = sender.send(number).await;
            async_std::task::spawn(async move {
                let mut caller = RawCaller::from(stream);
                while read_request_head(&mut caller).await {
                    caller.send(raw_response).await;
                    if closes {
                        return;
                    }
                }
            });
        }
    });
    (address, receiver)
}

const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

#[async_std::test]
async fn a_clean_connection_is_reused() {
    let (address, accepted) = peer(OK, false).await;
    let pool = pool();
    for _ in 0..5 {
        let response = exchange(&pool, address).await.unwrap();
        assert_eq!(read_body(response).await.unwrap(), "ok");
    }
    assert_eq!(accepted.len(), 1);
    assert_eq!(pool.open_connections(address), (0, 1));
}

#[async_std::test]
async fn responses_without_a_body_leave_the_connection_clean() {
    let script = [
        (
            Method::Head,
            "HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n",
        ),
        (Method::Get, "HTTP/1.1 204 No Content\r\n\r\n"),
        (
            Method::Get,
            "HTTP/1.1 304 Not Modified\r\ncontent-length: 9\r\n\r\n",
        ),
        (
            Method::Get,
            "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
        ),
        (
            Method::Get,
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        ),
    ];
    for (method, raw_response) in script {
        let (address, _accepted) = peer(raw_response, false).await;
        let pool = pool();
        let response = within(pool.exchange(address, request(address, method), soon())).await;
        assert_eq!(
            read_body(response.unwrap()).await.unwrap(),
            "",
            "{raw_response}"
        );
        assert_eq!(pool.open_connections(address), (0, 1), "{raw_response}");
    }
}

#[async_std::test]
async fn a_connection_announced_as_closing_is_not_reused() {
    let (address, _) = peer(
        "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok",
        false,
    )
    .await;
    let pool = pool();
    let response = exchange(&pool, address).await.unwrap();
    assert_eq!(read_body(response).await.unwrap(), "ok");
    assert_eq!(pool.open_connections(address), (0, 0));
}

#[async_std::test]
async fn a_connection_closed_while_idle_is_replaced_before_anything_is_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, closed) = channel::unbounded();
    async_std::task::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let mut caller = RawCaller::from(stream);
            read_request_head(&mut caller).await;
            caller.send(OK).await;
            drop(caller);
            let _ = sender.send(()).await;
        }
    });
    let pool = pool();
    for _ in 0..5 {
        let response = exchange(&pool, address).await.unwrap();
        assert_eq!(read_body(response).await.unwrap(), "ok");
        assert_eq!(pool.open_connections(address), (0, 1));
        within(closed.recv()).await.unwrap();
    }
}

#[async_std::test]
async fn bytes_after_a_response_never_become_the_next_response() {
    let twice = "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\none\
                 HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstale";
    let (address, accepted) = peer(twice, false).await;
    let pool = pool();
    for _ in 0..5 {
        let response = exchange(&pool, address).await.unwrap();
        assert_eq!(read_body(response).await.unwrap(), "one");
        assert_eq!(pool.open_connections(address), (0, 0));
    }
    assert_eq!(accepted.len(), 5);
}

#[async_std::test]
async fn a_dropped_response_closes_its_connection() {
    let (address, accepted) = peer(OK, false).await;
    let pool = pool();
    drop(exchange(&pool, address).await.unwrap());
    assert_eq!(pool.open_connections(address), (0, 0));
    let mut half_read = exchange(&pool, address).await.unwrap();
    within(half_read.read_exact(&mut [0; 1])).await.unwrap();
    drop(half_read);
    assert_eq!(pool.open_connections(address), (0, 0));
    exchange(&pool, address).await.unwrap();
    assert_eq!(accepted.len(), 3);
}

#[async_std::test]
async fn a_response_truncated_at_any_byte_is_never_complete() {
    let raw_responses = [
        "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\nx: y\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody",
    ];
    for raw_response in raw_responses {
        let script = (0..=raw_response.len())
            .map(|end| raw_response[..end].into())
            .collect();
        let address = peer_with_script(script).await;
        let pool = pool();
        for end in 0..=raw_response.len() {
            let is_complete = end == raw_response.len();
            let outcome = match exchange(&pool, address).await {
                Ok(response) => read_body(response).await.ok(),
                Err(error) => {
                    assert!(error.stage.may_have_been_received(), "truncated at {end}");
                    assert_eq!(error.stage == Stage::Sent, end == 0, "truncated at {end}");
                    None
                }
            };
            assert_eq!(
                outcome.is_some(),
                is_complete,
                "{raw_response:?} truncated at {end}"
            );
            assert_eq!(pool.open_connections(address).1, usize::from(is_complete));
        }
    }
}

#[async_std::test]
async fn malformed_responses_are_refused_and_their_connections_closed() {
    let raw_responses = [
        "nonsense\r\n\r\n",
        "HTTP/1.0 200 OK\r\ncontent-length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\n\r\nends with the connection",
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nok",
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\nok",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\nok",
        "HTTP/1.1 200 OK\r\ncontent-length: x\r\n\r\nok",
        "HTTP/1.1 101 Switching Protocols\r\n\r\n",
        "HTTP/1.1 200 OK\ncontent-length: 2\n\nok",
        "HTTP/1.1 200 OK\r\nx: \u{e9}\r\ncontent-length: 2\r\n\r\nok",
    ];
    for raw_response in raw_responses {
        let (address, _accepted) = peer(raw_response, true).await;
        let pool = pool();
        let error = exchange(&pool, address).await.expect_err(raw_response);
        assert!(error.stage.may_have_been_received(), "{raw_response}");
        assert_eq!(pool.open_connections(address), (0, 0), "{raw_response}");
    }
}

#[async_std::test]
async fn a_response_that_begins_within_the_head_of_another_is_refused() {
    let first = "HTTP/1.1 503 Service Unavailable\r\nx-first: 1\r\ncontent-length: 0\r\n\r\n";
    let second = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    // At the end of the head the first response is whole.
    for cut in 1..first.len() {
        let response: &'static str = (first[..cut].to_owned() + second).leak();
        let (address, _accepted) = peer(response, true).await;
        let fault = exchange(&pool(), address).await.unwrap_err().fault;
        assert!(
            matches!(fault, ExchangeFault::Malformed(_)),
            "{cut}: {fault}"
        );
    }
}

#[async_std::test]
async fn a_head_above_the_limit_is_refused() {
    let address = peer_with_script(vec![
        format!("HTTP/1.1 200 OK\r\nx: {}\r\n\r\n", "a".repeat(9_000)).into(),
    ])
    .await;
    let error = exchange(&pool(), address).await.unwrap_err();
    assert!(
        matches!(error.fault, ExchangeFault::Malformed(_)),
        "{error}"
    );
}

#[async_std::test]
async fn no_date_is_added_to_a_response_without_one() {
    let (address, _accepted) = peer(OK, false).await;
    let response = exchange(&pool(), address).await.unwrap();
    let names: Vec<_> = response.header_names().map(|name| name.as_str()).collect();
    assert_eq!(names, ["content-length"]);
}

#[async_std::test]
async fn a_refused_connection_means_that_nothing_was_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let error = exchange(&pool(), address).await.unwrap_err();
    assert_eq!(error.stage, Stage::ConnectFailed);
    assert!(!error.stage.may_have_been_received());
}

#[async_std::test]
async fn a_deadline_in_the_past_means_that_nothing_was_sent() {
    let (address, accepted) = peer(OK, false).await;
    let pool = pool();
    let connection = pool.checkout(address, soon()).await.unwrap();
    let past = Instant::now();
    let error = connection.exchange(get(address), past).await.unwrap_err();
    assert_eq!(error.stage, Stage::NothingSent);
    assert_eq!(pool.open_connections(address), (0, 1));
    assert_eq!(within(accepted.recv()).await.unwrap(), 1);
}

#[async_std::test]
async fn a_peer_that_never_responds_may_have_received_the_request() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let pool = pool();
    let deadline = Instant::now() + Duration::from_millis(100);
    let error = pool.exchange(address, get(address), deadline).await;
    let error = error.unwrap_err();
    assert_eq!(error.stage, Stage::Sent);
    assert!(matches!(error.fault, ExchangeFault::DeadlinePassed));
    assert_eq!(pool.open_connections(address), (0, 0));
}

#[async_std::test]
async fn connections_stay_below_the_limit_of_their_address() {
    let (address, _accepted) = peer(OK, false).await;
    let pool = pool();
    pool.set_connection_limit(address, 2);
    let first = pool.checkout(address, soon()).await.unwrap();
    let second = pool.checkout(address, soon()).await.unwrap();
    let error = pool.checkout(address, soon()).await.unwrap_err();
    assert!(matches!(error.fault, ExchangeFault::NoConnectionFree));
    assert!(!error.stage.may_have_been_received());
    drop(first);
    let third = pool.checkout(address, soon()).await.unwrap();
    pool.set_connection_limit(address, 1);
    drop(third);
    drop(second);
    assert_eq!(pool.open_connections(address), (0, 1));
}

#[async_std::test]
async fn idle_connections_are_closed_in_time() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let pool = Pool::new(PoolSettings {
        idle_timeout: Duration::from_millis(10),
        ..PoolSettings::default()
    });
    drop(pool.checkout(address, soon()).await.unwrap());
    let (mut stream, _) = within(listener.accept()).await.unwrap();
    assert_eq!(within(stream.read(&mut [0; 1])).await.unwrap(), 0);
}

#[async_std::test]
async fn an_early_response_is_accepted_before_the_request_body_is_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    async_std::task::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        let mut caller = RawCaller::from(stream);
        read_request_head(&mut caller).await;
        caller
            .send("HTTP/1.1 503 Service Unavailable\r\ncontent-length: 2\r\n\r\nno")
            .await;
        caller.stream.shutdown(Shutdown::Write).unwrap();
        // Reads no further, so that the request body cannot be sent completely.
        caller
    });
    let pool = pool();
    let mut request = request(address, Method::Post);
    request.set_body(Body::from_bytes(vec![b'x'; 64 * 1024 * 1024]));
    let response = within(pool.exchange(address, request, soon()))
        .await
        .unwrap();
    assert_eq!(u16::from(response.status()), 503);
    assert_eq!(read_body(response).await.unwrap(), "no");
    assert_eq!(pool.open_connections(address), (0, 0));
}

#[async_std::test]
async fn removing_an_address_closes_its_idle_connections() {
    let (address, _accepted) = peer(OK, false).await;
    let pool = pool();
    pool.set_connection_limit(address, 1);
    let response = exchange(&pool, address).await.unwrap();
    read_body(response).await.unwrap();
    pool.remove_address(address);
    assert_eq!(pool.open_connections(address), (0, 0));
}
