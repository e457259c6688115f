//! Opens connections and sets their socket options, so that the kernel discards
//! unsent bytes when a connection is closed and detects silent peers.

use std::io;
use std::net::{SocketAddr, TcpStream as StdStream};
use std::time::Duration;

use async_io::Async;
use async_std::net::TcpStream;
use rustix::net::sockopt;

/// Unanswered keepalive probes after which a connection counts as broken.
const KEEPALIVE_PROBES: u32 = 2;
/// Shortest keepalive interval that the kernel accepts.
const MIN_KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Opens a connection that is reset when it is closed (see [`reset_on_close`]).
/// With `dead_peer_timeout`, keepalive is enabled (see [`enable_keepalive`]).
pub(super) async fn connect(
    address: SocketAddr,
    dead_peer_timeout: Option<Duration>,
) -> io::Result<TcpStream> {
    // The async-std stream gives no access to its file descriptor for setting
    // options; this one does.
    let stream = Async::<StdStream>::connect(address).await?;
    reset_on_close(stream.get_ref())?;
    if let Some(dead_peer_timeout) = dead_peer_timeout {
        enable_keepalive(stream.get_ref(), dead_peer_timeout)?;
    }
    Ok(TcpStream::from(stream.into_inner()?))
}

/// Makes the kernel discard unsent bytes once `stream` is closed, whether by
/// dropping an exchange or by the end of the process.
///
/// After a graceful close the kernel continues to send: a cancelled order
/// behind a network partition arrived up to six seconds later, when its keys
/// had another owner (on 7 of 8 days on which one machine was partitioned from
/// back ends).
fn reset_on_close(stream: &StdStream) -> io::Result<()> {
    sockopt::set_socket_linger(stream, Some(Duration::ZERO))?;
    Ok(())
}

/// Undoes [`reset_on_close`], so that the peer sees a graceful close.
pub(super) fn close_gracefully(stream: &TcpStream) -> io::Result<()> {
    sockopt::set_socket_linger(stream, None)?;
    Ok(())
}

/// Makes `stream` fail when its peer has been silent for about
/// `dead_peer_timeout`, whether sent bytes are unacknowledged or nothing is
/// sent.
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
