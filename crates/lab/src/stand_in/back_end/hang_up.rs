//! Notices that the other side of a connection went away.

use async_std::net::TcpStream;
use futures::future::pending;

/// Completes when the peer closed or reset the connection. Never completes
/// once the peer sent more bytes: it is still there.
pub(super) async fn hang_up(stream: &TcpStream) {
    let mut byte = [0_u8; 1];
    match stream.peek(&mut byte).await {
        Ok(0) | Err(_) => {}
        Ok(_) => pending().await,
    }
}
