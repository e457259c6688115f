//! Registrations that lapse while the store is away, in virtual time.

use std::time::Duration;

use threadledge::gateway::follow::Update;
use threadledge::gateway::knowledge::{Knowledge, Learned};
use threadledge::gateway::news::Differences;
use threadledge::gateway::outage::Outage;
use threadledge_coordination::action::StoreRevision;
use threadledge_ports::{Change, Changes, Listing};
use threadledge_types::Timestamp;
use threadledge_types::deployment::BackEnd;

use super::samples::{back_end, back_ends, entry, knowledge};

/// Where the time of an update says nothing.
const NOW: Timestamp = Timestamp::ZERO;
const HEARTBEAT: Duration = Duration::from_millis(1_300);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn gone(at: StoreRevision, names: &[&str]) -> Update<BackEnd> {
    let changes = names.iter().map(|name| Change::Gone((*name).to_owned()));
    let changes = changes.collect();
    Update::Changed(Changes { changes, at })
}

fn returned(at: StoreRevision, name: &str) -> Update<BackEnd> {
    let changes = vec![Change::Put(entry(name, at, back_end(name, false)))];
    Update::Changed(Changes { changes, at })
}

/// Knows `a` and `b`, and `c`, which is draining.
fn knowing() -> Knowledge {
    let mut knowledge = knowledge();
    let entries = vec![
        entry("a", 1, back_end("a", false)),
        entry("b", 2, back_end("b", false)),
        entry("c", 3, back_end("c", true)),
    ];
    knowledge.take_back_ends(Update::Listed(Listing { entries, at: 3 }), NOW);
    knowledge
}

fn names(knowledge: &Knowledge) -> Vec<String> {
    let back_ends = back_ends(knowledge);
    back_ends.iter().map(|each| each.name.to_string()).collect()
}

/// What crosses the network is written and read.
fn told(relay: &Knowledge, follower: &Knowledge, now: Timestamp) -> Differences {
    let told = relay.differences_since(&follower.marks(), now);
    let text = serde_json::to_string(&told).expect("written");
    serde_json::from_str(&text).expect("read")
}

#[test]
fn silence_counts_from_the_first_answer_after_it() {
    let mut outage = Outage::new(HEARTBEAT);
    outage.heard(at(50_000));
    assert_eq!(
        outage.awaited_until(at(50_000)),
        None,
        "a start is no return"
    );
    outage.heard(at(52_500));
    assert_eq!(outage.awaited_until(at(52_500)), None, "too short to lapse");
    outage.heard(at(55_100));
    assert_eq!(outage.awaited_until(at(55_200)), Some(at(57_100)));
    outage.heard(at(54_000));
    outage.heard(at(56_000));
    assert_eq!(outage.awaited_until(at(57_099)), Some(at(57_100)));
    assert_eq!(outage.awaited_until(at(57_100)), None);
    outage.heard(at(60_000));
    assert_eq!(outage.awaited_until(at(60_000)), Some(at(62_000)));
}

#[test]
fn registration_that_lapsed_is_awaited_and_comes_back_unnoticed() {
    let mut knowledge = knowing();
    knowledge.await_lapsed(Some(at(12_000)));
    let learned = knowledge.take_back_ends(gone(4, &["a"]), NOW);
    assert!(matches!(learned[..], [Learned::Lapsed(_)]));
    assert_eq!(names(&knowledge), ["a", "b", "c"]);
    assert!(knowledge.expire_lapsed(at(11_999)).is_empty());
    assert!(knowledge.take_back_ends(returned(5, "a"), NOW).is_empty());
    assert!(knowledge.expire_lapsed(at(12_000)).is_empty());
    assert_eq!(names(&knowledge), ["a", "b", "c"]);
}

#[test]
fn registration_still_missing_after_the_wait_is_gone() {
    let mut knowledge = knowing();
    knowledge.await_lapsed(Some(at(12_000)));
    knowledge.take_back_ends(gone(4, &["a"]), NOW);
    assert_eq!(knowledge.next_expiry(), Some(at(12_000)));
    let learned = knowledge.expire_lapsed(at(12_000));
    assert!(matches!(&learned[..], [Learned::Gone(each)] if each.name.as_str() == "a"));
    assert_eq!(names(&knowledge), ["b", "c"]);
    assert_eq!(knowledge.next_expiry(), None);
}

#[test]
fn list_after_the_return_awaits_what_it_lacks() {
    let mut knowledge = knowing();
    knowledge.await_lapsed(Some(at(12_000)));
    let entries = vec![entry("b", 2, back_end("b", false))];
    let learned = knowledge.take_back_ends(Update::Listed(Listing { entries, at: 9 }), NOW);
    assert_eq!(names(&knowledge), ["a", "b"]);
    assert!(matches!(
        learned[..],
        [Learned::Lapsed(_), Learned::Gone(_)]
    ));
}

#[test]
fn back_end_that_said_it_leaves_is_gone_at_once() {
    let mut knowledge = knowing();
    knowledge.await_lapsed(Some(at(12_000)));
    let learned = knowledge.take_back_ends(gone(4, &["c"]), NOW);
    assert!(matches!(learned[..], [Learned::Gone(_)]));
    assert_eq!(names(&knowledge), ["a", "b"]);
}

#[test]
fn without_an_outage_a_registration_that_goes_is_gone() {
    let mut knowledge = knowing();
    knowledge.await_lapsed(None);
    let learned = knowledge.take_back_ends(gone(4, &["a"]), NOW);
    assert!(matches!(learned[..], [Learned::Gone(_)]));
}

/// The relay watched the store, the follower did not: it goes by what the
/// relay tells, and so does one that has just started.
#[test]
fn followers_await_what_their_relay_awaits() {
    let mut relay = knowing();
    let mut follower = knowing();
    relay.await_lapsed(Some(at(12_000)));
    relay.take_back_ends(gone(4, &["a"]), NOW);
    let mut newcomer = knowledge();
    for each in [&mut follower, &mut newcomer] {
        let differences = told(&relay, each, at(11_000));
        each.take_differences(differences, at(11_100));
        assert_eq!(names(each), ["a", "b", "c"]);
        assert!(told(&relay, each, at(11_200)).is_empty());
        assert!(each.expire_lapsed(at(12_000)).is_empty());
        assert_eq!(names(each), ["a", "b", "c"]);
    }
    relay.expire_lapsed(at(12_000));
    let learned = follower.expire_lapsed(at(12_100));
    assert!(matches!(learned[..], [Learned::Gone(_)]));
    assert_eq!(names(&follower), names(&relay));
    relay.take_back_ends(returned(6, "a"), NOW);
    let differences = told(&relay, &newcomer, at(12_050));
    newcomer.take_differences(differences, at(12_060));
    assert!(newcomer.expire_lapsed(at(12_100)).is_empty());
    assert_eq!(names(&newcomer), names(&relay));
}

/// A relay that was served while the store turned others away knows that a
/// back end is gone, whatever its followers wait for.
#[test]
fn what_a_relay_knows_to_be_gone_is_not_awaited() {
    let mut relay = knowing();
    relay.take_back_ends(gone(4, &["a"]), NOW);
    let mut follower = knowing();
    follower.await_lapsed(Some(at(12_000)));
    let differences = told(&relay, &follower, at(11_000));
    let learned = follower.take_differences(differences, at(11_100));
    assert!(matches!(learned[..], [Learned::Gone(_)]));
    assert_eq!(names(&follower), ["b", "c"]);
}

#[test]
fn later_word_that_it_is_gone_ends_the_wait() {
    let mut relay = knowing();
    let mut follower = knowing();
    follower.await_lapsed(Some(at(12_000)));
    follower.take_back_ends(gone(4, &["a"]), NOW);
    relay.take_back_ends(gone(4, &["a"]), NOW);
    relay.take_back_ends(returned(5, "a"), NOW);
    relay.take_back_ends(gone(6, &["a"]), NOW);
    let differences = told(&relay, &follower, at(11_000));
    let learned = follower.take_differences(differences, at(11_100));
    assert!(matches!(learned[..], [Learned::Gone(_)]));
    assert_eq!(names(&follower), ["b", "c"]);
}

#[test]
fn peers_tell_what_they_await() {
    let mut peer = knowing();
    peer.await_lapsed(Some(at(12_000)));
    peer.take_back_ends(gone(4, &["a"]), NOW);
    let mut asking = knowing();
    asking.take_news(peer.news_since(&asking.marks(), at(11_000)), at(11_100));
    assert_eq!(names(&asking), ["a", "b", "c"]);
    assert_eq!(asking.next_expiry(), Some(at(12_100)));
}
