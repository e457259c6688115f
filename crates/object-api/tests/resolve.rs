//! A lost response is resolved by reading the object, never by blind
//! repetition.

use std::time::Duration;

use threadledge_object_api::resolve::{
    Condition, Finish, ReadBack, Resolution, Step, WriteResolver, resolve,
};
use threadledge_object_api::{PlatformError, PlatformErrorKind, WriteEffect};

fn replace() -> Condition {
    Condition::HasVersion {
        uid: Some("a".to_owned()),
        version: 10,
    }
}

fn found(uid: &str, version: u64, content_matches: bool) -> ReadBack {
    ReadBack {
        uid: uid.to_owned(),
        version,
        content_matches,
    }
}

fn lost_response() -> PlatformError {
    PlatformError {
        operation: "PUT".to_owned(),
        kind: PlatformErrorKind::TimedOut(Duration::from_secs(1)),
        effect: WriteEffect::Ambiguous,
    }
}

fn without_effect(kind: PlatformErrorKind) -> PlatformError {
    PlatformError::without_effect("PUT", kind)
}

const AMBIGUOUS_FAILURE: Step = Step::Finish(Finish::Failed { ambiguous: true });

#[test]
fn replacement_is_resolved_by_identity_version_and_content() {
    let cases = [
        (Some(found("a", 10, false)), Resolution::NotYetApplied),
        (Some(found("a", 10, true)), Resolution::NotYetApplied),
        (Some(found("a", 11, true)), Resolution::Applied),
        (Some(found("a", 11, false)), Resolution::Superseded),
        (Some(found("b", 12, true)), Resolution::Gone),
        (Some(found("a", 9, true)), Resolution::OlderStore),
        (Some(found("b", 9, true)), Resolution::OlderStore),
        (None, Resolution::Gone),
    ];
    for (read, expected) in cases {
        assert_eq!(resolve(&replace(), read.as_ref()), expected, "{read:?}");
    }
}

#[test]
fn write_without_uid_is_resolved_by_version_and_content() {
    let condition = Condition::HasVersion {
        uid: None,
        version: 10,
    };
    let applied = found("a", 11, true);
    assert_eq!(resolve(&condition, Some(&applied)), Resolution::Applied);
    let changed = found("b", 11, false);
    assert_eq!(resolve(&condition, Some(&changed)), Resolution::Superseded);
    let unchanged = found("a", 10, false);
    assert_eq!(
        resolve(&condition, Some(&unchanged)),
        Resolution::NotYetApplied
    );
}

#[test]
fn creation_is_resolved_by_presence_and_content() {
    let create = Condition::NameIsFree;
    assert_eq!(resolve(&create, None), Resolution::NotYetApplied);
    let ours = found("a", 3, true);
    assert_eq!(resolve(&create, Some(&ours)), Resolution::Applied);
    let others = found("a", 3, false);
    assert_eq!(resolve(&create, Some(&others)), Resolution::Superseded);
}

#[test]
fn lost_response_is_followed_by_a_read_not_by_a_write() {
    let mut resolver = WriteResolver::new(replace(), 5);
    assert_eq!(resolver.on_write(Err(&lost_response())), Step::ReadBack);
    let applied = found("a", 11, true);
    let step = resolver.on_read(Ok(Some(&applied)));
    assert_eq!(step, Step::Finish(Finish::Applied));
}

#[test]
fn write_that_did_not_take_effect_is_sent_again_under_its_condition() {
    let mut resolver = WriteResolver::new(replace(), 5);
    resolver.on_write(Err(&lost_response()));
    let unchanged = found("a", 10, false);
    assert_eq!(resolver.on_read(Ok(Some(&unchanged))), Step::Send);
    // The first request arrived after all, so the second meets a newer version.
    let conflict = without_effect(PlatformErrorKind::Conflict);
    assert_eq!(resolver.on_write(Err(&conflict)), Step::ReadBack);
    let applied = found("a", 11, true);
    let step = resolver.on_read(Ok(Some(&applied)));
    assert_eq!(step, Step::Finish(Finish::Applied));
}

#[test]
fn conflict_without_a_lost_response_had_no_effect() {
    let mut resolver = WriteResolver::new(replace(), 5);
    let conflict = without_effect(PlatformErrorKind::Conflict);
    let step = resolver.on_write(Err(&conflict));
    assert_eq!(step, Step::Finish(Finish::Conflict));
}

#[test]
fn later_change_by_another_writer_is_never_overwritten() {
    let mut resolver = WriteResolver::new(replace(), 5);
    resolver.on_write(Err(&lost_response()));
    let changed = found("a", 12, false);
    let step = resolver.on_read(Ok(Some(&changed)));
    assert_eq!(step, Step::Finish(Finish::Superseded));
}

#[test]
fn unreadable_object_leaves_the_write_ambiguous() {
    let mut resolver = WriteResolver::new(replace(), 3);
    let down = without_effect(PlatformErrorKind::Unreachable("refused".to_owned()));
    assert_eq!(resolver.on_write(Err(&lost_response())), Step::ReadBack);
    assert_eq!(resolver.on_read(Err(&down)), Step::ReadBack);
    assert_eq!(resolver.on_read(Err(&down)), Step::ReadBack);
    assert_eq!(resolver.on_read(Err(&down)), AMBIGUOUS_FAILURE);
}

#[test]
fn write_that_was_never_sent_had_no_effect() {
    let mut resolver = WriteResolver::new(replace(), 1);
    let down = without_effect(PlatformErrorKind::Unreachable("refused".to_owned()));
    assert_eq!(resolver.on_write(Err(&down)), Step::Send);
    let step = resolver.on_write(Err(&down));
    assert_eq!(step, Step::Finish(Finish::Failed { ambiguous: false }));
}

#[test]
fn refused_write_after_a_lost_response_is_read_back() {
    let mut resolver = WriteResolver::new(replace(), 5);
    resolver.on_write(Err(&lost_response()));
    let unchanged = found("a", 10, false);
    resolver.on_read(Ok(Some(&unchanged)));
    let forbidden = without_effect(PlatformErrorKind::Forbidden(String::new()));
    assert_eq!(resolver.on_write(Err(&forbidden)), Step::ReadBack);
}

/// Model of a store with one object, in which a sent write takes effect now,
/// later or never, and other writers write in between.
struct Model {
    version: u64,
    content: u32,
    /// Sent writes that have not arrived; each is conditional on version 10.
    in_transit: u32,
    /// Number of our writes that took effect.
    applied_count: u32,
}

const OURS: u32 = 1;
const OTHERS: u32 = 2;

impl Model {
    fn arrive(&mut self) -> bool {
        let holds = self.version == 10;
        if holds {
            self.version += 1;
            self.content = OURS;
            self.applied_count += 1;
        }
        holds
    }

    fn interfere(&mut self, choice: u32) {
        if choice & 1 != 0 && self.in_transit > 0 {
            self.in_transit -= 1;
            self.arrive();
        }
        if choice & 2 != 0 {
            self.version += 1;
            self.content = OTHERS;
        }
    }

    fn send(&mut self, choice: u32, resolver: &mut WriteResolver) -> Step {
        match choice % 4 {
            0 if self.arrive() => resolver.on_write(Ok(())),
            0 => resolver.on_write(Err(&without_effect(PlatformErrorKind::Conflict))),
            1 => {
                self.arrive();
                resolver.on_write(Err(&lost_response()))
            }
            2 => {
                self.in_transit += 1;
                resolver.on_write(Err(&lost_response()))
            }
            _ => resolver.on_write(Err(&lost_response())),
        }
    }
}

/// Runs the model over all schedules of `LENGTH` steps.
#[test]
fn in_every_schedule_a_write_takes_effect_at_most_once_and_its_result_is_true() {
    const LENGTH: u32 = 6;
    const CHOICES: u32 = 8;
    for schedule in 0..CHOICES.pow(LENGTH) {
        let mut choices = (0..LENGTH).map(|step| schedule / CHOICES.pow(step) % CHOICES);
        let mut model = Model {
            version: 10,
            content: 0,
            in_transit: 0,
            applied_count: 0,
        };
        let mut resolver = WriteResolver::new(replace(), LENGTH);
        let mut step = Step::Send;
        let end = loop {
            let Some(choice) = choices.next() else {
                break None;
            };
            step = match step {
                Step::Send => model.send(choice, &mut resolver),
                Step::ReadBack => {
                    model.interfere(choice / 2);
                    let read = found("a", model.version, model.content == OURS);
                    resolver.on_read(Ok(Some(&read)))
                }
                Step::Finish(finish) => break Some(finish),
            };
        };
        assert!(model.applied_count <= 1, "schedule {schedule}");
        match end {
            Some(Finish::Applied) => assert_eq!(model.applied_count, 1, "schedule {schedule}"),
            Some(Finish::Conflict) => assert_eq!(model.applied_count, 0, "schedule {schedule}"),
            _ => {}
        }
    }
}
