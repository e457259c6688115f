//! Pools of connections to back ends and other routers.
//!
//! A connection is reused only after a clean exchange: the whole request was
//! sent, the whole response was received, and no bytes followed it. An exchange
//! that is dropped, fails or is truncated resets its connection, so that a late
//! response can never reach another caller and unsent bytes are never sent
//! later.

mod address_entry;
mod address_table;
mod carried;
mod connection;
mod error;
mod exchange;
mod held;
mod pairing;
mod request_encoder;
mod response;
mod reuse_watch;
mod settings;
mod socket;

use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use std::time::Duration;

use http_types::{Request, Response};

use crate::Instant;
use crate::body::BodyDeadline;
use crate::buffered_stream::BufferedStream;
use crate::timer;
use address_entry::Reuse;
use address_table::{AddressTable, Demand, Reservation, Slot};

pub use carried::RequestIdentity;
pub use connection::PooledConnection;
pub use error::{ExchangeError, ExchangeFault, Stage};
pub use held::{ConnectionChoice, HeldConnection};
pub use pairing::{PassedOver, ResponseIds, Unpaired};
pub use settings::{PoolSettings, UnframedBodies};

/// Pool of reusable connections by address. Clones share the connections.
#[derive(Clone, Debug)]
pub struct Pool {
    settings: Arc<PoolSettings>,
    addresses: Arc<AddressTable>,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(settings: PoolSettings) -> Self {
        Pool {
            addresses: Arc::new(AddressTable::new(
                settings.connections_per_address,
                settings.suspect_idle_after,
            )),
            settings: Arc::new(settings),
        }
    }

    /// Returns the settings of the pool.
    pub fn settings(&self) -> &PoolSettings {
        &self.settings
    }

    /// Sets the maximum number of open connections to one address.
    pub fn set_connection_limit(&self, address: SocketAddr, connections: usize) {
        self.addresses.set_limit(address, connections);
    }

    /// Removes the connection limit of an address and closes its idle
    /// connections.
    pub fn remove_address(&self, address: SocketAddr) {
        self.addresses.remove_address(address);
    }

    /// Returns the numbers of connections to an address that are in use and
    /// idle.
    pub fn open_connections(&self, address: SocketAddr) -> (usize, usize) {
        self.addresses.open_connections(address)
    }

    /// Sends one request and returns its response with a body that streams from
    /// the connection and fails if it is truncated. Reading the body to its end
    /// returns the connection to the pool. Dropping the body earlier, or
    /// dropping this future, resets the connection: bytes that the kernel has
    /// not sent by then are never sent. `deadline` applies to the body as well.
    ///
    /// A response must announce where its body ends, by `Content-Length` or
    /// chunked coding, unless [`PoolSettings::unframed_bodies`] says otherwise.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        request: Request,
        deadline: Instant,
    ) -> Result<Response, ExchangeError> {
        self.exchange_with_body_deadline(address, request, deadline, BodyDeadline::Until(deadline))
            .await
    }

    /// Like [`Pool::exchange`], with no deadline for the body.
    pub async fn exchange_stream(
        &self,
        address: SocketAddr,
        request: Request,
        head_deadline: Instant,
    ) -> Result<Response, ExchangeError> {
        self.exchange_with_body_deadline(address, request, head_deadline, BodyDeadline::Unbounded)
            .await
    }

    /// Like [`Pool::exchange`], with a separate deadline for the body.
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

    /// Checks out a connection without sending anything: a usable idle one or a
    /// new one.
    pub async fn checkout(
        &self,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<PooledConnection, ExchangeError> {
        self.checkout_for(address, None, None, deadline).await
    }

    /// Like [`Pool::checkout`], and sets the connection limit of the address at
    /// the same time.
    pub async fn checkout_with_limit(
        &self,
        address: SocketAddr,
        limit: usize,
        deadline: Instant,
    ) -> Result<PooledConnection, ExchangeError> {
        self.checkout_for(address, None, Some(limit), deadline)
            .await
    }

    /// Opens a new connection, even if there are idle ones. Dropping it unused
    /// adds it to the idle ones.
    pub async fn open_new(
        &self,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<PooledConnection, ExchangeError> {
        let Some(slot) = self.addresses.reserve_new(address) else {
            return Err(no_connection_free(address));
        };
        let buffered = self.connect(address, deadline).await?;
        let pool = self.clone();
        Ok(PooledConnection::new(pool, address, false, slot, buffered))
    }

    /// Like [`Pool::checkout_with_limit`]; `None` leaves the limit as it is.
    ///
    /// Invariant: no connection that has lately carried `request` is checked
    /// out for it again. A peer may repeat the response to an earlier copy of
    /// the request, and only the connection tells it from the one that is due.
    /// Nothing tells the responses to requests without an id apart.
    pub async fn checkout_for(
        &self,
        address: SocketAddr,
        request: Option<RequestIdentity>,
        limit: Option<usize>,
        deadline: Instant,
    ) -> Result<PooledConnection, ExchangeError> {
        let reuse = match request {
            Some(request) => Reuse::Without(request),
            None if self.settings.response_ids.are_required() => Reuse::Never,
            None => Reuse::Any,
        };
        let demand = Demand {
            address,
            limit,
            reuse,
        };
        let (reused, slot, buffered) = match self.reserve_connection(demand)? {
            (slot, Some(buffered)) => (true, slot, buffered),
            (slot, None) => (false, slot, self.connect(address, deadline).await?),
        };
        let pool = self.clone();
        Ok(PooledConnection::new(pool, address, reused, slot, buffered))
    }

    /// Reserves a slot, together with a usable idle connection if there is one.
    fn reserve_connection(
        &self,
        demand: Demand,
    ) -> Result<(Slot, Option<BufferedStream>), ExchangeError> {
        loop {
            let expired_before = Instant::now().checked_sub(self.settings.idle_timeout);
            match self.addresses.reserve(demand, expired_before) {
                Reservation::Idle(slot, buffered) => {
                    // The peer may have closed the connection or sent something
                    // while it was idle.
                    if let Some(buffered) = exchange::verify_idle(buffered) {
                        return Ok((slot, Some(buffered)));
                    }
                }
                Reservation::New(slot) => return Ok((slot, None)),
                Reservation::Full => return Err(no_connection_free(demand.address)),
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
        // On loopback, a socket can connect to itself if nobody listens on the
        // port.
        if stream.local_addr().ok() == Some(address) {
            let itself = std::io::ErrorKind::ConnectionRefused;
            return Err(failed(std::io::Error::from(itself).into()));
        }
        stream
            .set_nodelay(true)
            .map_err(|error| failed(error.into()))?;
        Ok(BufferedStream::new(stream))
    }

    /// Returns a connection to the pool for reuse.
    fn check_in(&self, slot: Slot, buffered: BufferedStream) {
        if self.addresses.check_in(slot, buffered) {
            let addresses = Arc::downgrade(&self.addresses);
            let idle_timeout = self.settings.idle_timeout;
            async_std::task::spawn(close_expired(addresses, idle_timeout));
        }
    }
}

fn no_connection_free(address: SocketAddr) -> ExchangeError {
    ExchangeError {
        address,
        stage: Stage::ConnectFailed,
        fault: ExchangeFault::NoConnectionFree,
    }
}

/// Closes connections that stay unused for too long, until none is idle.
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
