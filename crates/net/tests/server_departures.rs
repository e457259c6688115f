//! Callers that left before their requests were looked at: nothing is done
//! for them.

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
/// Callers that leave at once; fewer than a listener holds back.
const CALLERS: u64 = 100;

/// Callers that have sent a request and left before anybody accepted them.
async fn callers_that_left(listener: &TcpListener, leave: impl Fn(&RawCaller)) {
    let address = listener.local_addr().unwrap();
    for _ in 0..CALLERS {
        let mut caller = RawCaller::connect(address).await;
        caller.send(GET).await;
        leave(&caller);
    }
}

/// A server takes these callers and one that stays, and works for that one.
async fn only_the_one_that_stays_is_served(listener: TcpListener) {
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
    let mut stays = RawCaller::connect(address).await;
    stays.send(GET).await;
    assert_eq!(stays.response().await.unwrap().status, 200);
    drop(stays);
    let report = server.finish().await;
    assert_eq!(report.requests, CALLERS + 1);
    assert_eq!(polls.load(Ordering::SeqCst), 1);
    assert_eq!(report.hung_up, CALLERS);
}

#[async_std::test]
async fn nothing_is_done_for_callers_that_closed_before_they_were_read() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    callers_that_left(&listener, |_caller| {}).await;
    only_the_one_that_stays_is_served(listener).await;
}

#[async_std::test]
async fn nothing_is_done_for_callers_that_shut_down_their_sending_side() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    callers_that_left(&listener, |caller| {
        caller.stream.shutdown(Shutdown::Write).unwrap();
    })
    .await;
    only_the_one_that_stays_is_served(listener).await;
}
