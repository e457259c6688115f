//! Responses that name the request that they answer, and some that do not.

mod support;

use std::net::SocketAddr;

use async_std::channel::{self, Receiver};
use async_std::net::TcpListener;
use futures::AsyncReadExt;
use http_types::{Method, Request, Url};
use support::{RawCaller, read_request_head, soon, within};
use threadledge_net::{ExchangeFault, Pool, PoolSettings, RequestIdentity, ResponseIds, Unpaired};

const ID: &str = "x-id";
/// Entry of a script after which the peer closes the connection.
const CLOSE: &str = "close";

/// A response with a body, to the request with this id.
fn answer(id: &str) -> String {
    format!("HTTP/1.1 200 OK\r\n{ID}: {id}\r\ncontent-length: 2\r\n\r\n{id}{id}")
}

/// A response without a body, to the request with this id.
fn rejection(id: &str) -> String {
    format!("HTTP/1.1 503 Service Unavailable\r\n{ID}: {id}\r\ncontent-length: 0\r\n\r\n")
}

/// A response that names no request.
fn nameless() -> String {
    "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n".to_owned()
}

/// A peer that sends the next entry of its script for each request, with one
/// list of entries per connection. Reports accepted connections.
async fn peer(script: Vec<Vec<String>>) -> (SocketAddr, Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, accepted) = channel::unbounded();
    async_std::task::spawn(async move {
        for answers in script {
            let Ok((stream, _)) = listener.accept().await else {
                return;
            };
            let _ = sender.send(()).await;
            async_std::task::spawn(async move {
                let mut caller = RawCaller::from(stream);
                for response in answers {
                    if response == CLOSE {
                        return;
                    }
                    if read_request_head(&mut caller).await {
                        caller.send(response).await;
                    }
                }
                caller.rest().await;
            });
        }
    });
    (address, accepted)
}

fn pool() -> Pool {
    Pool::new(PoolSettings {
        response_ids: ResponseIds::Required(ID),
        ..PoolSettings::default()
    })
}

/// Sends a request and returns the status of its response.
async fn send(pool: &Pool, address: SocketAddr, id: Option<&str>) -> Result<u16, ExchangeFault> {
    let (status, _body) = exchange(pool, address, id, Method::Post).await?;
    Ok(status)
}

/// Sends a request and returns the status and body of its response.
async fn exchange(
    pool: &Pool,
    address: SocketAddr,
    id: Option<&str>,
    method: Method,
) -> Result<(u16, String), ExchangeFault> {
    let identity = id.map(RequestIdentity::of);
    let opened = within(pool.checkout_for(address, identity, None, soon())).await;
    let connection = opened.map_err(|error| error.fault)?;
    let url = Url::parse(&format!("http://{address}/")).unwrap();
    let request = Request::new(method, url);
    let exchanged = within(connection.exchange(request, soon())).await;
    let mut response = exchanged.map_err(|error| error.fault)?;
    let mut body = String::new();
    within(response.read_to_string(&mut body)).await.unwrap();
    Ok((response.status().into(), body))
}

/// Sends request "a", then request "b", and returns the response to "b".
async fn exchange_b(script: Vec<Vec<String>>) -> Result<(u16, String), ExchangeFault> {
    let (address, _accepted) = peer(script).await;
    let pool = pool();
    exchange(&pool, address, Some("a"), Method::Post).await?;
    let exchanged = exchange(&pool, address, Some("b"), Method::Post).await;
    assert_eq!(pool.open_connections(address), (0, 0));
    exchanged
}

#[async_std::test]
async fn response_without_an_id_is_never_that_of_a_request_on_a_used_connection() {
    let script = vec![vec![answer("a"), nameless()], vec![answer("c")]];
    let (address, accepted) = peer(script).await;
    let pool = pool();
    assert_eq!(send(&pool, address, Some("a")).await.unwrap(), 200);
    let fault = send(&pool, address, Some("b")).await.unwrap_err();
    assert!(matches!(
        fault,
        ExchangeFault::Unpaired(Unpaired::NoRequest)
    ));
    assert_eq!(send(&pool, address, Some("c")).await.unwrap(), 200);
    assert_eq!(accepted.len(), 2);
}

#[async_std::test]
async fn response_without_an_id_is_that_of_the_only_request_of_its_connection() {
    let script = vec![vec![nameless(), nameless()], vec![answer("b")]];
    let (address, accepted) = peer(script).await;
    let pool = pool();
    assert_eq!(send(&pool, address, Some("a")).await.unwrap(), 503);
    assert_eq!(pool.open_connections(address), (0, 0));
    assert_eq!(send(&pool, address, Some("b")).await.unwrap(), 200);
    assert_eq!(accepted.len(), 2);
}

#[async_std::test]
async fn peer_that_omits_ids_gets_each_further_request_on_a_connection_of_its_own() {
    let script = vec![
        vec![answer("a"), nameless()],
        vec![nameless()],
        vec![answer("d")],
        vec![answer("e")],
    ];
    let (address, accepted) = peer(script).await;
    let pool = pool();
    assert_eq!(send(&pool, address, Some("a")).await.unwrap(), 200);
    send(&pool, address, Some("b")).await.unwrap_err();
    assert_eq!(send(&pool, address, Some("c")).await.unwrap(), 503);
    assert_eq!(send(&pool, address, Some("d")).await.unwrap(), 200);
    assert_eq!(pool.open_connections(address), (0, 0));
    assert_eq!(send(&pool, address, Some("e")).await.unwrap(), 200);
    assert_eq!(accepted.len(), 4);
}

#[async_std::test]
async fn connection_of_an_unpaired_response_without_a_body_is_not_used_again() {
    let script = vec![vec![rejection("a"), rejection("z")], vec![answer("c")]];
    let (address, accepted) = peer(script).await;
    let pool = pool();
    assert_eq!(send(&pool, address, Some("a")).await.unwrap(), 503);
    let fault = send(&pool, address, Some("b")).await.unwrap_err();
    assert!(matches!(fault, ExchangeFault::Unpaired(_)));
    assert_eq!(pool.open_connections(address), (0, 0));
    assert_eq!(send(&pool, address, Some("c")).await.unwrap(), 200);
    assert_eq!(accepted.len(), 2);
}

#[async_std::test]
async fn response_that_names_an_unknown_request_is_not_passed_on() {
    let (address, _accepted) = peer(vec![vec![answer("z")]]).await;
    let fault = send(&pool(), address, Some("a")).await.unwrap_err();
    assert!(matches!(
        fault,
        ExchangeFault::Unpaired(Unpaired::OtherRequest)
    ));
}

#[async_std::test]
async fn request_without_an_id_uses_a_connection_of_its_own() {
    let script = vec![vec![answer("a"), answer("b")], vec![nameless()]];
    let (address, accepted) = peer(script).await;
    let pool = pool();
    assert_eq!(send(&pool, address, Some("a")).await.unwrap(), 200);
    assert_eq!(send(&pool, address, None).await.unwrap(), 503);
    assert_eq!(accepted.len(), 2);
    assert_eq!(pool.open_connections(address), (0, 1));
    assert_eq!(send(&pool, address, Some("b")).await.unwrap(), 200);
    assert_eq!(accepted.len(), 2);
}

#[async_std::test]
async fn repeated_response_in_the_packet_of_the_first_closes_the_connection() {
    for start in [17, usize::MAX] {
        // Only its start, or the whole of it.
        let repeated: String = answer("a").chars().take(start).collect();
        let script = vec![vec![answer("a") + &repeated], vec![answer("b")]];
        let (address, accepted) = peer(script).await;
        let pool = pool();
        assert_eq!(send(&pool, address, Some("a")).await.unwrap(), 200);
        assert_eq!(send(&pool, address, Some("b")).await.unwrap(), 200);
        assert_eq!(accepted.len(), 2);
    }
}

/// Guards against 502 for a request that its back end answered.
#[async_std::test]
async fn repeated_response_to_an_earlier_request_costs_the_next_request_nothing() {
    let chunked = format!(
        "HTTP/1.1 200 OK\r\n{ID}: a\r\ntransfer-encoding: chunked\r\n\r\n2\r\naa\r\n0\r\n\r\n"
    );
    for repeated in [answer("a"), rejection("a"), chunked] {
        let script = vec![vec![answer("a"), repeated + &answer("b")]];
        assert_eq!(exchange_b(script).await.unwrap(), (200, "bb".to_owned()));
    }
}

#[async_std::test]
async fn repeated_response_cut_at_any_byte_never_yields_another_response() {
    for repeated in [answer("a"), rejection("a")] {
        for cut in 1..repeated.len() {
            let second = repeated[..cut].to_owned() + &answer("b");
            let script = vec![vec![answer("a"), second, CLOSE.to_owned()]];
            exchange_b(script).await.unwrap_err();
        }
    }
}

#[async_std::test]
async fn repeated_response_whose_end_is_unknown_is_not_passed_over() {
    let closing = answer("a").replace("content-length", "connection: close\r\ncontent-length");
    let unframed = format!("HTTP/1.1 200 OK\r\n{ID}: a\r\n\r\n");
    let large = format!(
        "HTTP/1.1 200 OK\r\n{ID}: a\r\ncontent-length: 65537\r\n\r\n{}",
        "a".repeat(65_537)
    );
    let twice = answer("a") + &answer("a");
    for repeated in [closing, unframed, large, twice] {
        let script = vec![vec![answer("a"), repeated + &answer("b")]];
        exchange_b(script).await.unwrap_err();
    }
}

#[async_std::test]
async fn repeated_response_to_a_head_request_is_not_passed_over() {
    let head = format!("HTTP/1.1 200 OK\r\n{ID}: a\r\ncontent-length: 2\r\n\r\n");
    let script = vec![vec![head.clone(), head + &answer("b")]];
    let (address, _accepted) = peer(script).await;
    let pool = pool();
    let first = exchange(&pool, address, Some("a"), Method::Head).await;
    assert_eq!(first.unwrap(), (200, String::new()));
    let fault = send(&pool, address, Some("b")).await.unwrap_err();
    assert!(matches!(fault, ExchangeFault::Unpaired(Unpaired::Repeated)));
}

#[async_std::test]
async fn head_request_passes_over_a_repeated_response_with_a_body() {
    let head = format!("HTTP/1.1 200 OK\r\n{ID}: b\r\ncontent-length: 2\r\n\r\n");
    let script = vec![vec![answer("a"), answer("a") + &head]];
    let (address, _accepted) = peer(script).await;
    let pool = pool();
    assert_eq!(send(&pool, address, Some("a")).await.unwrap(), 200);
    let second = exchange(&pool, address, Some("b"), Method::Head).await;
    assert_eq!(second.unwrap(), (200, String::new()));
}
