//! Finds free loopback ports.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

/// Range of ports to try. It lies below the default ephemeral port range, so
/// that no outgoing connection of a running process takes a port between its
/// selection and its use.
const PORTS: std::ops::Range<u16> = 10_000..32_000;
/// Distance between the first ports of rigs with consecutive process ids.
const PORT_STRIDE: u32 = 997;

/// Number of ports tried by this rig. They are not tried again, because a port
/// that was handed out may not be in use yet.
static PORTS_TRIED: AtomicU32 = AtomicU32::new(0);

/// Finds `count` addresses on 127.0.0.1 that were free when checked. All are
/// bound at the same time, so that they are distinct.
///
/// # Errors
///
/// Fails if there are too few free ports.
pub(super) fn free_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    let number = u32::from(PORTS.end - PORTS.start);
    let first = std::process::id().wrapping_mul(PORT_STRIDE) % number;
    let mut listeners = Vec::with_capacity(count);
    while listeners.len() < count {
        let step = PORTS_TRIED.fetch_add(1, Ordering::SeqCst);
        if step >= number {
            return Err(io::ErrorKind::AddrNotAvailable.into());
        }
        let offset = u16::try_from((first + step) % number).map_err(io::Error::other)?;
        if let Ok(listener) = TcpListener::bind((Ipv4Addr::LOCALHOST, PORTS.start + offset)) {
            listeners.push(listener);
        }
    }
    listeners.iter().map(TcpListener::local_addr).collect()
}
