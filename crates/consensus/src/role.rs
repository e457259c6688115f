//! What a node is at the moment, as its owner sees it.

use std::fmt;

/// What a node is at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Role {
    /// Waits for a leader of some generation to contact it.
    Joining,
    /// Receives the log, but neither counts for a quorum nor campaigns.
    Learner,
    /// Voter that follows.
    Follower,
    /// Voter that asks whether an election could succeed.
    PreCandidate,
    /// Voter that asks for votes.
    Candidate,
    /// Leads the current term.
    Leader,
    /// Was taken out of the group.
    Removed,
    /// The group was founded again without this node's history; it takes no
    /// part any more.
    Retired,
}

impl fmt::Display for Role {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Role::Joining => "joining",
            Role::Learner => "learner",
            Role::Follower => "follower",
            Role::PreCandidate => "pre-candidate",
            Role::Candidate => "candidate",
            Role::Leader => "leader",
            Role::Removed => "removed",
            Role::Retired => "retired",
        };
        formatter.write_str(text)
    }
}
