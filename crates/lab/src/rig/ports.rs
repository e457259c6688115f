//! Free loopback ports.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

/// Ports that are tried. They lie below those that kernels give to outgoing
/// connections by default, so that no connection of a process that already
/// runs takes one between its choice and its use.
const PORTS: std::ops::Range<u16> = 10_000..32_000;
/// Distance between the first ports of rigs whose process numbers follow each
/// other.
const STRIDE: u32 = 997;

/// Ports that this rig has tried: what it gave out before may not be listened
/// on yet.
static TRIED: AtomicU32 = AtomicU32::new(0);

/// Finds `count` addresses on 127.0.0.1 that were free a moment ago. All are
/// held at once before any is given out, so that they differ.
///
/// # Errors
///
/// The machine has too few free ports.
pub(super) fn free_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    let number = u32::from(PORTS.end - PORTS.start);
    let first = std::process::id().wrapping_mul(STRIDE) % number;
    let mut listeners = Vec::with_capacity(count);
    while listeners.len() < count {
        let step = TRIED.fetch_add(1, Ordering::SeqCst);
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
