//! Tests of requests that the peer address refuses.

use threadledge::control_shell::PEER_PATH;
use threadledge_types::Timing;

use crate::world::World;

fn post(path: &str, body: &[u8]) -> http::Request<Vec<u8>> {
    http::Request::post(path)
        .body(body.to_vec())
        .expect("a valid request")
}

#[async_std::test]
async fn malformed_batch_is_refused_with_the_remedy() {
    let world = World::start(Timing::default()).await;
    let path = world.shell.safety().add_to_path(PEER_PATH);
    for body in [&b""[..], b"{", b"[]", br#"{"from": 1}"#, b"\xff\xfe"] {
        let (status, text) = world.send(post(&path, body)).await;
        assert_eq!(status, 400, "{text}");
        assert!(text.contains("run the same version"), "{text}");
    }
    assert_eq!(world.shell.with_node(|node| node.live_router_count()), 1);
}

#[async_std::test]
async fn other_paths_and_methods_are_refused_with_the_remedy() {
    let world = World::start(Timing::default()).await;
    let (status, text) = world.send(post("/other", b"{}")).await;
    assert_eq!(status, 404);
    assert!(text.contains(PEER_PATH), "{text}");
    let get = http::Request::get(PEER_PATH).body(Vec::new());
    let (status, text) = world.send(get.expect("a valid request")).await;
    assert_eq!(status, 405);
    assert!(text.contains("use POST"), "{text}");
}

#[async_std::test]
async fn oversized_batch_is_refused_before_it_is_read() {
    use async_std::io::{ReadExt, WriteExt};
    let world = World::start(Timing::default()).await;
    let path = world.shell.safety().add_to_path(PEER_PATH);
    let mut stream = async_std::net::TcpStream::connect(world.peer_address)
        .await
        .expect("connected");
    let head = format!("POST {path} HTTP/1.1\r\nhost: router\r\ncontent-length: 300000000\r\n\r\n");
    stream.write_all(head.as_bytes()).await.expect("sent");
    let mut answer = [0; 12];
    stream.read_exact(&mut answer).await.expect("an answer");
    assert_eq!(&answer, b"HTTP/1.1 413");
}
