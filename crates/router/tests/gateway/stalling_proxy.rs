//! A proxy whose open connections can stall for good: they stay open and
//! discard every byte, while new ones work. The kernel keeps acknowledging, so
//! that only a timeout detects it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{Shutdown, TcpListener, TcpStream};
use async_std::task;
use async_std::task::block_on;

/// Size of the copy buffer in bytes.
const CHUNK: usize = 16 * 1024;

#[derive(Debug, Default)]
struct ConnectionCounts {
    /// Number of connections opened so far.
    opened: AtomicU64,
    /// Connections up to this number are stalled.
    stalled: AtomicU64,
}

/// A running proxy. Clones share it.
#[derive(Clone, Debug)]
pub struct StallingProxy {
    address: SocketAddr,
    target: SocketAddr,
    counts: Arc<ConnectionCounts>,
}

impl StallingProxy {
    pub fn start(target: SocketAddr) -> StallingProxy {
        let listener = block_on(TcpListener::bind("127.0.0.1:0")).expect("a port");
        let proxy = StallingProxy {
            address: listener.local_addr().expect("an address"),
            target,
            counts: Arc::default(),
        };
        task::spawn(proxy.clone().accept(listener));
        proxy
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes every open connection discard all further data.
    pub fn stall(&self) {
        let opened = self.counts.opened.load(Ordering::SeqCst);
        self.counts.stalled.store(opened, Ordering::SeqCst);
    }

    async fn accept(self, listener: TcpListener) {
        while let Ok((client, _)) = listener.accept().await {
            let number = self.counts.opened.fetch_add(1, Ordering::SeqCst) + 1;
            task::spawn(self.clone().connect(client, number));
        }
    }

    async fn connect(self, client: TcpStream, number: u64) {
        let Ok(server) = TcpStream::connect(self.target).await else {
            return;
        };
        // Nagle's algorithm would delay small messages until earlier ones are
        // acknowledged.
        let _ = client.set_nodelay(true);
        let _ = server.set_nodelay(true);
        let upstream = self.clone().pump(client.clone(), server.clone(), number);
        let downstream = self.pump(server, client, number);
        futures::future::join(upstream, downstream).await;
    }

    async fn pump(self, mut from: TcpStream, mut to: TcpStream, number: u64) {
        let mut chunk = vec![0; CHUNK];
        while let Ok(read) = from.read(&mut chunk).await {
            let stalled = number <= self.counts.stalled.load(Ordering::SeqCst);
            if read == 0 && stalled {
                // The end of the stream is not passed on either.
                return;
            }
            if read == 0 {
                break;
            }
            if !stalled && to.write_all(&chunk[..read]).await.is_err() {
                break;
            }
        }
        // The other direction may have ended already.
        let _ = to.shutdown(Shutdown::Write);
    }
}
