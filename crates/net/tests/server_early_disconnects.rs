//! Callers that disconnect before their requests are read: no work is done for
//! them.

mod support;

use std::future::poll_fn;
use std::net::Shutdown;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::Poll;

use async_std::net::TcpListener;
use http_types::{Request, Response};
use support::{RawCaller, TestServer, quick_limits};
use threadledge_net::ConnectionInfo;

const GET: &str = "GET /g HTTP/1.1\r\nhost: a\r\n\r\n";
/// Number of callers that disconnect at once; below the backlog of a listener.
const CALLERS: u64 = 100;

/// Connects callers that send a request and disconnect before they are
/// accepted.
async fn connect_and_disconnect(listener: &TcpListener, disconnect: impl Fn(&RawCaller)) {
    let address = listener.local_addr().unwrap();
    for _ in 0..CALLERS {
        let mut caller = RawCaller::connect(address).await;
        caller.send(GET).await;
        disconnect(&caller);
    }
}

/// Starts a server with these callers and one that stays connected, and checks
/// that it works only for that one.
async fn assert_only_the_connected_caller_is_served(listener: TcpListener) {
    let polls = Arc::new(AtomicU64::new(0));
    let counted = polls.clone();
    let handler = move |_request: Request, _connection: ConnectionInfo| {
        let polls = counted.clone();
        poll_fn(move |_context| {
            polls.fetch_add(1, Ordering::SeqCst);
            Poll::Ready(Response::new(200))
        })
    };
    let address = listener.local_addr().unwrap();
    let server = TestServer::start_on(listener, quick_limits(), handler);
    let mut connected = RawCaller::connect(address).await;
    connected.send(GET).await;
    assert_eq!(connected.response().await.unwrap().status, 200);
    drop(connected);
    let report = server.finish().await;
    assert_eq!(report.requests, CALLERS + 1);
    assert_eq!(polls.load(Ordering::SeqCst), 1);
    assert_eq!(report.hung_up, CALLERS);
}

#[async_std::test]
async fn no_work_is_done_for_callers_that_closed_before_they_were_read() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    connect_and_disconnect(&listener, |_caller| {}).await;
    assert_only_the_connected_caller_is_served(listener).await;
}

#[async_std::test]
async fn no_work_is_done_for_callers_that_shut_down_their_sending_side() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    connect_and_disconnect(&listener, |caller| {
        caller.stream.shutdown(Shutdown::Write).unwrap();
    })
    .await;
    assert_only_the_connected_caller_is_served(listener).await;
}
