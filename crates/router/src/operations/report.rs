//! Answers of the operators' service, as JSON and as types.

use std::fmt;

use serde::{Deserialize, Serialize};
use threadledge_types::objects::{KeySource, Priority};
use threadledge_types::{
    BackEndId, Epoch, Generation, GroupId, Point, Revision, RouterId, RouterIdentity, ServiceId,
    SessionId, Slice,
};

/// State of one router and of what it knows of the others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct StatusReport {
    /// The router that answers.
    pub router: RouterIdentity,
    /// Time since its process started, in milliseconds.
    pub uptime_ms: u64,
    /// Whether it takes new work.
    pub readiness: Readiness,
    /// Revision of its copy.
    pub revision: Revision,
    /// Time since it last confirmed the revision, in milliseconds; `None`
    /// before the first confirmation.
    pub confirmed_age_ms: Option<u64>,
    /// Requests it is carrying now.
    pub requests_in_flight: u64,
    /// Routers it knows, itself included.
    pub members: Vec<MemberStatus>,
    /// Consensus groups of the region that it knows.
    pub groups: Vec<GroupStatus>,
    /// Open sessions of back ends.
    pub sessions: Vec<SessionStatus>,
    /// Services, with their slices counted.
    pub services: Vec<ServiceStatus>,
}

/// Whether a router takes new work, and if not, every reason.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Readiness {
    /// Reasons; none means ready.
    pub reasons: Vec<NotReadyReason>,
}

impl Readiness {
    /// Ready.
    pub fn ready() -> Self {
        Readiness::default()
    }

    /// Not ready for one reason.
    pub fn not_ready(reason: NotReadyReason) -> Self {
        Readiness {
            reasons: vec![reason],
        }
    }

    /// Whether new work is taken.
    pub fn is_ready(&self) -> bool {
        self.reasons.is_empty()
    }
}

/// Why a router takes no new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NotReadyReason {
    /// It has received no configuration since it started.
    NoConfiguration,
    /// It could not confirm its revision within the bound.
    RevisionNotConfirmed,
    /// The routers it could learn from have other safety settings.
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

    /// Text form.
    pub const fn as_str(self) -> &'static str {
        match self {
            NotReadyReason::NoConfiguration => "no-configuration",
            NotReadyReason::RevisionNotConfirmed => "revision-not-confirmed",
            NotReadyReason::SafetySettingsDiffer => "safety-settings-differ",
            NotReadyReason::Draining => "draining",
        }
    }

    /// What an operator can do.
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

/// One router, as another sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct MemberStatus {
    /// Which router.
    pub identity: RouterIdentity,
    /// What is believed of it.
    pub state: MemberState,
}

/// What a router believes of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It has not answered lately.
    Suspect,
    /// It said that it is leaving.
    Leaving,
    /// It is taken for dead.
    Dead,
}

impl MemberState {
    /// Text form.
    pub const fn as_str(self) -> &'static str {
        match self {
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Leaving => "leaving",
            MemberState::Dead => "dead",
        }
    }
}

/// One consensus group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct GroupStatus {
    /// Which group.
    pub group: GroupId,
    /// Founding of the group.
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

/// One open session.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct SessionStatus {
    /// Which session.
    pub session: SessionId,
    /// Whether the back end is leaving.
    pub draining: bool,
    /// Slices it owns.
    pub slices: u64,
}

/// One service with its slices counted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ServiceStatus {
    /// Which service.
    pub service: ServiceId,
    /// Version of the object that is in force.
    pub resource_version: u64,
    /// Back ends that its selector matches.
    pub back_ends: u64,
    /// All slices.
    pub slices: u64,
    /// Slices that nobody owns now.
    pub unowned: u64,
    /// Slices that are being handed over.
    pub moving: u64,
    /// Ratio of the busiest back end's load to the mean, where this router
    /// places the service.
    pub imbalance: Option<f64>,
}

/// A request as `explain` describes it.
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

/// What would become of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Explanation {
    /// Service that answers to the host.
    pub service: ServiceId,
    /// Route that matches.
    pub route: MatchedRoute,
    /// Text of the service's back end selector.
    pub selector: String,
    /// Back ends that the selector matches.
    pub selected: Vec<SelectedBackEnd>,
    /// The request's key.
    pub key: String,
    /// Its point.
    pub point: Point,
    /// Slice of the point.
    pub slice: Slice,
    /// Owner of the slice, if any.
    pub owner: Option<SliceOwner>,
    /// Fencing token of the slice's last assignment.
    pub epoch: Epoch,
    /// Back end that is being prepared to take over.
    pub next: Option<BackEndId>,
    /// Revision this answer rests on.
    pub revision: Revision,
}

/// The route of an explained request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct MatchedRoute {
    /// Name of the route.
    pub name: String,
    /// Where the key stands.
    pub key: KeySource,
    /// Whether this request may be carried out more than once.
    pub repeatable: bool,
    /// Order under contention.
    pub priority: Priority,
    /// Longest time until the caller has its outcome, in milliseconds.
    pub deadline_ms: u64,
    /// Whether the request may wait for a slot.
    pub may_queue: bool,
}

/// A back end that a selector matches.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct SelectedBackEnd {
    /// Which back end.
    pub back_end: BackEndId,
    /// Whether it has an open session.
    pub session_open: bool,
    /// Whether it is leaving.
    pub draining: bool,
}

/// Owner of an explained request's slice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct SliceOwner {
    /// The session that owns the slice.
    pub session: SessionId,
    /// Where requests go; `None` when its object is gone.
    pub address: Option<std::net::SocketAddr>,
}
