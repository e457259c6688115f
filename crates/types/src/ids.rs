//! Identifiers.

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
    /// Name of a machine in the platform's list. A machine that is replaced
    /// under the same name runs a process with another [`RouterId`].
    MachineName
);

/// One consensus group within a region.
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

/// One life of a process: a number drawn at its start, larger than that of
/// every earlier life of the same name (milliseconds of wall time at start).
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// One router process. Drawn at random at process start and never used again:
/// a process that restarts is another router.
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

/// What routers tell each other about themselves.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RouterIdentity {
    /// This process.
    pub id: RouterId,
    /// The machine it runs on.
    pub machine: MachineName,
    /// Which life of that machine's router this is.
    pub incarnation: Incarnation,
    /// Region of the machine.
    pub region: RegionName,
    /// Zone of the machine.
    pub zone: ZoneName,
    /// Address on which other routers reach it.
    pub peer_address: SocketAddr,
    /// Address on which callers reach it.
    pub caller_address: SocketAddr,
}

/// A namespaced object name: one partner owns each namespace.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct ServiceId {
    /// Namespace, owned by one partner.
    pub namespace: String,
    /// Name within the namespace.
    pub name: String,
}

/// A namespaced back end name.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct BackEndId {
    /// Namespace, owned by one partner.
    pub namespace: String,
    /// Name within the namespace.
    pub name: String,
}

/// The text is not `namespace/name`.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[error("'{0}' is not a namespaced name; write namespace/name")]
pub struct ParseNameError(String);

macro_rules! namespaced {
    ($name:ident) => {
        impl $name {
            /// Builds the identifier from its parts.
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

/// One session: a back end process in one of its lives.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SessionId {
    /// The back end.
    pub back_end: BackEndId,
    /// Which life of its process.
    pub incarnation: Incarnation,
}

impl fmt::Display for SessionId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}@{}", self.back_end, self.incarnation.0)
    }
}
