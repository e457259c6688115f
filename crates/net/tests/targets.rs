//! The target of a request stays as its sender wrote it, through the server and
//! through the pool.

mod support;

use std::net::SocketAddr;

use http_types::{Request, Response};
use support::{RawCaller, TestServer, echo, quick_limits, soon, within};
use threadledge_net::{ConnectionInfo, Pool, PoolSettings, target};

const TARGETS: [&str; 10] = [
    "/",
    "/a?b",
    "/a?",
    "/a/../b?c/../d",
    "/a/./%2e%2E//",
    "/%7Euser/{id}",
    "/a'b|c\\d?name=O'Brien",
    "http://host/a/../b",
    "http://host",
    "http://host?a={b}",
];

fn sent_on(target: &str) -> String {
    let path = target.strip_prefix("http://host").unwrap_or(target);
    match path.starts_with('/') {
        true => path.to_owned(),
        false => format!("/{path}"),
    }
}

/// Answers with the target, and its path and query apart.
async fn tell_target(mut request: Request, _connection: ConnectionInfo) -> Response {
    request.body_bytes().await.expect("the whole body");
    let path = target::path(&request);
    let query = target::query(&request);
    let mut response = Response::new(200);
    let whole = target::path_and_query(&request);
    response.set_body(format!("{whole} {path} {query:?}"));
    response
}

async fn ask(caller: &mut RawCaller, target: &str) -> String {
    let head = format!("POST {target} HTTP/1.1\r\nhost: host\r\ncontent-length: 3\r\n\r\n");
    caller.send(head + "abc").await;
    caller.response().await.expect("an answer").text()
}

fn expected(target: &str) -> String {
    let whole = sent_on(target);
    let (path, query) = match whole.split_once('?') {
        Some((path, query)) => (path, Some(query)),
        None => (whole.as_str(), None),
    };
    format!("{whole} {path} {query:?}")
}

#[async_std::test]
async fn server_keeps_targets_that_a_url_would_change() {
    let server = TestServer::start(quick_limits(), tell_target).await;
    let mut caller = RawCaller::connect(server.address).await;
    for target in TARGETS {
        assert_eq!(ask(&mut caller, target).await, expected(target));
    }
    server.finish().await;
}

#[async_std::test]
async fn pool_sends_targets_as_they_came_on_kept_connections() {
    let back_end = TestServer::start(quick_limits(), tell_target).await;
    let pool = Pool::new(PoolSettings::default());
    let address: SocketAddr = back_end.address;
    let forward = move |request: Request, _connection: ConnectionInfo| {
        let pool = pool.clone();
        async move {
            let response = within(pool.exchange(address, request, soon())).await;
            response.expect("an answer")
        }
    };
    let server = TestServer::start(quick_limits(), forward).await;
    let mut caller = RawCaller::connect(server.address).await;
    for target in TARGETS {
        assert_eq!(ask(&mut caller, target).await, expected(target));
    }
    server.finish().await;
    back_end.finish().await;
}

/// The request line is replaced and the body behind it is not.
#[async_std::test]
async fn pool_sends_the_body_behind_a_target_whole() {
    let back_end = TestServer::start(quick_limits(), echo).await;
    let pool = Pool::new(PoolSettings::default());
    let address: SocketAddr = back_end.address;
    let forward = move |request: Request, _connection: ConnectionInfo| {
        let pool = pool.clone();
        async move {
            let response = within(pool.exchange(address, request, soon())).await;
            response.expect("an answer")
        }
    };
    let server = TestServer::start(quick_limits(), forward).await;
    let mut caller = RawCaller::connect(server.address).await;
    let answer = ask(&mut caller, "/a/../b").await;
    assert!(answer.ends_with(" abc"), "{answer}");
    server.finish().await;
    back_end.finish().await;
}
