//! Free loopback ports.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// Finds `count` addresses on 127.0.0.1 that were free a moment ago. All are
/// held at once before any is given out, so that they differ.
///
/// # Errors
///
/// The machine has no free ports.
pub(super) fn free_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    let listeners: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0)))
        .collect::<io::Result<_>>()?;
    listeners.iter().map(TcpListener::local_addr).collect()
}
