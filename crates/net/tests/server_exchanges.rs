//! Message framing: no request or response is lost, mixed with another, or
//! accepted as complete when it is not.

mod support;

use std::pin::Pin;
use std::task::{Context, Poll};

use futures::io::{AsyncBufRead, AsyncRead};
use http_types::{Body, Request, Response};
use support::{RawCaller, TestServer, echo, quick_limits};
use threadledge_net::ConnectionInfo;

const CHUNKED: &str = "POST /c HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n\
    3;name=value\r\nabc\r\n2\r\nde\r\n0\r\ntrailer: x\r\n\r\n";
const FIXED: &str = "POST /f HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nabcde";

#[async_std::test]
async fn a_request_split_at_any_byte_is_read_completely() {
    let server = TestServer::start(quick_limits(), echo).await;
    let mut caller = RawCaller::connect(server.address).await;
    for (request, expected) in [(CHUNKED, "POST /c abcde"), (FIXED, "POST /f abcde")] {
        for split in 1..request.len() {
            let (first, second) = request.split_at(split);
            caller.send(first).await;
            async_std::task::yield_now().await;
            caller.send(second).await;
            let response = caller.response().await.unwrap();
            assert_eq!(response.text(), expected, "split at {split}");
        }
    }
    server.finish().await;
}

#[async_std::test]
async fn a_request_truncated_at_any_byte_is_never_answered_as_complete() {
    let server = TestServer::start(quick_limits(), echo).await;
    for request in [CHUNKED, FIXED] {
        for end in 1..request.len() {
            let mut caller = RawCaller::connect(server.address).await;
            caller.send(&request[..end]).await;
            caller.stream.shutdown(std::net::Shutdown::Write).unwrap();
            let rest = String::from_utf8(caller.rest().await).unwrap();
            assert!(!rest.contains("200"), "truncated at {end}: {rest}");
        }
    }
    server.finish().await;
}

#[async_std::test]
async fn pipelined_requests_are_answered_in_order() {
    let server = TestServer::start(quick_limits(), echo).await;
    let mut caller = RawCaller::connect(server.address).await;
    let get = "\r\nGET /g HTTP/1.1\r\nhost: a\r\n\r\n";
    caller
        .send([CHUNKED, get, FIXED, FIXED, CHUNKED, get].concat())
        .await;
    let expected_texts = ["POST /c abcde", "GET /g ", "POST /f abcde", "POST /f abcde"];
    for expected in expected_texts
        .into_iter()
        .chain(["POST /c abcde", "GET /g "])
    {
        assert_eq!(caller.response().await.unwrap().text(), expected);
    }
    assert_eq!(server.finish().await.requests, 6);
}

#[async_std::test]
async fn a_request_keeps_its_headers_and_gets_no_others() {
    let handler = |request: Request, _connection: ConnectionInfo| async move {
        let mut names: Vec<_> = request.header_names().map(|name| name.as_str()).collect();
        names.sort_unstable();
        let mut response = Response::new(200);
        response.set_body(names.join(" "));
        response
    };
    let server = TestServer::start(quick_limits(), handler).await;
    let mut caller = RawCaller::connect(server.address).await;
    let typed = "GET / HTTP/1.1\r\nhost: a\r\nContent-Type: text/plain\r\n\r\n";
    caller.send(typed).await;
    assert_eq!(caller.response().await.unwrap().text(), "content-type host");
    caller.send("GET / HTTP/1.1\r\nhost: a\r\n\r\n").await;
    assert_eq!(caller.response().await.unwrap().text(), "host");
    server.finish().await;
}

#[async_std::test]
async fn more_pipelined_bytes_than_are_read_ahead_are_not_lost() {
    let server = TestServer::start(quick_limits(), echo).await;
    let mut caller = RawCaller::connect(server.address).await;
    let requests: String = (0..200)
        .map(|number| {
            let padding = "p".repeat(500);
            format!("GET /{number} HTTP/1.1\r\nhost: a\r\nx: {padding}\r\n\r\n")
        })
        .collect();
    caller.send(requests).await;
    for number in 0..200 {
        let text = caller.response().await.unwrap().text();
        assert_eq!(text, format!("GET /{number} "));
    }
    server.finish().await;
}

#[async_std::test]
async fn a_body_that_the_handler_leaves_unread_closes_the_connection() {
    let ignore = |_request: Request, _connection: ConnectionInfo| async { Response::new(200) };
    let server = TestServer::start(quick_limits(), ignore).await;
    let mut caller = RawCaller::connect(server.address).await;
    caller.send([FIXED, FIXED].concat()).await;
    let response = caller.response().await.unwrap();
    assert_eq!(response.header("connection"), Some("close"));
    assert_eq!(caller.rest().await, b"");
    assert_eq!(server.finish().await.requests, 1);
}

#[async_std::test]
async fn a_caller_that_expects_100_continue_gets_it_before_it_sends_the_body() {
    let server = TestServer::start(quick_limits(), echo).await;
    let mut caller = RawCaller::connect(server.address).await;
    let head = "POST /e HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: 2\r\n\r\n";
    caller.send(head).await;
    assert_eq!(caller.response().await.unwrap().status, 100);
    caller.send("ab").await;
    assert_eq!(caller.response().await.unwrap().text(), "POST /e ab");
    server.finish().await;
}

#[async_std::test]
async fn responses_without_a_body_send_none_and_keep_the_connection() {
    let handler = |request: Request, _connection: ConnectionInfo| async move {
        let status = request.url().path()[1..].parse::<u16>().unwrap();
        let mut response = Response::new(status);
        response.set_body("text");
        response
    };
    let server = TestServer::start(quick_limits(), handler).await;
    let mut caller = RawCaller::connect(server.address).await;
    let cases = [
        ("GET", 204, None),
        ("GET", 304, Some("4")),
        ("HEAD", 200, Some("4")),
        ("GET", 200, Some("4")),
    ];
    for (method, status, length) in cases {
        let request = format!("{method} /{status} HTTP/1.1\r\nhost: a\r\n\r\n");
        caller.send(request).await;
        let response = caller.response_to(method).await.unwrap();
        assert_eq!(response.status, status);
        assert_eq!(
            response.header("content-length"),
            length,
            "{method} {status}"
        );
    }
    server.finish().await;
}

/// Yields some bytes and then either ends early or fails.
struct ShortBody {
    left: usize,
    fails: bool,
}

impl AsyncRead for ShortBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<std::io::Result<usize>> {
        if self.left == 0 && self.fails {
            return Poll::Ready(Err(std::io::ErrorKind::UnexpectedEof.into()));
        }
        let count = self.left.min(buffer.len());
        buffer[..count].fill(b'x');
        self.left -= count;
        Poll::Ready(Ok(count))
    }
}

impl AsyncBufRead for ShortBody {
    fn poll_fill_buf(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<std::io::Result<&[u8]>> {
        Poll::Ready(Ok(&[]))
    }

    fn consume(self: Pin<&mut Self>, _amount: usize) {}
}

/// Responds to `/KIND/END/SIZE` with a body of `SIZE` bytes that either was
/// announced nine bytes longer or is chunked, and that either ends or fails.
async fn truncated_response(request: Request, _connection: ConnectionInfo) -> Response {
    let words: Vec<&str> = request.url().path().split('/').collect();
    let size: usize = words[3].parse().unwrap();
    let body = ShortBody {
        left: size,
        fails: words[2] == "fails",
    };
    let announced = (words[1] == "fixed").then_some(size + 9);
    let mut response = Response::new(200);
    response.set_body(Body::from_reader(body, announced));
    response
}

const TRUNCATED_RESPONSES: [&str; 3] = ["/fixed/ends", "/fixed/fails", "/chunked/fails"];

#[async_std::test]
async fn a_response_truncated_after_it_started_never_looks_complete() {
    let server = TestServer::start(quick_limits(), truncated_response).await;
    let size = 200_000;
    for path in TRUNCATED_RESPONSES {
        let mut caller = RawCaller::connect(server.address).await;
        caller
            .send(format!("GET {path}/{size} HTTP/1.1\r\nhost: a\r\n\r\n"))
            .await;
        let rest = String::from_utf8(caller.rest().await).unwrap();
        assert!(rest.starts_with("HTTP/1.1 200"), "{path}");
        assert!(!rest.ends_with("0\r\n\r\n"), "{path}");
        let (_, body) = rest.split_once("\r\n\r\n").unwrap();
        assert!(
            body.len() < size + 9 || path.starts_with("/chunked"),
            "{path}"
        );
    }
    assert_eq!(server.finish().await.truncated, 3);
}

#[async_std::test]
async fn a_response_that_fails_unsent_becomes_an_unknown_outcome() {
    let server = TestServer::start(quick_limits(), truncated_response).await;
    for path in TRUNCATED_RESPONSES {
        let mut caller = RawCaller::connect(server.address).await;
        caller
            .send(format!("GET {path}/5 HTTP/1.1\r\nhost: a\r\n\r\n"))
            .await;
        let response = caller.response().await.unwrap();
        assert_eq!(response.status, 502, "{path}");
        assert_eq!(response.header("threadledge-outcome"), Some("unknown"));
        assert_eq!(response.header("connection"), Some("close"));
        assert_eq!(caller.rest().await, b"", "{path}");
    }
    assert_eq!(server.finish().await.truncated, 3);
}
