//! Fuzz test with arbitrary messages, including those that no correct peer
//! sends.

use arbtest::arbitrary::{Result, Unstructured};
use threadledge_consensus::{AppendOutcome, Body, Entry, Payload, Snapshot};
use threadledge_types::{Generation, GroupId, RouterId, Timestamp};

use crate::checker::{Digest, TestNode};
use crate::cluster::{Cluster, TestMessage, identity};

const RUNS: u64 = 300;
/// Number of random bytes per run; arbtest takes it from the lower half of the
/// seed.
const RUN_BYTES: u64 = 4_096;

fn number(input: &mut Unstructured<'_>) -> Result<u64> {
    Ok(u64::from(input.arbitrary::<u8>()? % 24))
}

fn entries(input: &mut Unstructured<'_>) -> Result<Vec<Entry<u64>>> {
    let mut entries = Vec::new();
    for _ in 0..number(input)? % 4 {
        entries.push(Entry {
            index: number(input)?,
            term: number(input)?,
            payload: Payload::Command(number(input)?),
        });
    }
    Ok(entries)
}

fn body(input: &mut Unstructured<'_>) -> Result<Body<u64, Digest>> {
    let time = Timestamp::from_micros(input.arbitrary()?);
    Ok(match input.arbitrary::<u8>()? % 11 {
        0 => Body::VoteRequest {
            campaign_term: number(input)?,
            pre_vote: input.arbitrary()?,
            transfer: input.arbitrary()?,
            last_index: number(input)?,
            last_term: number(input)?,
        },
        1 => Body::VoteResponse {
            campaign_term: number(input)?,
            pre_vote: input.arbitrary()?,
            granted: input.arbitrary()?,
        },
        2 | 3 => Body::Append {
            sent_at: time,
            previous_index: number(input)?,
            previous_term: number(input)?,
            entries: entries(input)?,
            commit_index: number(input)?,
        },
        4 => Body::AppendResponse {
            echo: time,
            outcome: AppendOutcome::Accepted {
                match_index: number(input)?,
            },
        },
        5 => Body::AppendResponse {
            echo: time,
            outcome: AppendOutcome::Rejected {
                previous_index: input.arbitrary()?,
                hint_index: input.arbitrary()?,
                hint_term: number(input)?,
            },
        },
        6 => Body::Heartbeat {
            sent_at: time,
            commit_index: input.arbitrary()?,
            cancelled_transfer: number(input)?,
        },
        7 => Body::HeartbeatResponse { echo: time },
        8 => Body::Snapshot {
            sent_at: time,
            snapshot: Snapshot {
                index: number(input)?,
                term: number(input)?,
                members: Default::default(),
                state: input.arbitrary::<bool>()?.then(Digest::default),
            },
        },
        9 => Body::TimeoutNow {
            transfer: number(input)?,
        },
        _ => Body::NotMember {
            members_index: number(input)?,
        },
    })
}

fn check_run(node: &mut TestNode, start: Timestamp, input: &mut Unstructured<'_>) -> Result<()> {
    let mut now = start;
    let mut vote = (0, None);
    let mut commit_index = node.commit_index();
    while !input.is_empty() {
        now = now + std::time::Duration::from_millis(number(input)? * 4);
        let sender = identity(number(input)? % 4 + 1);
        let message = TestMessage {
            group: GroupId(0),
            generation: Generation(1),
            term: if input.arbitrary()? {
                node.term()
            } else {
                number(input)?
            },
            sender,
            body: body(input)?,
        };
        node.step(now, message.sender.id, message);
        node.tick(now);
        node.ready();
        assert!(node.commit_index() >= commit_index, "commit went back");
        assert!(node.term() >= vote.0, "term went back");
        if node.term() == vote.0 && vote.1.is_some() {
            assert_eq!(node.voted_for(), vote.1, "voted twice");
        }
        let longest = now + node.settings().timing.leader_lease();
        assert!(
            node.leader_lease_until() <= longest,
            "lease is longer than allowed"
        );
        vote = (node.term(), node.voted_for());
        commit_index = node.commit_index();
    }
    Ok(())
}

#[test]
fn node_survives_arbitrary_messages_and_keeps_its_invariants() {
    let cluster = Cluster::with_voters(1, 3);
    for run in 0..RUNS {
        let seed = run << 32 | RUN_BYTES;
        let id = RouterId(run % 3 + 1);
        let start = cluster.processes[&id].clock(cluster.now);
        arbtest::arbtest(|input| {
            let mut node = cluster.node(id).clone();
            check_run(&mut node, start, input)
        })
        .seed(seed);
    }
}
