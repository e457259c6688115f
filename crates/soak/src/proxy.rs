//! A loopback proxy whose connections can be made to misbehave.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{Shutdown, TcpListener, TcpStream};
use async_std::task;
use parking_lot::Mutex;
use threadledge_net::StopSignal;
use threadledge_net::timer;

/// Bytes passed on at once.
const CHUNK: usize = 16 * 1024;

/// How the connections of a proxy behave.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Bytes pass.
    #[default]
    Sound,
    /// Bytes of both ways are swallowed.
    Cut,
    /// Bytes to the caller are swallowed.
    Deaf,
    /// Bytes pass late.
    Slow(Duration),
}

#[derive(Debug, Default)]
struct State {
    mode: Mode,
    reset: StopSignal,
}

/// A running proxy. Clones share it.
#[derive(Clone, Debug)]
pub struct Proxy {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
}

#[derive(Clone, Copy)]
enum Way {
    There,
    Back,
}

impl Proxy {
    /// Starts one on a free port of 127.0.0.1.
    ///
    /// # Errors
    ///
    /// No port can be listened on.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let proxy = Proxy {
            address,
            state: Arc::default(),
        };
        task::spawn(proxy.clone().accept(listener, target));
        Ok(proxy)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes how its connections behave. Bytes swallowed before are lost, so
    /// connections that come back to order are reset.
    pub fn set(&self, mode: Mode) {
        let before = std::mem::replace(&mut self.state.lock().mode, mode);
        if mode == Mode::Sound && matches!(before, Mode::Cut | Mode::Deaf) {
            self.reset();
        }
    }

    /// Ends every connection.
    pub fn reset(&self) {
        let given = std::mem::take(&mut self.state.lock().reset);
        given.stop();
    }

    async fn accept(self, listener: TcpListener, target: SocketAddr) {
        while let Ok((near, _)) = listener.accept().await {
            task::spawn(self.clone().connect(near, target));
        }
    }

    async fn connect(self, near: TcpStream, target: SocketAddr) {
        let reset = self.state.lock().reset.clone();
        let Ok(far) = TcpStream::connect(target).await else {
            return;
        };
        // Small messages must not wait for acknowledgements.
        let _ = near.set_nodelay(true);
        let _ = far.set_nodelay(true);
        let there = self.clone().pump(near.clone(), far.clone(), Way::There);
        let back = self.pump(far.clone(), near.clone(), Way::Back);
        let pumps = Box::pin(futures::future::join(there, back));
        futures::future::select(pumps, reset.stopped()).await;
        // Either side may have ended already.
        let _ = near.shutdown(Shutdown::Both);
        let _ = far.shutdown(Shutdown::Both);
    }

    async fn pump(self, mut from: TcpStream, mut to: TcpStream, way: Way) {
        let mut chunk = vec![0; CHUNK];
        while let Ok(read) = from.read(&mut chunk).await {
            if read == 0 {
                break;
            }
            let mode = self.state.lock().mode;
            match (mode, way) {
                (Mode::Cut, _) | (Mode::Deaf, Way::Back) => continue,
                (Mode::Slow(late), _) => timer::sleep(late).await,
                _ => {}
            }
            if to.write_all(&chunk[..read]).await.is_err() {
                break;
            }
        }
        // The other way may go on; a connection that is gone cannot be closed.
        let _ = to.shutdown(Shutdown::Write);
    }
}
