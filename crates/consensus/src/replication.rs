//! Replication and commit on the leader.

use threadledge_types::{RouterId, RouterIdentity, Timestamp};

use crate::message::{AppendOutcome, Body};
use crate::node::{Node, State};
use crate::progress::{Progress, ReplicationState};

impl<C: Clone, S: Clone> Node<C, S> {
    /// Runs the leader's periodic work: the quorum check, the transfer deadline
    /// and heartbeats.
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
        self.probe_unresponsive_followers();
        self.broadcast_heartbeat();
    }

    /// Steps down if no quorum has answered within the longest election
    /// timeout, so that callers notice and look for the next leader.
    pub(crate) fn check_quorum(&mut self) {
        let since = self.clock - self.settings.timing.election_max();
        let Some(leader) = self.leader_state() else {
            return;
        };
        if !self.is_quorum_active_since(leader, since) {
            self.step_down();
        }
    }

    /// Switches unresponsive followers to probing, so that each is sent only
    /// one message at a time.
    fn probe_unresponsive_followers(&mut self) {
        let since = self.clock - self.settings.timing.election_max();
        let Some(leader) = self.leader_state_mut() else {
            return;
        };
        for progress in leader.followers.values_mut() {
            let is_replicating = matches!(progress.state, ReplicationState::Replicate { .. });
            if is_replicating && progress.acked_sent_at < Some(since) {
                progress.start_probing(progress.match_index + 1);
                progress.state = ReplicationState::Probe {
                    awaiting_response: true,
                };
            }
        }
    }

    /// Sends a heartbeat to every follower.
    fn broadcast_heartbeat(&mut self) {
        let commit_index = self.commit_index;
        let sent_at = self.clock;
        let Some(leader) = self.leader_state_mut() else {
            return;
        };
        let cancelled_transfer = leader.last_cancelled;
        let mut heartbeats = Vec::with_capacity(leader.followers.len());
        for (id, progress) in &mut leader.followers {
            // At most the highest index at which the logs are known to agree.
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

    /// Sends a message to member `id`, if it is in the member list.
    pub(crate) fn send_to_member(&mut self, id: RouterId, body: Body<C, S>) {
        if let Some(identity) = self.members().identity(id).cloned() {
            self.send(identity, body);
        }
    }

    /// Sends each follower the entries that it lacks, as far as its window
    /// allows. Runs once for all proposals since the last call, so that they
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

    /// Sends one message with entries, a new commit index or a snapshot to a
    /// follower. If there is nothing to send and `probe` is set, sends an empty
    /// message to find out whether earlier ones arrived. Returns whether a
    /// message was sent.
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
                    self.request_campaign_if_caught_up();
                }
            }
            AppendOutcome::Accepted { .. } => {}
            AppendOutcome::Rejected {
                previous_index,
                hint_index,
                hint_term,
            } => {
                let (agreed_index, _) = self.log.find_conflict_by_term(hint_index, hint_term);
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

    /// Advances the commit index to the highest entry that a quorum of the
    /// newest member list holds, if that entry is of the current term. Entries
    /// of earlier terms are committed only together with a later entry of the
    /// current term: on their own, a later leader may still overwrite them,
    /// even if a quorum holds them.
    pub(crate) fn advance_commit(&mut self) {
        let State::Leader(leader) = &self.state else {
            return;
        };
        let last_index = self.log.last_index();
        let quorum_index = self.members().quorum_value(|id| {
            if id == self.identity.id {
                return Some(last_index);
            }
            leader.followers.get(&id).map(|it| it.match_index)
        });
        let Some(index) = quorum_index else {
            return;
        };
        if index > self.commit_index && self.log.term_at(index) == Some(self.term) {
            self.commit_index = index;
            self.on_members_committed();
        }
    }

    /// Returns the progress of follower `id`, if this node leads and tracks it.
    pub(crate) fn follower(&self, id: RouterId) -> Option<&Progress> {
        self.leader_state()?.followers.get(&id)
    }

    pub(crate) fn follower_mut(&mut self, id: RouterId) -> Option<&mut Progress> {
        self.leader_state_mut()?.followers.get_mut(&id)
    }

    /// Returns the voters other than this node that answered a message sent
    /// within the longest election timeout, with their match indices.
    pub(crate) fn responsive_voters(&self) -> Vec<(RouterIdentity, u64)> {
        let since = self.clock - self.settings.timing.election_max();
        let mut voters = Vec::new();
        for (id, progress) in self.progress() {
            let is_responsive = progress.acked_sent_at >= Some(since);
            if let Some(identity) = self.members().voters.get(&id)
                && is_responsive
            {
                voters.push((identity.clone(), progress.match_index));
            }
        }
        voters
    }
}
