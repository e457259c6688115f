//! Role of a node, as reported to its owner.

use std::fmt;

/// Current role of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Role {
    /// Has not been contacted by any leader yet.
    Joining,
    /// Receives the log, but neither counts towards a quorum nor campaigns.
    Learner,
    /// Voter that follows a leader or waits for one.
    Follower,
    /// Voter that runs a pre-vote to find out whether it could win an election.
    PreCandidate,
    /// Voter that requests votes.
    Candidate,
    /// Leader of the current term.
    Leader,
    /// Was removed from the group.
    Removed,
    /// The group was founded again as a newer generation without this node's
    /// log; the node no longer takes part.
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
