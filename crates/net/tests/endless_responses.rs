//! Responses that go on for as long as the connection is open.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use async_std::channel::{self, Receiver};
use async_std::net::TcpListener;
use futures::{AsyncReadExt, AsyncWriteExt};
use http_types::{Method, Request, Url};
use support::{RawCaller, SAFETY, read_request_head, within};
use threadledge_net::{
    BodyTimeouts, ClientError, ExchangeFault, HttpClient, Instant, Pool, PoolSettings,
    UnframedBodies,
};

/// Limit of the clients in these tests, in bytes.
const LIMIT: u64 = 4 * 1024;
/// Bytes of each write of a peer.
const PART_BYTES: usize = 64 * 1024;

/// Time for a body that has no end.
const TIME_FOR_BODY: Duration = Duration::from_millis(500);
/// More than is read after a deadline because it may have arrived before.
const MAX_LATE_BYTES: usize = 2 * 1024 * 1024;

const ANNOUNCED: &str = "HTTP/1.1 200 OK\r\ncontent-length: 900000000000\r\n\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
const UNFRAMED: &str = "HTTP/1.1 200 OK\r\n\r\n";

/// One response: what is sent once and what is sent again and again after it.
#[derive(Clone, Copy)]
struct Endless {
    start: &'static str,
    repeated: &'static str,
}

const BODIES: [Endless; 3] = [
    Endless {
        start: ANNOUNCED,
        repeated: "aaaaaaaa",
    },
    Endless {
        start: CHUNKED,
        repeated: "8\r\naaaaaaaa\r\n",
    },
    Endless {
        start: UNFRAMED,
        repeated: "aaaaaaaa",
    },
];

const HEADS: [Endless; 4] = [
    Endless {
        start: "HTTP/1.1 200 ",
        repeated: "a",
    },
    Endless {
        start: "HTTP/1.1 200 OK\r\n",
        repeated: "x-more: a\r\n",
    },
    Endless {
        start: "",
        repeated: "HTTP/1.1 100 Continue\r\n\r\n",
    },
    Endless {
        start: "",
        repeated: "nothing",
    },
];

/// A peer that answers each request with `response` until its connection
/// closes, and tells when that has happened.
async fn peer(response: Endless) -> (SocketAddr, Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (closed_sender, closed) = channel::unbounded();
    async_std::task::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let mut caller = RawCaller::from(stream);
            read_request_head(&mut caller).await;
            let mut stream = caller.stream;
            let part = response
                .repeated
                .repeat(PART_BYTES / response.repeated.len());
            let mut sent = stream.write_all(response.start.as_bytes()).await;
            while sent.is_ok() {
                sent = stream.write_all(part.as_bytes()).await;
            }
            let _ = closed_sender.send(()).await;
        }
    });
    (address, closed)
}

/// A peer that sends the head of a response and `body`, and nothing more until
/// its connection closes.
async fn pausing_peer(head: &'static str, body: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    async_std::task::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        let mut caller = RawCaller::from(stream);
        read_request_head(&mut caller).await;
        caller.send(head).await;
        caller.send(body).await;
        let _ = caller.stream.read_to_end(&mut Vec::new()).await;
    });
    address
}

fn client() -> HttpClient {
    HttpClient::new(PoolSettings {
        max_body_bytes: LIMIT,
        unframed_bodies: UnframedBodies::ReadUntilClose,
        ..PoolSettings::default()
    })
}

fn get(address: SocketAddr) -> Request {
    let url = Url::parse(&format!("http://{address}/")).unwrap();
    Request::new(Method::Get, url)
}

fn http_get() -> http::Request<Vec<u8>> {
    http::Request::get("/").body(Vec::new()).unwrap()
}

#[async_std::test]
async fn endless_head_is_refused_and_its_connection_closed() {
    for response in HEADS {
        let (address, closed) = peer(response).await;
        let pool = Pool::new(PoolSettings::default());
        let deadline = Instant::now() + 2 * SAFETY;
        let error = within(pool.exchange(address, get(address), deadline)).await;
        let fault = error.unwrap_err().fault;
        assert!(matches!(fault, ExchangeFault::Malformed(_)), "{fault}");
        within(closed.recv()).await.unwrap();
    }
}

#[async_std::test]
async fn endless_body_is_refused_at_the_limit_and_its_connection_closed() {
    for response in BODIES {
        let (address, closed) = peer(response).await;
        let error = within(client().send(address, http_get(), 2 * SAFETY)).await;
        let error = error.unwrap_err();
        let too_large = matches!(error, ClientError::ResponseTooLarge { limit: LIMIT, .. });
        assert!(too_large, "{error}");
        assert!(error.may_have_been_received());
        within(closed.recv()).await.unwrap();
    }
}

/// The rest of the body never comes, so that only the head can tell.
#[async_std::test]
async fn body_announced_above_the_limit_is_refused_without_reading_it() {
    let address = pausing_peer(ANNOUNCED, "a".to_owned()).await;
    let error = within(client().send(address, http_get(), 2 * SAFETY)).await;
    assert!(matches!(error, Err(ClientError::ResponseTooLarge { .. })));
    let address = pausing_peer(ANNOUNCED, "a".to_owned()).await;
    let body_timeouts = BodyTimeouts {
        idle: 2 * SAFETY,
        total: 2 * SAFETY,
    };
    let client = client();
    let sending = client.send_with_body_timeouts(address, http_get(), SAFETY, body_timeouts);
    let error = within(sending).await;
    assert!(matches!(error, Err(ClientError::ResponseTooLarge { .. })));
}

/// Nobody ever waits for a sender that does not pause.
#[async_std::test]
async fn body_that_never_pauses_ends_soon_after_its_deadline() {
    for response in BODIES {
        let (address, closed) = peer(response).await;
        let pool = Pool::new(PoolSettings {
            unframed_bodies: UnframedBodies::ReadUntilClose,
            ..PoolSettings::default()
        });
        let deadline = Instant::now() + TIME_FOR_BODY;
        let mut response = within(pool.exchange(address, get(address), deadline))
            .await
            .unwrap();
        let mut part = vec![0; PART_BYTES];
        let mut late_bytes = 0;
        let error = loop {
            let is_late = Instant::now() >= deadline;
            match response.read(&mut part).await {
                Ok(count) if is_late => late_bytes += count,
                Ok(_) => {}
                Err(error) => break error,
            }
            assert!(late_bytes <= MAX_LATE_BYTES, "read after the deadline");
        };
        assert_eq!(error.kind(), std::io::ErrorKind::TimedOut);
        within(closed.recv()).await.unwrap();
    }
}
