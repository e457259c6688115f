//! A connection taken from a pool for one exchange.

use std::net::SocketAddr;

use http_types::{Request, Response};

use super::Pool;
use super::address::Slot;
use super::error::{ExchangeError, ExchangeFault, Stage};
use super::exchange::Exchange;
use crate::Instant;
use crate::body::Pace;
use crate::timer;
use crate::wire::Wire;

/// A connection on which nothing has been sent yet. Dropping it gives it back
/// to the pool.
#[derive(Debug)]
pub struct PooledConnection {
    pool: Pool,
    address: SocketAddr,
    /// It was at rest before.
    rested: bool,
    unused: Option<(Slot, Wire)>,
}

impl PooledConnection {
    pub(super) fn new(
        pool: Pool,
        address: SocketAddr,
        rested: bool,
        slot: Slot,
        wire: Wire,
    ) -> Self {
        PooledConnection {
            pool,
            address,
            rested,
            unused: Some((slot, wire)),
        }
    }

    /// The peer.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends the request and returns the head of its response, as
    /// [`Pool::exchange`] does.
    pub async fn exchange(
        self,
        request: Request,
        deadline: Instant,
    ) -> Result<Response, ExchangeError> {
        self.exchange_paced(request, deadline, Pace::Until(deadline))
            .await
    }

    pub(super) async fn exchange_paced(
        mut self,
        request: Request,
        deadline: Instant,
        pace: Pace,
    ) -> Result<Response, ExchangeError> {
        let address = self.address;
        let failed = |stage, fault| ExchangeError {
            address,
            stage,
            fault,
        };
        if Instant::now() >= deadline {
            return Err(failed(Stage::NothingSent, ExchangeFault::DeadlinePassed));
        }
        let Some((slot, wire)) = self.unused.take() else {
            let closed = std::io::Error::from(std::io::ErrorKind::NotConnected);
            return Err(failed(Stage::NothingSent, closed.into()));
        };
        let addresses = &self.pool.addresses;
        let unheard = self.rested.then(|| addresses.begin_unheard(address));
        let mut exchange = Exchange::new(request, wire, &self.pool.settings);
        // Until the response is whole, the slot stays with this future or
        // with the body: dropping either frees it and closes the connection.
        let ended = timer::timeout_at(deadline, exchange.run()).await;
        let silent = ended.is_err() && exchange.stage() <= Stage::Sent;
        if let Some(unheard) = unheard.filter(|_| !silent) {
            unheard.heard();
        }
        let head = match ended {
            Err(timer::Elapsed) => {
                return Err(failed(exchange.stage(), ExchangeFault::DeadlinePassed));
            }
            Ok(Err(fault)) => return Err(failed(exchange.stage(), fault)),
            Ok(Ok(head)) => head,
        };
        let pool = self.pool.clone();
        let give_back = move |wire| {
            if let Some(wire) = wire {
                pool.keep(slot, wire);
            }
        };
        Ok(exchange.into_response(head, pace, give_back))
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        if let Some((slot, wire)) = self.unused.take() {
            self.pool.keep(slot, wire);
        }
    }
}
