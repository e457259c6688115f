//! Each kind of bad request gets a typed 4xx or 5xx response, closes its
//! connection, and leaves no lasting cost on the server.

mod support;

use std::time::Duration;

use support::{RawCaller, TestServer, echo, quick_limits};
use threadledge_net::ServerLimits;
use threadledge_net::error_response::OutcomeBody;

struct BadRequest {
    bytes: Vec<u8>,
    status: u16,
    reason: &'static str,
}

fn bad(bytes: impl AsRef<[u8]>, status: u16, reason: &'static str) -> BadRequest {
    BadRequest {
        bytes: bytes.as_ref().to_vec(),
        status,
        reason,
    }
}

fn bad_requests() -> Vec<BadRequest> {
    let post = |headers: &str| format!("POST / HTTP/1.1\r\nhost: a\r\n{headers}\r\n\r\n");
    let long_head = format!(
        "GET / HTTP/1.1\r\nhost: a\r\nx: {}\r\n\r\n",
        "a".repeat(9_000)
    );
    vec![
        bad("nonsense\r\n\r\n", 400, "malformed"),
        bad("\x16\x03\x01\x02\r\n\r\n", 400, "malformed"),
        bad("GET / HTTP/1.1\r\n\r\n", 400, "malformed"),
        bad(
            "GET / HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n",
            400,
            "malformed",
        ),
        bad("GET / HTTP/1.1\r\nhost:\r\n\r\n", 400, "malformed"),
        bad("GET / HTTP/1.1\r\nhost: a/../b\r\n\r\n", 400, "malformed"),
        bad("GET / HTTP/1.0\r\nhost: a\r\n\r\n", 400, "malformed"),
        bad(
            "GET http://b/ HTTP/1.1\r\nhost: a\r\n\r\n",
            400,
            "malformed",
        ),
        bad(
            "GET https://a/ HTTP/1.1\r\nhost: a\r\n\r\n",
            400,
            "malformed",
        ),
        bad("GET a HTTP/1.1\r\nhost: a\r\n\r\n", 400, "malformed"),
        bad("OPTIONS * HTTP/1.1\r\nhost: a\r\n\r\n", 400, "malformed"),
        bad("GET /a#b HTTP/1.1\r\nhost: a\r\n\r\n", 400, "malformed"),
        bad("GET /a b HTTP/1.1\r\nhost: a\r\n\r\n", 400, "malformed"),
        bad("GET /\u{e9} HTTP/1.1\r\nhost: a\r\n\r\n", 400, "malformed"),
        bad("BREW / HTTP/1.1\r\nhost: a\r\n\r\n", 400, "malformed"),
        bad("CONNECT a:1 HTTP/1.1\r\nhost: a\r\n\r\n", 501, "malformed"),
        bad(
            "GET / HTTP/1.1\r\nhost: a\r\nx : y\r\n\r\n",
            400,
            "malformed",
        ),
        bad(
            "GET / HTTP/1.1\r\nhost: a\r\n x: y\r\n\r\n",
            400,
            "malformed",
        ),
        bad(
            "GET / HTTP/1.1\nhost: a\n\nGET /b HTTP/1.1\r\nhost: a\r\n\r\n",
            400,
            "malformed",
        ),
        bad("GET / HTTP/1.1\r\nhost: a\rb\r\n\r\n", 400, "malformed"),
        bad(
            "GET / HTTP/1.1\r\nhost: a\r\nx: \0\r\n\r\n",
            400,
            "malformed",
        ),
        bad(
            "GET / HTTP/1.1\r\nhost: a\r\nx: \u{e9}\r\n\r\n",
            400,
            "malformed",
        ),
        bad(
            post("content-length: 3\r\ncontent-length: 4"),
            400,
            "malformed",
        ),
        bad(
            post("content-length: 3\r\ncontent-length: 3"),
            400,
            "malformed",
        ),
        bad(post("content-length: 3, 3"), 400, "malformed"),
        bad(post("content-length: +3"), 400, "malformed"),
        bad(post("content-length: -3"), 400, "malformed"),
        bad(
            post("content-length: 99999999999999999999"),
            400,
            "malformed",
        ),
        bad(
            post("content-length: 3\r\ntransfer-encoding: chunked"),
            400,
            "malformed",
        ),
        bad(post("transfer-encoding: gzip"), 400, "malformed"),
        bad(post("transfer-encoding: gzip, chunked"), 400, "malformed"),
        bad(
            post("transfer-encoding: chunked\r\ntransfer-encoding: chunked"),
            400,
            "malformed",
        ),
        bad(post("content-length: 1000000000"), 413, "too-large"),
        bad(long_head, 431, "too-large"),
        bad("a".repeat(100_000), 431, "too-large"),
    ]
}

#[async_std::test]
async fn each_bad_request_gets_a_typed_error_and_the_next_caller_a_response() {
    let server = TestServer::start(quick_limits(), echo).await;
    let requests = bad_requests();
    let count = requests.len() as u64;
    for request in requests {
        let shown =
            String::from_utf8_lossy(&request.bytes[..request.bytes.len().min(60)]).into_owned();
        let mut caller = RawCaller::connect(server.address).await;
        caller.send(&request.bytes).await;
        let response = caller.response().await.expect(&shown);
        assert_eq!(response.status, request.status, "{shown}");
        assert_eq!(
            response.header("threadledge-outcome"),
            Some("not-run"),
            "{shown}"
        );
        assert_eq!(
            response.header("threadledge-reason"),
            Some(request.reason),
            "{shown}"
        );
        assert_eq!(response.header("connection"), Some("close"), "{shown}");
        let body: OutcomeBody = serde_json::from_slice(&response.body).unwrap();
        assert!(!body.remedy.is_empty(), "{shown}");
        assert_eq!(caller.rest().await, b"", "{shown}");

        let mut good = RawCaller::connect(server.address).await;
        good.send("GET /ok HTTP/1.1\r\nhost: a\r\n\r\n").await;
        assert_eq!(good.response().await.unwrap().text(), "GET /ok ");
    }
    let report = server.finish().await;
    assert_eq!(report.refused_requests, count);
    assert_eq!(report.requests, count);
}

#[async_std::test]
async fn a_stalled_head_is_refused_as_too_slow() {
    let limits = ServerLimits {
        head_timeout: Duration::from_millis(50),
        ..quick_limits()
    };
    let server = TestServer::start(limits, echo).await;
    let mut caller = RawCaller::connect(server.address).await;
    caller.send("GET / HTTP/1.1\r\nhost").await;
    let response = caller.response().await.unwrap();
    assert_eq!(response.status, 408);
    assert_eq!(response.header("threadledge-reason"), Some("too-slow"));
    assert_eq!(server.finish().await.refused_requests, 1);
}

#[async_std::test]
async fn a_stalled_body_fails_in_the_handler() {
    let limits = ServerLimits {
        body_timeout: Duration::from_millis(50),
        ..quick_limits()
    };
    let server = TestServer::start(limits, echo).await;
    let mut caller = RawCaller::connect(server.address).await;
    caller
        .send("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nabc")
        .await;
    let response = caller.response().await.unwrap();
    assert_eq!(response.status, 400);
    assert!(
        response.text().contains("too slowly"),
        "{}",
        response.text()
    );
    assert_eq!(response.header("connection"), Some("close"));
    server.finish().await;
}

#[async_std::test]
async fn a_chunked_body_above_the_limit_fails_in_the_handler() {
    let limits = ServerLimits {
        max_body_bytes: 4,
        ..quick_limits()
    };
    let server = TestServer::start(limits, echo).await;
    let head = "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
    let mut caller = RawCaller::connect(server.address).await;
    caller
        .send(format!("{head}3\r\nabc\r\n3\r\ndef\r\n0\r\n\r\n"))
        .await;
    let response = caller.response().await.unwrap();
    assert!(response.text().contains("larger"), "{}", response.text());
    assert_eq!(response.header("connection"), Some("close"));
    server.finish().await;
}

#[async_std::test]
async fn malformed_chunks_fail_in_the_handler() {
    let server = TestServer::start(quick_limits(), echo).await;
    let head = "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
    let bodies = [
        "x\r\nabc\r\n0\r\n\r\n",
        "\r\nabc\r\n0\r\n\r\n",
        "-3\r\nabc\r\n0\r\n\r\n",
        "3\nabc\r\n0\r\n\r\n",
        "3\r\nabcd\r\n0\r\n\r\n",
        "3\r\nabc\n0\r\n\r\n",
        "3\r\nabc\r\n0\r\nx\n\r\n",
        "1000000000000000\r\nabc",
    ];
    for body in bodies {
        let mut caller = RawCaller::connect(server.address).await;
        caller.send(format!("{head}{body}")).await;
        let response = caller.response().await.expect(body);
        assert!(
            response.text().contains("malformed"),
            "{body}: {}",
            response.text()
        );
        assert_eq!(caller.rest().await, b"", "{body}");
    }
    server.finish().await;
}

#[async_std::test]
async fn connections_above_the_limit_are_refused_and_those_below_served() {
    let limits = ServerLimits {
        max_connections: 1,
        ..quick_limits()
    };
    let server = TestServer::start(limits, echo).await;
    let mut first = RawCaller::connect(server.address).await;
    first.send("GET /1 HTTP/1.1\r\nhost: a\r\n\r\n").await;
    assert_eq!(first.response().await.unwrap().status, 200);
    let mut second = RawCaller::connect(server.address).await;
    let refused = second.response().await.unwrap();
    assert_eq!(refused.header("threadledge-reason"), Some("overloaded"));
    first.send("GET /2 HTTP/1.1\r\nhost: a\r\n\r\n").await;
    assert_eq!(first.response().await.unwrap().text(), "GET /2 ");
    assert_eq!(server.finish().await.refused_connections, 1);
}
