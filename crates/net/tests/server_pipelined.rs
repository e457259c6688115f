//! Pipelined requests: those that may run concurrently do, responses are sent
//! in order, and every request that ran gets its response.

mod support;

use std::collections::HashMap;
use std::sync::Arc;

use async_std::channel::{self, Receiver, Sender};
use futures::future::BoxFuture;
use http_types::{Body, Request, Response};
use parking_lot::Mutex;
use support::{RawCaller, TestServer, quick_limits, within};
use threadledge_net::{ConcurrentHandler, ConnectionInfo, Handler, Instant, ServerLimits};

/// Response to a test request.
enum TestResponse {
    /// The path of the request.
    Path,
    /// A body of this many bytes.
    Bytes(usize),
    /// The path of the request, with `Connection: close`.
    Close,
    /// A body of this many bytes, with `Connection: close`.
    CloseAfter(usize),
    /// A body of this many bytes, one less than announced.
    Short(usize),
}

/// Observes when requests start and end, and sends the response to each by its
/// path.
struct HandlerController {
    started: Receiver<(String, ConnectionInfo)>,
    dropped: Receiver<String>,
    /// Paths of the requests checked for concurrency.
    checked: Receiver<String>,
    response_channels: ResponseChannels,
}

/// Passes the response to a request.
type ResponseChannel = (Sender<TestResponse>, Receiver<TestResponse>);

#[derive(Clone, Default)]
struct ResponseChannels(Arc<Mutex<HashMap<String, ResponseChannel>>>);

impl ResponseChannels {
    fn of(&self, path: &str) -> ResponseChannel {
        let mut response_channels = self.0.lock();
        response_channels
            .entry(path.to_owned())
            .or_insert_with(channel::unbounded)
            .clone()
    }
}

/// Reports when it is dropped.
struct Dropped(Sender<String>, String);

impl Drop for Dropped {
    fn drop(&mut self) {
        let _ = self.0.try_send(self.1.clone());
    }
}

fn build_response(test_response: TestResponse, path: &str) -> Response {
    let mut response = Response::new(200);
    match test_response {
        TestResponse::Path => response.set_body(path),
        TestResponse::Bytes(count) => response.set_body("x".repeat(count)),
        TestResponse::Short(count) => {
            let body = futures::io::Cursor::new("x".repeat(count));
            response.set_body(Body::from_reader(body, Some(count + 1)));
        }
        TestResponse::Close => {
            response.set_body(path);
            response.insert_header("connection", "close");
        }
        TestResponse::CloseAfter(count) => {
            response.set_body("x".repeat(count));
            response.insert_header("connection", "close");
        }
    }
    response
}

/// Creates a controller and its handler, which runs paths that begin with
/// `/safe` concurrently.
fn controlled_handler() -> (HandlerController, impl Handler) {
    let (started_sender, started) = channel::unbounded();
    let (dropped_sender, dropped) = channel::unbounded();
    let (checked_sender, checked) = channel::unbounded();
    let response_channels = ResponseChannels::default();
    let request_channels = response_channels.clone();
    let handler = move |request: Request, connection: ConnectionInfo| {
        let path = request.url().path().to_owned();
        let (_, response_channel) = request_channels.of(&path);
        let dropped = Dropped(dropped_sender.clone(), path.clone());
        let started = started_sender.clone();
        let run = async move {
            let _dropped = dropped;
            let _request = request;
            let _ = started.try_send((path.clone(), connection));
            build_response(response_channel.recv().await.expect("open"), &path)
        };
        Box::pin(run) as BoxFuture<'static, Response>
    };
    let may_run_concurrently = move |request: &Request| {
        let path = request.url().path();
        let _ = checked_sender.try_send(path.to_owned());
        path.starts_with("/safe")
    };
    let controller = HandlerController {
        started,
        dropped,
        checked,
        response_channels,
    };
    (
        controller,
        ConcurrentHandler {
            handler,
            may_run_concurrently,
        },
    )
}

impl HandlerController {
    /// Returns the next request that starts.
    async fn next_started(&self) -> (String, ConnectionInfo) {
        within(self.started.recv()).await.expect("a request")
    }

    async fn expect_started(&self, paths: &[&str]) {
        for path in paths {
            assert_eq!(self.next_started().await.0, *path);
        }
    }

    /// Waits until a path is checked for concurrency.
    async fn wait_until_checked(&self, path: &str) {
        while within(self.checked.recv()).await.expect("a head") != path {}
    }

    fn expect_none_started(&self) {
        let started = self.started.try_recv().map(|(path, _)| path);
        assert!(started.is_err(), "{started:?} started");
    }

    fn respond(&self, path: &str, response: TestResponse) {
        self.response_channels
            .of(path)
            .0
            .try_send(response)
            .expect("open");
    }
}

/// Starts a server with a controlled handler and connects a caller to it.
async fn connected(limits: ServerLimits) -> (HandlerController, TestServer, RawCaller) {
    let (controller, handler) = controlled_handler();
    let server = TestServer::start(limits, handler).await;
    let caller = RawCaller::connect(server.address).await;
    (controller, server, caller)
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n")
}

fn gets(paths: &[&str]) -> String {
    paths.iter().map(|path| get(path)).collect()
}

async fn next_path(caller: &mut RawCaller) -> String {
    caller.response().await.expect("a response").text()
}

#[async_std::test]
async fn concurrent_requests_are_answered_in_order() {
    let (controller, server, mut caller) = connected(quick_limits()).await;
    let paths: Vec<String> = (0..8).map(|number| format!("/safe/{number}")).collect();
    let paths: Vec<&str> = paths.iter().map(String::as_str).collect();
    caller.send(get(paths[0])).await;
    assert_eq!(controller.next_started().await.1.unanswered_before, 0);
    caller.send(gets(&paths[1..])).await;
    for (before, sent) in paths.iter().enumerate().skip(1) {
        let (path, connection) = controller.next_started().await;
        assert_eq!(
            (path.as_str(), connection.unanswered_before),
            (*sent, before)
        );
    }
    for path in paths.iter().rev() {
        controller.respond(path, TestResponse::Path);
    }
    for path in &paths {
        assert_eq!(next_path(&mut caller).await, *path);
    }
    let report = server.finish().await;
    assert_eq!((report.requests, report.hung_up), (8, 0));
}

#[async_std::test]
async fn a_request_with_effects_runs_alone() {
    let (controller, server, mut caller) = connected(quick_limits()).await;
    let paths = ["/safe/1", "/safe/2", "/change/3", "/safe/4", "/safe/5"];
    caller.send(gets(&paths)).await;
    controller.expect_started(&paths[..2]).await;
    controller.wait_until_checked(paths[2]).await;
    controller.expect_none_started();
    controller.respond(paths[0], TestResponse::Path);
    assert_eq!(next_path(&mut caller).await, paths[0]);
    controller.expect_none_started();
    controller.respond(paths[1], TestResponse::Path);
    assert_eq!(next_path(&mut caller).await, paths[1]);
    controller.expect_started(&paths[2..3]).await;
    controller.expect_none_started();
    controller.respond(paths[2], TestResponse::Path);
    assert_eq!(next_path(&mut caller).await, paths[2]);
    controller.expect_started(&paths[3..]).await;
    for path in &paths[3..] {
        controller.respond(path, TestResponse::Path);
        assert_eq!(next_path(&mut caller).await, *path);
    }
    assert_eq!(server.finish().await.requests, 5);
}

#[async_std::test]
async fn a_request_with_a_body_waits_and_gets_its_own_body() {
    let (controller, server, mut caller) = connected(quick_limits()).await;
    let put = "PUT /safe/body HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nGET / HTT";
    caller.send([&get("/safe/1"), put].concat()).await;
    controller.expect_started(&["/safe/1"]).await;
    controller.expect_none_started();
    controller.respond("/safe/1", TestResponse::Path);
    assert_eq!(next_path(&mut caller).await, "/safe/1");
    controller.expect_started(&["/safe/body"]).await;
    // The handler leaves the body unread, so the connection cannot be reused.
    controller.respond("/safe/body", TestResponse::Path);
    let last = caller.response().await.expect("a response");
    assert_eq!(last.header("connection"), Some("close"));
    assert_eq!(server.finish().await.requests, 2);
}

#[async_std::test]
async fn no_more_requests_run_than_allowed() {
    let limits = ServerLimits {
        max_pipelined_requests: 2,
        ..quick_limits()
    };
    let (controller, server, mut caller) = connected(limits).await;
    let paths = ["/safe/1", "/safe/2", "/safe/3", "/safe/4", "/safe/5"];
    caller.send(gets(&paths)).await;
    controller.expect_started(&paths[..3]).await;
    // A request that is answered before its turn keeps its slot.
    controller.respond(paths[1], TestResponse::Path);
    within(controller.dropped.recv()).await.expect("ended");
    controller.expect_none_started();
    controller.respond(paths[0], TestResponse::Path);
    assert_eq!(next_path(&mut caller).await, paths[0]);
    assert_eq!(next_path(&mut caller).await, paths[1]);
    controller.expect_started(&paths[3..]).await;
    for path in &paths[2..] {
        controller.respond(path, TestResponse::Path);
        assert_eq!(next_path(&mut caller).await, *path);
    }
    server.finish().await;
}

#[async_std::test]
async fn buffered_responses_delay_further_requests() {
    let limits = ServerLimits {
        max_pipelined_response_bytes: 100,
        ..quick_limits()
    };
    let (controller, server, mut caller) = connected(limits).await;
    caller.send(gets(&["/safe/1", "/safe/2"])).await;
    controller.expect_started(&["/safe/1", "/safe/2"]).await;
    controller.respond("/safe/2", TestResponse::Bytes(100));
    within(controller.dropped.recv()).await.expect("ended");
    caller.send(get("/safe/3")).await;
    controller.respond("/safe/1", TestResponse::Path);
    assert_eq!(next_path(&mut caller).await, "/safe/1");
    assert_eq!(next_path(&mut caller).await.len(), 100);
    let (path, connection) = controller.next_started().await;
    // It started when no response was buffered any more.
    assert_eq!(
        (path.as_str(), connection.unanswered_before),
        ("/safe/3", 0)
    );
    controller.respond("/safe/3", TestResponse::Path);
    assert_eq!(next_path(&mut caller).await, "/safe/3");
    server.finish().await;
}

#[async_std::test]
async fn a_disconnect_cancels_all_requests_of_the_caller() {
    let (controller, server, mut caller) = connected(quick_limits()).await;
    let paths = ["/safe/1", "/safe/2", "/safe/3", "/change/4"];
    caller.send(gets(&paths)).await;
    controller.expect_started(&paths[..3]).await;
    drop(caller);
    for _ in 0..3 {
        within(controller.dropped.recv()).await.expect("dropped");
    }
    let report = server.finish().await;
    controller.expect_none_started();
    assert_eq!((report.requests, report.hung_up), (3, 3));
}

#[async_std::test]
async fn a_graceful_stop_answers_started_requests_and_starts_no_more() {
    let (controller, server, mut caller) = connected(quick_limits()).await;
    let paths = ["/safe/1", "/safe/2", "/safe/3", "/change/4"];
    caller.send(gets(&paths)).await;
    controller.expect_started(&paths[..3]).await;
    controller.wait_until_checked(paths[3]).await;
    server.stop.stop();
    for path in &paths[..3] {
        controller.respond(path, TestResponse::Path);
        let response = caller.response().await.expect("a response");
        assert_eq!(response.text(), *path);
        let last = (*path == paths[2]).then_some("close");
        assert_eq!(response.header("connection"), last);
    }
    assert_eq!(caller.rest().await, b"");
    let report = server.finish().await;
    controller.expect_none_started();
    assert_eq!((report.requests, report.aborted), (3, 0));
}

#[async_std::test]
async fn a_close_requested_by_a_response_waits_for_started_requests() {
    let (controller, server, mut caller) = connected(quick_limits()).await;
    caller.send(gets(&["/safe/1", "/safe/2"])).await;
    controller.expect_started(&["/safe/1", "/safe/2"]).await;
    controller.respond("/safe/1", TestResponse::Close);
    let first = caller.response().await.expect("a response");
    assert_eq!(first.header("connection"), None);
    caller.send(get("/safe/3")).await;
    controller.respond("/safe/2", TestResponse::Path);
    let second = caller.response().await.expect("a response");
    assert_eq!(second.text(), "/safe/2");
    assert_eq!(second.header("connection"), Some("close"));
    assert_eq!(caller.rest().await, b"");
    assert_eq!(server.finish().await.requests, 2);
    controller.expect_none_started();
}

/// The response is larger than the socket buffers, so that the next request
/// arrives while it is being sent. If that request were started, it would run
/// and get no response.
#[async_std::test]
async fn no_request_starts_while_a_closing_response_is_being_sent() {
    let (controller, server, mut caller) = connected(quick_limits()).await;
    caller.send(get("/safe/1")).await;
    controller.expect_started(&["/safe/1"]).await;
    controller.respond("/safe/1", TestResponse::CloseAfter(32 * 1024 * 1024));
    caller.send(get("/safe/2")).await;
    assert!(caller.rest().await.len() > 32 * 1024 * 1024);
    assert_eq!(server.finish().await.requests, 1);
    controller.expect_none_started();
}

#[async_std::test]
async fn nothing_runs_behind_a_request_that_closes_the_connection() {
    let (controller, server, mut caller) = connected(quick_limits()).await;
    let closing = "GET /safe/2 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    let sent = [&get("/safe/1"), closing, &get("/safe/3")].concat();
    caller.send(sent).await;
    controller.expect_started(&["/safe/1", "/safe/2"]).await;
    controller.respond("/safe/2", TestResponse::Path);
    controller.respond("/safe/1", TestResponse::Path);
    assert_eq!(next_path(&mut caller).await, "/safe/1");
    let last = caller.response().await.expect("a response");
    assert_eq!(last.header("connection"), Some("close"));
    assert_eq!(caller.rest().await, b"");
    assert_eq!(server.finish().await.requests, 2);
    controller.expect_none_started();
}

#[async_std::test]
async fn invalid_bytes_are_refused_after_the_earlier_responses() {
    let (controller, server, mut caller) = connected(quick_limits()).await;
    let sent = [&gets(&["/safe/1", "/safe/2"]), "nonsense\r\n\r\n"].concat();
    caller.send(sent).await;
    controller.expect_started(&["/safe/1", "/safe/2"]).await;
    controller.respond("/safe/2", TestResponse::Path);
    controller.respond("/safe/1", TestResponse::Path);
    assert_eq!(next_path(&mut caller).await, "/safe/1");
    assert_eq!(next_path(&mut caller).await, "/safe/2");
    assert_eq!(caller.response().await.expect("a refusal").status, 400);
    assert_eq!(caller.rest().await, b"");
    let report = server.finish().await;
    assert_eq!((report.requests, report.refused_requests), (2, 1));
}

#[async_std::test]
async fn a_truncated_response_ends_later_requests_without_mixing_responses() {
    let (controller, server, mut caller) = connected(quick_limits()).await;
    caller.send(gets(&["/safe/1", "/safe/2"])).await;
    controller.expect_started(&["/safe/1", "/safe/2"]).await;
    controller.respond("/safe/2", TestResponse::Path);
    controller.respond("/safe/1", TestResponse::Short(200_000));
    let rest = String::from_utf8(caller.rest().await).expect("text");
    let (_, body) = rest.split_once("\r\n\r\n").expect("a head");
    assert!(!body.is_empty() && body.len() <= 200_000);
    assert!(
        body.bytes().all(|byte| byte == b'x'),
        "bytes of another response"
    );
    let report = server.finish().await;
    assert_eq!((report.truncated, report.abandoned), (1, 1));
}

#[async_std::test]
async fn a_response_that_fails_unsent_ends_no_later_request() {
    let (controller, server, mut caller) = connected(quick_limits()).await;
    caller.send(gets(&["/safe/1", "/safe/2"])).await;
    controller.expect_started(&["/safe/1", "/safe/2"]).await;
    controller.respond("/safe/1", TestResponse::Short(5));
    controller.respond("/safe/2", TestResponse::Path);
    assert_eq!(caller.response().await.expect("a response").status, 502);
    assert_eq!(next_path(&mut caller).await, "/safe/2");
    let report = server.finish().await;
    assert_eq!((report.truncated, report.abandoned), (1, 0));
}

#[async_std::test]
async fn the_time_of_a_request_counts_from_its_arrival() {
    let (controller, server, mut caller) = connected(quick_limits()).await;
    caller.send(gets(&["/safe/1", "/change/2"])).await;
    controller.expect_started(&["/safe/1"]).await;
    controller.wait_until_checked("/change/2").await;
    let read = Instant::now();
    controller.respond("/safe/1", TestResponse::Path);
    assert_eq!(next_path(&mut caller).await, "/safe/1");
    let (path, connection) = controller.next_started().await;
    assert_eq!(path, "/change/2");
    assert!(connection.read_at <= read);
    controller.respond("/change/2", TestResponse::Path);
    assert_eq!(next_path(&mut caller).await, "/change/2");
    server.finish().await;
}
