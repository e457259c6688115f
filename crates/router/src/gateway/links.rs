//! Connections to back ends: direct ones and, where this gateway has lost its
//! path, ones through other gateways that forward.

mod checks;
mod forward_server;
mod forwarding;
mod gateways;
mod link;
mod orders;
mod peer_deadlines;
mod witness;

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use threadledge_dispatch::{Attempt, Fault};
use threadledge_net::{
    Instant, Pool, PoolSettings, PooledConnection, RequestIdentity, UnframedBodies, timer,
};
use threadledge_paths::{DirectPaths, Evidence, Forwarders, NextForwarder, PathChange, Search};
use threadledge_types::Timestamp;
use threadledge_types::deployment::{BackEndName, Distance, ServiceName};

use super::dispatch::Dispatch;
use super::notifier::Notifier;
use super::peers::PeerClient;
use crate::events::{EventId, emit};
use crate::proxy::Clock;
use link::evidence_of;

pub(super) use forward_server::ForwardServer;
pub(super) use forwarding::is_forwarded;
pub(super) use link::Link;
pub(super) use orders::{ForwardedOrder, ForwardedOrderResult, OrderSender, OrderServer};
pub(super) use peer_deadlines::ClockAnswer;

/// Time after which a connection that is not established yet is given up for
/// one through another gateway. Within a region connections take a few
/// milliseconds.
const NEAR_CONNECT_PATIENCE: Duration = Duration::from_millis(60);
/// Timeout for connecting to another gateway.
const PEER_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Most gateways asked for one connection.
const MAX_FORWARDERS_TRIED: usize = 4;
/// Most connections to one other gateway for forwarded requests.
const FORWARDED_PER_PEER: usize = 64;
/// Time without data from another gateway after which idle connections to it
/// are suspect.
const PEER_SUSPECT_AFTER: Duration = Duration::from_millis(400);

/// The back end to connect to.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub(super) name: BackEndName,
    pub(super) service: ServiceName,
    pub(super) address: SocketAddr,
    pub(super) distance: Distance,
    /// Most connections that this gateway may have to it; `None` if that was
    /// set before.
    pub(super) connection_limit: Option<usize>,
    /// Request to send, whose earlier attempts must have used other
    /// connections; `None` if it has no id.
    pub(super) request: Option<RequestIdentity>,
}

impl Target {
    /// The back end of an attempt at a request with this id.
    pub(super) fn of(attempt: &Attempt, request_id: Option<&str>) -> Self {
        Target {
            name: attempt.back_end.clone(),
            service: attempt.service.clone(),
            address: attempt.address,
            distance: attempt.distance,
            connection_limit: Some(attempt.connection_limit),
            request: request_id.map(RequestIdentity::of),
        }
    }
}

/// Opens connections to back ends. Clones share everything.
#[derive(Clone, Debug)]
pub(super) struct BackEndLinks {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    pool: Pool,
    /// Connections to other gateways for forwarded requests.
    peer_pool: Pool,
    peers: PeerClient,
    clock: Clock,
    dispatch: Arc<Dispatch>,
    direct: Mutex<DirectPaths>,
    forwarders: Mutex<Forwarders>,
    gateways: gateways::NamedGateways,
    readings: peer_deadlines::ClockReadings,
    controls: witness::Controls,
    /// Notified when a path is lost or a check has ended.
    checks_changed: Notifier,
}

impl BackEndLinks {
    pub(super) fn new(pool: Pool, dispatch: Arc<Dispatch>, peers: PeerClient) -> Self {
        let peer_pool = Pool::new(PoolSettings {
            connections_per_address: FORWARDED_PER_PEER,
            connect_timeout: PEER_CONNECT_TIMEOUT,
            unframed_bodies: UnframedBodies::Refuse,
            suspect_idle_after: Some(PEER_SUSPECT_AFTER),
            ..PoolSettings::default()
        });
        BackEndLinks {
            shared: Arc::new(Shared {
                pool,
                peer_pool,
                peers,
                clock: dispatch.clock(),
                dispatch,
                direct: Mutex::default(),
                forwarders: Mutex::new(Forwarders::new(rand::random())),
                gateways: gateways::NamedGateways::default(),
                readings: peer_deadlines::ClockReadings::default(),
                controls: witness::Controls::default(),
                checks_changed: Notifier::default(),
            }),
        }
    }

    /// Opens a connection to a back end, directly or through another gateway.
    ///
    /// # Errors
    ///
    /// The fault of the attempt; nothing was sent.
    pub(super) async fn open(
        &self,
        target: Target,
        deadline: Instant,
        search: Search,
    ) -> Result<Link, Fault> {
        if !self.is_lost(target.address) {
            match self.open_direct(&target, deadline).await {
                Ok(link) => return Ok(link),
                Err(Fault::NoConnection) => return Err(Fault::NoConnection),
                Err(_) => {}
            }
        }
        self.open_forwarded(target, deadline, search).await
    }

    /// Opens a direct connection. Waits only briefly if another gateway may
    /// forward instead.
    async fn open_direct(&self, target: &Target, deadline: Instant) -> Result<Link, Fault> {
        let pool = &self.shared.pool;
        let address = target.address;
        let limit = target.connection_limit;
        let mut opening = pin!(pool.checkout_for(address, target.request, limit, deadline));
        let is_near = target.distance < Distance::OtherRegion;
        let patience = is_near.then_some(NEAR_CONNECT_PATIENCE);
        let opened = match patience {
            Some(patience) => timer::timeout(patience, &mut opening).await,
            None => Ok((&mut opening).await),
        };
        let opened = match opened {
            Ok(opened) => opened,
            Err(timer::Elapsed) if self.may_forward(target) => {
                self.on_connect_failed(address, Evidence::Timeout);
                return Err(Fault::Unreachable);
            }
            Err(timer::Elapsed) => opening.await,
        };
        match opened {
            Ok(connection) => {
                if !connection.is_reused() {
                    self.with_direct(|paths, now| paths.on_connected(now, address));
                }
                Ok(self.link(target.clone(), connection, None))
            }
            Err(error) => match evidence_of(&error) {
                None => Err(Fault::NoConnection),
                Some(evidence) => {
                    self.on_connect_failed(address, evidence);
                    Err(Fault::Unreachable)
                }
            },
        }
    }

    /// Opens a connection to a gateway that may reach the back end.
    async fn open_forwarded(
        &self,
        target: Target,
        deadline: Instant,
        search: Search,
    ) -> Result<Link, Fault> {
        for _ in 0..MAX_FORWARDERS_TRIED {
            let forwarder = match self.next_forwarder(&target.service, target.address, search) {
                NextForwarder::Ask(forwarder) => forwarder,
                NextForwarder::Confirmed { .. } => return Err(Fault::Unreachable),
                NextForwarder::Pausing => return Err(Fault::CutOff),
                NextForwarder::NoneLeft => return Err(self.no_way_to(&target.name).await),
            };
            let reading = self.read_clock_of(forwarder).await;
            let opened = match reading {
                Some(()) => self.shared.peer_pool.checkout(forwarder, deadline).await,
                None => {
                    self.on_unusable(&target.service, forwarder);
                    continue;
                }
            };
            match opened {
                Ok(connection) => return Ok(self.link(target, connection, Some(forwarder))),
                Err(error) if evidence_of(&error).is_none() => return Err(Fault::NoConnection),
                Err(_) => self.on_unusable(&target.service, forwarder),
            }
        }
        Err(self.no_way_to(&target.name).await)
    }

    fn link(
        &self,
        target: Target,
        connection: PooledConnection,
        forwarder: Option<SocketAddr>,
    ) -> Link {
        Link {
            links: self.clone(),
            target,
            connection,
            forwarder,
        }
    }

    /// Returns whether this gateway cannot connect to a back end itself.
    pub(super) fn is_lost(&self, address: SocketAddr) -> bool {
        self.shared.direct.lock().is_lost(address)
    }

    /// The service of a registered back end.
    pub(super) fn service_of(&self, name: &BackEndName) -> Option<ServiceName> {
        let dispatch = &self.shared.dispatch;
        let service = dispatch.with(|dispatcher, _now| dispatcher.service_addresses(name));
        service.map(|(service, _)| service)
    }

    /// Distance of the back end at an address; `None` if none is registered
    /// there.
    pub(super) fn distance_of(&self, address: SocketAddr) -> Option<Distance> {
        let dispatch = &self.shared.dispatch;
        dispatch.with(|dispatcher, _now| dispatcher.distance_of(address))
    }

    fn on_connect_failed(&self, address: SocketAddr, evidence: Evidence) {
        self.with_direct(|paths, now| paths.on_connect_failed(now, address, evidence));
    }

    /// Forgets a back end that is no longer registered.
    pub(super) fn forget(&self, address: SocketAddr) {
        self.shared.direct.lock().forget(address);
        self.shared.forwarders.lock().forget(address);
        self.shared.pool.remove_address(address);
    }

    /// Runs `act` on the direct paths and handles their changes.
    fn with_direct<R>(&self, act: impl FnOnce(&mut DirectPaths, Timestamp) -> R) -> R {
        let mut direct = self.shared.direct.lock();
        let now = self.shared.clock.now();
        let result = act(&mut direct, now);
        let changes = direct.take_changes();
        drop(direct);
        for change in changes {
            self.on_change(&change);
        }
        result
    }

    fn on_change(&self, change: &PathChange) {
        match change {
            PathChange::Lost { address, evidence } => {
                emit!(
                    EventId::BackEndPathLost,
                    address = %address,
                    evidence = evidence.as_str(),
                );
                // Idle connections would hang as well.
                self.shared.pool.remove_address(*address);
                self.shared.checks_changed.notify();
            }
            PathChange::Restored { address, after } => {
                self.shared.forwarders.lock().forget(*address);
                emit!(
                    EventId::BackEndPathRestored,
                    address = %address,
                    after_ms = after.as_millis() as u64,
                );
            }
        }
    }
}
