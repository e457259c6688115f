//! Opens connections and sets what the kernel does with them: it withdraws
//! what has not left when a connection ends, and notices peers that became
//! silent.

use std::io;
use std::net::{SocketAddr, TcpStream as StdStream};
use std::time::Duration;

use async_io::Async;
use async_std::net::TcpStream;
use rustix::net::sockopt;

/// Probes without an answer before a connection counts as broken.
const KEEPALIVE_PROBES: u32 = 2;
/// Shortest time that the kernel takes for probes.
const MIN_KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Opens a connection that resets when it is closed, as [`reset_on_close`]
/// says. With `dead_peer_timeout` it is watched as [`watch`] says.
pub(super) async fn connect(
    address: SocketAddr,
    dead_peer_timeout: Option<Duration>,
) -> io::Result<TcpStream> {
    // async-std lends no descriptor to set options on; this stream does.
    let stream = Async::<StdStream>::connect(address).await?;
    reset_on_close(stream.get_ref())?;
    if let Some(dead_peer_timeout) = dead_peer_timeout {
        enable_keepalive(stream.get_ref(), dead_peer_timeout)?;
    }
    Ok(TcpStream::from(stream.into_inner()?))
}

/// Makes the kernel throw away what has not left once `stream` is closed,
/// whoever closes it: an exchange that is given up, or the end of the process.
///
/// In an orderly close the kernel goes on sending: an order that was given up
/// behind a cut arrived up to six seconds later, when its keys had another
/// owner (7 of 8 days on which one machine was cut off from back ends).
fn reset_on_close(stream: &StdStream) -> io::Result<()> {
    sockopt::set_socket_linger(stream, Some(Duration::ZERO))?;
    Ok(())
}

/// Undoes [`reset_on_close`]: the peer sees an orderly end.
pub(super) fn close_gracefully(stream: &TcpStream) -> io::Result<()> {
    sockopt::set_socket_linger(stream, None)?;
    Ok(())
}

/// Breaks `stream` when its peer has been silent for about `dead_peer_timeout`, whether
/// bytes of ours wait for their receipt or nothing is sent at all.
fn enable_keepalive(stream: &StdStream, dead_peer_timeout: Duration) -> io::Result<()> {
    let interval = (dead_peer_timeout / (KEEPALIVE_PROBES + 1)).max(MIN_KEEPALIVE_INTERVAL);
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, interval)?;
    sockopt::set_tcp_keepintvl(stream, interval)?;
    sockopt::set_tcp_keepcnt(stream, KEEPALIVE_PROBES)?;
    let millis = u32::try_from(dead_peer_timeout.as_millis()).unwrap_or(u32::MAX);
    sockopt::set_tcp_user_timeout(stream, millis)?;
    Ok(())
}
