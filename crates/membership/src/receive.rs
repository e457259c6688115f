//! Handling of messages and machine lists.

use threadledge_types::{RouterId, Timestamp};

use crate::machine_view::VersionOrder;
use crate::machines::MachineList;
use crate::member::MemberState;
use crate::membership::{Membership, Output};
use crate::merge::Forward;
use crate::message::{MemberUpdate, Message, MessageBody};
use crate::prober::IndirectRequest;
use crate::proof::DeathProof;

impl Membership {
    /// Merges the updates of a message and acts on its body. Messages from
    /// other regions and from superseded processes are ignored.
    pub(crate) fn handle_message(
        &mut self,
        now: Timestamp,
        mut message: Message,
        outputs: &mut Vec<Output>,
    ) {
        if message.from.region != self.own.region || message.from.id == self.own.id {
            return;
        }
        self.observe_sender(now, &message, outputs);
        if self
            .table
            .get(message.from.id)
            .is_none_or(|sender| sender.is_superseded())
        {
            return;
        }
        let forward = match message.body {
            MessageBody::SyncWanted { .. } | MessageBody::SyncUpdates => Forward::No,
            _ => Forward::Yes,
        };
        let updates = std::mem::take(&mut message.updates);
        let subjects: Vec<RouterId> = updates.iter().map(MemberUpdate::subject).collect();
        for update in updates {
            self.merge(now, update, forward, outputs);
        }
        self.handle_body(now, &message, &subjects, outputs);
        self.notify_suspect(&message, outputs);
    }

    /// Records the sender of a message as alive or leaving, with the refutation
    /// number that the message states.
    fn observe_sender(&mut self, now: Timestamp, message: &Message, outputs: &mut Vec<Output>) {
        let identity = message.from.clone();
        let refutation = message.refutation;
        let update = if message.leaving {
            MemberUpdate::Leaving {
                identity,
                refutation,
            }
        } else {
            MemberUpdate::Alive {
                identity,
                refutation,
            }
        };
        self.merge(now, update, Forward::Yes, outputs);
    }

    /// Tells a sender that it is suspect or dead here, so that it can refute
    /// this immediately. The message alone does not clear the sender, because
    /// it may have been in transit for a long time.
    fn notify_suspect(&mut self, message: &Message, outputs: &mut Vec<Output>) {
        let id = message.from.id;
        let Some(record) = self.table.get(id) else {
            return;
        };
        let refutation = record.member.refutation;
        let update = if record.is_dead() {
            MemberUpdate::Dead { id, refutation }
        } else if self.suspicions.contains(id) {
            let by = self.own.id;
            MemberUpdate::Suspect { id, refutation, by }
        } else {
            return;
        };
        let to = message.from.peer_address;
        self.send_with(
            to,
            Some(id),
            MessageBody::SyncUpdates,
            vec![update],
            outputs,
        );
    }

    /// Acts on the body of a message. Its updates, which are about `subjects`,
    /// have been merged before.
    fn handle_body(
        &mut self,
        now: Timestamp,
        message: &Message,
        subjects: &[RouterId],
        outputs: &mut Vec<Output>,
    ) {
        match &message.body {
            MessageBody::Ping { sequence } => {
                let sequence = *sequence;
                self.reply(message, MessageBody::Ack { sequence }, outputs);
            }
            MessageBody::Ack { sequence } => self.handle_ack(message.from.id, *sequence, outputs),
            MessageBody::PingRequest { sequence, target } => {
                let request = IndirectRequest {
                    requester: message.from.id,
                    address: message.from.peer_address,
                    sequence: *sequence,
                };
                let ends_at = now + self.settings.probe_timeout;
                if let Some(sequence) = self.prober.begin_indirect(target.id, request, ends_at) {
                    let to = target.peer_address;
                    self.send(to, Some(target.id), MessageBody::Ping { sequence }, outputs);
                }
            }
            MessageBody::IndirectAck { sequence } => {
                if self.prober.on_indirect_ack(*sequence) {
                    self.health.improve();
                }
            }
            MessageBody::IndirectNack { sequence } => {
                self.prober.on_indirect_nack(message.from.id, *sequence);
            }
            MessageBody::Gossip | MessageBody::SyncUpdates => {}
            MessageBody::SyncOffer { start, hashes } => {
                self.handle_sync_offer(message, *start, hashes, outputs);
            }
            MessageBody::SyncDigest { buckets, entries } => {
                self.handle_sync_digest(now, message, buckets, entries, outputs);
            }
            MessageBody::SyncWanted { ids } => {
                self.handle_sync_wanted(message, ids, subjects, outputs);
            }
        }
    }

    /// Ends the probe that an ack answers. If the probe was made for another
    /// router, passes the ack on to it.
    fn handle_ack(&mut self, from: RouterId, sequence: u64, outputs: &mut Vec<Output>) {
        if self.prober.on_ack(from, sequence) {
            self.health.improve();
        }
        if let Some(request) = self.prober.finish_indirect(from, sequence) {
            let body = MessageBody::IndirectAck {
                sequence: request.sequence,
            };
            self.send(request.address, Some(request.requester), body, outputs);
        }
    }

    /// Sends a message to the sender of `message`.
    pub(crate) fn reply(
        &mut self,
        message: &Message,
        body: MessageBody,
        outputs: &mut Vec<Output>,
    ) {
        let to = message.from.peer_address;
        self.send(to, Some(message.from.id), body, outputs);
    }

    /// Applies a machine list that was read. A list with a lower version lags
    /// and is ignored.
    pub(crate) fn apply_machine_list(
        &mut self,
        now: Timestamp,
        list: MachineList,
        outputs: &mut Vec<Output>,
    ) {
        match self.machines.compare_version(&list) {
            VersionOrder::Older => return,
            VersionOrder::Same => {}
            VersionOrder::Newer => {
                let table = &self.table;
                self.machines.replace(list, |name| {
                    table
                        .latest_on_machine(name)
                        .is_some_and(|record| !record.is_dead())
                });
            }
        }
        let Some(version) = self.machines.version() else {
            return;
        };
        let ids: Vec<RouterId> = self.members().map(|member| member.identity.id).collect();
        for id in ids {
            self.check_against_list(now, id, version, outputs);
        }
    }

    /// Updates what the machine list shows about a member: whether it is
    /// listed, whether it was removed, and whether it is leaving.
    fn check_against_list(
        &mut self,
        now: Timestamp,
        id: RouterId,
        version: u64,
        outputs: &mut Vec<Output>,
    ) {
        let Some(record) = self.table.get_mut(id) else {
            return;
        };
        let identity = &record.member.identity;
        if self.machines.lists(identity) {
            // If the list lags, the entry may belong to an earlier machine with
            // the same name; see `Settings::max_list_lag`.
            if now.since(record.known_since) >= self.settings.max_list_lag {
                record.listed_version = Some(version);
            }
        } else if let Some(listed) = record.listed_version
            && listed < version
            && record.proof.is_none()
            && !self.machines.has_name(&identity.machine)
        {
            record.proof = Some(DeathProof::RemovedFromList {
                machine: identity.machine.clone(),
                listed,
                missing: version,
            });
        }
        let leaving = self.machines.lists_leaving(identity);
        let changed = record.listed_leaving != leaving && !record.is_dead();
        record.listed_leaving = leaving;
        if changed && id != self.own.id {
            let previous = record.member.state;
            self.set_living_state(id);
            self.report_leaving_change(id, previous, outputs);
        }
    }

    /// Reports that a member started to leave or no longer leaves.
    fn report_leaving_change(
        &self,
        id: RouterId,
        previous: MemberState,
        outputs: &mut Vec<Output>,
    ) {
        let Some(member) = self.member(id) else {
            return;
        };
        if previous != MemberState::Leaving && member.state == MemberState::Leaving {
            outputs.push(Output::MemberLeaving(id));
        }
        if previous == MemberState::Leaving && member.state != MemberState::Leaving {
            outputs.push(Output::MemberUp(member.identity.clone()));
        }
    }
}
