//! This router's membership of its group: the replicated log and the state
//! machine that applies its commands.

use threadledge_consensus::{CommittedEntry, Message, Node, Outgoing, Payload, Settings};
use threadledge_ownership::{Command, Snapshot, StateMachine};
use threadledge_types::records::{RecordChange, RecordDelta};
use threadledge_types::{Generation, GroupId, Revision, RouterId, RouterIdentity, Timestamp};

use crate::object_status::ObjectRef;
use crate::output::AppliedObject;

/// Consensus node and state machine of one group on one router.
pub struct GroupMember {
    node: Node<Command, Snapshot>,
    machine: StateMachine,
    /// Index of the last log entry applied.
    applied_index: u64,
}

/// Output of [`GroupMember::process_ready`].
#[derive(Debug, Default)]
pub struct ReadyOutput {
    /// Messages to other members.
    pub messages: Vec<Outgoing<Command, Snapshot>>,
    /// Updates of the state, in order.
    pub updates: Vec<StateUpdate>,
}

/// One update of the state.
#[derive(Debug)]
pub enum StateUpdate {
    /// One log entry was applied.
    Entry {
        /// Revision of the entry.
        revision: Revision,
        /// Records changed by the entry; may be empty.
        changes: Vec<RecordChange>,
    },
    /// The state was replaced by a snapshot.
    Replaced {
        /// Revision of the snapshot.
        revision: Revision,
        /// All records of the snapshot.
        records: Vec<RecordChange>,
    },
}

impl StateUpdate {
    /// Converts the update to a delta for copies of the state at `from`.
    pub fn delta(&self, group: GroupId, from: Revision) -> RecordDelta {
        match self {
            StateUpdate::Entry { revision, changes } => RecordDelta {
                group,
                from,
                to: *revision,
                full: false,
                changes: changes.clone(),
            },
            StateUpdate::Replaced { revision, records } => RecordDelta {
                group,
                from: Revision::NONE,
                to: *revision,
                full: true,
                changes: records.clone(),
            },
        }
    }
}

impl GroupMember {
    /// Creates the member for a router that waits to be added to its group.
    pub fn join(settings: Settings, identity: RouterIdentity, now: Timestamp) -> Self {
        let machine = StateMachine::new(settings.group);
        GroupMember {
            node: Node::join(settings, identity, now),
            machine,
            applied_index: 0,
        }
    }

    /// Bootstraps the group with this router as its only voter.
    pub fn bootstrap(
        settings: Settings,
        identity: RouterIdentity,
        generation: Generation,
        recovered: Option<Snapshot>,
        now: Timestamp,
    ) -> Self {
        let machine = StateMachine::new(settings.group);
        GroupMember {
            node: Node::bootstrap(settings, identity, generation, recovered, now),
            machine,
            applied_index: 0,
        }
    }

    /// Prepares a member that the group was bootstrapped again without to be
    /// added to the new generation. Returns whether that was the case.
    pub fn rejoin(&mut self, now: Timestamp) -> bool {
        let Some(node) = self.node.rejoin(now) else {
            return false;
        };
        self.machine = StateMachine::new(node.settings().group);
        self.node = node;
        self.applied_index = 0;
        true
    }

    /// The consensus node.
    pub fn node(&self) -> &Node<Command, Snapshot> {
        &self.node
    }

    /// Mutable access to the consensus node, for proposals.
    pub fn node_mut(&mut self) -> &mut Node<Command, Snapshot> {
        &mut self.node
    }

    /// The state machine with all applied commands.
    pub fn machine(&self) -> &StateMachine {
        &self.machine
    }

    /// Returns the applied versions of the configuration objects.
    pub fn known_objects(&self) -> Vec<AppliedObject> {
        let back_ends = self.machine.back_ends().map(|record| AppliedObject {
            object: ObjectRef::BackEnd(record.id.clone()),
            resource_version: record.resource_version,
        });
        let services = self.machine.services().map(|record| AppliedObject {
            object: ObjectRef::Service(record.id.clone()),
            resource_version: record.resource_version,
        });
        back_ends.chain(services).collect()
    }

    /// Whether this router leads and has applied everything committed.
    pub fn is_serving_leader(&self) -> bool {
        self.node.has_committed_in_term() && self.applied_index >= self.node.commit_index()
    }

    /// Handles a consensus message of another member.
    pub fn step(&mut self, now: Timestamp, from: RouterId, message: Message<Command, Snapshot>) {
        self.node.step(now, from, message);
    }

    /// Advances the time of the consensus node.
    pub fn tick(&mut self, now: Timestamp) {
        self.node.tick(now);
    }

    /// Applies committed entries and returns state updates and messages to
    /// send.
    pub fn process_ready(&mut self) -> ReadyOutput {
        let ready = self.node.ready();
        let mut ready_output = ReadyOutput {
            messages: ready.messages,
            updates: Vec::new(),
        };
        if let Some(restored) = ready.restore {
            self.machine = StateMachine::restore(self.node.settings().group, restored.snapshot);
            self.applied_index = restored.revision.index;
            ready_output.updates.push(StateUpdate::Replaced {
                revision: restored.revision,
                records: self.machine.records(),
            });
        }
        for committed in ready.committed {
            ready_output.updates.push(self.apply(committed));
        }
        if ready.snapshot_wanted {
            let snapshot = self.machine.snapshot();
            self.node.compact(snapshot, self.applied_index);
        }
        ready_output
    }

    fn apply(&mut self, committed: CommittedEntry<Command>) -> StateUpdate {
        self.applied_index = committed.revision.index;
        let changes = match &committed.payload {
            Payload::Command(command) => self.machine.apply(committed.revision, command).changes,
            Payload::Empty | Payload::Members(_) => Vec::new(),
        };
        StateUpdate::Entry {
            revision: committed.revision,
            changes,
        }
    }
}
