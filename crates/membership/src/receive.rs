//! Taking messages and machine lists.

use threadledge_types::{RouterId, Timestamp};

use crate::machine_view::ListAge;
use crate::machines::MachineList;
use crate::member::MemberState;
use crate::membership::{Membership, Output};
use crate::merge::PassOn;
use crate::message::{MemberUpdate, Message, MessageBody};
use crate::prober::RelayRequest;
use crate::proof::DeathProof;

impl Membership {
    pub(crate) fn receive(
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
        let pass_on = match message.body {
            MessageBody::SyncWanted { .. } | MessageBody::SyncUpdates => PassOn::No,
            _ => PassOn::Yes,
        };
        let updates = std::mem::take(&mut message.updates);
        let subjects: Vec<RouterId> = updates.iter().map(MemberUpdate::subject).collect();
        for update in updates {
            self.merge(now, update, pass_on, outputs);
        }
        self.take_body(now, &message, &subjects, outputs);
        self.notify_suspect(&message, outputs);
    }

    /// A message shows that its sender lives, under the number it states.
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
        self.merge(now, update, PassOn::Yes, outputs);
    }

    /// Tells a sender that it is taken for suspect or dead here, so that it
    /// can contradict at once. A message alone does not clear it: it may have
    /// been under way for long.
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

    /// Acts on the body of a message whose updates, about `subjects`, are
    /// merged.
    fn take_body(
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
            MessageBody::Ack { sequence } => self.take_ack(message.from.id, *sequence, outputs),
            MessageBody::PingRequest { sequence, target } => {
                let request = RelayRequest {
                    requester: message.from.id,
                    address: message.from.peer_address,
                    sequence: *sequence,
                };
                let ends_at = now + self.settings.probe_timeout;
                if let Some(sequence) = self.prober.begin_relay(target.id, request, ends_at) {
                    let to = target.peer_address;
                    self.send(to, Some(target.id), MessageBody::Ping { sequence }, outputs);
                }
            }
            MessageBody::IndirectAck { sequence } => {
                if self.prober.relay_acknowledged(*sequence) {
                    self.health.improve();
                }
            }
            MessageBody::IndirectNack { sequence } => {
                self.prober.relay_refused(message.from.id, *sequence);
            }
            MessageBody::Gossip | MessageBody::SyncUpdates => {}
            MessageBody::SyncOffer { start, hashes } => {
                self.answer_offer(message, *start, hashes, outputs);
            }
            MessageBody::SyncDigest { buckets, entries } => {
                self.take_digest(now, message, buckets, entries, outputs);
            }
            MessageBody::SyncWanted { ids } => {
                self.answer_wanted(message, ids, subjects, outputs);
            }
        }
    }

    fn take_ack(&mut self, from: RouterId, sequence: u64, outputs: &mut Vec<Output>) {
        if self.prober.acknowledged(from, sequence) {
            self.health.improve();
        }
        if let Some(request) = self.prober.end_relay(from, sequence) {
            let body = MessageBody::IndirectAck {
                sequence: request.sequence,
            };
            self.send(request.address, Some(request.requester), body, outputs);
        }
    }

    pub(crate) fn reply(
        &mut self,
        message: &Message,
        body: MessageBody,
        outputs: &mut Vec<Output>,
    ) {
        let to = message.from.peer_address;
        self.send(to, Some(message.from.id), body, outputs);
    }

    /// Takes a list that was read. One with a lower version lags and is
    /// ignored.
    pub(crate) fn take_machine_list(
        &mut self,
        now: Timestamp,
        list: MachineList,
        outputs: &mut Vec<Output>,
    ) {
        match self.machines.age_of(&list) {
            ListAge::Older => return,
            ListAge::Same => {}
            ListAge::Newer => {
                let table = &self.table;
                self.machines.replace(list, |name| {
                    table
                        .on_machine(name)
                        .is_some_and(|record| !record.is_dead())
                });
            }
        }
        let Some(version) = self.machines.version() else {
            return;
        };
        let ids: Vec<RouterId> = self.members().map(|member| member.identity.id).collect();
        for id in ids {
            self.compare_with_list(now, id, version, outputs);
        }
    }

    fn compare_with_list(
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
            // An entry may belong to an earlier machine of the same name, if
            // the list lags; see `Settings::max_list_lag`.
            if now.since(record.known_since) >= self.settings.max_list_lag {
                record.listed = Some(version);
            }
        } else if let Some(listed) = record.listed
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
            let was = record.member.state;
            self.set_living_state(id);
            self.report_leaving_change(id, was, outputs);
        }
    }

    fn report_leaving_change(&self, id: RouterId, was: MemberState, outputs: &mut Vec<Output>) {
        let Some(member) = self.member(id) else {
            return;
        };
        if was != MemberState::Leaving && member.state == MemberState::Leaving {
            outputs.push(Output::MemberLeaving(id));
        }
        if was == MemberState::Leaving && member.state != MemberState::Leaving {
            outputs.push(Output::MemberUp(member.identity.clone()));
        }
    }
}
