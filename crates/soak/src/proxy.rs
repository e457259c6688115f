//! A loopback proxy whose connections can be made to misbehave.

mod link;
mod sockets;
pub mod wording;

use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use async_io::Async;
use async_std::task;
use futures::future::{Either, select};
use parking_lot::Mutex;
use threadledge_net::StopSignal;
use threadledge_net::timer;

use link::Link;
use wording::Wording;

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 128;
/// Longest wait for one that fills the queue of those: none when it is full.
const FILL_TIMEOUT: Duration = Duration::from_millis(50);

/// Connections that fill the shortest queue, whatever the kernel adds to it.
const MOST_FILL: usize = 32;

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

/// Which ways of a connection are cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ways {
    /// From the caller.
    There,
    /// To the caller.
    Back,
    /// Both.
    Both,
}

impl Ways {
    fn includes(self, way: Way) -> bool {
        match self {
            Ways::There => way == Way::There,
            Ways::Back => way == Way::Back,
            Ways::Both => true,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    There,
    Back,
}

/// A cut that keeps bytes.
#[derive(Clone, Debug)]
struct Hold {
    ways: Ways,
    /// The process whose connections alone are cut, and their ports.
    process: Option<(u32, BTreeSet<u16>)>,
    /// The cut has healed: connections from this number on are new and sound.
    /// Those before wait until they send again.
    healed: Option<u64>,
}

#[derive(Debug)]
struct State {
    target: SocketAddr,
    wording: Arc<Wording>,
    mode: Mode,
    hold: Option<Hold>,
    /// Cuts so far.
    holds: u64,
    /// Number of the next connection.
    next: u64,
    /// Connections before this number are silent for good.
    silent: u64,
    reset: StopSignal,
    /// Given when connections should look at `hold` again.
    changed: StopSignal,
    /// Connections of its own that keep others from coming up in a cut.
    fill: Vec<TcpStream>,
}

impl State {
    /// Whether nobody's connections come up.
    fn is_closed(&self) -> bool {
        let closed = |hold: &Hold| hold.process.is_none() && hold.healed.is_none();
        self.hold.as_ref().is_some_and(closed)
    }

    fn wake(&mut self) {
        std::mem::take(&mut self.changed).stop();
    }
}

/// A running proxy. Clones share it.
#[derive(Clone, Debug)]
pub struct Proxy {
    address: SocketAddr,
    listener: Arc<Async<TcpListener>>,
    state: Arc<Mutex<State>>,
}

impl Proxy {
    /// Starts one on a free port of 127.0.0.1.
    ///
    /// # Errors
    ///
    /// No port can be listened on.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Proxy::start_at(any, target, Wording::default()).await
    }

    /// Starts one at an address that words what passes anew.
    ///
    /// # Errors
    ///
    /// The address cannot be listened on.
    pub async fn start_at(
        address: SocketAddr,
        target: SocketAddr,
        wording: Wording,
    ) -> std::io::Result<Self> {
        let listener = Async::<TcpListener>::bind(address)?;
        let address = listener.get_ref().local_addr()?;
        let state = State {
            target,
            wording: Arc::new(wording),
            mode: Mode::Sound,
            hold: None,
            holds: 0,
            next: 0,
            silent: 0,
            reset: StopSignal::new(),
            changed: StopSignal::new(),
            fill: Vec::new(),
        };
        let proxy = Proxy {
            address,
            listener: Arc::new(listener),
            state: Arc::new(Mutex::new(state)),
        };
        task::spawn(proxy.clone().accept());
        Ok(proxy)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Connections that it accepted so far.
    pub fn accepted(&self) -> u64 {
        self.state.lock().next
    }

    /// New connections go to another process.
    pub fn lead_to(&self, target: SocketAddr) {
        self.state.lock().target = target;
    }

    /// Changes how its connections behave. Bytes swallowed before are lost, so
    /// connections that come back to order are reset.
    pub fn set(&self, mode: Mode) {
        let before = std::mem::replace(&mut self.state.lock().mode, mode);
        if mode == Mode::Sound && matches!(before, Mode::Cut | Mode::Deaf) {
            self.reset();
        }
    }

    /// Ends every connection but those that are silent for good.
    pub fn reset(&self) {
        let given = std::mem::take(&mut self.state.lock().reset);
        given.stop();
    }

    /// Cuts its connections, or only those of one process, as a partition
    /// does: what is sent is kept, and goes on its way once the cut has healed
    /// unless its sender has reset the connection meanwhile. Nobody can connect
    /// during the cut; connections of one process come up and carry nothing.
    pub fn hold(&self, ways: Ways, process: Option<u32>) {
        let process = process.map(|process| (process, sockets::ports_of(process)));
        let mut state = self.state.lock();
        state.holds += 1;
        state.hold = Some(Hold {
            ways,
            process,
            healed: None,
        });
        state.wake();
        if state.is_closed() {
            state.fill = self.fill_queue();
        } else {
            self.open_queue(&mut state);
        }
    }

    /// Fills the queue, so that the kernel drops the first packets of further
    /// connections.
    fn fill_queue(&self) -> Vec<TcpStream> {
        // With the queue as long as before, the cut would be milder.
        let _ = rustix::net::listen(&*self.listener, 0);
        let fill = || TcpStream::connect_timeout(&self.address, FILL_TIMEOUT);
        let filling = (0..MOST_FILL).map_while(|_| fill().ok());
        filling.collect()
    }

    fn open_queue(&self, state: &mut State) {
        state.fill.clear();
        let _ = rustix::net::listen(&*self.listener, BACKLOG);
    }

    /// Heals the cut. New connections work at once; those that it cut send
    /// again what was kept after `lag`, as TCP waits longer from one attempt to
    /// the next.
    pub fn heal(&self, lag: Duration) {
        let hold = {
            let mut state = self.state.lock();
            let next = state.next;
            if let Some(hold) = &mut state.hold {
                hold.healed = Some(next);
            }
            self.open_queue(&mut state);
            state.wake();
            state.holds
        };
        let proxy = self.clone();
        task::spawn(async move {
            timer::sleep(lag).await;
            let mut state = proxy.state.lock();
            // Another cut may have begun.
            if state.holds == hold {
                state.hold = None;
                state.wake();
            }
        });
    }

    /// Its connections go silent for good: bytes are swallowed both ways and
    /// nobody is told. New connections work.
    pub fn silence(&self) {
        let mut state = self.state.lock();
        state.silent = state.next;
        state.wake();
    }

    async fn accept(self) {
        loop {
            let (changed, closed) = {
                let state = self.state.lock();
                (state.changed.stopped(), state.is_closed())
            };
            if closed {
                changed.await;
                continue;
            }
            let accepted = Box::pin(self.listener.accept());
            // A change comes first: in a cut the queue has to stay full.
            let Either::Right((Ok((near, peer)), _)) = select(changed, accepted).await else {
                continue;
            };
            let number = self.accepted();
            let link = Link::new(number, peer.port(), self.state.clone());
            let cut = link.comes_up_in_a_cut();
            self.state.lock().next = number + 1;
            task::spawn(link.run(Arc::new(near), cut));
        }
    }
}
