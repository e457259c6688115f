//! Disconnects cancel requests, and graceful stops interrupt none.

mod support;

use std::time::Duration;

use async_std::channel::{self, Receiver, Sender};
use http_types::{Request, Response};
use support::{RawCaller, TestServer, quick_limits, within};
use threadledge_net::{ConnectionInfo, ServerLimits};

const GET: &str = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";

/// Reports when it is dropped.
struct Dropped(Sender<()>);

impl Drop for Dropped {
    fn drop(&mut self) {
        let _ = self.0.try_send(());
    }
}

/// Controls a handler that reports when it starts and when it is dropped, and
/// responds once it is released.
struct HandlerController {
    started: Receiver<()>,
    dropped: Receiver<()>,
    release: Sender<()>,
}

fn controlled_handler() -> (
    HandlerController,
    impl Fn(Request, ConnectionInfo) -> futures::future::BoxFuture<'static, Response> + Clone + Send,
) {
    let (started_sender, started) = channel::unbounded();
    let (dropped_sender, dropped) = channel::unbounded();
    let (release, released) = channel::unbounded::<()>();
    let handler = move |_request: Request, _connection: ConnectionInfo| {
        let guard = Dropped(dropped_sender.clone());
        let (started, released) = (started_sender.clone(), released.clone());
        let run = async move {
            let _guard = guard;
            let _ = started.send(()).await;
            let _ = released.recv().await;
            Response::new(200)
        };
        Box::pin(run) as futures::future::BoxFuture<'static, Response>
    };
    let controller = HandlerController {
        started,
        dropped,
        release,
    };
    (controller, handler)
}

#[async_std::test]
async fn a_disconnect_cancels_the_request() {
    let (controller, handler) = controlled_handler();
    let server = TestServer::start(quick_limits(), handler).await;
    let mut caller = RawCaller::connect(server.address).await;
    caller.send(GET).await;
    within(controller.started.recv()).await.unwrap();
    drop(caller);
    within(controller.dropped.recv()).await.unwrap();
    let report = server.finish().await;
    assert_eq!((report.requests, report.hung_up, report.aborted), (1, 1, 0));
}

#[async_std::test]
async fn bytes_sent_ahead_do_not_count_as_a_disconnect() {
    let (controller, handler) = controlled_handler();
    let server = TestServer::start(quick_limits(), handler).await;
    let mut caller = RawCaller::connect(server.address).await;
    caller.send(GET).await;
    within(controller.started.recv()).await.unwrap();
    caller.send(GET).await;
    controller.release.send(()).await.unwrap();
    assert_eq!(caller.response().await.unwrap().status, 200);
    within(controller.started.recv()).await.unwrap();
    controller.release.send(()).await.unwrap();
    assert_eq!(caller.response().await.unwrap().status, 200);
    assert_eq!(server.finish().await.hung_up, 0);
}

#[async_std::test]
async fn a_graceful_stop_answers_running_requests_and_announces_the_close() {
    let (controller, handler) = controlled_handler();
    let server = TestServer::start(quick_limits(), handler).await;
    let mut callers = Vec::new();
    for _ in 0..10 {
        let mut caller = RawCaller::connect(server.address).await;
        caller.send(GET).await;
        within(controller.started.recv()).await.unwrap();
        callers.push(caller);
    }
    let mut half_sent = RawCaller::connect(server.address).await;
    half_sent.send(&GET[..10]).await;
    server.stop.stop();
    half_sent.send(&GET[10..]).await;
    within(controller.started.recv()).await.unwrap();
    callers.push(half_sent);
    for _ in 0..callers.len() {
        controller.release.send(()).await.unwrap();
    }
    for mut caller in callers {
        let response = caller.response().await.unwrap();
        assert_eq!(response.status, 200);
        assert_eq!(response.header("connection"), Some("close"));
    }
    let report = server.finish().await;
    assert_eq!((report.requests, report.aborted), (11, 0));
}

#[async_std::test]
async fn a_graceful_stop_serves_connections_not_yet_accepted() {
    let (controller, handler) = controlled_handler();
    let server = TestServer::start(quick_limits(), handler).await;
    // The server may or may not have accepted the connection by then; in either
    // case the kernel has it, and its request must be answered.
    let mut caller = RawCaller::connect(server.address).await;
    caller.send(GET).await;
    server.stop.stop();
    controller.release.send(()).await.unwrap();
    assert_eq!(caller.response().await.unwrap().status, 200);
    assert_eq!(server.finish().await.aborted, 0);
}

#[async_std::test]
async fn a_graceful_stop_closes_idle_connections() {
    let (controller, handler) = controlled_handler();
    let server = TestServer::start(quick_limits(), handler).await;
    let mut caller = RawCaller::connect(server.address).await;
    caller.send(GET).await;
    controller.release.send(()).await.unwrap();
    assert_eq!(caller.response().await.unwrap().status, 200);
    let report = server.finish().await;
    assert_eq!(caller.rest().await, b"");
    assert_eq!((report.connections, report.aborted), (1, 0));
}

#[async_std::test]
async fn requests_beyond_the_drain_timeout_are_aborted_and_counted() {
    let (controller, handler) = controlled_handler();
    let limits = ServerLimits {
        drain_timeout: Duration::from_millis(50),
        ..quick_limits()
    };
    let server = TestServer::start(limits, handler).await;
    let mut caller = RawCaller::connect(server.address).await;
    caller.send(GET).await;
    within(controller.started.recv()).await.unwrap();
    let report = server.finish().await;
    assert_eq!((report.requests, report.aborted), (1, 1));
    assert_eq!(caller.rest().await, b"");
    within(controller.dropped.recv()).await.unwrap();
}
