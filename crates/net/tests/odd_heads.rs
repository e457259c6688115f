//! Responses whose head is not one of HTTP/1.1: no way of reading a response
//! accepts them. Orders, probes, calls to the store and messages of peers are
//! read in these ways.

mod support;

use std::net::SocketAddr;

use http_types::{Method, Request, Url};
use support::{SAFETY, peer_with_script, soon, within};
use threadledge_net::{
    BodyTimeouts, ClientError, ConnectionChoice, ExchangeFault, HttpClient, Pool, PoolSettings,
    UnframedBodies,
};

/// Rest of a whole response after its status line.
const REST: &str = "content-length: 2\r\n\r\nok";
/// Status lines, after the version, that are not valid.
const STATUSES: [&str; 14] = [
    "000 OK", "000", "001 OK", "099 OK", "600 OK", "999 OK", "2000 OK", "20 OK", "2 OK", "+20 OK",
    "-20 OK", "2x0 OK", "OK", "",
];
/// Versions that are not the one of the request.
const VERSIONS: [&str; 7] = [
    "HTTP/1.0", "HTTP/1.2", "HTTP/2.0", "HTTP/11", "http/1.1", "HTTP", "",
];
/// Header lines that are not valid.
const LINES: [&str; 23] = [
    "x name: a",
    "x-name : a",
    "x-name\t: a",
    "x\tname: a",
    " x-name: a",
    "\tx-name: a",
    "x\u{0}name: a",
    "x\u{1}name: a",
    "x\u{7f}name: a",
    "x\u{e9}name: a",
    "x(name: a",
    "x@name: a",
    ": a",
    "x-name",
    "x-name: a\r\n folded",
    "x-name: \u{0}",
    "x-name: \u{7f}",
    "Transfer-Encoding : chunked",
    "Transfer-Encoding\u{b}: chunked",
    "Transfer-Encoding: chunked, identity",
    "Content-Length : 9",
    "Content-Length: +2",
    "Content-Length: 2, 2",
];

fn odd_responses() -> Vec<String> {
    let statuses = STATUSES.map(|status| format!("HTTP/1.1 {status}\r\n{REST}"));
    let versions = VERSIONS.map(|version| format!("{version} 200 OK\r\n{REST}"));
    let lines = LINES.map(|line| format!("HTTP/1.1 200 OK\r\n{line}\r\n{REST}"));
    let all = statuses.into_iter().chain(versions).chain(lines);
    all.collect()
}

/// A peer that sends `response` on each of several connections.
async fn peer(response: &str) -> SocketAddr {
    peer_with_script(vec![response.as_bytes().to_vec(); 8]).await
}

fn request() -> http::Request<Vec<u8>> {
    http::Request::get("/path").body(Vec::new()).unwrap()
}

#[async_std::test]
async fn odd_heads_are_no_responses_to_exchanges() {
    for response in odd_responses() {
        for unframed_bodies in [UnframedBodies::Refuse, UnframedBodies::ReadUntilClose] {
            let address = peer(&response).await;
            let pool = Pool::new(PoolSettings {
                unframed_bodies,
                ..PoolSettings::default()
            });
            let url = Url::parse(&format!("http://{address}/")).unwrap();
            let request = Request::new(Method::Get, url);
            let received = within(pool.exchange(address, request, soon())).await;
            let fault = received.unwrap_err().fault;
            let is_malformed = matches!(fault, ExchangeFault::Malformed(_));
            assert!(is_malformed, "{response:?}: {fault}");
        }
    }
}

#[async_std::test]
async fn odd_heads_are_no_responses_to_calls() {
    let body_timeouts = BodyTimeouts {
        idle: SAFETY,
        total: SAFETY,
    };
    for response in odd_responses() {
        let address = peer(&response).await;
        let client = HttpClient::default();
        let sent = within(client.send(address, request(), SAFETY)).await;
        let choice = ConnectionChoice::New;
        let held = within(client.send_held(address, choice, request(), SAFETY)).await;
        let large = client.send_with_body_timeouts(address, request(), SAFETY, body_timeouts);
        let large = within(large).await;
        let lines = within(client.get_json_lines(address, "/path", SAFETY)).await;
        for error in [sent.err(), held.err(), large.err(), lines.err()] {
            let error = error.unwrap_or_else(|| panic!("{response:?} was accepted"));
            let is_broken = matches!(error, ClientError::Broken(_));
            assert!(is_broken, "{response:?}: {error}");
        }
    }
}
