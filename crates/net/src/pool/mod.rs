//! Pools of connections to back ends and other routers.
//!
//! A connection is used again only after an exchange that ended cleanly: the
//! request left whole, the response came whole, and nothing came after it.
//! An exchange that is abandoned, fails or is cut short resets its connection,
//! so that a late answer can never reach another caller, and nothing that has
//! not left yet leaves later.

mod address_table;
mod connection;
mod error;
mod exchange;
mod response;
mod socket;

use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use std::time::Duration;

use http_types::{Request, Response};

use crate::Instant;
use crate::body::BodyDeadline;
use crate::buffered_stream::BufferedStream;
use crate::head::MAX_HEAD_BYTES;
use crate::timer;
use address_table::{AddressTable, Reservation, Slot};

pub use connection::PooledConnection;
pub use error::{ExchangeError, ExchangeFault, Stage};

/// Limits of a [`Pool`].
#[derive(Clone, Debug)]
pub struct PoolSettings {
    /// Connections open at once to one address, idle ones included, unless
    /// [`Pool::set_connection_limit`] says otherwise for it.
    pub connections_per_address: usize,
    /// How long an unused connection is kept.
    pub idle_timeout: Duration,
    /// Longest time to open a connection.
    pub connect_timeout: Duration,
    /// Largest head of a response, in bytes; at most [`MAX_HEAD_BYTES`].
    pub max_head_bytes: usize,
    /// Largest body of a response that is read whole, in bytes.
    pub max_body_bytes: u64,
    /// What to do with a response that does not tell where its body ends.
    pub unframed_bodies: UnframedBodies,
    /// How long a peer that became silent may go unnoticed, also while
    /// nothing is sent: connections are probed by the kernel. `None` leaves
    /// that to the kernel's defaults, which are hours.
    pub dead_peer_timeout: Option<Duration>,
    /// How long nothing may be heard of an exchange on a connection that had
    /// been at rest before others at rest since before it began are closed
    /// instead of used: where one fell silent, all may have. New connections
    /// tell nothing about old ones. Longer than what a sound peer holds an
    /// answer back.
    pub suspect_idle_after: Option<Duration>,
}

/// What to do with a response whose body ends with the connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum UnframedBodies {
    /// Refuse it: its end cannot be told from a cut by a peer that closes in
    /// order while it fails.
    #[default]
    Refuse,
    /// Take an orderly close for the end, and a reset for a cut.
    ReadUntilClose,
}

impl Default for PoolSettings {
    fn default() -> Self {
        PoolSettings {
            connections_per_address: 64,
            idle_timeout: Duration::from_secs(30),
            connect_timeout: Duration::from_secs(1),
            max_head_bytes: MAX_HEAD_BYTES,
            max_body_bytes: 64 * 1024 * 1024,
            unframed_bodies: UnframedBodies::default(),
            dead_peer_timeout: None,
            suspect_idle_after: None,
        }
    }
}

/// Connections kept for reuse, by address. Clones share them.
#[derive(Clone, Debug)]
pub struct Pool {
    settings: Arc<PoolSettings>,
    addresses: Arc<AddressTable>,
}

impl Pool {
    /// An empty pool.
    pub fn new(settings: PoolSettings) -> Self {
        Pool {
            addresses: Arc::new(AddressTable::new(
                settings.connections_per_address,
                settings.suspect_idle_after,
            )),
            settings: Arc::new(settings),
        }
    }

    /// The pool's settings.
    pub fn settings(&self) -> &PoolSettings {
        &self.settings
    }

    /// Sets the limit of connections open at once to one address.
    pub fn set_connection_limit(&self, address: SocketAddr, connections: usize) {
        self.addresses.set_limit(address, connections);
    }

    /// Forgets the limit of an address and closes its idle connections.
    pub fn remove_address(&self, address: SocketAddr) {
        self.addresses.remove_address(address);
    }

    /// Connections open to an address: those in use and those idle.
    pub fn open_connections(&self, address: SocketAddr) -> (usize, usize) {
        self.addresses.open_connections(address)
    }

    /// Sends one request and returns the head of its response, with a body
    /// that streams from the connection and fails when it comes short.
    /// Reading the body to its end gives the connection back; dropping it
    /// earlier, or this future, resets the connection: what the kernel has not
    /// sent by then is never sent. `deadline` bounds the
    /// body too.
    ///
    /// A response must tell where its body ends, by `Content-Length` or
    /// chunks, unless [`PoolSettings::unframed_bodies`] says otherwise.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        request: Request,
        deadline: Instant,
    ) -> Result<Response, ExchangeError> {
        self.exchange_with_body_deadline(address, request, deadline, BodyDeadline::Until(deadline))
            .await
    }

    /// As [`Pool::exchange`], with a body that may take as long as the peer
    /// likes.
    pub async fn exchange_stream(
        &self,
        address: SocketAddr,
        request: Request,
        head_deadline: Instant,
    ) -> Result<Response, ExchangeError> {
        self.exchange_with_body_deadline(address, request, head_deadline, BodyDeadline::Unbounded)
            .await
    }

    async fn exchange_with_body_deadline(
        &self,
        address: SocketAddr,
        request: Request,
        deadline: Instant,
        body_deadline: BodyDeadline,
    ) -> Result<Response, ExchangeError> {
        let connection = self.checkout(address, deadline).await?;
        connection
            .exchange_with_body_deadline(request, deadline, body_deadline)
            .await
    }

    /// Gets a connection without sending anything: an idle one that is still
    /// good, or a new one.
    pub async fn checkout(
        &self,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<PooledConnection, ExchangeError> {
        self.checkout_within(address, None, deadline).await
    }

    /// As [`Pool::checkout`], setting the limit of connections to the
    /// address at the same time.
    pub async fn checkout_with_limit(
        &self,
        address: SocketAddr,
        limit: usize,
        deadline: Instant,
    ) -> Result<PooledConnection, ExchangeError> {
        self.checkout_within(address, Some(limit), deadline).await
    }

    async fn checkout_within(
        &self,
        address: SocketAddr,
        limit: Option<usize>,
        deadline: Instant,
    ) -> Result<PooledConnection, ExchangeError> {
        let (reused, slot, buffered) = match self.reserve_connection(address, limit)? {
            (slot, Some(buffered)) => (true, slot, buffered),
            (slot, None) => (false, slot, self.connect(address, deadline).await?),
        };
        let pool = self.clone();
        Ok(PooledConnection::new(pool, address, reused, slot, buffered))
    }

    /// Takes an idle connection that is still good, or room for a new one.
    fn reserve_connection(
        &self,
        address: SocketAddr,
        limit: Option<usize>,
    ) -> Result<(Slot, Option<BufferedStream>), ExchangeError> {
        loop {
            let expired_before = Instant::now().checked_sub(self.settings.idle_timeout);
            match self.addresses.reserve(address, limit, expired_before) {
                Reservation::Idle(slot, buffered) => {
                    // The connection may have been closed, or something sent
                    // on it, while nobody listened.
                    if let Some(buffered) = exchange::verify_idle(buffered) {
                        return Ok((slot, Some(buffered)));
                    }
                }
                Reservation::New(slot) => return Ok((slot, None)),
                Reservation::Full => {
                    return Err(ExchangeError {
                        address,
                        stage: Stage::ConnectFailed,
                        fault: ExchangeFault::NoConnectionFree,
                    });
                }
            }
        }
    }

    async fn connect(
        &self,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<BufferedStream, ExchangeError> {
        let failed = |fault| ExchangeError {
            address,
            stage: Stage::ConnectFailed,
            fault,
        };
        let deadline = deadline.min(Instant::now() + self.settings.connect_timeout);
        let connecting = socket::connect(address, self.settings.dead_peer_timeout);
        let connected = timer::timeout_at(deadline, connecting).await;
        let stream = match connected {
            Err(timer::Elapsed) => return Err(failed(ExchangeFault::DeadlinePassed)),
            Ok(Err(error)) => return Err(failed(error.into())),
            Ok(Ok(stream)) => stream,
        };
        // On loopback a socket can meet itself when nobody listens.
        if stream.local_addr().ok() == Some(address) {
            let itself = std::io::ErrorKind::ConnectionRefused;
            return Err(failed(std::io::Error::from(itself).into()));
        }
        stream
            .set_nodelay(true)
            .map_err(|error| failed(error.into()))?;
        Ok(BufferedStream::new(stream))
    }

    /// Keeps a connection for reuse.
    fn check_in(&self, slot: Slot, buffered: BufferedStream) {
        if self.addresses.check_in(slot, buffered) {
            let addresses = Arc::downgrade(&self.addresses);
            let idle_timeout = self.settings.idle_timeout;
            async_std::task::spawn(close_expired(addresses, idle_timeout));
        }
    }
}

/// Closes connections that nobody used in time, until none is idle.
async fn close_expired(addresses: Weak<AddressTable>, idle_timeout: Duration) {
    loop {
        timer::sleep(idle_timeout).await;
        let Some(addresses) = addresses.upgrade() else {
            return;
        };
        let before = Instant::now().checked_sub(idle_timeout);
        if addresses.close_expired(before) {
            return;
        }
    }
}
