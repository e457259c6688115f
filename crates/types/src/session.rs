//! Messages between a group leader and a back end's control address.
//!
//! The leader posts a [`LeaseRequest`] to [`LEASE_PATH`] every renewal
//! interval and whenever the set of grants changes; the back end answers with
//! a [`LeaseResponse`].
//!
//! Lease arithmetic: every response carries the holder's own clock reading.
//! The next request echoes it, and the holder's lease then runs from the
//! echoed reading. The reading was taken before the leader sent the request,
//! so whatever delay the request met, the holder's lease ends no later than
//! the leader expects (up to clock drift, which the leader adds).

use serde::{Deserialize, Serialize};

use crate::epoch::{Epoch, Generation};
use crate::ids::{BackEndId, GroupId, Incarnation, ServiceId};
use crate::key::Slice;
use crate::time::Timestamp;

/// Path of the lease exchange on a back end's control address.
pub const LEASE_PATH: &str = "/threadledge/v1/lease";
/// Path of the health endpoint on a back end's control address.
pub const HEALTH_PATH: &str = "/threadledge/v1/health";
/// Path of the load endpoint on a back end's control address.
pub const LOAD_PATH: &str = "/threadledge/v1/load";

/// Request header: epoch under which the router believes the slice is owned.
pub const EPOCH_HEADER: &str = "threadledge-epoch";
/// Request header: service, `namespace/name`.
pub const SERVICE_HEADER: &str = "threadledge-service";
/// Request header: point of the key, 16 hexadecimal digits.
pub const POINT_HEADER: &str = "threadledge-point";
/// Request header: time left for the request, in milliseconds.
pub const DEADLINE_HEADER: &str = "threadledge-deadline-ms";
/// Request header: number that names one request of one caller, the same on
/// every attempt.
pub const REQUEST_ID_HEADER: &str = "threadledge-request-id";
/// Response header with which a back end says that it did not run a request;
/// its value is a [`Refusal`] in kebab case.
pub const REFUSAL_HEADER: &str = "threadledge-refusal";

/// Why a back end did not run a request. A response that carries it promises
/// that nothing of the request was carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// It does not own the key under the epoch of the request.
    WrongOwner,
    /// It owns the key but its lease has lapsed.
    LeaseLapsed,
    /// All its slots and its queue are taken.
    Overloaded,
    /// It is leaving.
    Draining,
    /// The deadline passed before it began.
    DeadlinePassed,
    /// The router's request lacked a header it needs.
    Malformed,
}

impl Refusal {
    /// Every refusal.
    pub const ALL: [Refusal; 6] = [
        Refusal::WrongOwner,
        Refusal::LeaseLapsed,
        Refusal::Overloaded,
        Refusal::Draining,
        Refusal::DeadlinePassed,
        Refusal::Malformed,
    ];

    /// Header form.
    pub const fn as_str(self) -> &'static str {
        match self {
            Refusal::WrongOwner => "wrong-owner",
            Refusal::LeaseLapsed => "lease-lapsed",
            Refusal::Overloaded => "overloaded",
            Refusal::Draining => "draining",
            Refusal::DeadlinePassed => "deadline-passed",
            Refusal::Malformed => "malformed",
        }
    }

    /// Reads the header form.
    pub fn parse(text: &str) -> Option<Refusal> {
        Refusal::ALL
            .into_iter()
            .find(|refusal| refusal.as_str() == text)
    }
}

/// Permission to serve one slice under one epoch, for as long as the session
/// lease lasts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// Which service.
    pub service: ServiceId,
    /// Which slice.
    pub slice: Slice,
    /// Fencing token.
    pub epoch: Epoch,
}

/// Order of lease requests: a holder refuses one that is not above the last
/// it took.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LeaseSequence {
    /// Founding of the group.
    pub generation: Generation,
    /// Consensus term of the leader.
    pub term: u64,
    /// Number of the request within the term, counted for each session.
    pub sequence: u64,
}

/// Number of a state of one session's grants, counted by the leader from 1
/// within its term. A holder that lost track reports `None`.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct GrantsVersion {
    /// Founding of the group.
    pub generation: Generation,
    /// Consensus term of the leader.
    pub term: u64,
    /// Number of the state within the term.
    pub number: u64,
}

/// What a holder shall hold after a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum GrantsUpdate {
    /// Exactly these grants; every other one is to be released.
    Full {
        /// Version of this state.
        version: GrantsVersion,
        /// The grants.
        grants: Vec<Grant>,
    },
    /// A difference to an earlier version; a holder that is not at `base`
    /// ignores it and reports the version it is at.
    Delta {
        /// Version the difference starts from.
        base: GrantsVersion,
        /// Version of the state afterwards.
        version: GrantsVersion,
        /// Grants to take.
        add: Vec<Grant>,
        /// Grants to release.
        remove: Vec<Grant>,
    },
    /// The holder is at this version already.
    Unchanged {
        /// The version.
        version: GrantsVersion,
    },
    /// No grant is touched: the first contact of a term, sent to learn the
    /// holder's incarnation, clock reading and grants.
    Inquire,
}

/// Leader to back end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Group of the leader.
    pub group: GroupId,
    /// Back end meant.
    pub back_end: BackEndId,
    /// Life of its process meant; `None` when not yet known. A back end in
    /// another life takes nothing from the request and answers with its own.
    pub incarnation: Option<Incarnation>,
    /// Order among requests.
    pub order: LeaseSequence,
    /// Reading of the holder's clock from its latest response; the lease is
    /// renewed to `echo + lease_ms`. `None` renews nothing.
    pub echo: Option<Timestamp>,
    /// Length of the lease in milliseconds, by the holder's clock.
    pub lease_ms: u64,
    /// Grants after this request.
    pub grants: GrantsUpdate,
    /// Slices the holder should make itself ready to own.
    pub prepare: Vec<Grant>,
}

/// Load and health as the back end reports them; both may lag or mislead.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests being carried out now.
    pub running: u32,
    /// Requests waiting.
    pub queued: u32,
    /// Requests a second, for each held slice that had any, averaged over the
    /// last seconds: service, first point of the slice as text, rate.
    pub slice_rates: Vec<SliceRate>,
}

/// Rate of requests to one slice.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SliceRate {
    /// Which service.
    pub service: ServiceId,
    /// Which slice.
    pub slice: Slice,
    /// Requests a second.
    pub per_second: f64,
    /// Point of the busiest key in the slice, where one stands out, with its
    /// requests a second.
    pub hottest: Option<HotPoint>,
}

/// A single key that stands out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HotPoint {
    /// Its point.
    pub point: crate::key::Point,
    /// Requests a second.
    pub per_second: f64,
}

/// Back end to leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// The back end that answers.
    pub back_end: BackEndId,
    /// Life of its process.
    pub incarnation: Incarnation,
    /// Order of the request this answers.
    pub order: LeaseSequence,
    /// Whether the request was taken. If not, `highest` says why.
    pub taken: bool,
    /// Highest order the back end has taken.
    pub highest: LeaseSequence,
    /// The holder's clock when it answered, to be echoed.
    pub holder_time: Timestamp,
    /// Version of its grants; `None` when it holds none or lost track.
    pub version: Option<GrantsVersion>,
    /// Grants taken away that still have requests running.
    pub releasing: Vec<Grant>,
    /// Slices that it is ready to own, out of those it was told to prepare.
    pub ready: Vec<Grant>,
    /// All grants it holds; sent only in answer to `Inquire`.
    pub held: Option<Vec<Grant>>,
    /// It is leaving.
    pub draining: bool,
    /// Load, sent with every answer.
    pub load: LoadReport,
}
