//! Periodic work: probes, suspicions, gossip, contacts and removal of dead
//! members.

use threadledge_types::{RouterId, Timestamp};

use crate::membership::{DownReason, Membership, Output};
use crate::message::{MemberUpdate, MessageBody};
use crate::prober::{Probe, ProbeStep};

/// Number of contact rounds after which a dead member is contacted as well, so
/// that a partition heals even without the machine list.
const DEAD_CONTACT_PERIOD: usize = 4;

/// Amount by which a probe that nobody answered worsens the local health score.
const ISOLATION_PENALTY: u32 = 2;
/// Maximum number of suspects skipped in the search for a member to probe.
const MAX_SKIPPED: usize = 8;

impl Membership {
    /// Runs all work that is due.
    pub(crate) fn run_timers(&mut self, now: Timestamp, outputs: &mut Vec<Output>) {
        self.run_probe(now, outputs);
        self.expire_indirect_probes(now, outputs);
        self.run_suspicions(now, outputs);
        self.run_contacts(now, outputs);
        self.run_sync(now, outputs);
        self.run_gossip(now, outputs);
    }

    /// Returns when the next work is due.
    pub(crate) fn compute_next_wakeup(&self, now: Timestamp) -> Timestamp {
        let mut next = self.prober.next_wakeup().min(self.next_contact_at);
        next = next.min(now + self.settings.probe_interval);
        if let Some(deadline) = self.suspicions.next_wakeup() {
            next = next.min(deadline);
        }
        if self.table.live_peers().len() > 0 {
            next = next.min(self.sync.next_at());
            if !self.gossip.is_empty() {
                next = next.min(self.next_gossip_at);
            }
        }
        next
    }

    fn run_probe(&mut self, now: Timestamp, outputs: &mut Vec<Output>) {
        match self.prober.advance(now) {
            Some(ProbeStep::RequestIndirect(target, sequence)) => {
                self.request_indirect_probes(target, sequence, outputs);
            }
            Some(ProbeStep::Failed(probe)) => self.probe_failed(now, &probe, outputs),
            None => {}
        }
        if self.prober.is_due(now) {
            self.begin_probe(now, outputs);
        }
    }

    fn begin_probe(&mut self, now: Timestamp, outputs: &mut Vec<Output>) {
        self.prune_dead(now);
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

    /// Returns the next member to probe, in random order. Suspects are skipped
    /// because they are being pinged already, which matters when many fail at
    /// once.
    fn next_target(&mut self) -> Option<RouterId> {
        for _ in 0..MAX_SKIPPED {
            let target = self.table.live_peers_mut().next(&mut self.rng)?;
            if !self.suspicions.contains(target) {
                return Some(target);
            }
        }
        None
    }

    /// Asks other members to probe a member that did not answer.
    fn request_indirect_probes(
        &mut self,
        target: RouterId,
        sequence: u64,
        outputs: &mut Vec<Output>,
    ) {
        let Some(record) = self.table.get(target) else {
            return;
        };
        let identity = record.member.identity.clone();
        let count = self.settings.indirect_probes;
        let helpers = self
            .table
            .live_peers()
            .sample(&mut self.rng, count, Some(target));
        self.prober.record_helpers(helpers.len());
        // Also ping directly again: often only a single message was lost.
        self.send_to_member(target, MessageBody::Ping { sequence }, outputs);
        for helper in helpers {
            let target = identity.clone();
            let body = MessageBody::PingRequest { sequence, target };
            self.send_to_member(helper, body, outputs);
        }
    }

    /// Suspects the target of a failed probe.
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
        let min_timeout = self.min_suspicion();
        for helper in probe.nacks() {
            self.suspicions.add_report(now, id, *helper, min_timeout);
        }
        self.suspicions.mark_observed(id);
        self.ping_suspect(now, id, outputs);
    }

    /// Tells a member that it is suspect here, and schedules a reminder, so
    /// that it can refute the suspicion in time if it is alive. Its answer to
    /// the ping carries the refutation.
    fn ping_suspect(&mut self, now: Timestamp, id: RouterId, outputs: &mut Vec<Output>) {
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
        self.suspicions.schedule_reminder(id, again_at);
    }

    /// Reports indirect probes that got no answer in time to their requesters.
    fn expire_indirect_probes(&mut self, now: Timestamp, outputs: &mut Vec<Output>) {
        while let Some(request) = self.prober.pop_expired_indirect(now) {
            let body = MessageBody::IndirectNack {
                sequence: request.sequence,
            };
            self.send(request.address, Some(request.requester), body, outputs);
        }
    }

    /// Sends due reminders and marks members as dead whose suspicion expired.
    fn run_suspicions(&mut self, now: Timestamp, outputs: &mut Vec<Output>) {
        while let Some(id) = self.suspicions.pop_reminder(now) {
            self.ping_suspect(now, id, outputs);
        }
        while let Some(id) = self.suspicions.pop_expired(now) {
            let Some(record) = self.table.get(id) else {
                continue;
            };
            let refutation = record.member.refutation;
            if self.merge_dead(now, id, refutation, DownReason::Unresponsive, outputs) {
                self.gossip.push(MemberUpdate::Dead { id, refutation });
            }
        }
    }

    /// Pings listed machines without a router that is known to be alive, and
    /// sometimes a dead member, which may in fact be alive.
    fn run_contacts(&mut self, now: Timestamp, outputs: &mut Vec<Output>) {
        if now < self.next_contact_at {
            return;
        }
        self.next_contact_at = now + self.settings.probe_interval;
        self.contact_count += 1;
        let count = if self.table.live_peers().len() == 0 {
            self.settings.gossip_fanout
        } else {
            1
        };
        for _ in 0..count {
            if let Some(to) = self.machines.next_unreached() {
                let sequence = self.prober.next_sequence();
                self.send(to, None, MessageBody::Ping { sequence }, outputs);
            }
        }
        if self.contact_count.is_multiple_of(DEAD_CONTACT_PERIOD) {
            self.contact_dead(outputs);
        }
    }

    /// Pings a dead member, each in turn.
    fn contact_dead(&mut self, outputs: &mut Vec<Output>) {
        let number = self.contact_count / DEAD_CONTACT_PERIOD;
        let Some(record) = self.table.nth_dead(number) else {
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

    /// Sends queued updates to a few random members.
    pub(crate) fn send_gossip(&mut self, outputs: &mut Vec<Output>) {
        let fanout = self.settings.gossip_fanout;
        let receivers = self.table.live_peers().sample(&mut self.rng, fanout, None);
        for receiver in receivers {
            if !self.gossip.is_empty() {
                self.send_to_member(receiver, MessageBody::Gossip, outputs);
            }
        }
    }

    /// Removes dead members beyond the retention time and the maximum number.
    fn prune_dead(&mut self, now: Timestamp) {
        let retention = self.settings.dead_retention;
        if now.since(Timestamp::ZERO) >= retention {
            let since = now - retention;
            self.table.prune_dead(since, self.settings.max_dead_members);
        } else {
            self.table
                .prune_dead(Timestamp::ZERO, self.settings.max_dead_members);
        }
    }

    /// Sends a message to a member, with queued updates if there are any.
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
