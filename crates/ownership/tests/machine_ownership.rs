//! Tests of the replicated state: ownership of slices.

mod support;

use support::{Log, assign, begin_move, cancel_move, complete_move, release, session_id, term};
use threadledge_ownership::{Command, LeaderTerm, Rejection};
use threadledge_types::records::SliceRecord;
use threadledge_types::{Epoch, Generation, Point, Revision, Slice};

fn split(record: &SliceRecord, at: Point) -> Command {
    Command::Split {
        service: record.service.clone(),
        slice: record.slice,
        at,
        expected_epoch: record.epoch,
    }
}

fn merge(first: &SliceRecord, second: &SliceRecord) -> Command {
    Command::Merge {
        service: first.service.clone(),
        first: first.slice,
        second: second.slice,
        expected_first_epoch: first.epoch,
        expected_second_epoch: second.epoch,
    }
}

fn rejection(log: &mut Log, command: &Command) -> Rejection {
    let mut applied = log.apply(command);
    assert_eq!(
        applied.changes,
        Vec::new(),
        "a rejected command changes nothing"
    );
    applied.rejected.pop().expect("a rejection")
}

#[test]
fn assigning_gives_the_epoch_of_the_entry() {
    let mut log = Log::with_one_slice();
    let revision = log.next_revision();
    let record = log.assign(&session_id("a", 1));
    assert_eq!(record.epoch, Epoch(revision));
    assert_eq!(record.owner, Some(session_id("a", 1)));
}

#[test]
fn an_owned_slice_cannot_be_assigned_again() {
    let mut log = Log::with_one_slice();
    let record = log.assign(&session_id("a", 1));
    let again = assign(&record, &session_id("b", 1));
    let rejected = rejection(&mut log, &again);
    assert!(matches!(rejected, Rejection::Owned(..)), "{rejected}");
}

#[test]
fn an_assignment_that_lost_a_race_changes_nothing() {
    let mut log = Log::with_one_slice();
    let stale = assign(&log.only_slice(), &session_id("b", 1));
    let record = log.assign(&session_id("a", 1));
    let evidence = log.evidence(&record, term(1));
    log.accept(&release(&record, evidence));
    let rejected = rejection(&mut log, &stale);
    assert!(
        matches!(rejected, Rejection::EpochMismatch(..)),
        "{rejected}"
    );
}

#[test]
fn two_assignments_within_one_entry_never_share_an_epoch() {
    let mut log = Log::with_one_slice();
    let first = assign(&log.only_slice(), &session_id("a", 1));
    let epoch = Epoch(log.next_revision());
    let opened = log.machine.session_opened(&support::back_end_id("a"));
    let close = Command::CloseSession {
        session: session_id("a", 1),
        opened: opened.expect("open"),
        term: term(1),
    };
    let guessed = SliceRecord {
        epoch,
        ..log.only_slice()
    };
    let second = assign(&guessed, &session_id("b", 1));
    let applied = log.apply(&Command::Batch(vec![first, close, second]));
    assert_eq!(applied.rejected.len(), 1);
    assert_eq!(log.only_slice().owner, None);
}

#[test]
fn a_move_takes_effect_only_when_completed_and_under_a_new_epoch() {
    let mut log = Log::with_one_slice();
    let record = log.assign(&session_id("a", 1));
    log.accept(&begin_move(&record, &support::back_end_id("b")));
    let moving = log.only_slice();
    assert_eq!(moving.owner, Some(session_id("a", 1)));
    assert_eq!(moving.epoch, record.epoch);
    let evidence = log.evidence(&moving, term(1));
    log.accept(&complete_move(&moving, &session_id("b", 1), evidence));
    let moved = log.only_slice();
    assert_eq!(moved.owner, Some(session_id("b", 1)));
    assert!(moved.epoch > record.epoch);
    assert!(log.machine.pending_moves().is_empty());
}

#[test]
fn a_completion_delayed_past_a_cancelled_move_is_rejected() {
    let mut log = Log::with_one_slice();
    let record = log.assign(&session_id("a", 1));
    let begin = begin_move(&record, &support::back_end_id("b"));
    log.accept(&begin);
    let evidence = log.evidence(&record, term(1));
    let delayed = complete_move(&record, &session_id("b", 1), evidence);
    log.accept(&cancel_move(&record));
    log.accept(&begin);
    let rejected = rejection(&mut log, &delayed);
    assert!(
        matches!(rejected, Rejection::SliceChanged(..)),
        "{rejected}"
    );
    assert_eq!(log.only_slice().owner, Some(session_id("a", 1)));
}

#[test]
fn conclusions_of_a_deposed_leader_are_rejected() {
    let mut log = Log::with_one_slice();
    let record = log.assign(&session_id("a", 1));
    log.accept(&begin_move(&record, &support::back_end_id("b")));
    let evidence = log.evidence(&record, term(1));
    let opened = log.machine.session_opened(&support::back_end_id("a"));
    log.accept(&Command::BeginTerm(term(2)));
    let commands = [
        complete_move(&record, &session_id("b", 1), evidence),
        release(&record, evidence),
        Command::CloseSession {
            session: session_id("a", 1),
            opened: opened.expect("open"),
            term: term(1),
        },
        Command::BeginTerm(term(1)),
    ];
    for command in &commands {
        let rejected = rejection(&mut log, command);
        assert!(matches!(rejected, Rejection::TermOver(..)), "{rejected}");
    }
}

#[test]
fn closing_is_rejected_for_a_session_that_opened_again() {
    let mut log = Log::with_one_slice();
    let opened = log.machine.session_opened(&support::back_end_id("a"));
    let close = Command::CloseSession {
        session: session_id("a", 1),
        opened: opened.expect("open"),
        term: term(1),
    };
    log.accept(&close);
    log.accept(&Command::OpenSession(session_id("a", 1)));
    let rejected = rejection(&mut log, &close);
    assert!(matches!(rejected, Rejection::SessionNotOpen(..)));
}

#[test]
fn closing_a_session_releases_its_slices_and_cancels_moves_to_it() {
    let mut log = Log::with_one_slice();
    let record = log.assign(&session_id("a", 1));
    log.accept(&begin_move(&record, &support::back_end_id("b")));
    let close = |log: &Log, name: &str| Command::CloseSession {
        session: session_id(name, 1),
        opened: log
            .machine
            .session_opened(&support::back_end_id(name))
            .expect("open"),
        term: term(1),
    };
    let command = close(&log, "b");
    log.accept(&command);
    assert_eq!(log.only_slice().next, None);
    let command = close(&log, "a");
    log.accept(&command);
    assert_eq!(log.only_slice().owner, None);
    assert_eq!(log.only_slice().epoch, record.epoch, "the epoch stays");
}

#[test]
fn a_draining_session_gets_no_slices_and_must_give_up_its_own() {
    let mut log = Log::with_one_slice();
    let record = log.assign(&session_id("a", 1));
    log.accept(&Command::MarkDraining(session_id("a", 1)));
    log.accept(&Command::MarkDraining(session_id("b", 1)));
    assert!(log.machine.misplaced().contains(&record.key()));
    let moving = begin_move(&record, &support::back_end_id("b"));
    let rejected = rejection(&mut log, &moving);
    assert!(matches!(rejected, Rejection::SessionDraining(..)));
    assert_eq!(log.machine.eligible_sessions(&record.service).count(), 0);
}

#[test]
fn the_parts_of_a_split_keep_owner_and_epoch() {
    let mut log = Log::with_one_slice();
    let record = log.assign(&session_id("a", 1));
    let at = Point(1 << 63);
    log.accept(&split(&record, at));
    let parts = log.slices();
    assert_eq!(parts.len(), 2);
    for part in &parts {
        assert_eq!(part.owner, record.owner);
        assert_eq!(part.epoch, record.epoch);
    }
    let owned = log.machine.slices_of_session(&support::back_end_id("a"));
    assert_eq!(owned.count(), 2);
    let outside = split(&parts[1], at);
    let rejected = rejection(&mut log, &outside);
    assert!(matches!(rejected, Rejection::InvalidSplit(..)));
}

#[test]
fn merging_parts_of_one_epoch_keeps_it_and_of_two_makes_a_new_one() {
    let mut log = Log::with_one_slice();
    let record = log.assign(&session_id("a", 1));
    log.accept(&split(&record, Point(1 << 63)));
    let parts = log.slices();
    log.accept(&merge(&parts[0], &parts[1]));
    assert_eq!(log.slices(), vec![record.clone()]);

    log.accept(&split(&record, Point(1 << 63)));
    let upper = log.slices()[1].clone();
    let evidence = log.evidence(&upper, term(1));
    log.accept(&release(&upper, evidence));
    let free = log.slices()[1].clone();
    log.accept(&assign(&free, &session_id("a", 1)));
    let parts = log.slices();
    assert!(parts[0].epoch < parts[1].epoch);
    log.accept(&merge(&parts[0], &parts[1]));
    let merged = log.only_slice();
    assert!(merged.epoch > parts[1].epoch);
    assert_eq!(merged.slice, Slice::ALL);
}

#[test]
fn slices_of_different_owners_or_being_moved_are_not_merged() {
    let mut log = Log::with_one_slice();
    let record = log.assign(&session_id("a", 1));
    log.accept(&split(&record, Point(1 << 63)));
    let parts = log.slices();
    log.accept(&begin_move(&parts[1], &support::back_end_id("b")));
    let parts = log.slices();
    let rejected = rejection(&mut log, &merge(&parts[0], &parts[1]));
    assert!(matches!(rejected, Rejection::MovePending(..)));
    let evidence = log.evidence(&parts[1], term(1));
    log.accept(&complete_move(&parts[1], &session_id("b", 1), evidence));
    let parts = log.slices();
    let rejected = rejection(&mut log, &merge(&parts[0], &parts[1]));
    assert!(matches!(rejected, Rejection::InvalidMerge(..)));
}

#[test]
fn a_new_founding_closes_every_session_and_opens_none_until_recovered() {
    let mut log = Log::with_one_slice();
    let record = log.assign(&session_id("a", 1));
    let refounded = LeaderTerm {
        generation: Generation(2),
        term: 1,
    };
    let at = |index| Revision::new(Generation(2), index);
    log.machine.apply(at(1), &Command::BeginTerm(refounded));
    assert_eq!(log.machine.sessions().count(), 0);
    assert_eq!(log.only_slice().owner, None);
    let open = Command::OpenSession(session_id("a", 1));
    let early = log.machine.apply(at(2), &open);
    assert_eq!(early.rejected, vec![Rejection::Recovering]);
    log.machine.apply(at(3), &Command::EndRecovery(refounded));
    log.machine.apply(at(4), &open);
    let again = assign(&log.only_slice(), &session_id("a", 1));
    log.machine.apply(at(5), &again);
    assert!(log.only_slice().epoch > record.epoch);
}

#[test]
fn an_entry_is_applied_only_once() {
    let mut log = Log::with_one_slice();
    let command = assign(&log.only_slice(), &session_id("a", 1));
    let revision = log.next_revision();
    log.accept(&command);
    let again = log.machine.apply(revision, &command);
    assert_eq!(again.rejected, vec![Rejection::AlreadyApplied(revision)]);
}
