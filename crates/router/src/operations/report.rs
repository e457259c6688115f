//! Requests and reports of the operators' service, which are sent as JSON.

use std::fmt;

use serde::{Deserialize, Serialize};
use threadledge_types::objects::{KeySource, Priority};
use threadledge_types::{
    BackEndId, Epoch, Generation, GroupId, Point, Revision, RouterId, RouterIdentity, ServiceId,
    SessionId, Slice,
};

/// State of a router and its knowledge of the others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct StatusReport {
    /// The router that sent the report.
    pub router: RouterIdentity,
    /// Time since its process started, in milliseconds.
    pub uptime_ms: u64,
    /// True if it accepts new requests.
    pub readiness: Readiness,
    /// Revision of its copy of the records.
    pub revision: Revision,
    /// Time since it last confirmed the revision, in milliseconds; `None`
    /// before the first confirmation.
    pub confirmed_age_ms: Option<u64>,
    /// Number of requests in flight.
    pub requests_in_flight: u64,
    /// Routers it knows, including itself.
    pub members: Vec<MemberStatus>,
    /// Consensus groups of the region that it knows.
    pub groups: Vec<GroupStatus>,
    /// Open sessions of back ends.
    pub sessions: Vec<SessionStatus>,
    /// Services, with the numbers of their slices.
    pub services: Vec<ServiceStatus>,
}

/// Readiness of a router to accept new requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Readiness {
    /// Every reason why the router is not ready; empty if it is ready.
    pub reasons: Vec<NotReadyReason>,
}

impl Readiness {
    /// Returns the readiness of a router that is ready.
    pub fn ready() -> Self {
        Readiness::default()
    }

    /// Returns the readiness of a router that is not ready for one reason.
    pub fn not_ready(reason: NotReadyReason) -> Self {
        Readiness {
            reasons: vec![reason],
        }
    }

    /// Returns whether the router accepts new requests.
    pub fn is_ready(&self) -> bool {
        self.reasons.is_empty()
    }
}

/// Reason why a router accepts no new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NotReadyReason {
    /// It has received no configuration since it started.
    NoConfiguration,
    /// It could not confirm its revision within the configured bound.
    RevisionNotConfirmed,
    /// The routers from which it could learn the configuration have different
    /// safety settings.
    SafetySettingsDiffer,
    /// A planned stop has begun.
    Draining,
}

impl NotReadyReason {
    /// Every reason.
    pub const ALL: [NotReadyReason; 4] = [
        NotReadyReason::NoConfiguration,
        NotReadyReason::RevisionNotConfirmed,
        NotReadyReason::SafetySettingsDiffer,
        NotReadyReason::Draining,
    ];

    /// Returns the text form.
    pub const fn as_str(self) -> &'static str {
        match self {
            NotReadyReason::NoConfiguration => "no-configuration",
            NotReadyReason::RevisionNotConfirmed => "revision-not-confirmed",
            NotReadyReason::SafetySettingsDiffer => "safety-settings-differ",
            NotReadyReason::Draining => "draining",
        }
    }

    /// Returns what an operator can do.
    pub const fn remedy(self) -> &'static str {
        match self {
            NotReadyReason::NoConfiguration => {
                "wait for the first configuration; if none comes, check that the object API or a router of the region can be reached"
            }
            NotReadyReason::RevisionNotConfirmed => {
                "check that this machine reaches the other routers of its region on their peer addresses"
            }
            NotReadyReason::SafetySettingsDiffer => {
                "give this router the lease-ms, drift-percent and election-min-ms of its region and start it again"
            }
            NotReadyReason::Draining => "nothing; the router exits once its requests are done",
        }
    }
}

impl fmt::Display for NotReadyReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// A router as seen by the one that reports.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct MemberStatus {
    /// Identity of the router.
    pub identity: RouterIdentity,
    /// Its presumed state.
    pub state: MemberState,
}

/// Presumed state of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// It responds.
    Alive,
    /// It has not responded recently.
    Suspect,
    /// It announced that it is leaving.
    Leaving,
    /// It is considered dead.
    Dead,
}

impl MemberState {
    /// Returns the text form.
    pub const fn as_str(self) -> &'static str {
        match self {
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Leaving => "leaving",
            MemberState::Dead => "dead",
        }
    }
}

/// State of a consensus group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct GroupStatus {
    /// Id of the group.
    pub group: GroupId,
    /// Generation of the group, which grows each time it is founded.
    pub generation: Generation,
    /// Consensus term.
    pub term: u64,
    /// The leader, if known.
    pub leader: Option<RouterId>,
    /// Members that vote.
    pub voters: Vec<RouterId>,
    /// Members that are catching up.
    pub learners: Vec<RouterId>,
    /// Last revision known to be committed.
    pub committed: Revision,
}

/// State of an open session.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct SessionStatus {
    /// Id of the session.
    pub session: SessionId,
    /// True if the back end is leaving.
    pub draining: bool,
    /// Number of slices it owns.
    pub slices: u64,
}

/// State of a service with the numbers of its slices.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ServiceStatus {
    /// Id of the service.
    pub service: ServiceId,
    /// Version of the object that is in force.
    pub resource_version: u64,
    /// Number of back ends that its selector matches.
    pub back_ends: u64,
    /// Number of slices.
    pub slices: u64,
    /// Number of slices without an owner.
    pub unowned: u64,
    /// Number of slices that are being handed over.
    pub moving: u64,
    /// Ratio of the busiest back end's load to the mean. Known only to the router
    /// that places the service.
    pub imbalance: Option<f64>,
}

/// A request to be explained.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ExplainRequest {
    /// Host name, without port.
    pub host: String,
    /// Method.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// Headers, names in lower case.
    #[serde(default)]
    pub headers: Vec<(String, String)>,
}

/// Explanation of how a request would be routed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Explanation {
    /// Service of the host.
    pub service: ServiceId,
    /// Route that matches.
    pub route: ExplainedRoute,
    /// Text of the service's back end selector.
    pub selector: String,
    /// Back ends that the selector matches.
    pub selected: Vec<SelectedBackEnd>,
    /// The request's key.
    pub key: String,
    /// Hash of the key.
    pub point: Point,
    /// Slice that contains the point.
    pub slice: Slice,
    /// Owner of the slice, if any.
    pub owner: Option<SliceOwner>,
    /// Fencing token of the slice's last assignment.
    pub epoch: Epoch,
    /// Back end that is being prepared to take over.
    pub next: Option<BackEndId>,
    /// Revision of the records on which the explanation is based.
    pub revision: Revision,
}

/// The route of an explained request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ExplainedRoute {
    /// Name of the route.
    pub name: String,
    /// Part of the request that contains the key.
    pub key: KeySource,
    /// True if the request may be executed more than once.
    pub repeatable: bool,
    /// Priority under contention.
    pub priority: Priority,
    /// Maximum time until the caller receives an outcome, in milliseconds.
    pub deadline_ms: u64,
    /// True if the request may wait for a slot.
    pub may_queue: bool,
}

/// A back end that a selector matches.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct SelectedBackEnd {
    /// Id of the back end.
    pub back_end: BackEndId,
    /// True if it has an open session.
    pub session_open: bool,
    /// True if it is leaving.
    pub draining: bool,
}

/// Owner of an explained request's slice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct SliceOwner {
    /// The session that owns the slice.
    pub session: SessionId,
    /// Address of the back end; `None` if its object has been deleted.
    pub address: Option<std::net::SocketAddr>,
}
