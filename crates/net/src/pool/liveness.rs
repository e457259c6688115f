//! Notices peers that became silent, by probes of the kernel.

use std::io;
use std::net::{SocketAddr, TcpStream as StdStream};
use std::time::Duration;

use async_io::Async;
use async_std::net::TcpStream;
use rustix::net::sockopt;

/// Probes without an answer before a connection counts as broken.
const PROBES: u32 = 2;
/// Shortest time that the kernel takes for probes.
const SHORTEST: Duration = Duration::from_secs(1);

/// Opens a connection. With `silence` it is watched as [`watch`] says.
pub(super) async fn connect(
    address: SocketAddr,
    silence: Option<Duration>,
) -> io::Result<TcpStream> {
    let Some(silence) = silence else {
        return TcpStream::connect(address).await;
    };
    // async-std lends no descriptor to set options on; the stream below does.
    let stream = Async::<StdStream>::connect(address).await?;
    watch(stream.get_ref(), silence)?;
    Ok(TcpStream::from(stream.into_inner()?))
}

/// Breaks `stream` when its peer has been silent for about `silence`, whether
/// bytes of ours wait for their receipt or nothing is sent at all.
fn watch(stream: &StdStream, silence: Duration) -> io::Result<()> {
    let interval = (silence / (PROBES + 1)).max(SHORTEST);
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, interval)?;
    sockopt::set_tcp_keepintvl(stream, interval)?;
    sockopt::set_tcp_keepcnt(stream, PROBES)?;
    let millis = u32::try_from(silence.as_millis()).unwrap_or(u32::MAX);
    sockopt::set_tcp_user_timeout(stream, millis)?;
    Ok(())
}
