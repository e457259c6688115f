//! Responses whose status code has no name in http-types.

mod support;

use std::net::SocketAddr;

use async_std::net::TcpStream;
use http_types::{Method, Request, Response, Url};
use support::{RawCaller, SAFETY, TestServer, peer_with_script, quick_limits, soon, within};
use threadledge_net::{ConnectionInfo, HttpClient, Pool, PoolSettings, status};

/// Status lines after the version, with their codes.
const STATUSES: [(&str, u16); 7] = [
    ("218 Fine", 218),
    ("299 ", 299),
    ("306", 306),
    ("420 Calm", 420),
    ("499 A reason of several words, with 200 in it", 499),
    ("520 ", 520),
    ("599 Last", 599),
];

async fn peer(status: &str) -> SocketAddr {
    let response = format!("HTTP/1.1 {status}\r\nx-name: a\r\ncontent-length: 2\r\n\r\nok");
    peer_with_script(vec![response.into_bytes(); 2]).await
}

async fn exchange(to: SocketAddr) -> Response {
    let url = Url::parse(&format!("http://{to}/")).unwrap();
    let pool = Pool::new(PoolSettings::default());
    let request = Request::new(Method::Get, url);
    within(pool.exchange(to, request, soon())).await.unwrap()
}

#[async_std::test]
async fn code_without_a_name_is_read_and_treated_as_one_of_its_class() {
    for (line, code) in STATUSES {
        let address = peer(line).await;
        let response = exchange(address).await;
        assert_eq!(status::code(&response), code);
        assert_eq!(u16::from(response.status()), code / 100 * 100);
        let request = http::Request::get("/").body(Vec::new()).unwrap();
        let client = HttpClient::default();
        let sent = within(client.send(address, request, SAFETY)).await.unwrap();
        assert_eq!(sent.status().as_u16(), code);
    }
}

#[async_std::test]
async fn response_before_the_final_one_needs_no_name() {
    for code in [102, 104, 199] {
        let bytes =
            format!("HTTP/1.1 {code} Wait\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
        let address = peer_with_script(vec![bytes.into_bytes()]).await;
        assert_eq!(status::code(&exchange(address).await), 200);
    }
}

/// A server that passes on the responses of a peer.
async fn relay(to: SocketAddr) -> TestServer {
    let handler = move |_: Request, _: ConnectionInfo| exchange(to);
    TestServer::start(quick_limits(), handler).await
}

#[async_std::test]
async fn code_without_a_name_is_passed_on() {
    for (line, code) in STATUSES {
        for method in ["GET", "HEAD"] {
            let server = relay(peer(line).await).await;
            let stream = TcpStream::connect(server.address).await.unwrap();
            let mut caller = RawCaller::from(stream);
            let request = format!("{method} / HTTP/1.1\r\nhost: a\r\n\r\n");
            caller.send(request).await;
            let response = caller.response_to(method).await.unwrap();
            let status_line = response.head.lines().next().unwrap();
            assert_eq!(status_line, format!("HTTP/1.1 {code} "));
            assert_eq!(response.header("x-name"), Some("a"));
            let body = if method == "GET" { "ok" } else { "" };
            assert_eq!(response.text(), body);
            drop(caller);
            server.finish().await;
        }
    }
}
