//! Identifiers of regions, zones, machines, routers, services, back ends and
//! sessions.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub String);

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                $name(text.to_owned())
            }
        }
    };
}

text_id!(
    /// Name of a region, for example `luzon`.
    RegionName
);
text_id!(
    /// Name of a zone within a region.
    ZoneName
);
text_id!(
    /// Name of a machine in the platform's machine list. The router on a
    /// machine that was replaced under the same name has another [`RouterId`].
    MachineName
);

/// Number of a consensus group within a region.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct GroupId(pub u32);

impl fmt::Display for GroupId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// Number that tells the successive processes of one name apart.
///
/// It is the wall-clock time of the process start in milliseconds, so that it
/// is larger than that of every earlier process of the same name.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// Id of a router process, drawn at random at its start and never reused. A
/// restarted process is a different router.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RouterId(pub u64);

impl fmt::Display for RouterId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// Description of a router, exchanged between routers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RouterIdentity {
    /// Id of the process.
    pub id: RouterId,
    /// Machine that the router runs on.
    pub machine: MachineName,
    /// Incarnation of the router on that machine.
    pub incarnation: Incarnation,
    /// Region of the machine.
    pub region: RegionName,
    /// Zone of the machine.
    pub zone: ZoneName,
    /// Address for other routers.
    pub peer_address: SocketAddr,
    /// Address for callers.
    pub caller_address: SocketAddr,
}

/// Id of a service: its namespace and name.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct ServiceId {
    /// Namespace, owned by one partner.
    pub namespace: String,
    /// Name within the namespace.
    pub name: String,
}

/// Id of a back end: its namespace and name.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct BackEndId {
    /// Namespace, owned by one partner.
    pub namespace: String,
    /// Name within the namespace.
    pub name: String,
}

/// Error for text that is not of the form `namespace/name`.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[error("'{0}' is not a namespaced name; write namespace/name")]
pub struct ParseNameError(String);

macro_rules! namespaced {
    ($name:ident) => {
        impl $name {
            /// Builds the id from a namespace and a name.
            pub fn new(namespace: impl Into<String>, name: impl Into<String>) -> Self {
                $name {
                    namespace: namespace.into(),
                    name: name.into(),
                }
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{}/{}", self.namespace, self.name)
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> String {
                id.to_string()
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseNameError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                match text.split_once('/') {
                    Some((namespace, name)) => Ok($name::new(namespace, name)),
                    None => Err(ParseNameError(text)),
                }
            }
        }
    };
}

namespaced!(ServiceId);
namespaced!(BackEndId);

/// Id of a session, which belongs to one incarnation of a back end.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SessionId {
    /// Back end of the session.
    pub back_end: BackEndId,
    /// Incarnation of the back end's process.
    pub incarnation: Incarnation,
}

impl fmt::Display for SessionId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}@{}", self.back_end, self.incarnation.0)
    }
}
