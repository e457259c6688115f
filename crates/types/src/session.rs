//! Lease protocol between a group leader (the grantor) and a back end (the
//! holder), spoken on the back end's control address.
//!
//! The leader posts a [`LeaseRequest`] to [`LEASE_PATH`] at every renewal
//! interval and whenever the set of grants changes. The back end answers with a
//! [`LeaseResponse`].
//!
//! Each response carries a reading of the holder's clock. The next request
//! echoes the reading, and the holder's lease runs from it. Since the reading
//! was taken before the leader sent the request, the holder's lease ends no
//! later than the leader expects, however long the request was delayed (apart
//! from clock drift, which the leader adds).

use serde::{Deserialize, Serialize};

use crate::epoch::{Epoch, Generation};
use crate::ids::{BackEndId, GroupId, Incarnation, ServiceId};
use crate::key::Slice;
use crate::time::Timestamp;

/// Path of lease requests on a back end's control address.
pub const LEASE_PATH: &str = "/threadledge/v1/lease";
/// Path of the health endpoint on a back end's control address.
pub const HEALTH_PATH: &str = "/threadledge/v1/health";
/// Path of the load endpoint on a back end's control address.
pub const LOAD_PATH: &str = "/threadledge/v1/load";

/// Request header: epoch of the slice's assignment as known to the router.
pub const EPOCH_HEADER: &str = "threadledge-epoch";
/// Request header: service, as `namespace/name`.
pub const SERVICE_HEADER: &str = "threadledge-service";
/// Request header: point of the key, as 16 hexadecimal digits.
pub const POINT_HEADER: &str = "threadledge-point";
/// Request header: time left for the request, in milliseconds.
pub const DEADLINE_HEADER: &str = "threadledge-deadline-ms";
/// Request header: id of the caller's request, the same on every attempt.
pub const REQUEST_ID_HEADER: &str = "threadledge-request-id";
/// Response header by which a back end reports that it did not execute the
/// request; its value is a [`Refusal`] in kebab case.
pub const REFUSAL_HEADER: &str = "threadledge-refusal";

/// Reason why a back end did not execute a request. A response that carries it
/// guarantees that no part of the request was executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The back end does not own the key under the epoch of the request.
    WrongOwner,
    /// The back end owns the key but its lease has expired.
    LeaseLapsed,
    /// All slots of the back end are busy and its queue is full.
    Overloaded,
    /// The back end is shutting down.
    Draining,
    /// The deadline passed before execution began.
    DeadlinePassed,
    /// The router's request lacked a required header.
    Malformed,
}

impl Refusal {
    /// All refusals.
    pub const ALL: [Refusal; 6] = [
        Refusal::WrongOwner,
        Refusal::LeaseLapsed,
        Refusal::Overloaded,
        Refusal::Draining,
        Refusal::DeadlinePassed,
        Refusal::Malformed,
    ];

    /// Returns the value of [`REFUSAL_HEADER`].
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

    /// Parses a value of [`REFUSAL_HEADER`].
    pub fn parse(text: &str) -> Option<Refusal> {
        Refusal::ALL
            .into_iter()
            .find(|refusal| refusal.as_str() == text)
    }
}

/// Permission to serve a slice under an epoch while the session's lease is
/// valid.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// Service that the slice belongs to.
    pub service: ServiceId,
    /// Slice that may be served.
    pub slice: Slice,
    /// Fencing token of the assignment.
    pub epoch: Epoch,
}

/// Sequence number of a lease request. A holder rejects a request whose number
/// is not above the last one that it accepted.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LeaseSequence {
    /// Generation of the group.
    pub generation: Generation,
    /// Consensus term of the leader.
    pub term: u64,
    /// Number of the request within the term, counted per session.
    pub sequence: u64,
}

/// Version of the set of grants of one session.
///
/// The leader counts versions from 1 within its term. A holder that does not
/// know its version reports `None`.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct GrantsVersion {
    /// Generation of the group.
    pub generation: Generation,
    /// Consensus term of the leader.
    pub term: u64,
    /// Number of the version within the term.
    pub number: u64,
}

/// Change to the grants of a holder, carried by a lease request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum GrantsUpdate {
    /// Replaces all grants; the holder releases every grant not listed.
    Full {
        /// Version of the new set.
        version: GrantsVersion,
        /// All grants of the new set.
        grants: Vec<Grant>,
    },
    /// Changes an earlier version. A holder that is not at `base` ignores the
    /// change and reports its own version.
    Delta {
        /// Version that the change applies to.
        base: GrantsVersion,
        /// Version after the change.
        version: GrantsVersion,
        /// Grants to add.
        add: Vec<Grant>,
        /// Grants to release.
        remove: Vec<Grant>,
    },
    /// The holder already has this version.
    Unchanged {
        /// Current version.
        version: GrantsVersion,
    },
    /// Changes nothing. The first request of a term, sent to learn the holder's
    /// incarnation, clock reading and grants.
    Inquire,
}

/// Request from the leader to a back end to renew its lease and update its
/// grants.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Group of the leader.
    pub group: GroupId,
    /// Back end that the request is for.
    pub back_end: BackEndId,
    /// Incarnation that the request is for; `None` if not yet known. A back end
    /// with another incarnation ignores the request and answers with its own.
    pub incarnation: Option<Incarnation>,
    /// Sequence number of the request.
    pub order: LeaseSequence,
    /// Reading of the holder's clock from its latest response. The lease is
    /// extended to `echo + lease_ms`; `None` does not renew it.
    pub echo: Option<Timestamp>,
    /// Length of the lease by the holder's clock, in milliseconds.
    pub lease_ms: u64,
    /// Change to the grants.
    pub grants: GrantsUpdate,
    /// Slices that the holder should prepare to own.
    pub prepare: Vec<Grant>,
}

/// Load as reported by a back end; it may be out of date or wrong.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests running now.
    pub running: u32,
    /// Requests queued now.
    pub queued: u32,
    /// Request rate of each held slice that had requests, averaged over the
    /// last seconds.
    pub slice_rates: Vec<SliceRate>,
}

/// Request rate of one slice.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SliceRate {
    /// Service that the slice belongs to.
    pub service: ServiceId,
    /// Slice that was requested.
    pub slice: Slice,
    /// Requests per second.
    pub per_second: f64,
    /// Hot key of the slice; `None` if no key dominates.
    pub hottest: Option<HotPoint>,
}

/// A hot key: one that gets far more requests than the others of its slice.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HotPoint {
    /// Point of the key.
    pub point: crate::key::Point,
    /// Requests per second.
    pub per_second: f64,
}

/// Response of a back end to a [`LeaseRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// Back end that responds.
    pub back_end: BackEndId,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Sequence number of the request that this responds to.
    pub order: LeaseSequence,
    /// True if the request was accepted. If not, `highest` shows why.
    pub taken: bool,
    /// Highest sequence number that the back end has accepted.
    pub highest: LeaseSequence,
    /// Reading of the holder's clock at the time of the response, to be echoed.
    pub holder_time: Timestamp,
    /// Version of its grants; `None` if it has no grants or does not know the
    /// version.
    pub version: Option<GrantsVersion>,
    /// Revoked grants that still have running requests.
    pub releasing: Vec<Grant>,
    /// Slices of the request's `prepare` list that it is ready to own.
    pub ready: Vec<Grant>,
    /// All grants that it holds; sent only in response to
    /// [`GrantsUpdate::Inquire`].
    pub held: Option<Vec<Grant>>,
    /// True if the back end is shutting down.
    pub draining: bool,
    /// Load, sent with every response.
    pub load: LoadReport,
}
