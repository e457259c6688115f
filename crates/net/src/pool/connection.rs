//! A connection checked out of a pool for one exchange.

use std::net::SocketAddr;

use http_types::{Method, Request, Response};

use super::Pool;
use super::address_table::Slot;
use super::error::{ExchangeError, ExchangeFault, Stage};
use super::exchange::Exchange;
use super::held::HeldConnection;
use super::pairing::Pairing;
use crate::Instant;
use crate::body::BodyDeadline;
use crate::buffered_stream::BufferedStream;
use crate::timer;

/// Connection on which nothing has been sent yet. Dropping it returns it to the
/// pool.
#[derive(Debug)]
pub struct PooledConnection {
    pool: Pool,
    address: SocketAddr,
    /// Whether the connection was idle in the pool before.
    reused: bool,
    unused: Option<(Slot, BufferedStream)>,
}

impl PooledConnection {
    pub(super) fn new(
        pool: Pool,
        address: SocketAddr,
        reused: bool,
        slot: Slot,
        buffered: BufferedStream,
    ) -> Self {
        PooledConnection {
            pool,
            address,
            reused,
            unused: Some((slot, buffered)),
        }
    }

    /// Address of the peer.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether the connection was open before it was checked out.
    pub fn is_reused(&self) -> bool {
        self.reused
    }

    /// Sends the request and returns the response with a streaming body, like
    /// [`Pool::exchange`].
    pub async fn exchange(
        self,
        request: Request,
        deadline: Instant,
    ) -> Result<Response, ExchangeError> {
        self.exchange_with_body_deadline(request, deadline, BodyDeadline::Until(deadline))
            .await
    }

    /// Like [`PooledConnection::exchange`], with a separate deadline for the
    /// body.
    pub(super) async fn exchange_with_body_deadline(
        self,
        request: Request,
        deadline: Instant,
        body_deadline: BodyDeadline,
    ) -> Result<Response, ExchangeError> {
        let pool = self.pool.clone();
        let on_release = move |slot, buffered| pool.check_in(slot, buffered);
        self.run(request, deadline, body_deadline, on_release).await
    }

    /// Like [`PooledConnection::exchange`], but the caller decides after the
    /// response whether the connection is reused.
    pub async fn exchange_held(
        self,
        request: Request,
        deadline: Instant,
    ) -> Result<(Response, HeldConnection), ExchangeError> {
        let held = HeldConnection::new(self.pool.clone(), self.reused);
        let on_release = held.place();
        let body_deadline = BodyDeadline::Until(deadline);
        let response = self
            .run(request, deadline, body_deadline, on_release)
            .await?;
        Ok((response, held))
    }

    /// Runs the exchange. `on_release` gets the connection after the response
    /// if it can be reused.
    async fn run(
        mut self,
        request: Request,
        deadline: Instant,
        body_deadline: BodyDeadline,
        on_release: impl FnOnce(Slot, BufferedStream) + Send + Sync + 'static,
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
        let Some((mut slot, buffered)) = self.unused.take() else {
            let closed = std::io::Error::from(std::io::ErrorKind::NotConnected);
            return Err(failed(Stage::NothingSent, closed.into()));
        };
        let addresses = &self.pool.addresses;
        let reuse = self.reused.then(|| addresses.watch_reuse(address));
        slot.bodiless = request.method() == Method::Head;
        let pairing = Pairing {
            ids: self.pool.settings.response_ids,
            request: slot.request,
            earlier: slot.earlier.clone(),
        };
        let mut exchange = Exchange::new(request, buffered, pairing, &self.pool.settings);
        // Until the response is complete, either this future or the body owns
        // the slot: dropping it frees the slot and closes the connection.
        let ended = timer::timeout_at(deadline, exchange.run()).await;
        if exchange.is_nameless() {
            addresses.on_nameless(address);
        }
        let silent = ended.is_err() && exchange.stage() <= Stage::Sent;
        if let Some(reuse) = reuse.filter(|_| !silent) {
            reuse.activity_seen();
        }
        let head = match ended {
            Err(timer::Elapsed) => {
                return Err(failed(exchange.stage(), ExchangeFault::DeadlinePassed));
            }
            Ok(Err(fault)) => return Err(failed(exchange.stage(), fault)),
            Ok(Ok(head)) => head,
        };
        let on_release = move |buffered| {
            if let Some(buffered) = buffered {
                on_release(slot, buffered);
            }
        };
        Ok(exchange.into_response(head, body_deadline, on_release))
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        if let Some((slot, buffered)) = self.unused.take() {
            self.pool.check_in(slot, buffered);
        }
    }
}
