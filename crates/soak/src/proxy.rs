//! A loopback TCP proxy that injects faults into its connections.

mod connection;
pub mod copies;
pub mod link;
mod linked;
mod process_ports;
mod reading;
pub mod rewriter;

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

use connection::ProxiedConnection;
use copies::{CopyTiming, Doubling};
use link::LinkEnd;
use reading::Reading;
use rewriter::Rewriter;

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 128;
/// Time limit for a connection that fills the accept queue; it is not accepted
/// once the queue is full.
const FILL_TIMEOUT: Duration = Duration::from_millis(50);

/// Ports that are tried for a proxy on any free port.
const BIND_TRIES: usize = 16;
/// Enough connections to fill the shortest queue, including what the kernel
/// adds to it.
const MAX_QUEUE_FILLERS: usize = 32;

/// Behaviour of the connections of a proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Bytes are forwarded.
    #[default]
    Normal,
    /// Bytes are dropped in both directions.
    DropAll,
    /// Bytes to the client are dropped.
    DropResponses,
    /// Bytes are forwarded with this delay.
    Delay(Duration),
}

/// Directions of a connection that are cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Directions {
    /// From the client to the target.
    There,
    /// From the target to the client.
    Back,
    /// Both directions.
    Both,
}

impl Directions {
    fn includes(self, direction: Direction) -> bool {
        match self {
            Directions::There => direction == Direction::There,
            Directions::Back => direction == Direction::Back,
            Directions::Both => true,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    There,
    Back,
}

/// A network partition that buffers bytes.
#[derive(Clone, Debug)]
struct Partition {
    directions: Directions,
    /// The process to whose connections the partition is limited, and their
    /// ports.
    process: Option<(u32, BTreeSet<u16>)>,
    /// Set when the partition has healed: connections from this number on are
    /// unaffected. Earlier ones wait until their bytes are sent again.
    healed: Option<u64>,
}

#[derive(Debug)]
struct State {
    target: SocketAddr,
    rewriter: Arc<Rewriter>,
    mode: Mode,
    partition: Option<Partition>,
    /// Number of partitions so far.
    partition_count: u64,
    /// Number of the next connection.
    next: u64,
    /// Connections before this number are stalled for good.
    stalled_before: u64,
    /// Set to end the connections that are not stalled.
    reset: StopSignal,
    /// Signals that connections must check `partition` and `stalled_before`
    /// again.
    changed: StopSignal,
    /// Connections of the proxy to itself that keep others from being
    /// established during a partition.
    queue_fillers: Vec<TcpStream>,
    /// New connections are refused.
    refusing: bool,
    /// Which answers of the target are sent twice; `None` if answers are not
    /// followed.
    doubling: Option<Doubling>,
    /// Number of answers that were sent twice.
    doubled: u64,
    /// The link that the connections cross, if any.
    link: Option<LinkEnd>,
    /// How fast the target reads.
    reading: Reading,
}

impl State {
    /// Returns whether no connection can be established.
    fn is_closed(&self) -> bool {
        let closed =
            |partition: &Partition| partition.process.is_none() && partition.healed.is_none();
        self.refusing || self.partition.as_ref().is_some_and(closed)
    }

    /// Draws whether an answer of the target is sent twice.
    fn draw_copy(&mut self) -> Option<CopyTiming> {
        let copy = self.doubling.as_mut().and_then(Doubling::draw);
        self.doubled += u64::from(copy.is_some());
        copy
    }

    fn notify_connections(&mut self) {
        std::mem::take(&mut self.changed).stop();
    }
}

/// Binds an address by the number of its port. A port that the kernel chose
/// would be lost with the first refusal of connections; one that was named
/// stays bound.
fn bind_named(address: SocketAddr) -> std::io::Result<Async<TcpListener>> {
    let mut bound = Err(std::io::ErrorKind::AddrInUse.into());
    for _ in 0..BIND_TRIES {
        let free = TcpListener::bind(address)?.local_addr()?;
        // Another process may take the port meanwhile.
        bound = Async::<TcpListener>::bind(free);
        if bound.is_ok() {
            break;
        }
    }
    bound
}

/// A running proxy. Clones share it.
#[derive(Clone, Debug)]
pub struct Proxy {
    address: SocketAddr,
    listener: Arc<Async<TcpListener>>,
    state: Arc<Mutex<State>>,
}

impl Proxy {
    /// Starts a proxy on a free port of 127.0.0.1.
    ///
    /// # Errors
    ///
    /// Fails if no port can be listened on.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Proxy::start_at(any, target, Rewriter::default()).await
    }

    /// Starts a proxy at an address, with a rewriter for the forwarded bytes.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be listened on.
    pub async fn start_at(
        address: SocketAddr,
        target: SocketAddr,
        rewriter: Rewriter,
    ) -> std::io::Result<Self> {
        let listener = bind_named(address)?;
        let address = listener.get_ref().local_addr()?;
        let state = State {
            target,
            rewriter: Arc::new(rewriter),
            mode: Mode::Normal,
            partition: None,
            partition_count: 0,
            next: 0,
            stalled_before: 0,
            reset: StopSignal::new(),
            changed: StopSignal::new(),
            queue_fillers: Vec::new(),
            refusing: false,
            doubling: None,
            doubled: 0,
            link: None,
            reading: Reading::default(),
        };
        let proxy = Proxy {
            address,
            listener: Arc::new(listener),
            state: Arc::new(Mutex::new(state)),
        };
        task::spawn(proxy.clone().accept());
        Ok(proxy)
    }

    /// Address on which the proxy listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of connections accepted so far.
    pub fn accepted(&self) -> u64 {
        self.state.lock().next
    }

    /// Directs new connections to another process.
    pub fn set_target(&self, target: SocketAddr) {
        self.state.lock().target = target;
    }

    /// Changes how the connections behave. Bytes dropped before are lost, so
    /// the connections are reset on return to normal.
    pub fn set_mode(&self, mode: Mode) {
        let before = std::mem::replace(&mut self.state.lock().mode, mode);
        if mode == Mode::Normal && matches!(before, Mode::DropAll | Mode::DropResponses) {
            self.reset_connections();
        }
    }

    /// Changes which answers of the target are sent twice. Must be called once
    /// before the first connection is opened: copies need answers that were
    /// followed from the start of their connection.
    pub fn set_doubling(&self, doubling: Doubling) {
        self.state.lock().doubling = Some(doubling);
    }

    /// Leads new connections over a link. Of the other faults only resets and
    /// refusals concern them.
    pub fn set_link(&self, link: LinkEnd) {
        self.state.lock().link = Some(link);
    }

    /// Makes the target read each connection at this rate for a while: what it
    /// was sent waits in the buffers of the kernel, also if its sender closes or
    /// resets the connection meanwhile. Concerns no connection over a link.
    pub fn read_slowly(&self, bytes_per_s: u32, length: Duration) {
        let mut state = self.state.lock();
        state.reading.slow_down(bytes_per_s, length);
        state.notify_connections();
    }

    /// Makes the target read what it is sent at once again.
    pub fn read_at_once(&self) {
        let mut state = self.state.lock();
        state.reading.end();
        state.notify_connections();
    }

    /// Returns whether what the target took at this time may have waited unread.
    pub fn may_have_read_late(&self, taken: std::time::Instant) -> bool {
        self.state.lock().reading.may_have_delayed(taken)
    }

    /// Number of answers that were sent twice so far.
    pub fn doubled(&self) -> u64 {
        self.state.lock().doubled
    }

    /// Ends every connection except those that are stalled for good.
    pub fn reset_connections(&self) {
        let given = std::mem::take(&mut self.state.lock().reset);
        given.stop();
    }

    /// Refuses new connections, as an address does on which nobody listens;
    /// open ones go on.
    ///
    /// # Errors
    ///
    /// Fails if the listener cannot be shut down.
    pub fn refuse_connections(&self) -> std::io::Result<()> {
        let mut state = self.state.lock();
        state.refusing = true;
        state.notify_connections();
        // A listener whose reading side is shut down leaves the listening state.
        Ok(rustix::net::shutdown(
            &*self.listener,
            rustix::net::Shutdown::Read,
        )?)
    }

    /// Accepts new connections again.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be listened on.
    pub fn accept_connections(&self) -> std::io::Result<()> {
        let mut state = self.state.lock();
        rustix::net::listen(&*self.listener, BACKLOG)?;
        state.refusing = false;
        state.notify_connections();
        Ok(())
    }

    /// Cuts the connections, or only those of one process, as a network
    /// partition does: bytes are buffered and delivered after healing, unless
    /// their sender has reset the connection meanwhile. During the partition no
    /// connection can be established; if it is limited to one process,
    /// connections are established but carry nothing.
    pub fn partition(&self, directions: Directions, process: Option<u32>) {
        let process = process.map(|process| (process, process_ports::local_ports(process)));
        let mut state = self.state.lock();
        state.partition_count += 1;
        state.partition = Some(Partition {
            directions,
            process,
            healed: None,
        });
        state.notify_connections();
        if state.is_closed() {
            state.queue_fillers = self.fill_accept_queue();
        } else {
            self.reopen_accept_queue(&mut state);
        }
    }

    /// Fills the accept queue, so that the kernel drops the SYN packets of
    /// further connections.
    fn fill_accept_queue(&self) -> Vec<TcpStream> {
        // If the queue cannot be shortened, connections may be established
        // during the partition.
        let _ = rustix::net::listen(&*self.listener, 0);
        let connect = || TcpStream::connect_timeout(&self.address, FILL_TIMEOUT);
        let connections = (0..MAX_QUEUE_FILLERS).map_while(|_| connect().ok());
        connections.collect()
    }

    fn reopen_accept_queue(&self, state: &mut State) {
        state.queue_fillers.clear();
        let _ = rustix::net::listen(&*self.listener, BACKLOG);
    }

    /// Heals the partition. New connections work at once; bytes buffered on
    /// earlier ones are delivered after `lag`, because TCP waits longer from
    /// one retransmission to the next.
    pub fn heal(&self, lag: Duration) {
        let partition = {
            let mut state = self.state.lock();
            let next = state.next;
            if let Some(partition) = &mut state.partition {
                partition.healed = Some(next);
            }
            self.reopen_accept_queue(&mut state);
            state.notify_connections();
            state.partition_count
        };
        let proxy = self.clone();
        task::spawn(async move {
            timer::sleep(lag).await;
            let mut state = proxy.state.lock();
            // Another partition may have begun.
            if state.partition_count == partition {
                state.partition = None;
                state.notify_connections();
            }
        });
    }

    /// Stalls all current connections for good: bytes are dropped in both
    /// directions and neither side is notified. New connections work.
    pub fn stall_connections(&self) {
        let mut state = self.state.lock();
        state.stalled_before = state.next;
        state.notify_connections();
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
            // A state change comes first: during a partition the queue has to
            // stay full.
            let Either::Right((Ok((client, peer)), _)) = select(changed, accepted).await else {
                continue;
            };
            let number = self.accepted();
            let connection = ProxiedConnection::new(number, peer.port(), self.state.clone());
            let partitioned = connection.is_partitioned_on_connect();
            self.state.lock().next = number + 1;
            task::spawn(connection.run(Arc::new(client), partitioned));
        }
    }
}
