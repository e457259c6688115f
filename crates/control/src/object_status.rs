//! Names of configuration objects and the statuses written to them.

use threadledge_types::objects::{
    ACCEPTED_CONDITION, AcceptanceStatus, BACK_END_KIND, KEYED_SERVICE_KIND,
};
use threadledge_types::validation::Problem;
use threadledge_types::{BackEndId, Revision, ServiceId};

/// Condition status of an accepted object.
pub(crate) const ACCEPTED: &str = "True";
/// Condition status of a rejected object.
pub(crate) const REJECTED: &str = "False";

/// Names one configuration object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ObjectRef {
    /// A back end.
    BackEnd(BackEndId),
    /// A service.
    Service(ServiceId),
}

impl ObjectRef {
    /// Kind, namespace and name for logs.
    pub fn describe(&self) -> String {
        match self {
            ObjectRef::BackEnd(id) => format!("{BACK_END_KIND} {id}"),
            ObjectRef::Service(id) => format!("{KEYED_SERVICE_KIND} {id}"),
        }
    }
}

/// What became of an object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AcceptanceResult {
    /// It is in force from this revision on.
    Accepted(Revision),
    /// It is not in force, for these problems; an earlier accepted version
    /// stays in force.
    Rejected(Vec<Problem>),
}

/// A status to be written to an object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatusWrite {
    /// Which object.
    pub object: ObjectRef,
    /// `metadata.generation` that was judged.
    pub observed_generation: i64,
    /// The judgement.
    pub acceptance: AcceptanceResult,
}

/// Whether an object's status already says this about this generation.
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
