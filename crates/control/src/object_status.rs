//! References to configuration objects, and the statuses written to them.

use threadledge_types::objects::{
    ACCEPTED_CONDITION, AcceptanceStatus, BACK_END_KIND, KEYED_SERVICE_KIND,
};
use threadledge_types::validation::Problem;
use threadledge_types::{BackEndId, Revision, ServiceId};

/// Condition status of an accepted object.
pub(crate) const ACCEPTED: &str = "True";
/// Condition status of a rejected object.
pub(crate) const REJECTED: &str = "False";

/// Identifies one configuration object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ObjectRef {
    /// A back end.
    BackEnd(BackEndId),
    /// A service.
    Service(ServiceId),
}

impl ObjectRef {
    /// Returns kind, namespace and name for logs.
    pub fn describe(&self) -> String {
        match self {
            ObjectRef::BackEnd(id) => format!("{BACK_END_KIND} {id}"),
            ObjectRef::Service(id) => format!("{KEYED_SERVICE_KIND} {id}"),
        }
    }
}

/// Result of validating an object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AcceptanceResult {
    /// Accepted; in force from this revision on.
    Accepted(Revision),
    /// Rejected for these problems. An earlier accepted version stays in force.
    Rejected(Vec<Problem>),
}

/// A status to be written to an object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatusWrite {
    /// The object.
    pub object: ObjectRef,
    /// `metadata.generation` that was validated.
    pub observed_generation: i64,
    /// Result of the validation.
    pub acceptance: AcceptanceResult,
}

/// Whether an object's status already states this acceptance of this
/// generation.
pub(crate) fn has_acceptance(
    status: &Option<AcceptanceStatus>,
    generation: i64,
    acceptance: &str,
) -> bool {
    let conditions = status.iter().flat_map(|status| &status.conditions);
    conditions
        .filter(|condition| condition.type_ == ACCEPTED_CONDITION)
        .any(|condition| {
            condition.observed_generation == Some(generation) && condition.status == acceptance
        })
}
