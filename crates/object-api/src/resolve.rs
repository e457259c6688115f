//! Decides how to continue after a write whose response was lost.
//!
//! Such a write is never sent again before the object has been read. A write is
//! conditional (on a version, or on the name being free), so once the object
//! shows that the write has not taken effect, sending the *same* write again is
//! safe: the store accepts at most one of the two.
//!
//! This upholds the guarantee that an accepted configuration never reverts: a
//! write is not repeated on top of a later change by another writer.

use crate::error::{PlatformError, PlatformErrorKind};

/// Condition under which a write takes effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The name is free.
    NameIsFree,
    /// The object has this version and, if the writer specifies one, this
    /// identity.
    HasVersion {
        /// Identity of the object.
        uid: Option<String>,
        /// Version of the store that last changed the object.
        version: u64,
    },
}

/// Result of reading the object after the write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadBack {
    /// Identity of the object.
    pub uid: String,
    /// Version of the store that last changed the object.
    pub version: u64,
    /// Whether the written part of the object has the content of the write.
    pub content_matches: bool,
}

/// State of a write, as far as a read can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resolution {
    /// The object has the content of the write.
    Applied,
    /// The write has not taken effect; it may still be in transit.
    NotYetApplied,
    /// Another writer changed the object. The write may have taken effect
    /// before, but is no longer in force.
    Superseded,
    /// The object was deleted, or deleted and created again.
    Gone,
    /// The store shows an older state than the one the write was based on.
    OlderStore,
}

/// Compares the condition of a write with the object that was read.
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

/// Next action of the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send the write under its condition, after a delay if it is not the first
    /// attempt.
    Send,
    /// Read the object, after a delay if the last read failed.
    ReadBack,
    /// Stop.
    Finish(Finish),
}

/// Final result of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finish {
    /// The object has the content of the write.
    Applied,
    /// The condition did not hold; the write had no effect.
    Conflict,
    /// See [`Resolution::Superseded`].
    Superseded,
    /// See [`Resolution::Gone`].
    Gone,
    /// The write failed with the last error. It certainly had no effect only if
    /// no response was lost.
    Failed {
        /// Whether the write may have taken effect.
        ambiguous: bool,
    },
}

/// State machine that follows one write to its final result.
#[derive(Clone, Debug)]
pub struct WriteResolver {
    condition: Condition,
    attempts_left: u32,
    response_lost: bool,
}

impl WriteResolver {
    /// Creates a resolver for a write under `condition`, with at most
    /// `max_attempts` requests after the first, including reads.
    pub fn new(condition: Condition, max_attempts: u32) -> Self {
        WriteResolver {
            condition,
            attempts_left: max_attempts,
            response_lost: false,
        }
    }

    /// Whether a response was lost, so that the write may have taken effect.
    pub fn response_lost(&self) -> bool {
        self.response_lost
    }

    /// Handles the result of sending the write.
    pub fn on_write(&mut self, result: Result<(), &PlatformError>) -> Step {
        let error = match result {
            Ok(()) => return Step::Finish(Finish::Applied),
            Err(error) => error,
        };
        if error.is_ambiguous() {
            self.response_lost = true;
            return self.use_attempt(Step::ReadBack);
        }
        let condition_failed = matches!(
            error.kind,
            PlatformErrorKind::Conflict | PlatformErrorKind::AlreadyExists
        );
        match (condition_failed, self.response_lost) {
            // The earlier attempt whose response was lost may itself have
            // changed the object.
            (true, true) => self.use_attempt(Step::ReadBack),
            (true, false) => Step::Finish(Finish::Conflict),
            (false, _) if error.kind.is_transient() => self.use_attempt(Step::Send),
            (false, true) => self.use_attempt(Step::ReadBack),
            (false, false) => self.failed(),
        }
    }

    /// Handles the result of reading the object: `Ok(None)` if it does not
    /// exist, an error if it could not be read.
    pub fn on_read(&mut self, result: Result<Option<&ReadBack>, &PlatformError>) -> Step {
        let Ok(found) = result else {
            return self.use_attempt(Step::ReadBack);
        };
        match resolve(&self.condition, found) {
            Resolution::Applied => Step::Finish(Finish::Applied),
            Resolution::NotYetApplied => self.use_attempt(Step::Send),
            Resolution::Superseded => Step::Finish(Finish::Superseded),
            Resolution::Gone => Step::Finish(Finish::Gone),
            Resolution::OlderStore => self.use_attempt(Step::ReadBack),
        }
    }

    /// Returns `step` if an attempt is left, otherwise the failure.
    fn use_attempt(&mut self, step: Step) -> Step {
        match self.attempts_left.checked_sub(1) {
            Some(left) => {
                self.attempts_left = left;
                step
            }
            None => self.failed(),
        }
    }

    fn failed(&self) -> Step {
        Step::Finish(Finish::Failed {
            ambiguous: self.response_lost,
        })
    }
}
