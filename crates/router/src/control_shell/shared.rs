//! The lock around the control core, and the execution of its outputs.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use parking_lot::Mutex;
use threadledge_control::{
    ControlNode, GroupObjectVersion, GroupWriteResult, Input, Output, PeerBatch, PeerMessage,
};
use threadledge_net::StopSignal;
use threadledge_object_api::TransportSettings;
use threadledge_types::records::RecordDelta;
use threadledge_types::{Generation, RouterId, RouterIdentity};

use super::configuration::ConfigurationClient;
use super::leases::LeaseClient;
use super::machines::poll_machine_list;
use super::observe;
use super::peers::Peers;
use super::safety::SafetySettings;
use crate::proxy::Clock;
use crate::settings::Settings;

/// Interval between ticks of the core.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// A callback that receives every change of the records, in order.
pub type RecordSink = Box<dyn Fn(&RecordDelta) + Send + Sync>;

/// Components and settings of a control shell.
pub struct ControlShellSettings {
    /// The router's settings.
    pub settings: Settings,
    /// The core to run.
    pub node: ControlNode,
    /// Transport settings for the platform's services.
    pub platform: TransportSettings,
    /// Clock with which the core was created.
    pub clock: Clock,
    /// Receives changes of the records.
    pub records: RecordSink,
    /// Ends the background tasks.
    pub stop: StopSignal,
}

/// Runs a control core. Clones share it.
#[derive(Clone)]
pub struct ControlShell {
    shared: Arc<Shared>,
}

struct Shared {
    node: Mutex<ControlNode>,
    identity: RouterIdentity,
    clock: Clock,
    records: RecordSink,
    peers: Peers,
    leases: LeaseClient,
    configuration: ConfigurationClient,
    stop: StopSignal,
}

impl ControlShell {
    /// Starts the shell and its background tasks.
    pub fn start(parts: ControlShellSettings) -> Self {
        let identity = parts.node.identity().clone();
        let lease_timeout = parts.settings.timing.renewal();
        let machine_list = parts.settings.machine_list_address;
        let shell = ControlShell {
            shared: Arc::new(Shared {
                node: Mutex::new(parts.node),
                peers: Peers::new(SafetySettings::from_timing(&parts.settings.timing)),
                leases: LeaseClient::new(lease_timeout),
                configuration: ConfigurationClient::new(
                    &parts.settings,
                    parts.platform.clone(),
                    identity.id,
                ),
                identity,
                clock: parts.clock,
                records: parts.records,
                stop: parts.stop,
            }),
        };
        task::spawn(tick(shell.clone()));
        task::spawn(poll_machine_list(
            shell.clone(),
            machine_list,
            parts.platform,
        ));
        shell
    }

    /// Returns this router's identity.
    pub fn identity(&self) -> &RouterIdentity {
        &self.shared.identity
    }

    /// Returns the signal that ends the background tasks.
    pub fn stop_signal(&self) -> &StopSignal {
        &self.shared.stop
    }

    /// Returns the clock of the core.
    pub fn clock(&self) -> Clock {
        self.shared.clock
    }

    pub(super) fn peers(&self) -> &Peers {
        &self.shared.peers
    }

    /// Returns the settings that other routers must share.
    pub fn safety(&self) -> SafetySettings {
        self.shared.peers.safety()
    }

    /// Returns whether a router with different safety settings is known.
    pub fn has_differing_routers(&self) -> bool {
        self.shared.peers.any_differ()
    }

    /// Reads the core's state under the lock.
    pub fn with_node<R>(&self, read: impl FnOnce(&ControlNode) -> R) -> R {
        read(&self.shared.node.lock())
    }

    /// Returns whether another router is believed alive.
    pub fn knows_other_routers(&self) -> bool {
        self.with_node(|node| node.live_router_count() > 1)
    }

    /// Feeds an input to the core and executes its outputs.
    pub fn input(&self, input: Input) {
        self.step(input, None);
    }

    /// Feeds a batch of another router to the core. Returns the messages that the
    /// core sends to that router in response.
    pub fn answer_batch(&self, batch: PeerBatch) -> PeerBatch {
        let sender = batch.from.id;
        PeerBatch {
            from: self.shared.identity.clone(),
            to: Some(sender),
            messages: self.step(Input::Peer(batch), Some(sender)),
        }
    }

    /// Steps the core. Messages to `sender` are returned instead of sent. Outputs
    /// are started under the lock, which preserves their order.
    fn step(&self, input: Input, sender: Option<RouterId>) -> Vec<PeerMessage> {
        let mut answers = Vec::new();
        let mut node = self.shared.node.lock();
        let now = self.shared.clock.now();
        for output in node.step(now, input) {
            match output {
                Output::SendPeer { to_id, message, .. } if sender.is_some() && to_id == sender => {
                    answers.push(*message);
                }
                other => self.execute(other),
            }
        }
        answers
    }

    /// Writes the group object. While a router with different safety settings is
    /// known, there is a group that this router cannot see; it must not found a
    /// second one, whatever the store contains.
    fn found_group(&self, generation: Generation, expected: Option<GroupObjectVersion>) {
        if !self.has_differing_routers() {
            let configuration = &self.shared.configuration;
            return configuration.found_group(self, generation, expected);
        }
        let shell = self.clone();
        // Reported from a task, because the core is locked while it is stepped.
        task::spawn(async move {
            let result = GroupWriteResult::Unavailable;
            shell.input(Input::GroupObjectWritten { generation, result });
        });
    }

    fn execute(&self, output: Output) {
        match output {
            Output::SendPeer { to, to_id, message } => {
                self.shared.peers.send(self, to, to_id, *message);
            }
            Output::SendLease { to, request } => self.shared.leases.send(self, to, *request),
            Output::Records(delta) => (self.shared.records)(&delta),
            Output::ReadGroupObject => self.shared.configuration.read_group_object(self),
            Output::WriteGroupObject {
                generation,
                expected,
            } => self.found_group(generation, expected),
            Output::WatchConfiguration(known) => self.shared.configuration.watch(self, &known),
            Output::StopWatching => self.shared.configuration.stop_watching(),
            Output::WriteStatus(write) => self.shared.configuration.write_status(write),
            Output::Observe(observation) => observe::log(&observation),
        }
    }
}

async fn tick(shell: ControlShell) {
    while !shell.stop_signal().is_stopped() {
        shell.input(Input::Tick);
        task::sleep(TICK_INTERVAL).await;
    }
}
