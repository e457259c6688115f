//! Calls with JSON bodies, their typed errors, and responses read line by line.

mod support;

use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpListener;
use futures::future::{Either, join, select};
use http_types::{Request, Response};
use serde::{Deserialize, Serialize};
use support::{SAFETY, TestServer, peer_with_script, quick_limits, within};
use threadledge_net::{BodyTimeouts, ClientError, ConnectionInfo, HttpClient, PoolSettings, timer};

#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Number {
    number: u64,
}

async fn add_one(mut request: Request, _connection: ConnectionInfo) -> Response {
    let Ok(Number { number }) = request.body_json().await else {
        return Response::new(422);
    };
    let mut response = Response::new(200);
    let number = number + 1;
    response.set_body(serde_json::to_vec(&Number { number }).unwrap());
    response
}

async fn dead_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

#[async_std::test]
async fn json_round_trip() {
    let server = TestServer::start(quick_limits(), add_one).await;
    let client = HttpClient::default();
    for number in 0..20 {
        let response: Number = client
            .post_json(server.address, "/add", &Number { number }, SAFETY)
            .await
            .unwrap();
        assert_eq!(response.number, number + 1);
    }
    assert_eq!(server.finish().await.connections, 1);
}

#[async_std::test]
async fn a_request_of_the_http_crate_keeps_its_headers_both_ways() {
    let handler = |request: Request, _connection: ConnectionInfo| async move {
        let mut response = Response::new(409);
        for name in ["x-many", "accept"] {
            for value in request.header(name).unwrap().iter() {
                response.append_header(name, value.as_str());
            }
        }
        response.set_body(request.url().query().unwrap_or("").to_owned());
        response
    };
    let server = TestServer::start(quick_limits(), handler).await;
    let request = http::Request::get("/path?a=1&b=%20")
        .header("x-many", "one")
        .header("x-many", "two")
        .header("accept", "application/json")
        .body(Vec::new())
        .unwrap();
    let client = HttpClient::default();
    let response = client.send(server.address, request, SAFETY).await.unwrap();
    assert_eq!(response.status(), 409);
    let many: Vec<_> = response.headers().get_all("x-many").iter().collect();
    assert_eq!(many, ["one", "two"]);
    assert_eq!(response.body(), b"a=1&b=%20");
    server.finish().await;
}

#[async_std::test]
async fn failures_tell_whether_the_request_may_have_been_received() {
    let client = HttpClient::default();
    let call = async |address, timeout| {
        let got: Result<Number, ClientError> = client.get_json(address, "/", timeout).await;
        got.unwrap_err()
    };

    let error = call(dead_address().await, SAFETY).await;
    assert!(matches!(error, ClientError::Connect { .. }), "{error}");
    assert!(!error.may_have_been_received());

    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let short = Duration::from_millis(50);
    let error = call(silent.local_addr().unwrap(), short).await;
    assert!(
        matches!(error, ClientError::Timeout { sent: true, .. }),
        "{error}"
    );
    assert!(error.may_have_been_received());

    let closes = peer_with_script(vec![Vec::new()]).await;
    let error = call(closes, SAFETY).await;
    assert!(matches!(error, ClientError::Broken(_)), "{error}");
    assert!(error.may_have_been_received());

    let conflict = "HTTP/1.1 409 Conflict\r\ncontent-length: 4\r\n\r\nwhy?";
    let error = call(peer_with_script(vec![conflict.into()]).await, SAFETY).await;
    assert_eq!(error.error_response(), Some((409, &b"why?"[..])));

    let no_json = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{]";
    let error = call(peer_with_script(vec![no_json.into()]).await, SAFETY).await;
    assert!(matches!(error, ClientError::Body(_)), "{error}");
}

/// Guards against a head timeout that also limits the body. A large response
/// over a saturated link arrives slowly; requesting it again would saturate the
/// link once more.
#[async_std::test]
async fn a_large_response_may_take_longer_than_its_head_timeout() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (continue_sender, continue_receiver) = async_std::channel::bounded(1);
    async_std::task::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let head = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n12";
        stream.write_all(head).await.unwrap();
        continue_receiver.recv().await.unwrap();
        stream.write_all(b"34").await.unwrap();
    });
    let head_timeout = Duration::from_secs(1);
    let body_timeouts = BodyTimeouts {
        idle: SAFETY,
        total: SAFETY,
    };
    let request = http::Request::get("/").body(Vec::new()).unwrap();
    let client = HttpClient::default();
    let response = client.send_with_body_timeouts(address, request, head_timeout, body_timeouts);
    let late = async {
        timer::sleep(head_timeout).await;
        continue_sender.send(()).await.unwrap();
    };
    let (response, ()) = join(response, late).await;
    assert_eq!(response.unwrap().body(), b"1234");
}

#[async_std::test]
async fn a_stalled_large_response_times_out() {
    let response = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n12";
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let peer = async_std::task::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        stream.write_all(response.as_bytes()).await.unwrap();
        let mut rest = Vec::new();
        // Ends when the client closes the connection, gracefully or not.
        let _ = stream.read_to_end(&mut rest).await;
    });
    let body_timeouts = BodyTimeouts {
        idle: Duration::from_millis(20),
        total: SAFETY,
    };
    let request = http::Request::get("/").body(Vec::new()).unwrap();
    let client = HttpClient::default();
    let response = client
        .send_with_body_timeouts(address, request, SAFETY, body_timeouts)
        .await;
    let timed_out = matches!(response, Err(ClientError::Timeout { sent: true, .. }));
    assert!(timed_out, "{response:?}");
    peer.await;
}

#[async_std::test]
async fn a_response_above_the_limit_is_refused() {
    let client = HttpClient::new(PoolSettings {
        max_body_bytes: 4,
        ..PoolSettings::default()
    });
    let response = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n12345";
    let peer = peer_with_script(vec![response.into()]).await;
    let got: Result<u64, _> = client.get_json(peer, "/", SAFETY).await;
    assert!(matches!(
        got,
        Err(ClientError::ResponseTooLarge { limit: 4, .. })
    ));
}

#[async_std::test]
async fn lines_are_read_one_by_one_and_truncation_is_an_error() {
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let one = "f\r\n{\"number\":1}\n{\"\r\n";
    let two = "a\r\nnumber\":2}\r\n1\r\n\n\r\n";
    let complete = format!("{head}{one}{two}0\r\n\r\n");
    let truncated = format!("{head}{one}{two}");
    let peer = peer_with_script(vec![complete.into(), truncated.into()]).await;
    for is_complete in [true, false] {
        // A separate client for each response: the peer closes after each, and
        // the close may arrive only after a pool would have reused the
        // connection.
        let client = HttpClient::default();
        let mut lines = client.get_json_lines(peer, "/", SAFETY).await.unwrap();
        for number in [1, 2] {
            let line: Option<Number> = lines.next(SAFETY).await.unwrap();
            assert_eq!(line, Some(Number { number }));
        }
        let end: Result<Option<Number>, _> = lines.next(SAFETY).await;
        match end {
            Ok(None) => assert!(is_complete),
            Err(ClientError::Broken(_)) => assert!(!is_complete),
            other => panic!("{other:?}"),
        }
    }
}

#[async_std::test]
async fn waiting_for_a_line_can_continue_after_a_timeout() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let client = HttpClient::default();
    let peer = async_std::task::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        let mut caller = support::RawCaller::from(stream);
        support::read_request_head(&mut caller).await;
        let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        caller.send(format!("{head}4\r\n{{\"nu\r\n")).await;
        caller
    });
    let mut lines = client.get_json_lines(address, "/", SAFETY).await.unwrap();
    let mut caller = within(peer).await;
    let short = Duration::from_millis(20);
    let late: Result<Option<Number>, _> = lines.next(short).await;
    assert!(matches!(late, Err(ClientError::Timeout { .. })));
    caller.send("9\r\nmber\":7}\n\r\n0\r\n\r\n").await;
    let line: Option<Number> = lines.next(SAFETY).await.unwrap();
    assert_eq!(line, Some(Number { number: 7 }));
}

/// A call that the client did not make because of its own connection limit says
/// nothing about the peer.
#[async_std::test]
async fn a_call_beyond_the_connection_limit_is_distinguished() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let client = HttpClient::new(PoolSettings {
        connections_per_address: 1,
        ..PoolSettings::default()
    });
    // Both are polled in this order; the first never gets a response.
    let first = pin!(client.get_json::<u32>(address, "/silent", SAFETY));
    let second = pin!(client.get_json::<u32>(address, "/silent", SAFETY));
    let ended = select(first, second).await;
    let Either::Right((Err(error), _)) = ended else {
        panic!("the second is not made");
    };
    assert!(error.is_pool_exhausted(), "{error}");
    assert!(!error.may_have_been_received());
}
