//! Single transitions of a member.

use std::net::SocketAddr;
use std::time::Duration;

use threadledge_coordination::NodeIdentity;
use threadledge_coordination::action::{Condition, ReadResult, Versioned, WriteResult};
use threadledge_relay::{Action, Member, PollOutcome, RelayRecord, Settings, Source};
use threadledge_types::{Incarnation, MachineName, Timestamp};

const CLAIM_DELAY: Duration = Duration::from_millis(200);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

fn identity(number: u16, incarnation: u64) -> NodeIdentity {
    NodeIdentity {
        node: MachineName(format!("node-{number}")),
        incarnation: Incarnation(incarnation),
        address: Some(address(number)),
    }
}

fn member() -> Member {
    Member::new(at(0), identity(1, 1), Settings::default(), CLAIM_DELAY, 7)
}

fn record(holder: NodeIdentity, revision: u64) -> Versioned<RelayRecord> {
    Versioned {
        value: RelayRecord { holder, members: 1 },
        revision,
    }
}

fn found(holder: NodeIdentity, revision: u64) -> ReadResult<RelayRecord> {
    ReadResult::Found(Some(record(holder, revision)))
}

fn claim(condition: Condition) -> Option<Action> {
    let holder = identity(1, 1);
    Some(Action::Claim(RelayRecord { holder, members: 1 }, condition))
}

/// Creates a member that follows node 2, to which the store responded at 10 ms.
fn follower() -> Member {
    let mut member = member();
    assert_eq!(member.poll(at(0)), Some(Action::Read));
    member.on_read(at(4), found(identity(2, 1), 5));
    assert_eq!(member.poll(at(4)), Some(Action::Poll(address(2))));
    let (seen, has_changes) = (at(10), false);
    member.on_poll(at(12), PollOutcome::Answered { seen, has_changes });
    member
}

/// Creates a member that holds the record at revision 5.
fn relay() -> Member {
    let mut member = member();
    member.poll(at(0));
    member.on_read(at(4), ReadResult::Found(None));
    assert_eq!(member.poll(at(203)), None);
    assert_eq!(member.poll(at(204)), Some(Action::Read));
    member.on_read(at(206), ReadResult::Found(None));
    assert_eq!(member.poll(at(206)), claim(Condition::Absent));
    member.on_claim(at(208), WriteResult::Accepted(5));
    member
}

#[test]
fn first_member_of_a_zone_claims_after_its_delay() {
    let member = relay();
    assert!(member.is_relay());
    assert_eq!(member.source(at(208)), Source::Store);
}

#[test]
fn member_follows_the_relay_that_the_record_names() {
    let member = follower();
    let until = at(1_210);
    assert_eq!(
        member.source(at(1_209)),
        Source::Relay {
            until,
            seen: at(10)
        }
    );
    assert_eq!(member.source(at(1_210)), Source::Unavailable);
}

#[test]
fn held_poll_is_given_up_when_the_received_state_is_too_old() {
    let mut member = follower();
    member.poll(at(12));
    assert_eq!(member.poll_deadline(), Some(at(1_210)));
    member.on_poll(at(1_210), PollOutcome::TimedOut);
    assert_eq!(member.poll(at(1_210)), Some(Action::Read));
    member.on_read(at(2_210), ReadResult::Failed);
    assert_eq!(member.poll(at(2_210)), Some(Action::Poll(address(2))));
}

#[test]
fn member_that_finds_no_relay_watches_the_store_once_the_store_answers_it() {
    let mut member = member();
    member.poll(at(0));
    member.on_read(at(1_000), ReadResult::Failed);
    let until = at(1_500);
    assert_eq!(member.source(at(1_499)), Source::Starting { until });
    assert_eq!(member.source(at(1_500)), Source::Unavailable);
    assert_eq!(member.poll(at(1_799)), None);
    assert_eq!(member.poll(at(1_800)), Some(Action::Read));
    member.on_read(at(1_804), ReadResult::Found(None));
    let until = at(2_054);
    assert_eq!(member.source(at(2_053)), Source::Joining { until });
    assert_eq!(member.source(at(2_054)), Source::Store);
}

#[test]
fn loser_of_a_claim_follows_the_winner() {
    let mut member = member();
    member.poll(at(0));
    member.on_read(at(4), ReadResult::Found(None));
    member.poll(at(204));
    member.on_read(at(206), ReadResult::Found(None));
    member.poll(at(206));
    member.on_claim(
        at(208),
        WriteResult::Conflict(Some(record(identity(3, 1), 6))),
    );
    assert_eq!(member.poll(at(208)), Some(Action::Poll(address(3))));
}

#[test]
fn unresponsive_relay_is_replaced_unless_another_member_did_so() {
    let mut lost = follower();
    lost.poll(at(12));
    lost.on_poll(at(912), PollOutcome::Failed);
    let (until, seen) = (at(1_210), at(10));
    assert_eq!(lost.source(at(912)), Source::Relay { until, seen });
    assert_eq!(
        lost.source(at(1_210)),
        Source::Starting { until: at(1_500) }
    );
    assert_eq!(lost.poll(at(1_111)), None);
    assert_eq!(lost.poll(at(1_112)), Some(Action::Read));
    let mut second = lost;
    second.on_read(at(1_116), found(identity(2, 1), 5));
    assert_eq!(second.poll(at(1_116)), claim(Condition::Revision(5)));
    // The read was stale: the record names another member by now.
    second.on_claim(
        at(1_120),
        WriteResult::Conflict(Some(record(identity(4, 1), 9))),
    );
    assert_eq!(second.poll(at(1_120)), Some(Action::Poll(address(4))));
}

/// Creates a follower of node 2 that learns at 1,300 ms that the store last
/// responded to node 2 at 10 ms.
fn outdated() -> Member {
    let mut member = follower();
    member.poll(at(12));
    let (seen, has_changes) = (at(10), true);
    member.on_poll(at(1_300), PollOutcome::Answered { seen, has_changes });
    member
}

#[test]
fn relay_without_store_contact_is_left_if_the_store_answers_the_member() {
    let mut member = outdated();
    assert_eq!(member.upstream(), None);
    assert_eq!(member.poll(at(1_300)), Some(Action::Read));
    member.on_read(at(1_600), found(identity(2, 1), 5));
    // Others may claim first; the member reads again in the meantime.
    let until = at(1_850);
    assert_eq!(member.source(at(1_849)), Source::Joining { until });
    assert_eq!(member.source(at(1_850)), Source::Store);
    assert_eq!(member.poll(at(1_600)), claim(Condition::Revision(5)));
}

#[test]
fn members_read_again_before_their_turn_to_claim() {
    let mut member = outdated();
    member.poll(at(1_300));
    member.on_read(at(1_304), found(identity(2, 1), 5));
    assert_eq!(member.poll(at(1_453)), None);
    assert_eq!(member.poll(at(1_454)), Some(Action::Read));
    member.on_read(at(1_458), found(identity(3, 1), 6));
    assert_eq!(member.poll(at(1_458)), Some(Action::Poll(address(3))));
    assert!(member.is_joining());
    let until = at(1_708);
    assert_eq!(member.source(at(1_707)), Source::Joining { until });
    assert_eq!(member.source(at(1_708)), Source::Store);
}

#[test]
fn state_from_a_lost_relay_is_used_while_it_is_fresh() {
    let mut member = follower();
    member.poll(at(1_600));
    let (seen, has_changes) = (at(1_590), false);
    member.on_poll(at(1_600), PollOutcome::Answered { seen, has_changes });
    member.poll(at(1_600));
    member.on_poll(at(1_700), PollOutcome::Failed);
    let until = at(2_790);
    assert_eq!(member.source(at(1_700)), Source::Relay { until, seen });
    assert_eq!(member.active_upstream(), None, "the loss is known at once");
    assert_eq!(member.poll(at(1_900)), Some(Action::Read));
    member.on_read(at(1_904), found(identity(3, 1), 6));
    assert_eq!(member.source(at(1_904)), Source::Joining { until });
}

/// If the store responds to neither of them, it is unavailable to all. There is
/// nothing to watch, and the relay notices the store's return as soon as
/// anyone.
#[test]
fn member_without_store_contact_keeps_its_relay() {
    let mut member = outdated();
    member.poll(at(1_300));
    member.on_read(at(2_300), ReadResult::Failed);
    assert_eq!(member.source(at(2_300)), Source::Unavailable);
    assert_eq!(member.poll(at(2_300)), Some(Action::Poll(address(2))));
    let (seen, has_changes) = (at(10), false);
    member.on_poll(at(2_800), PollOutcome::Answered { seen, has_changes });
    assert_eq!(member.poll(at(2_800)), Some(Action::Poll(address(2))));
    member.on_poll(at(3_310), PollOutcome::Answered { seen, has_changes });
    assert_eq!(member.poll(at(3_310)), Some(Action::Read));
    member.on_read(at(4_310), ReadResult::Failed);
    assert_eq!(member.poll(at(4_310)), Some(Action::Poll(address(2))));
    let seen = at(4_400);
    member.on_poll(at(4_410), PollOutcome::Answered { seen, has_changes });
    let until = at(5_600);
    assert_eq!(member.source(at(4_410)), Source::Relay { until, seen });
}

/// The store responds to the member before it responds to the relay. The relay
/// has the grace time to notice it and counts as lost after that.
#[test]
fn relay_that_the_store_still_rejects_is_left_after_the_grace_time() {
    let mut member = outdated();
    member.poll(at(1_300));
    member.on_read(at(1_304), ReadResult::Failed);
    member.poll(at(1_304));
    let (seen, has_changes) = (at(10), false);
    member.on_poll(at(2_310), PollOutcome::Answered { seen, has_changes });
    assert_eq!(member.poll(at(2_310)), Some(Action::Read));
    member.on_read(at(2_314), found(identity(2, 1), 5));
    assert_eq!(member.source(at(2_314)), Source::Unavailable);
    assert_eq!(member.poll(at(2_314)), Some(Action::Poll(address(2))));
    member.on_poll(at(3_820), PollOutcome::Answered { seen, has_changes });
    assert_eq!(member.poll(at(3_820)), Some(Action::Read));
    member.on_read(at(3_824), found(identity(2, 1), 5));
    assert_eq!(member.poll(at(3_824)), Some(Action::Read));
    member.on_read(at(3_828), found(identity(2, 1), 5));
    let until = at(4_078);
    assert_eq!(member.source(at(3_828)), Source::Joining { until });
    assert_eq!(member.source(at(4_078)), Source::Store);
}

#[test]
fn member_that_is_cut_off_follows_a_successor_that_it_finds() {
    let mut member = outdated();
    member.poll(at(1_300));
    member.on_read(at(1_304), ReadResult::Failed);
    member.poll(at(1_304));
    member.on_poll(at(2_310), PollOutcome::Failed);
    assert_eq!(member.source(at(2_310)), Source::Unavailable);
    assert_eq!(member.poll(at(3_110)), Some(Action::Read));
    member.on_read(at(3_114), found(identity(4, 1), 9));
    assert_eq!(member.poll(at(3_114)), Some(Action::Poll(address(4))));
    assert_eq!(member.active_upstream(), None);
    let (seen, has_changes) = (at(3_110), false);
    member.on_poll(at(3_118), PollOutcome::Answered { seen, has_changes });
    assert_eq!(member.active_upstream(), Some(address(4)));
}

#[test]
fn next_poll_is_delayed_after_changes() {
    let mut member = follower();
    member.poll(at(12));
    let (seen, has_changes) = (at(40), true);
    member.on_poll(at(50), PollOutcome::Answered { seen, has_changes });
    assert_eq!(member.poll(at(149)), None);
    assert_eq!(member.poll(at(150)), Some(Action::Poll(address(2))));
}

#[test]
fn relay_at_capacity_redirects_members_and_is_not_replaced() {
    let mut member = follower();
    member.poll(at(12));
    member.on_poll(
        at(20),
        PollOutcome::AtCapacity(vec![address(1), address(9)]),
    );
    assert_eq!(member.poll(at(20)), Some(Action::Poll(address(9))));
    member.on_poll(at(30), PollOutcome::Failed);
    member.poll(at(230));
    member.on_read(at(234), found(identity(2, 1), 5));
    assert_eq!(member.poll(at(234)), Some(Action::Poll(address(2))));
    member.on_poll(at(240), PollOutcome::AtCapacity(vec![address(1)]));
    assert_eq!(member.upstream(), None);
}

/// Followers of a relay that has just started may have no fresh state to pass
/// on. The store has responded to this member, so it may watch the store.
#[test]
fn member_redirected_in_vain_retries_later_and_may_watch_the_store() {
    let mut member = member();
    member.poll(at(3_000));
    member.on_read(at(3_004), found(identity(2, 1), 5));
    member.poll(at(3_004));
    member.on_poll(
        at(3_010),
        PollOutcome::AtCapacity(vec![address(1), address(9)]),
    );
    assert_eq!(member.poll(at(3_010)), Some(Action::Poll(address(9))));
    let (seen, has_changes) = (at(10), false);
    member.on_poll(at(3_020), PollOutcome::Answered { seen, has_changes });
    assert_eq!(member.poll(at(3_169)), None);
    let until = at(3_254);
    assert_eq!(member.source(at(3_169)), Source::Joining { until });
    assert_eq!(member.source(at(3_254)), Source::Store);
    assert_eq!(member.poll(at(3_170)), Some(Action::Read));
    member.on_read(at(3_174), found(identity(2, 1), 5));
    member.poll(at(3_174));
    // There is no other gateway to poll, so the member watches the store.
    member.on_poll(at(3_180), PollOutcome::AtCapacity(vec![address(1)]));
    assert_eq!(member.source(at(3_500)), Source::Store);
    assert_eq!(member.poll(at(3_980)), Some(Action::Read));
}

#[test]
fn member_watches_the_store_if_its_relay_never_answered() {
    let mut member = member();
    member.poll(at(3_000));
    member.on_read(at(3_004), found(identity(2, 1), 5));
    member.poll(at(3_004));
    member.on_poll(at(3_100), PollOutcome::Failed);
    assert_eq!(member.source(at(3_254)), Source::Store);
}

#[test]
fn relay_that_was_replaced_follows_its_successor() {
    let mut member = relay();
    assert_eq!(member.poll(at(708)), Some(Action::Read));
    // The result is older than the member's own claim.
    member.on_read(at(712), found(identity(3, 1), 4));
    assert!(member.is_relay());
    assert_eq!(member.poll(at(1_212)), Some(Action::Read));
    member.on_read(at(1_216), found(identity(3, 1), 6));
    assert!(!member.is_relay());
    assert_eq!(member.poll(at(1_216)), Some(Action::Poll(address(3))));
}

#[test]
fn relay_stays_while_the_store_does_not_respond() {
    let mut member = relay();
    member.poll(at(708));
    member.on_read(at(1_708), ReadResult::Failed);
    assert!(member.is_relay());
    assert_eq!(member.poll(at(2_208)), Some(Action::Read));
}

#[test]
fn claim_without_a_response_is_read_back() {
    let mut member = member();
    member.poll(at(0));
    member.on_read(at(4), ReadResult::Found(None));
    member.poll(at(204));
    member.on_read(at(206), ReadResult::Found(None));
    member.poll(at(206));
    member.on_claim(at(1_204), WriteResult::Unknown);
    assert_eq!(member.poll(at(2_004)), Some(Action::Read));
    // The claim took effect.
    member.on_read(at(2_008), found(identity(1, 1), 5));
    assert!(member.is_relay());
}

/// Guards against a former relay with a slow link that keeps its place when all
/// members start at once: it would send everything to everybody.
#[test]
fn record_of_an_earlier_incarnation_is_taken_over_in_turn() {
    let mut member = member();
    member.poll(at(0));
    member.on_read(at(4), found(identity(1, 0), 5));
    assert_eq!(member.poll(at(153)), None);
    assert_eq!(member.poll(at(154)), Some(Action::Read));
    member.on_read(at(158), found(identity(1, 0), 5));
    assert_eq!(member.poll(at(199)), None);
    assert_eq!(member.poll(at(200)), Some(Action::Read));
    member.on_read(at(204), found(identity(1, 0), 5));
    assert_eq!(member.poll(at(204)), claim(Condition::Revision(5)));
}

/// Guards against starting members that leave an upstream in the middle of a
/// long transfer because what it sends is old, and begin it again elsewhere.
#[test]
fn incomplete_member_keeps_an_upstream_that_delivers() {
    let mut member = follower();
    member.set_complete(false);
    member.poll(at(12));
    assert_eq!(member.poll_deadline(), None);
    let (seen, has_changes) = (at(10), true);
    member.on_poll(at(5_000), PollOutcome::Answered { seen, has_changes });
    assert!(matches!(member.source(at(5_000)), Source::Relay { .. }));
    // The rest is requested without a pause.
    assert_eq!(member.poll(at(5_000)), Some(Action::Poll(address(2))));
    let has_changes = false;
    member.on_poll(at(5_600), PollOutcome::Answered { seen, has_changes });
    assert_eq!(member.poll(at(5_600)), Some(Action::Read));
}

#[test]
fn member_that_leaves_makes_no_more_calls() {
    let mut member = follower();
    member.leave();
    assert_eq!(member.next_wake(), None);
    assert_eq!(member.poll(at(99_999)), None);
    assert_eq!(member.source(at(99_999)), Source::Store);
}

#[test]
fn relay_writes_its_record_again_when_members_came_or_left() {
    let mut member = relay();
    member.set_members(5);
    assert_eq!(member.poll(at(708)), Some(Action::Read));
    member.on_read(at(712), found(identity(1, 1), 5));
    // Followers of the previous relay may not have polled yet.
    assert_eq!(member.poll(at(3_000)), Some(Action::Read));
    member.on_read(at(3_004), found(identity(1, 1), 5));
    let counted = RelayRecord {
        holder: identity(1, 1),
        members: 5,
    };
    let write = Some(Action::Claim(counted, Condition::Revision(5)));
    assert_eq!(member.poll(at(3_504)), write);
    member.on_claim(at(3_508), WriteResult::Accepted(8));
    // A difference of one in eleven is not worth a write.
    member.set_members(11);
    assert!(matches!(member.poll(at(8_000)), Some(Action::Claim(..))));
    member.on_claim(at(8_004), WriteResult::Accepted(9));
    member.set_members(12);
    assert_eq!(member.poll(at(99_000)), Some(Action::Read));
}

#[test]
fn successor_keeps_the_count_until_its_followers_poll() {
    let mut member = member();
    member.poll(at(0));
    let mut before = record(identity(2, 1), 5);
    before.value.members = 27;
    member.on_read(at(4), ReadResult::Found(Some(before.clone())));
    member.poll(at(4));
    member.on_poll(at(904), PollOutcome::Failed);
    member.poll(at(1_104));
    member.on_read(at(1_108), ReadResult::Found(Some(before)));
    let claimed = RelayRecord {
        holder: identity(1, 1),
        members: 27,
    };
    let write = Some(Action::Claim(claimed, Condition::Revision(5)));
    assert_eq!(member.poll(at(1_108)), write);
}

/// Without the delay, all 27 members of a starting zone would write at once.
#[test]
fn later_member_finds_the_record_and_does_not_write() {
    let mut member = member();
    member.poll(at(0));
    member.on_read(at(4), ReadResult::Found(None));
    assert_eq!(member.poll(at(204)), Some(Action::Read));
    member.on_read(at(208), found(identity(2, 1), 5));
    assert_eq!(member.poll(at(208)), Some(Action::Poll(address(2))));
}

/// The store may reject this member and still serve its relay, which was behind
/// only for a moment.
#[test]
fn member_rejected_by_the_store_returns_to_its_lost_relay() {
    let mut member = follower();
    member.poll(at(12));
    let (seen, has_changes) = (at(10), false);
    member.on_poll(at(1_300), PollOutcome::Answered { seen, has_changes });
    assert_eq!(member.poll(at(1_300)), Some(Action::Read));
    member.on_read(at(1_304), ReadResult::Failed);
    assert_eq!(member.poll(at(1_304)), Some(Action::Poll(address(2))));
    let (seen, has_changes) = (at(1_490), false);
    member.on_poll(at(1_510), PollOutcome::Answered { seen, has_changes });
    let until = at(2_690);
    assert_eq!(member.source(at(1_510)), Source::Relay { until, seen });
    // The relay does not respond either, so the store is read again after a
    // delay.
    member.poll(at(1_510));
    member.on_poll(at(2_410), PollOutcome::Failed);
    assert_eq!(member.poll(at(2_609)), None);
    assert_eq!(member.poll(at(2_610)), Some(Action::Read));
}
