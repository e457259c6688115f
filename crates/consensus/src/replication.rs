//! What a leader does to bring its followers' logs to its own, and to commit.

use threadledge_types::{RouterId, RouterIdentity, Timestamp};

use crate::message::{AppendOutcome, Body};
use crate::node::{Node, State};
use crate::progress::{Progress, ReplicationState};

impl<C: Clone, S: Clone> Node<C, S> {
    /// Heartbeats, the quorum check and the deadlines of a leader.
    pub(crate) fn tick_leader(&mut self) {
        self.check_quorum();
        self.tick_transfer();
        let clock = self.clock;
        let interval = self.settings.timing.heartbeat();
        let Some(leader) = self.leader_state_mut() else {
            return;
        };
        if clock < leader.heartbeat_due {
            return;
        }
        leader.heartbeat_due = clock + interval;
        self.probe_silent_followers();
        self.broadcast_heartbeat();
    }

    /// Steps down when no quorum answers any more, so that callers learn of
    /// it and turn to the next leader.
    pub(crate) fn check_quorum(&mut self) {
        let since = self.clock - self.settings.timing.election_max();
        let Some(leader) = self.leader_state() else {
            return;
        };
        if !self.quorum_answered_since(leader, since) {
            self.step_down();
        }
    }

    /// Sends no more than one message at a time to followers that do not
    /// answer.
    fn probe_silent_followers(&mut self) {
        let since = self.clock - self.settings.timing.election_max();
        let Some(leader) = self.leader_state_mut() else {
            return;
        };
        for progress in leader.followers.values_mut() {
            let streams = matches!(progress.state, ReplicationState::Replicate { .. });
            if streams && progress.acked_sent_at < Some(since) {
                progress.start_probing(progress.match_index + 1);
                progress.state = ReplicationState::Probe {
                    awaiting_response: true,
                };
            }
        }
    }

    fn broadcast_heartbeat(&mut self) {
        let commit_index = self.commit_index;
        let sent_at = self.clock;
        let Some(leader) = self.leader_state_mut() else {
            return;
        };
        let cancelled_transfer = leader.transfers_cancelled;
        let mut heartbeats = Vec::with_capacity(leader.followers.len());
        for (id, progress) in &mut leader.followers {
            // Only up to what the follower is known to share with this log.
            let shared = commit_index.min(progress.match_index);
            progress.commit_sent = progress.commit_sent.max(shared);
            heartbeats.push((*id, shared));
        }
        for (id, commit_index) in heartbeats {
            let heartbeat = Body::Heartbeat {
                sent_at,
                commit_index,
                cancelled_transfer,
            };
            self.send_to_member(id, heartbeat);
        }
    }

    pub(crate) fn send_to_member(&mut self, id: RouterId, body: Body<C, S>) {
        if let Some(identity) = self.members().identity(id).cloned() {
            self.send(identity, body);
        }
    }

    /// Sends each follower what it lacks, as far as its window allows. Called
    /// once for all that was proposed since the last call, so that proposals
    /// share messages.
    pub(crate) fn flush(&mut self) {
        let Some(leader) = self.leader_state() else {
            return;
        };
        let followers: Vec<RouterId> = leader.followers.keys().copied().collect();
        for id in followers {
            while self.send_append(id, false) {}
        }
    }

    /// Sends one message to a follower: entries, a commit index, or a
    /// snapshot. With `probe`, sends an empty one if there is nothing else, to
    /// find out whether earlier ones arrived. Returns whether one was sent.
    fn send_append(&mut self, id: RouterId, probe: bool) -> bool {
        let max_in_flight = self.settings.max_in_flight_batches;
        let Some(progress) = self.follower(id) else {
            return false;
        };
        if !progress.can_send(max_in_flight) {
            return false;
        }
        let probing = matches!(progress.state, ReplicationState::Probe { .. });
        let has_entries = progress.next_index <= self.log.last_index();
        let has_commit = progress.commit_sent < self.commit_index;
        if !(probing || has_entries || has_commit || probe) {
            return false;
        }
        let previous_index = progress.next_index - 1;
        match self.log.term_at(previous_index) {
            Some(previous_term) => self.send_entries(id, previous_index, previous_term),
            None => self.send_snapshot(id),
        }
        true
    }

    fn send_entries(&mut self, id: RouterId, previous_index: u64, previous_term: u64) {
        let batch = self.settings.max_batch_entries.max(1);
        let entries = self.log.entries_from(previous_index + 1, batch);
        let last_index = previous_index + entries.len() as u64;
        let commit_index = self.commit_index;
        let append = Body::Append {
            sent_at: self.clock,
            previous_index,
            previous_term,
            entries,
            commit_index,
        };
        if let Some(progress) = self.follower_mut(id) {
            progress.record_sent_entries(last_index);
            progress.commit_sent = progress.commit_sent.max(commit_index);
        }
        self.send_to_member(id, append);
    }

    fn send_snapshot(&mut self, id: RouterId) {
        let clock = self.clock;
        let snapshot = self.log.snapshot().clone();
        if let Some(progress) = self.follower_mut(id) {
            progress.record_sent_snapshot(snapshot.index, clock);
        }
        let body = Body::Snapshot {
            sent_at: clock,
            snapshot,
        };
        self.send_to_member(id, body);
    }

    pub(crate) fn handle_append_response(
        &mut self,
        from: RouterId,
        echo: Timestamp,
        outcome: AppendOutcome,
    ) {
        let last_index = self.log.last_index();
        if echo > self.clock {
            return;
        }
        match outcome {
            AppendOutcome::Accepted { match_index } if match_index <= last_index => {
                let Some(progress) = self.follower_mut(from) else {
                    return;
                };
                progress.record_answer(echo);
                if progress.record_accepted(match_index) {
                    self.advance_commit();
                    self.hand_over_when_caught_up();
                }
            }
            AppendOutcome::Accepted { .. } => {}
            AppendOutcome::Rejected {
                previous_index,
                hint_index,
                hint_term,
            } => {
                let (agreed_index, _) = self.log.agreement_hint(hint_index, hint_term);
                if let Some(progress) = self.follower_mut(from) {
                    progress.record_answer(echo);
                    progress.record_rejected(previous_index, agreed_index);
                }
            }
        }
    }

    pub(crate) fn handle_heartbeat_response(&mut self, from: RouterId, echo: Timestamp) {
        let clock = self.clock;
        let last_index = self.log.last_index();
        let max_in_flight = self.settings.max_in_flight_batches;
        let retry = std::time::Duration::from_millis(self.settings.snapshot_retry_ms);
        if echo > clock {
            return;
        }
        let Some(progress) = self.follower_mut(from) else {
            return;
        };
        progress.record_answer(echo);
        if let ReplicationState::Snapshot { sent_at, .. } = progress.state
            && clock >= sent_at + retry
        {
            progress.start_probing(progress.match_index + 1);
        }
        progress.allow_one_more(max_in_flight);
        let behind = progress.match_index < last_index;
        if behind {
            self.send_append(from, true);
        }
        self.confirm_cancelled_transfer(from, echo);
    }

    /// Commits what a quorum of the newest members holds, if the last of it is
    /// of the current term. Entries of earlier terms are committed only by
    /// one of the current term after them: on their own, even when a quorum
    /// holds them, a later leader may still overwrite them.
    pub(crate) fn advance_commit(&mut self) {
        let State::Leader(leader) = &self.state else {
            return;
        };
        let last_index = self.log.last_index();
        let held = self.members().quorum_value(|id| {
            if id == self.identity.id {
                return Some(last_index);
            }
            leader.followers.get(&id).map(|it| it.match_index)
        });
        let Some(index) = held else {
            return;
        };
        if index > self.commit_index && self.log.term_at(index) == Some(self.term) {
            self.commit_index = index;
            self.members_committed();
        }
    }

    pub(crate) fn follower(&self, id: RouterId) -> Option<&Progress> {
        self.leader_state()?.followers.get(&id)
    }

    pub(crate) fn follower_mut(&mut self, id: RouterId) -> Option<&mut Progress> {
        self.leader_state_mut()?.followers.get_mut(&id)
    }

    /// The voters other than this node that answered within the longest
    /// election timeout, with what is known of them.
    pub(crate) fn answering_voters(&self) -> Vec<(RouterIdentity, u64)> {
        let since = self.clock - self.settings.timing.election_max();
        let mut voters = Vec::new();
        for (id, progress) in self.progress() {
            let answers = progress.acked_sent_at >= Some(since);
            if let Some(identity) = self.members().voters.get(&id)
                && answers
            {
                voters.push((identity.clone(), progress.match_index));
            }
        }
        voters
    }
}
