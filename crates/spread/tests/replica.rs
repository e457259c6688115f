//! Tests of the replica alone: deltas, pages, removals and generations.

mod support;

use rand::RngExt;
use support::*;
use threadledge_spread::{ApplyError, PageLimits, Replica, Resume};
use threadledge_types::Revision;
use threadledge_types::records::{RecordChange, RecordDelta};

const NO_LIMIT: usize = usize::MAX;

/// Pulls pages until the transfer ends, calling `between` after each.
fn pull_pages(
    source: &mut Replica,
    have: Revision,
    limits: PageLimits,
    mut between: impl FnMut(&mut Replica),
) -> RecordDelta {
    let mut changes = Vec::new();
    let mut resume: Option<Resume> = None;
    loop {
        let page = source.page(have, resume, limits);
        if !page.continued {
            changes.clear();
        }
        changes.extend(page.delta.changes.iter().cloned());
        resume = page.resume;
        if resume.is_none() {
            return RecordDelta {
                changes,
                ..page.delta
            };
        }
        between(source);
    }
}

#[test]
fn deltas_over_any_chain_of_copies_give_the_same_records() {
    for seed in 0..60 {
        let mut random = random(seed);
        let mut root = Replica::with_max_tombstones(GROUP, 8);
        let mut copies = vec![Replica::with_max_tombstones(GROUP, 8); 4];
        let mut history = vec![(Revision::NONE, contents(&root))];
        for index in 1..80 {
            let at = revision(1 + index as u32 / 40, index);
            root.commit(at, &random_entry(&mut random, at));
            history.push((at, contents(&root)));
            let to = random.random_range(0..copies.len());
            let from = random.random_range(0..copies.len());
            let source = if from == to { &root } else { &copies[from] };
            if source.revision() > copies[to].revision() {
                let delta = source.delta_since(copies[to].revision(), NO_LIMIT).delta;
                copies[to].apply(&delta).expect("a fitting delta");
            }
            for copy in &copies {
                let expected = history.iter().find(|(at, _)| *at == copy.revision());
                let (_, expected) = expected.expect("a revision of the root");
                assert_eq!(&contents(copy), expected, "seed {seed} index {index}");
            }
        }
    }
}

#[test]
fn pages_interrupted_by_newer_revisions_end_at_the_newest_state() {
    let limits = PageLimits {
        max_changes: 3,
        max_bytes: usize::MAX,
    };
    for seed in 100..160 {
        let mut random = random(seed);
        let mut root = Replica::with_max_tombstones(GROUP, 6);
        let mut index = 0;
        let mut commit = |root: &mut Replica| {
            index += 1;
            let at = revision(1, index);
            root.commit(at, &random_entry(&mut random, at));
        };
        (0..30).for_each(|_| commit(&mut root));
        let mut copy = Replica::new(GROUP);
        let delta = pull_pages(&mut root, copy.revision(), limits, |_| {});
        copy.apply(&delta).expect("a full state");
        (0..20).for_each(|_| commit(&mut root));
        let mut left = 10;
        let delta = pull_pages(&mut root, copy.revision(), limits, |root| {
            if left > 0 {
                left -= 1;
                commit(root);
            }
        });
        copy.apply(&delta).expect("the assembled pages");
        assert_eq!(copy.revision(), root.revision(), "seed {seed}");
        assert_eq!(contents(&copy), contents(&root), "seed {seed}");
    }
}

#[test]
fn pages_interrupted_by_a_new_generation_start_again() {
    let limits = PageLimits {
        max_changes: 3,
        max_bytes: usize::MAX,
    };
    let mut root = Replica::new(GROUP);
    for index in 1..20 {
        root.commit(
            revision(1, index),
            &[slice(1, index * 10, revision(1, index))],
        );
    }
    let mut copy = Replica::new(GROUP);
    let mut generation = 1;
    let delta = pull_pages(&mut root, Revision::NONE, limits, |root| {
        if generation == 1 {
            generation = 2;
            root.replace(revision(2, 1), &[service(1, 1), service(2, 1)]);
        }
    });
    copy.apply(&delta).expect("the assembled pages");
    assert_eq!(copy.revision(), revision(2, 1));
    assert_eq!(contents(&copy), contents(&root));
}

#[test]
fn a_value_that_is_restored_is_sent_to_a_copy_that_saw_the_change() {
    let at = revision(1, 1);
    let mut root = Replica::new(GROUP);
    let mut relay = Replica::new(GROUP);
    let mut below = Replica::new(GROUP);
    root.commit(at, &[back_end(1, 7)]);
    relay
        .apply(&root.delta_since(Revision::NONE, NO_LIMIT).delta)
        .expect("first state");
    root.commit(revision(1, 2), &[back_end(1, 8)]);
    below
        .apply(&root.delta_since(Revision::NONE, NO_LIMIT).delta)
        .expect("second state");
    root.commit(revision(1, 3), &[back_end(1, 7)]);
    relay
        .apply(&root.delta_since(at, NO_LIMIT).delta)
        .expect("third state");
    let delta = relay.delta_since(below.revision(), NO_LIMIT).delta;
    below.apply(&delta).expect("a difference");
    assert_eq!(contents(&below), contents(&root));
}

#[test]
fn a_recreated_service_has_no_old_slices() {
    let mut root = Replica::new(GROUP);
    let mut copy = Replica::new(GROUP);
    let at = revision(1, 1);
    root.commit(at, &[service(1, 1), slice(1, 0, at), slice(1, 10, at)]);
    copy.apply(&root.delta_since(Revision::NONE, NO_LIMIT).delta)
        .expect("first state");
    let removal = RecordChange::ServiceRemoved(service_id(1));
    root.commit(revision(1, 2), &[removal, service(1, 2)]);
    root.commit(revision(1, 3), &[slice(1, 20, revision(1, 3))]);
    let delta = root.ordered_delta_since(copy.revision());
    assert!(!delta.full);
    copy.apply(&delta).expect("a difference");
    assert_eq!(copy.slice_count(), 1);
    assert_eq!(contents(&copy), contents(&root));
}

#[test]
fn a_copy_never_goes_back() {
    let mut root = Replica::new(GROUP);
    root.commit(revision(2, 5), &[service(1, 1)]);
    let old = RecordDelta {
        group: GROUP,
        from: Revision::NONE,
        to: revision(1, 900),
        full: true,
        changes: Vec::new(),
    };
    let stale = ApplyError::Stale {
        have: revision(2, 5),
        to: revision(1, 900),
    };
    assert_eq!(root.apply(&old), Err(stale));
    root.commit(
        revision(2, 4),
        &[RecordChange::ServiceRemoved(service_id(1))],
    );
    root.replace(revision(2, 5), &[]);
    assert_eq!(root.revision(), revision(2, 5));
    assert_eq!(root.services().count(), 1);
}

#[test]
fn a_delta_that_skips_revisions_or_generations_is_rejected() {
    let mut copy = Replica::new(GROUP);
    copy.commit(revision(1, 5), &[service(1, 1)]);
    for from in [revision(1, 6), revision(0, 3)] {
        let delta = RecordDelta {
            group: GROUP,
            from,
            to: revision(1, 9),
            full: false,
            changes: vec![service(2, 1)],
        };
        let have = revision(1, 5);
        assert_eq!(copy.apply(&delta), Err(ApplyError::Gap { have, from }));
        assert_eq!(copy.services().count(), 1);
    }
}

#[test]
fn a_copy_older_than_the_tombstones_gets_the_full_state() {
    let mut root = Replica::with_max_tombstones(GROUP, 2);
    for index in 1..10 {
        root.commit(revision(1, index), &[slice_removed(1, index)]);
    }
    assert!(root.delta_since(revision(1, 6), NO_LIMIT).delta.full);
    assert!(!root.delta_since(revision(1, 7), NO_LIMIT).delta.full);
}

#[test]
fn a_later_generation_replaces_the_state() {
    let mut root = Replica::new(GROUP);
    let mut copy = Replica::new(GROUP);
    root.commit(revision(1, 9), &[service(1, 1), service(2, 1)]);
    copy.apply(&root.delta_since(Revision::NONE, NO_LIMIT).delta)
        .expect("first state");
    root.replace(revision(2, 1), &[service(3, 1)]);
    let delta = root.delta_since(copy.revision(), NO_LIMIT).delta;
    assert!(delta.full);
    copy.apply(&delta).expect("a full state");
    assert_eq!(contents(&copy), contents(&root));
}

#[test]
fn a_page_is_bounded_in_bytes_and_still_makes_progress() {
    let mut root = Replica::new(GROUP);
    let at = revision(1, 1);
    let changes: Vec<RecordChange> = (0..500).map(|n| slice(1, n * 10, at)).collect();
    root.commit(at, &changes);
    for max_bytes in [1, 1_000, 20_000] {
        let limits = PageLimits {
            max_changes: usize::MAX,
            max_bytes,
        };
        let page = root.page(Revision::NONE, None, limits);
        let bytes = serde_json::to_vec(&page.delta.changes).expect("JSON").len();
        assert!(bytes <= max_bytes + 2 || page.delta.changes.len() == 1);
        let whole = pull_pages(&mut root, Revision::NONE, limits, |_| {});
        assert_eq!(whole.changes.len(), 500);
    }
}

#[test]
fn an_ordered_delta_refers_only_to_records_already_written() {
    let mut root = Replica::new(GROUP);
    let at = revision(1, 2);
    root.commit(revision(1, 1), &[slice(1, 0, at), session(0, 1, false)]);
    root.commit(at, &[back_end(0, 1), service(1, 1)]);
    let changes = root.ordered_delta_since(Revision::NONE).changes;
    assert!(matches!(changes[0], RecordChange::Service(_)));
    assert!(matches!(changes[1], RecordChange::BackEnd(_)));
    assert!(matches!(changes[2], RecordChange::Session(_)));
    assert!(matches!(changes[3], RecordChange::Slice(_)));
}
