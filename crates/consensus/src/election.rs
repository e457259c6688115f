//! Leader election.
//!
//! At most one leader is elected per term, because each member votes once per
//! term and a candidate needs a quorum. A voter votes only for a candidate
//! whose log is at least as up to date as its own, so that every leader holds
//! all committed entries.

use std::collections::{BTreeMap, BTreeSet};

use threadledge_types::{RouterId, RouterIdentity};

use crate::entry::Payload;
use crate::members::Members;
use crate::message::Body;
use crate::node::{LeaderState, Node, State};
use crate::progress::Progress;

/// Fields of a received `VoteRequest` message.
pub(crate) struct VoteRequest {
    pub(crate) campaign_term: u64,
    pub(crate) pre_vote: bool,
    pub(crate) transfer: bool,
    pub(crate) last_index: u64,
    pub(crate) last_term: u64,
}

impl<C: Clone, S: Clone> Node<C, S> {
    /// Starts a pre-vote if the election timeout has passed.
    pub(crate) fn tick_election(&mut self) {
        if self.may_campaign() && self.clock >= self.timer.deadline() {
            self.start_pre_vote();
        }
    }

    /// Returns whether this node may become a candidate.
    pub(crate) fn may_campaign(&self) -> bool {
        let electing = matches!(
            self.state,
            State::Follower | State::PreCandidate { .. } | State::Candidate { .. }
        );
        electing && self.is_electable()
    }

    /// Starts a pre-vote, which asks whether an election could succeed without
    /// raising the term. A member that was partitioned therefore does not
    /// depose the leader when it returns.
    fn start_pre_vote(&mut self) {
        self.timer.restart(self.clock);
        self.leader = None;
        let granted = BTreeSet::from([self.identity.id]);
        if is_quorum(self.members(), &granted) {
            self.start_election(false);
            return;
        }
        self.state = State::PreCandidate { granted };
        self.request_votes(self.term + 1, true, false);
    }

    /// Raises the term and requests votes. `transfer` is set if the leader
    /// asked this node to campaign.
    pub(crate) fn start_election(&mut self, transfer: bool) {
        self.enter_term(self.term + 1);
        self.timer.restart(self.clock);
        self.voted_for = Some(self.identity.id);
        let granted = BTreeSet::from([self.identity.id]);
        if is_quorum(self.members(), &granted) {
            self.become_leader(Payload::Empty);
            return;
        }
        self.state = State::Candidate { granted };
        self.request_votes(self.term, false, transfer);
    }

    /// Sends a vote request to every other voter.
    fn request_votes(&mut self, campaign_term: u64, pre_vote: bool, transfer: bool) {
        let last_index = self.log.last_index();
        let last_term = self.log.last_term();
        let voters: Vec<RouterIdentity> = self.members().voters.values().cloned().collect();
        for voter in voters {
            if voter.id == self.identity.id {
                continue;
            }
            let request = Body::VoteRequest {
                campaign_term,
                pre_vote,
                transfer,
                last_index,
                last_term,
            };
            self.send(voter, request);
        }
    }

    /// Becomes leader and appends `payload` as the first entry of the term,
    /// whose commit also commits all entries before it.
    pub(crate) fn become_leader(&mut self, payload: Payload<C>) {
        let next_index = self.log.last_index() + 1;
        let followers: BTreeMap<RouterId, Progress> = self
            .members()
            .iter()
            .filter(|member| member.id != self.identity.id)
            .map(|member| (member.id, Progress::new(next_index, self.clock)))
            .collect();
        self.state = State::Leader(Box::new(LeaderState {
            elected_at: self.clock,
            term_start_index: next_index,
            followers,
            removed: None,
            heartbeat_due: self.clock + self.settings.timing.heartbeat(),
            transfer: None,
            last_transfer: 0,
            last_cancelled: 0,
        }));
        self.leader = Some(self.identity.clone());
        self.append(payload);
    }

    /// Gives up leadership or a campaign and stays in the current term.
    pub(crate) fn step_down(&mut self) {
        self.state = State::Follower;
        self.leader = None;
        self.timer.restart(self.clock);
    }

    /// Enters `term` as a follower without a known leader. The promise to
    /// withhold votes after hearing from an earlier leader
    /// (`last_leader_contact`) stays in force.
    pub(crate) fn enter_term(&mut self, term: u64) {
        debug_assert!(term > self.term);
        self.term = term;
        self.voted_for = None;
        self.cancelled_transfer = 0;
        self.leader = None;
        if matches!(self.state, State::Leader(_)) {
            self.timer.restart(self.clock);
        }
        if !matches!(self.state, State::Removed | State::Retired { .. }) {
            self.state = State::Follower;
        }
    }

    /// Handles a vote request or pre-vote request.
    ///
    /// A learner also votes when asked: a candidate asks only the voters in its
    /// own log, so the entry that promoted the learner may still be in transit.
    /// Without that vote, the loss of one leader could leave a group of four
    /// permanently without a quorum. Nodes that no leader of this generation
    /// has contacted are filtered out before.
    pub(crate) fn handle_vote_request(
        &mut self,
        term: u64,
        candidate: RouterIdentity,
        request: VoteRequest,
    ) {
        if request.pre_vote && self.notify_if_removed(&candidate, request.last_index) {
            return;
        }
        if self.withholds_votes() && !request.transfer {
            // The leader's lease rests on this: neither vote nor term changes.
            if request.pre_vote {
                self.answer_candidate(candidate, &request, false);
            }
            return;
        }
        if request.pre_vote {
            let granted =
                request.campaign_term > self.term && self.is_candidate_up_to_date(&request);
            self.answer_candidate(candidate, &request, granted);
            return;
        }
        if term != request.campaign_term {
            return;
        }
        if term > self.term {
            self.enter_term(term);
        }
        let granted = term == self.term && self.may_vote_for(candidate.id, &request);
        if granted {
            self.voted_for = Some(candidate.id);
            self.timer.restart(self.clock);
        }
        self.answer_candidate(candidate, &request, granted);
    }

    /// Returns whether this node can vote for `candidate` in the current term.
    fn may_vote_for(&self, candidate: RouterId, request: &VoteRequest) -> bool {
        let free = self.voted_for.is_none_or(|voted| voted == candidate);
        free && self.is_candidate_up_to_date(request)
    }

    /// Returns whether the candidate's log is at least as up to date as this
    /// one.
    fn is_candidate_up_to_date(&self, request: &VoteRequest) -> bool {
        self.log
            .is_up_to_date(request.last_index, request.last_term)
    }

    fn answer_candidate(&mut self, to: RouterIdentity, request: &VoteRequest, granted: bool) {
        let answer = Body::VoteResponse {
            campaign_term: request.campaign_term,
            pre_vote: request.pre_vote,
            granted,
        };
        self.send(to, answer);
    }

    /// Counts a vote or pre-vote, and goes on to the next stage of the election
    /// once a quorum has granted it.
    pub(crate) fn handle_vote_response(
        &mut self,
        from: RouterId,
        campaign_term: u64,
        pre_vote: bool,
        granted: bool,
    ) {
        if !granted {
            return;
        }
        let term = self.term;
        let votes = match &mut self.state {
            State::PreCandidate { granted } if pre_vote && campaign_term == term + 1 => granted,
            State::Candidate { granted } if !pre_vote && campaign_term == term => granted,
            _ => return,
        };
        votes.insert(from);
        let votes = votes.clone();
        if !is_quorum(self.members(), &votes) {
            return;
        }
        if pre_vote {
            self.start_election(false);
        } else {
            self.become_leader(Payload::Empty);
        }
    }
}

/// Returns whether the voters in `granted` form a quorum of `members`.
fn is_quorum(members: &Members, granted: &BTreeSet<RouterId>) -> bool {
    members.has_quorum(|id| granted.contains(&id))
}
