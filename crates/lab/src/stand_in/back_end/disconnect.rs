//! Detects that the peer closed a connection.

use async_std::net::TcpStream;
use futures::future::pending;

/// Completes when the peer closes or resets the connection. Never completes
/// if the peer sends more bytes, because it is then still connected.
pub(super) async fn until_disconnect(stream: &TcpStream) {
    let mut byte = [0_u8; 1];
    match stream.peek(&mut byte).await {
        Ok(0) | Err(_) => {}
        Ok(_) => pending().await,
    }
}
