//! Handling of requests that crash back ends: recognises repeated requests,
//! checks whether a process ended, shares findings with other gateways, and
//! persists them for the case that all gateways end.

mod gossip;
pub(super) mod identity;
mod log;
pub(super) mod neighbours;
pub(super) mod operator;
mod persistence;
mod process_probe;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use async_std::task;
use parking_lot::Mutex;
use threadledge_dispatch::dispatcher::ProcessCheck;
use threadledge_ports::Ports;
use threadledge_suspects::{RequestHash, SuspectUpdate, UpdateScope};

use super::dispatch::Dispatch;
use super::followers::Followers;
use super::links::BackEndLinks;
use super::notifier::Notifier;
use super::peers::PeerClient;
use gossip::{Cursors, GossipTask};
use log::HeldLog;
use neighbours::Neighbours;
use persistence::PersistenceTask;
use process_probe::ProcessProber;

/// Observation of the request path about a crash.
#[derive(Debug)]
pub(super) enum Finding {
    /// An attempt broke at this process, which may have ended.
    BrokenAttempt(ProcessCheck),
    /// Processes ended while they ran requests.
    Crashes,
}

/// Channel of findings and notification of changes, from the request path to
/// the tasks of this module.
#[derive(Debug)]
pub(super) struct SuspectSignals {
    findings: async_channel::Sender<Finding>,
    /// Notified when new information about suspects is known.
    pub(super) changed: Notifier,
}

impl SuspectSignals {
    /// Creates the signals and the receiver of the findings.
    pub(super) fn new() -> (Self, async_channel::Receiver<Finding>) {
        let (findings, receiver) = async_channel::unbounded();
        let changed = Notifier::default();
        (SuspectSignals { findings, changed }, receiver)
    }

    pub(super) fn report(&self, finding: Finding) {
        // The channel is unbounded and closes only when the process ends.
        let _ = self.findings.try_send(finding);
    }
}

/// Shared state of this gateway's handling of suspects. Clones share it.
#[derive(Clone)]
pub(super) struct SuspectService {
    dispatch: Arc<Dispatch>,
    cursors: Arc<Cursors>,
    log: Arc<HeldLog>,
    /// Requests whose crash this gateway saw itself, or that an operator
    /// released here.
    own_findings: Arc<Mutex<BTreeSet<RequestHash>>>,
    /// Position of this gateway in the tree of relays.
    pub(super) neighbours: Arc<Neighbours>,
}

impl SuspectService {
    pub(super) fn new(dispatch: Arc<Dispatch>) -> Self {
        SuspectService {
            dispatch,
            cursors: Arc::default(),
            log: Arc::default(),
            own_findings: Arc::default(),
            neighbours: Arc::default(),
        }
    }

    /// Starts the tasks that check processes, inform other gateways and persist
    /// held requests.
    pub(super) fn start(
        &self,
        findings: async_channel::Receiver<Finding>,
        client: PeerClient,
        followers: Arc<Followers>,
        ports: &Ports,
        links: BackEndLinks,
    ) {
        let prober = ProcessProber {
            service: self.clone(),
            header_codec: ports.header_codec.clone(),
            links,
            findings,
        };
        let persistence = PersistenceTask::new(self.clone(), ports.held_requests.clone());
        task::spawn(prober.run());
        task::spawn(persistence.run());
        if client.own_address().is_some() {
            let gossip = GossipTask {
                service: self.clone(),
                client,
                followers,
            };
            task::spawn(gossip.run());
        } else {
            // A gateway without peers watches the store itself.
            self.neighbours.set_position(None, true);
        }
    }

    /// Merges an update from another gateway or from the store.
    pub(super) fn merge_update(
        &self,
        from: Option<SocketAddr>,
        source: &str,
        update: &SuspectUpdate,
    ) {
        if update.is_empty() {
            return;
        }
        let (before, after) = self.dispatch.with(|dispatcher, now| {
            let before = dispatcher.suspects().changes();
            dispatcher.merge_suspects(now, update);
            (before, dispatcher.suspects().changes())
        });
        if let Some(from) = from {
            self.cursors.record_received(from, before, after);
        }
        self.log.log_changes(&self.dispatch, source);
    }

    /// Returns the suspects known here that concern the requesting gateway: all
    /// for a relay of another zone, otherwise those with repeated crashes.
    pub(super) fn known_suspects(&self, requester: Option<SocketAddr>) -> SuspectUpdate {
        let other_relays = self.neighbours.position().other_relays;
        let scope = match requester.is_some_and(|requester| other_relays.contains(&requester)) {
            true => UpdateScope::All,
            false => UpdateScope::Repeated,
        };
        let since = 0;
        self.dispatch
            .with(|dispatcher, now| dispatcher.suspects().updates_since(since, scope, now))
    }
}
