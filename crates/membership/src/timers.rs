//! What is due by time: probes, suspicions, gossip, contacts, forgetting.

use threadledge_types::{RouterId, Timestamp};

use crate::membership::{DownReason, Membership, Output};
use crate::message::{MemberUpdate, MessageBody};
use crate::prober::{Probe, ProbeStep};

/// Every so many contacts a dead member is tried in place of a machine of the
/// list, so that a partition heals even without the list.
const DEAD_CONTACT_PERIOD: usize = 4;

/// How much a probe in which nobody answered worsens this router's health.
const ISOLATION_PENALTY: u32 = 2;
/// Most suspects passed over in the search for a member to probe.
const MAX_PASSED_OVER: usize = 8;

impl Membership {
    pub(crate) fn run_timers(&mut self, now: Timestamp, outputs: &mut Vec<Output>) {
        self.run_probe(now, outputs);
        self.run_relays(now, outputs);
        self.run_suspicions(now, outputs);
        self.run_contacts(now, outputs);
        self.run_sync(now, outputs);
        self.run_gossip(now, outputs);
    }

    pub(crate) fn compute_next_wakeup(&self, now: Timestamp) -> Timestamp {
        let mut next = self.prober.next_wakeup().min(self.next_contact_at);
        next = next.min(now + self.settings.probe_interval);
        if let Some(deadline) = self.suspicions.next_wakeup() {
            next = next.min(deadline);
        }
        if self.table.roster().len() > 0 {
            next = next.min(self.sync.next_at());
            if !self.gossip.is_empty() {
                next = next.min(self.next_gossip_at);
            }
        }
        next
    }

    fn run_probe(&mut self, now: Timestamp, outputs: &mut Vec<Output>) {
        match self.prober.advance(now) {
            Some(ProbeStep::AskOthers(target, sequence)) => {
                self.ask_others(target, sequence, outputs);
            }
            Some(ProbeStep::Failed(probe)) => self.probe_failed(now, &probe, outputs),
            None => {}
        }
        if self.prober.is_due(now) {
            self.begin_probe(now, outputs);
        }
    }

    fn begin_probe(&mut self, now: Timestamp, outputs: &mut Vec<Output>) {
        self.forget_dead(now);
        let multiplier = self.health.multiplier();
        let interval = self.settings.probe_interval * multiplier;
        let Some(target) = self.next_target() else {
            self.prober.skip(now, interval);
            return;
        };
        let timeout = self.settings.probe_timeout * multiplier;
        let sequence = self.prober.begin(now, target, timeout, interval);
        self.send_to_member(target, MessageBody::Ping { sequence }, outputs);
    }

    /// The next member to probe, in a random round. Suspects are passed over,
    /// for they are asked already; this matters when many fail at once.
    fn next_target(&mut self) -> Option<RouterId> {
        for _ in 0..MAX_PASSED_OVER {
            let target = self.table.roster_mut().next(&mut self.random)?;
            if !self.suspicions.contains(target) {
                return Some(target);
            }
        }
        None
    }

    fn ask_others(&mut self, target: RouterId, sequence: u64, outputs: &mut Vec<Output>) {
        let Some(record) = self.table.get(target) else {
            return;
        };
        let identity = record.member.identity.clone();
        let count = self.settings.indirect_probes;
        let relays = self
            .table
            .roster()
            .sample(&mut self.random, count, Some(target));
        self.prober.asked_relays(relays.len());
        // Once more directly as well: often just one message was lost.
        self.send_to_member(target, MessageBody::Ping { sequence }, outputs);
        for relay in relays {
            let target = identity.clone();
            let body = MessageBody::PingRequest { sequence, target };
            self.send_to_member(relay, body, outputs);
        }
    }

    fn probe_failed(&mut self, now: Timestamp, probe: &Probe, outputs: &mut Vec<Output>) {
        if probe.is_isolated() {
            self.health.worsen(ISOLATION_PENALTY);
        }
        let id = probe.target;
        let Some(record) = self.table.get(id) else {
            return;
        };
        let refutation = record.member.refutation;
        let by = self.own.id;
        if self.merge_suspect(now, id, refutation, by, outputs) {
            let update = MemberUpdate::Suspect { id, refutation, by };
            self.gossip.push(update);
        }
        let shortest = self.shortest_suspicion();
        for relay in probe.refusals() {
            self.suspicions.accuse(now, id, *relay, shortest);
        }
        self.suspicions.saw_failure(id);
        self.tell_suspect(now, id, outputs);
    }

    /// Tells a member that it is suspect here, now and again later, so that
    /// it can contradict in time if it lives. Its answer carries the
    /// contradiction.
    fn tell_suspect(&mut self, now: Timestamp, id: RouterId, outputs: &mut Vec<Output>) {
        let Some(record) = self.table.get(id) else {
            return;
        };
        let to = record.member.identity.peer_address;
        let refutation = record.member.refutation;
        let by = self.own.id;
        let updates = vec![MemberUpdate::Suspect { id, refutation, by }];
        let sequence = self.prober.next_sequence();
        let body = MessageBody::Ping { sequence };
        self.send_with(to, Some(id), body, updates, outputs);
        let again_at = now + self.settings.probe_timeout / 2;
        self.suspicions.remind_at(id, again_at);
    }

    fn run_relays(&mut self, now: Timestamp, outputs: &mut Vec<Output>) {
        while let Some(request) = self.prober.take_expired_relay(now) {
            let body = MessageBody::IndirectNack {
                sequence: request.sequence,
            };
            self.send(request.address, Some(request.requester), body, outputs);
        }
    }

    fn run_suspicions(&mut self, now: Timestamp, outputs: &mut Vec<Output>) {
        while let Some(id) = self.suspicions.take_reminder(now) {
            self.tell_suspect(now, id, outputs);
        }
        while let Some(id) = self.suspicions.take_expired(now) {
            let Some(record) = self.table.get(id) else {
                continue;
            };
            let refutation = record.member.refutation;
            if self.merge_dead(now, id, refutation, DownReason::Unresponsive, outputs) {
                self.gossip.push(MemberUpdate::Dead { id, refutation });
            }
        }
    }

    /// Calls on a machine of the list without a living router, or on a dead
    /// member that may in truth live.
    fn run_contacts(&mut self, now: Timestamp, outputs: &mut Vec<Output>) {
        if now < self.next_contact_at {
            return;
        }
        self.next_contact_at = now + self.settings.probe_interval;
        self.contact_count += 1;
        let count = if self.table.roster().len() == 0 {
            self.settings.gossip_fanout
        } else {
            1
        };
        for _ in 0..count {
            if let Some(to) = self.machines.next_unseen() {
                let sequence = self.prober.next_sequence();
                self.send(to, None, MessageBody::Ping { sequence }, outputs);
            }
        }
        if self.contact_count.is_multiple_of(DEAD_CONTACT_PERIOD) {
            self.contact_dead(outputs);
        }
    }

    fn contact_dead(&mut self, outputs: &mut Vec<Output>) {
        let number = self.contact_count / DEAD_CONTACT_PERIOD;
        let Some(record) = self.table.dead_at(number) else {
            return;
        };
        let to = record.member.identity.peer_address;
        let id = record.member.identity.id;
        let sequence = self.prober.next_sequence();
        self.send(to, Some(id), MessageBody::Ping { sequence }, outputs);
    }

    fn run_gossip(&mut self, now: Timestamp, outputs: &mut Vec<Output>) {
        if now < self.next_gossip_at || self.gossip.is_empty() {
            return;
        }
        self.next_gossip_at = now + self.settings.gossip_interval;
        self.send_gossip(outputs);
    }

    /// Sends the same round of news to a few random members.
    pub(crate) fn send_gossip(&mut self, outputs: &mut Vec<Output>) {
        let fanout = self.settings.gossip_fanout;
        let receivers = self.table.roster().sample(&mut self.random, fanout, None);
        for receiver in receivers {
            if !self.gossip.is_empty() {
                self.send_to_member(receiver, MessageBody::Gossip, outputs);
            }
        }
    }

    fn forget_dead(&mut self, now: Timestamp) {
        let retention = self.settings.dead_retention;
        if now.since(Timestamp::ZERO) >= retention {
            let since = now - retention;
            self.table
                .forget_dead(since, self.settings.max_dead_members);
        } else {
            self.table
                .forget_dead(Timestamp::ZERO, self.settings.max_dead_members);
        }
    }

    /// Sends a message to a member, with news if there are any.
    pub(crate) fn send_to_member(
        &mut self,
        id: RouterId,
        body: MessageBody,
        outputs: &mut Vec<Output>,
    ) {
        if let Some(record) = self.table.get(id) {
            let to = record.member.identity.peer_address;
            self.send(to, Some(id), body, outputs);
        }
    }
}
