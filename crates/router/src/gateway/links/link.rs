//! A connection for one attempt, direct or to a gateway that forwards.

use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use http_types::{Request, Response};
use threadledge_dispatch::Fault;
use threadledge_net::{
    ExchangeError, ExchangeFault, Instant, PassedOver, PooledConnection, Stage, timer,
};
use threadledge_paths::Evidence;

use super::{BackEndLinks, Target};
use crate::events::{EventId, emit};

/// A connection on which nothing has been sent yet.
#[derive(Debug)]
pub(in super::super) struct Link {
    pub(super) links: BackEndLinks,
    pub(super) target: Target,
    pub(super) connection: PooledConnection,
    /// The gateway that forwards, if the connection leads to one.
    pub(super) forwarder: Option<SocketAddr>,
}

impl Link {
    /// The gateway that forwards, unless the connection is direct.
    pub(in super::super) fn forwarder(&self) -> Option<SocketAddr> {
        self.forwarder
    }

    /// Sends a request and returns the response. After `patience` without one
    /// on a connection that was open before, the path is checked.
    ///
    /// # Errors
    ///
    /// The fault of the attempt.
    pub(in super::super) async fn exchange(
        self,
        request: Request,
        deadline: Instant,
        patience: Duration,
    ) -> Result<Response, Fault> {
        match self.forwarder {
            Some(forwarder) => self.exchange_forwarded(forwarder, request, deadline).await,
            None => self.exchange_direct(request, deadline, patience).await,
        }
    }

    async fn exchange_direct(
        self,
        request: Request,
        deadline: Instant,
        patience: Duration,
    ) -> Result<Response, Fault> {
        let Link {
            links,
            target,
            connection,
            ..
        } = self;
        let address = target.address;
        let is_reused = connection.is_reused();
        let sent = links.shared.clock.now();
        let mut exchange = pin!(connection.exchange(request, deadline));
        let answered = match is_reused {
            true => timer::timeout(patience, &mut exchange).await,
            false => Ok((&mut exchange).await),
        };
        let answered = match answered {
            Ok(answered) => answered,
            Err(timer::Elapsed) => {
                links.check_after_silence(address, sent);
                exchange.await
            }
        };
        match answered {
            Ok(response) => {
                links.with_direct(|paths, now| paths.on_answer(now, address));
                if response.ext().get::<PassedOver>().is_some() {
                    emit!(EventId::AnswerRepeated, back_end = %target.name);
                }
                Ok(response)
            }
            Err(error) => {
                if let ExchangeFault::Unpaired(reason) = error.fault {
                    emit!(
                        EventId::AnswerUnpaired,
                        back_end = %target.name,
                        reason = %reason,
                    );
                }
                Err(fault_from_error(&error))
            }
        }
    }
}

/// What a failure to open a connection shows about the path, if anything.
pub(super) fn evidence_of(error: &ExchangeError) -> Option<Evidence> {
    match &error.fault {
        // Reaching the router's own connection limit says nothing about the
        // back end.
        ExchangeFault::NoConnectionFree => None,
        ExchangeFault::DeadlinePassed => Some(Evidence::Timeout),
        _ => Some(Evidence::Refused),
    }
}

/// The fault of an attempt whose exchange failed.
pub(super) fn fault_from_error(error: &ExchangeError) -> Fault {
    match (error.stage, &error.fault) {
        (Stage::ConnectFailed, ExchangeFault::NoConnectionFree) => Fault::NoConnection,
        (Stage::ConnectFailed, _) => Fault::Unreachable,
        (Stage::NothingSent, ExchangeFault::RequestBody(_)) => Fault::BodyGone,
        (Stage::NothingSent, _) => Fault::NothingSent,
        (_, ExchangeFault::RequestBody(_)) => Fault::CallerBroke,
        (_, ExchangeFault::DeadlinePassed) => Fault::TimedOut,
        (_, ExchangeFault::Malformed(_) | ExchangeFault::Unpaired(_)) => Fault::BadAnswer,
        (Stage::ResponseHead | Stage::ResponseBody, _) => Fault::BadAnswer,
        _ => Fault::Broken,
    }
}
