//! Decides what to do about a write whose answer never came.
//!
//! Such a write is never sent again before the object was read. A write is
//! conditional (on a version, or on the name being free), so once the object
//! shows that it has not taken effect, sending the *same* write again is safe:
//! the store lets at most one of the two through.
//!
//! Keeps the guarantee that an accepted configuration never reverts: a write
//! is not repeated on top of a later change by somebody else.

use crate::error::{PlatformError, PlatformErrorKind};

/// The condition under which a write takes effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The name is free.
    NameIsFree,
    /// The object has this version, and this identity if the writer names it.
    HasVersion {
        /// Identity of the object.
        uid: Option<String>,
        /// Version of the store that last changed it.
        version: u64,
    },
}

/// What a read after the write showed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadBack {
    /// Identity of the object.
    pub uid: String,
    /// Version of the store that last changed it.
    pub version: u64,
    /// Whether the part that was written is as the write wanted it.
    pub content_matches: bool,
}

/// What became of a write, as far as a read can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resolution {
    /// The object is as the write wanted it.
    Applied,
    /// The write has not taken effect; it may still be on its way.
    NotYetApplied,
    /// Somebody else changed the object. The write may have taken effect
    /// before that and is no longer in force.
    Superseded,
    /// The object is gone or was created again.
    Gone,
    /// The store shows an older state than the one the write was based on.
    OlderStore,
}

/// Compares what was wanted with what was read.
pub fn resolve(condition: &Condition, found: Option<&ReadBack>) -> Resolution {
    match (condition, found) {
        (Condition::NameIsFree, None) => Resolution::NotYetApplied,
        (Condition::NameIsFree, Some(found)) if found.content_matches => Resolution::Applied,
        (Condition::NameIsFree, Some(_)) => Resolution::Superseded,
        (Condition::HasVersion { .. }, None) => Resolution::Gone,
        (Condition::HasVersion { uid, version }, Some(found)) => {
            resolve_version(uid.as_deref(), *version, found)
        }
    }
}

fn resolve_version(uid: Option<&str>, version: u64, found: &ReadBack) -> Resolution {
    if found.version < version {
        Resolution::OlderStore
    } else if uid.is_some_and(|uid| uid != found.uid) {
        Resolution::Gone
    } else if found.version == version {
        Resolution::NotYetApplied
    } else if found.content_matches {
        Resolution::Applied
    } else {
        Resolution::Superseded
    }
}

/// What the shell does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send the write under its condition, after a wait if it is not the first.
    Send,
    /// Read the object, after a wait if the last read failed.
    ReadBack,
    /// Stop.
    Finish(Finish),
}

/// How a write ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finish {
    /// The object is as the write wanted it.
    Applied,
    /// The condition did not hold; the write had no effect.
    Conflict,
    /// See [`Resolution::Superseded`].
    Superseded,
    /// See [`Resolution::Gone`].
    Gone,
    /// The last error stands. Whether the write had an effect is known only
    /// if no answer was lost.
    Failed {
        /// The write may have taken effect.
        ambiguous: bool,
    },
}

/// Follows one write to its end.
#[derive(Clone, Debug)]
pub struct WriteResolver {
    condition: Condition,
    attempts_left: u32,
    response_lost: bool,
}

impl WriteResolver {
    /// A write under `condition` with at most `max_attempts` requests after
    /// the first, reads included.
    pub fn new(condition: Condition, max_attempts: u32) -> Self {
        WriteResolver {
            condition,
            attempts_left: max_attempts,
            response_lost: false,
        }
    }

    /// Whether an answer was lost, so that the write may have taken effect.
    pub fn response_lost(&self) -> bool {
        self.response_lost
    }

    /// After the write was answered, or not.
    pub fn on_write(&mut self, result: Result<(), &PlatformError>) -> Step {
        let error = match result {
            Ok(()) => return Step::Finish(Finish::Applied),
            Err(error) => error,
        };
        if error.is_ambiguous() {
            self.response_lost = true;
            return self.attempt(Step::ReadBack);
        }
        let condition_failed = matches!(
            error.kind,
            PlatformErrorKind::Conflict | PlatformErrorKind::AlreadyExists
        );
        match (condition_failed, self.response_lost) {
            // The earlier send whose answer was lost may itself be what
            // changed the object.
            (true, true) => self.attempt(Step::ReadBack),
            (true, false) => Step::Finish(Finish::Conflict),
            (false, _) if error.kind.is_transient() => self.attempt(Step::Send),
            (false, true) => self.attempt(Step::ReadBack),
            (false, false) => self.fail(),
        }
    }

    /// After the object was read: `Ok(None)` if there is none, an error if it
    /// could not be read.
    pub fn on_read(&mut self, result: Result<Option<&ReadBack>, &PlatformError>) -> Step {
        let Ok(found) = result else {
            return self.attempt(Step::ReadBack);
        };
        match resolve(&self.condition, found) {
            Resolution::Applied => Step::Finish(Finish::Applied),
            Resolution::NotYetApplied => self.attempt(Step::Send),
            Resolution::Superseded => Step::Finish(Finish::Superseded),
            Resolution::Gone => Step::Finish(Finish::Gone),
            Resolution::OlderStore => self.attempt(Step::ReadBack),
        }
    }

    fn attempt(&mut self, step: Step) -> Step {
        match self.attempts_left.checked_sub(1) {
            Some(left) => {
                self.attempts_left = left;
                step
            }
            None => self.fail(),
        }
    }

    fn fail(&self) -> Step {
        Step::Finish(Finish::Failed {
            ambiguous: self.response_lost,
        })
    }
}
