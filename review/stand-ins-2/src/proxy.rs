//! A path between two processes that can be cut. Where one of them tells the
//! address of the other, the path's own address is put in its place, so that
//! all that they say to each other goes through it.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

/// Addresses that stand for each other on the two sides of a path. Both have
/// the same length, so that no length of a message changes.
#[derive(Clone, Default)]
pub struct Renaming {
    /// As the side that connects knows it, and as the other side knows it.
    pub pairs: Vec<(String, String)>,
}

impl Renaming {
    fn apply(&self, bytes: &mut [u8], inwards: bool) {
        for (outer, inner) in &self.pairs {
            let (from, to) = if inwards {
                (outer, inner)
            } else {
                (inner, outer)
            };
            let mut at = 0;
            while let Some(found) = bytes[at..]
                .windows(from.len())
                .position(|window| window == from.as_bytes())
            {
                let start = at + found;
                // A longer number is another port.
                let ends = bytes
                    .get(start + from.len())
                    .is_none_or(|next| !next.is_ascii_digit());
                if ends {
                    bytes[start..start + to.len()].copy_from_slice(to.as_bytes());
                }
                at = start + from.len();
            }
        }
    }
}

/// A running path. Clones share it.
#[derive(Clone)]
pub struct Path {
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Path {
    /// Starts a path from a listener to `to`.
    pub fn start(
        listener: TcpListener,
        to: SocketAddr,
        renaming: Renaming,
    ) -> std::io::Result<Path> {
        let path = Path {
            address: listener.local_addr()?,
            cut: Arc::default(),
            streams: Arc::default(),
        };
        let server = path.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if server.cut.load(Ordering::SeqCst) {
                    // The cut resets what it meets.
                    drop(stream);
                    continue;
                }
                let Ok(other) = TcpStream::connect(to) else {
                    continue;
                };
                let _ = (stream.set_nodelay(true), other.set_nodelay(true));
                server.join(&stream, &other, &renaming, true);
                server.join(&other, &stream, &renaming, false);
            }
        });
        Ok(path)
    }

    fn join(&self, from: &TcpStream, to: &TcpStream, renaming: &Renaming, inwards: bool) {
        let (Ok(mut from), Ok(mut to), Ok(kept)) =
            (from.try_clone(), to.try_clone(), from.try_clone())
        else {
            return;
        };
        self.streams.lock().unwrap().push(kept);
        let renaming = renaming.clone();
        std::thread::spawn(move || {
            let mut buffer = vec![0; 256 * 1024];
            while let Ok(count) = from.read(&mut buffer) {
                if count == 0 {
                    break;
                }
                renaming.apply(&mut buffer[..count], inwards);
                if to.write_all(&buffer[..count]).is_err() {
                    break;
                }
            }
            let _ = to.shutdown(Shutdown::Both);
            let _ = from.shutdown(Shutdown::Both);
        });
    }

    /// Ends all connections; new ones end at once until [`Path::heal`].
    pub fn cut(&self) {
        self.cut.store(true, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn heal(&self) {
        self.cut.store(false, Ordering::SeqCst);
    }
}
