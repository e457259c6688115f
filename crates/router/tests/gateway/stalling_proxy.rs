//! A proxy whose open connections can fall silent for good: they stay open and
//! swallow every byte, while new ones work. The kernel goes on acknowledging,
//! so that nothing but a bound on waiting shows it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{Shutdown, TcpListener, TcpStream};
use async_std::task;
use async_std::task::block_on;

/// Bytes passed on at once.
const CHUNK: usize = 16 * 1024;

#[derive(Debug, Default)]
struct State {
    /// Connections that were opened.
    opened: AtomicU64,
    /// Those up to this number are silent.
    silent: AtomicU64,
}

/// A running proxy. Clones share it.
#[derive(Clone, Debug)]
pub struct StallingProxy {
    address: SocketAddr,
    target: SocketAddr,
    state: Arc<State>,
}

impl StallingProxy {
    pub fn start(target: SocketAddr) -> StallingProxy {
        let listener = block_on(TcpListener::bind("127.0.0.1:0")).expect("a port");
        let proxy = StallingProxy {
            address: listener.local_addr().expect("an address"),
            target,
            state: Arc::default(),
        };
        task::spawn(proxy.clone().accept(listener));
        proxy
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// From now on every connection that is open swallows what comes.
    pub fn silence(&self) {
        let opened = self.state.opened.load(Ordering::SeqCst);
        self.state.silent.store(opened, Ordering::SeqCst);
    }

    async fn accept(self, listener: TcpListener) {
        while let Ok((near, _)) = listener.accept().await {
            let number = self.state.opened.fetch_add(1, Ordering::SeqCst) + 1;
            task::spawn(self.clone().connect(near, number));
        }
    }

    async fn connect(self, near: TcpStream, number: u64) {
        let Ok(far) = TcpStream::connect(self.target).await else {
            return;
        };
        // Small messages must not wait for acknowledgements.
        let _ = near.set_nodelay(true);
        let _ = far.set_nodelay(true);
        let there = self.clone().pump(near.clone(), far.clone(), number);
        let back = self.pump(far, near, number);
        futures::future::join(there, back).await;
    }

    async fn pump(self, mut from: TcpStream, mut to: TcpStream, number: u64) {
        let mut chunk = vec![0; CHUNK];
        while let Ok(read) = from.read(&mut chunk).await {
            let silent = number <= self.state.silent.load(Ordering::SeqCst);
            if read == 0 && silent {
                // The end is swallowed as well.
                return;
            }
            if read == 0 {
                break;
            }
            if !silent && to.write_all(&chunk[..read]).await.is_err() {
                break;
            }
        }
        // The other way may have ended already.
        let _ = to.shutdown(Shutdown::Write);
    }
}
