//! Settings of a baseline's router.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use threadledge_types::{BackEndId, Epoch, Generation, Revision, ServiceId};

use super::assignment::BaselineKind;

/// One router of a baseline.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct BaselineRouterSettings {
    /// Which baseline.
    pub kind: BaselineKind,
    /// Number among the callers' routers, from 0.
    pub number: u64,
    /// Which life of this router, from 1.
    pub life: u32,
    /// Where callers come.
    pub address: SocketAddr,
    /// Which requests belong to which service.
    pub routes: Vec<BaselineRoute>,
    /// The services.
    pub services: Vec<BaselineService>,
}

/// Which requests belong to a service, and where their key stands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct BaselineRoute {
    /// Service.
    pub service: ServiceId,
    /// Host header.
    pub host: String,
    /// Path with query; `{key}` stands for the key.
    pub path: String,
    /// Header that carries the key, if the path does not.
    pub key_header: Option<String>,
}

/// A service with its back ends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct BaselineService {
    /// Which service.
    pub service: ServiceId,
    /// Its back ends.
    pub back_ends: Vec<BaselineBackEnd>,
}

/// A back end as a baseline's router knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct BaselineBackEnd {
    /// Which back end.
    pub id: BackEndId,
    /// Where requests go.
    pub address: SocketAddr,
    /// Where its health is polled.
    pub control_address: SocketAddr,
    /// Connections that this router may open: its share of what the back end
    /// accepts.
    pub connections: usize,
}

impl BaselineRouterSettings {
    /// Epoch under which this life's view is recorded.
    pub fn epoch(&self) -> Epoch {
        Epoch(Revision::new(Generation(self.life), self.number + 1))
    }
}
