//! What a gateway knows, whoever told it: never back to something older.

use std::collections::BTreeMap;
use std::time::Duration;

use threadledge::gateway::follow::Update;
use threadledge::gateway::knowledge::{Knowledge, Learned};
use threadledge::gateway::news::{Marks, News};
use threadledge_coordination::{OwnershipRecord, Term};
use threadledge_ports::{Change, Changes, Entry, Listing, Malformed};
use threadledge_types::Timestamp;
use threadledge_types::deployment::{
    CallerLimits, Configuration, ConfigurationVersion, KeyDigest, KeyRange, Tenant,
};

use super::samples::{back_end, back_ends, entry, knowledge};

/// Any time: nothing here is awaited.
const NOW: Timestamp = Timestamp::ZERO;

fn listed<T>(at: u64, entries: Vec<Entry<T>>) -> Update<T> {
    Update::Listed(Listing { entries, at })
}

fn changed<T>(at: u64, changes: Vec<Change<T>>) -> Update<T> {
    Update::Changed(Changes { changes, at })
}

fn configuration(version: u64) -> Configuration {
    Configuration {
        version: ConfigurationVersion(version),
        routes: Vec::new(),
        services: BTreeMap::new(),
        limits: CallerLimits {
            max_header_bytes: 1,
            max_body_bytes: 1,
            header_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(1),
        },
        tenants: BTreeMap::new(),
    }
}

fn names(knowledge: &Knowledge) -> Vec<String> {
    let back_ends = back_ends(knowledge);
    back_ends.iter().map(|each| each.name.to_string()).collect()
}

#[test]
fn peer_gives_only_what_the_other_lacks() {
    let mut knowing = knowledge();
    knowing.take_configurations(listed(5, vec![entry("main", 5, configuration(3))]));
    knowing.take_back_ends(
        listed(5, vec![entry("b-1", 4, back_end("b-1", false))]),
        NOW,
    );
    let record = OwnershipRecord::empty(Term(1));
    knowing.take_records(listed(5, vec![entry("service", 5, record)]));
    let mut other = knowledge();
    let learned = other.take_news(knowing.news_since(&other.marks(), NOW), NOW);
    assert_eq!(learned.len(), 3);
    assert_eq!(other.marks(), knowing.marks());
    assert_eq!(names(&other), ["b-1"]);
    let nothing = knowing.news_since(&other.marks(), NOW);
    assert_eq!(nothing, News::default());
}

/// Gateways that come back from a cut ask several peers at once, also across a
/// narrow link: they are told what changed and not everything.
#[test]
fn peer_tells_what_changed_and_not_all_back_ends() {
    let registered = |count: u64| -> Vec<_> {
        let numbers = 1..=count;
        let each = numbers.map(|at| entry(&format!("b-{at}"), at, back_end("b", false)));
        each.collect()
    };
    let mut knowing = knowledge();
    knowing.take_back_ends(listed(200, registered(200)), NOW);
    let mut behind = knowledge();
    behind.take_back_ends(listed(199, registered(199)), NOW);
    let news = knowing.news_since(&behind.marks(), NOW);
    assert_eq!(news.differences.back_ends.len(), 1);
    assert_eq!(behind.take_news(news, NOW).len(), 1);
    assert_eq!(behind.marks(), knowing.marks());
}

/// A peer may be behind the store in what it did not tell.
#[test]
fn news_reaches_no_further_than_what_it_tells() {
    let mut knowing = knowledge();
    knowing.take_configurations(listed(9, vec![entry("main", 9, configuration(7))]));
    knowing.take_records(listed(9, Vec::new()));
    let mut asking = knowledge();
    let before = asking.reach();
    asking.take_news(knowing.news_since(&asking.marks(), NOW), NOW);
    assert_eq!(asking.reach(), before);
}

#[test]
fn older_watch_does_not_undo_what_a_peer_told() {
    let mut knowing = knowledge();
    let draining = entry("b-1", 98, back_end("b-1", true));
    knowing.take_back_ends(listed(100, vec![draining]), NOW);
    let mut behind = knowledge();
    let both = vec![
        entry("b-1", 4, back_end("b-1", false)),
        entry("b-2", 4, back_end("b-2", false)),
    ];
    behind.take_back_ends(listed(90, both), NOW);
    behind.take_news(knowing.news_since(&behind.marks(), NOW), NOW);
    assert_eq!(names(&behind), ["b-1"]);
    // Its own watch goes on from where it was.
    let put = Change::Put(entry("b-1", 95, back_end("b-1", false)));
    let again = Change::Put(entry("b-2", 96, back_end("b-2", false)));
    assert!(
        behind
            .take_back_ends(changed(97, vec![put, again]), NOW)
            .is_empty()
    );
    assert_eq!(names(&behind), ["b-1"]);
    assert!(back_ends(&behind)[0].draining);
    let later = Change::Put(entry("b-3", 103, back_end("b-3", false)));
    behind.take_back_ends(changed(103, vec![later]), NOW);
    assert_eq!(names(&behind), ["b-1", "b-3"]);
    let older_list = listed(99, Vec::new());
    assert!(behind.take_back_ends(older_list, NOW).is_empty());
    assert_eq!(names(&behind), ["b-1", "b-3"]);
}

#[test]
fn older_peer_changes_nothing() {
    let mut knowing = knowledge();
    knowing.take_configurations(listed(9, vec![entry("main", 9, configuration(7))]));
    knowing.take_back_ends(
        listed(9, vec![entry("b-1", 9, back_end("b-1", false))]),
        NOW,
    );
    let mut older = knowledge();
    older.take_configurations(listed(5, vec![entry("main", 5, configuration(6))]));
    older.take_back_ends(listed(5, Vec::new()), NOW);
    let everything = older.news_since(&Marks::default(), NOW);
    assert!(knowing.take_news(everything, NOW).is_empty());
    assert_eq!(names(&knowing), ["b-1"]);
}

#[test]
fn malformed_objects_take_nothing_away() {
    let mut knowledge = knowledge();
    knowledge.take_back_ends(
        listed(1, vec![entry("b-1", 1, back_end("b-1", false))]),
        NOW,
    );
    let broken = Entry {
        name: "b-1".to_owned(),
        revision: 2,
        value: Err(Malformed {
            problem: "broken".to_owned(),
        }),
    };
    let learned = knowledge.take_back_ends(changed(2, vec![Change::Put(broken)]), NOW);
    // It names no back end to use; the one that stood there is at work.
    assert!(matches!(
        learned[..],
        [Learned::Malformed(_), Learned::Leaving(_)]
    ));
    assert_eq!(back_ends(&knowledge), [back_end("b-1", true)]);
    let mut gapped = OwnershipRecord::empty(Term(1));
    gapped.slices[0].range = KeyRange::new(1, 9).expect("a range");
    let learned = knowledge.take_records(listed(3, vec![entry("service", 3, gapped)]));
    assert!(matches!(learned[..], [Learned::Malformed(_)]));
    assert!(knowledge.marks().ownership.is_empty());
}

#[test]
fn changes_are_told_once() {
    let mut knowledge = knowledge();
    let first = listed(1, vec![entry("b-1", 1, back_end("b-1", false))]);
    assert!(matches!(
        knowledge.take_back_ends(first, NOW)[..],
        [Learned::Registered(_)]
    ));
    let put = Change::Put(entry("b-1", 2, back_end("b-1", true)));
    let learned = knowledge.take_back_ends(changed(2, vec![put]), NOW);
    assert!(matches!(learned[..], [Learned::Leaving(_)]));
    let gone = Change::Gone("b-1".to_owned());
    let learned = knowledge.take_back_ends(changed(3, vec![gone.clone()]), NOW);
    assert!(matches!(learned[..], [Learned::Gone(_)]));
    assert!(
        knowledge
            .take_back_ends(changed(4, vec![gone]), NOW)
            .is_empty()
    );
}

/// A version with so many tenants, the first of which holds `key`.
fn with_tenants(version: u64, tenants: usize, key: &str) -> Configuration {
    let mut wanted = configuration(version);
    for number in 0..tenants {
        let key = format!("{number}-{}", if number == 0 { key } else { "key" });
        let tenant = Tenant {
            keys: [KeyDigest::of(key.as_bytes())].into(),
            ..Tenant::default()
        };
        let name = format!("tenant-{number}");
        wanted.tenants.insert(name.as_str().into(), tenant);
    }
    wanted
}

/// A version costs on the way what it changes, however many tenants there are;
/// many are not told whole to each follower.
#[test]
fn change_of_one_tenant_is_told_alone_and_many_tenants_are_fetched() {
    for (tenants, told_whole) in [(80, true), (5_000, false)] {
        let mut relay = knowledge();
        let mut follower = knowledge();
        for (version, key) in [(3, "old"), (4, "new")] {
            let wanted = with_tenants(version, tenants, key);
            let update = listed(version, vec![entry("main", version, wanted)]);
            if version == 3 {
                follower.take_configurations(update.clone());
            }
            relay.take_configurations(update);
        }
        let told = relay.differences_since(&follower.marks(), NOW);
        let size = serde_json::to_string(&told).expect("written").len();
        assert!(size < 1_000, "{size} bytes");
        assert_eq!(told.configuration[0].tenants.len(), 1);
        let learned = follower.take_differences(told, NOW);
        let expected = with_tenants(4, tenants, "new");
        assert!(matches!(&learned[..], [Learned::Configuration(found)] if **found == expected));
        // One that knows nothing.
        let told = relay.differences_since(&Marks::default(), NOW);
        assert_eq!(told.whole.is_some(), told_whole);
        assert_eq!(told.fetch_configuration, !told_whole);
    }
}
