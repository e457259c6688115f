//! Settings of a baseline router.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use threadledge_types::{BackEndId, Epoch, Generation, Revision, ServiceId};

use super::assignment::BaselineKind;

/// Settings of one baseline router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct BaselineRouterSettings {
    /// Kind of baseline.
    pub kind: BaselineKind,
    /// Index in the callers' list of routers, from 0.
    pub number: u64,
    /// Incarnation of this router, from 1.
    #[serde(rename = "life")]
    pub incarnation: u32,
    /// Address that callers send requests to.
    pub address: SocketAddr,
    /// Routes from requests to services.
    pub routes: Vec<BaselineRoute>,
    /// Services with their back ends.
    pub services: Vec<BaselineService>,
}

/// A route to a service, and the location of the key in a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct BaselineRoute {
    /// The service.
    pub service: ServiceId,
    /// Value of the `Host` header.
    pub host: String,
    /// Path with query; `{key}` is the placeholder for the key.
    pub path: String,
    /// Header that carries the key, if the path does not contain it.
    pub key_header: Option<String>,
}

/// A service with its back ends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct BaselineService {
    /// The service.
    pub service: ServiceId,
    /// Its back ends.
    pub back_ends: Vec<BaselineBackEnd>,
}

/// Settings of a back end at a baseline router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct BaselineBackEnd {
    /// Id of the back end.
    pub id: BackEndId,
    /// Address for requests.
    pub address: SocketAddr,
    /// Address for health polls.
    pub control_address: SocketAddr,
    /// Maximum number of connections of this router: its share of the
    /// connections that the back end accepts.
    pub connections: usize,
}

impl BaselineRouterSettings {
    /// Returns the epoch under which this incarnation's view is recorded.
    pub fn epoch(&self) -> Epoch {
        Epoch(Revision::new(Generation(self.incarnation), self.number + 1))
    }
}
