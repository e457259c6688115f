//! One thing that is wrong with an object, where it stands, and the remedy.

use std::fmt;
use std::net::SocketAddr;

use k8s_openapi::apimachinery::pkg::apis::meta::v1::ObjectMeta;
use serde::{Deserialize, Serialize};

use crate::ids::{BackEndId, ServiceId};

/// Names the object that a [`Problem`] is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ObjectReference {
    /// Kind, for example `BackEnd`.
    pub kind: String,
    /// Namespace; empty if the object has none.
    pub namespace: String,
    /// Name; empty if the object has none.
    pub name: String,
}

impl ObjectReference {
    /// Builds a reference from its parts.
    pub fn new(kind: &str, namespace: &str, name: &str) -> Self {
        ObjectReference {
            kind: kind.to_owned(),
            namespace: namespace.to_owned(),
            name: name.to_owned(),
        }
    }

    /// Refers to the object that carries `metadata`.
    pub fn from_metadata(kind: &str, metadata: &ObjectMeta) -> Self {
        let namespace = metadata.namespace.as_deref().unwrap_or_default();
        let name = metadata.name.as_deref().unwrap_or_default();
        ObjectReference::new(kind, namespace, name)
    }
}

impl fmt::Display for ObjectReference {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {}/{}", self.kind, self.namespace, self.name)
    }
}

/// One thing that is wrong with an object.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
#[error("{object}: {field}: {kind}; {}", kind.remedy())]
pub struct Problem {
    /// Which object.
    pub object: ObjectReference,
    /// Path of the field, for example `spec.routes[2].key`.
    pub field: String,
    /// What is wrong with it.
    pub kind: ProblemKind,
}

/// What is wrong with a field.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProblemKind {
    /// The field does not parse.
    #[error("cannot be read: {0}")]
    Unreadable(String),
    /// A field that must have a value has none.
    #[error("is missing or empty")]
    Empty,
    /// Not a name by the rules of the object API.
    #[error("'{0}' is not a valid name")]
    InvalidName(String),
    /// The namespace belongs to the routers.
    #[error("namespace '{0}' belongs to the routers")]
    ReservedNamespace(String),
    /// The store's version of the object is not a number.
    #[error("'{0}' is not a version of the store")]
    InvalidVersion(String),
    /// A label's key or value breaks the rules of the object API.
    #[error("'{0}' is not a valid label")]
    InvalidLabel(String),
    /// A selector that cannot be evaluated.
    #[error("the selector cannot be evaluated: {0}")]
    InvalidSelector(String),
    /// Not an IP address with a port.
    #[error("'{0}' is not an IP address with a port")]
    NotAnAddress(String),
    /// An address that no request can be sent to.
    #[error("no request can be sent to '{0}'")]
    UnusableAddress(String),
    /// A number outside its range.
    #[error("{value} is outside {least} to {most}")]
    OutOfRange {
        /// The number.
        value: String,
        /// Least allowed.
        least: String,
        /// Most allowed.
        most: String,
    },
    /// More entries than allowed.
    #[error("{count} entries are more than {most}")]
    TooMany {
        /// Entries there are.
        count: usize,
        /// Most allowed.
        most: usize,
    },
    /// Fewer connections than slots.
    #[error("{connections} connections cannot fill {slots} slots")]
    FewerConnectionsThanSlots {
        /// Connections of the back end.
        connections: u32,
        /// Slots of the back end.
        slots: u32,
    },
    /// Not a host name in lower case without port.
    #[error("'{0}' is not a host name in lower case without port")]
    InvalidHost(String),
    /// The host belongs to another service.
    #[error("host '{host}' belongs to {holder}")]
    HostClaimed {
        /// The host.
        host: String,
        /// Service whose claim was accepted first.
        holder: ServiceId,
    },
    /// The address belongs to another back end.
    #[error("address {address} belongs to {holder}")]
    AddressClaimed {
        /// The address.
        address: SocketAddr,
        /// Back end whose claim was accepted first.
        holder: BackEndId,
    },
    /// No back end of the namespace has the labels.
    #[error("no back end of the namespace is selected")]
    NothingSelected,
    /// Not the version of the object API that is served.
    #[error("{0} is not threadledge.dev/v1")]
    UnknownVersion(String),
    /// Not a kind of threadledge object.
    #[error("'{0}' is not a kind of threadledge object")]
    UnknownKind(String),
    /// The same value stands twice.
    #[error("'{0}' stands more than once")]
    Duplicate(String),
    /// Not an absolute path prefix.
    #[error("'{0}' is not a path prefix")]
    InvalidPathPrefix(String),
    /// Not an HTTP method.
    #[error("'{0}' is not an HTTP method")]
    InvalidMethod(String),
    /// Not a header name, or one that does not reach a back end.
    #[error("'{0}' is not a header that can carry a key")]
    InvalidHeader(String),
    /// An earlier route takes every request of this one.
    #[error("route '{earlier}' takes every request of this one")]
    ShadowedRoute {
        /// The earlier route.
        earlier: String,
    },
}

impl ProblemKind {
    /// Reason of the `Accepted` condition, in CamelCase.
    pub const fn reason(&self) -> &'static str {
        match self {
            ProblemKind::Unreadable(_) => "Unreadable",
            ProblemKind::Empty => "MissingField",
            ProblemKind::InvalidName(_) => "InvalidName",
            ProblemKind::ReservedNamespace(_) => "ReservedNamespace",
            ProblemKind::InvalidVersion(_) => "InvalidVersion",
            ProblemKind::InvalidLabel(_) => "InvalidLabel",
            ProblemKind::InvalidSelector(_) => "InvalidSelector",
            ProblemKind::NotAnAddress(_) => "NotAnAddress",
            ProblemKind::UnusableAddress(_) => "UnusableAddress",
            ProblemKind::OutOfRange { .. } => "OutOfRange",
            ProblemKind::TooMany { .. } => "TooMany",
            ProblemKind::FewerConnectionsThanSlots { .. } => "FewerConnectionsThanSlots",
            ProblemKind::InvalidHost(_) => "InvalidHost",
            ProblemKind::HostClaimed { .. } => "HostClaimed",
            ProblemKind::AddressClaimed { .. } => "AddressClaimed",
            ProblemKind::NothingSelected => "NothingSelected",
            ProblemKind::UnknownVersion(_) => "UnknownVersion",
            ProblemKind::UnknownKind(_) => "UnknownKind",
            ProblemKind::Duplicate(_) => "Duplicate",
            ProblemKind::InvalidPathPrefix(_) => "InvalidPathPrefix",
            ProblemKind::InvalidMethod(_) => "InvalidMethod",
            ProblemKind::InvalidHeader(_) => "InvalidHeader",
            ProblemKind::ShadowedRoute { .. } => "ShadowedRoute",
        }
    }

    /// What an operator does about it.
    pub const fn remedy(&self) -> &'static str {
        match self {
            ProblemKind::Unreadable(_) => "correct the field by docs/operators/configuration.md",
            ProblemKind::Empty => "give it a value",
            ProblemKind::InvalidName(_) => {
                "use 1 to 63 lower-case letters, digits and '-', beginning and ending with a \
                 letter or digit"
            }
            ProblemKind::ReservedNamespace(_) => "move the object to its partner's namespace",
            ProblemKind::InvalidVersion(_) => "let the store set metadata.resourceVersion",
            ProblemKind::InvalidLabel(_) => {
                "use letters, digits, '-', '_' and '.', at most 63, with an optional DNS prefix \
                 and '/' before the key"
            }
            ProblemKind::InvalidSelector(_) => {
                "use matchLabels, or matchExpressions with In or NotIn and values, or Exists or \
                 DoesNotExist without"
            }
            ProblemKind::NotAnAddress(_) => "write it as 10.1.2.3:8080 or [2001:db8::1]:8080",
            ProblemKind::UnusableAddress(_) => {
                "use the unicast address and the port, not 0, that the server listens on"
            }
            ProblemKind::OutOfRange { .. } => "choose a value within the range",
            ProblemKind::TooMany { .. } => "divide the object into several",
            ProblemKind::FewerConnectionsThanSlots { .. } => {
                "raise connections to at least slots, or lower slots"
            }
            ProblemKind::InvalidHost(_) => "write the name alone, for example quote.example.org",
            ProblemKind::HostClaimed { .. } => {
                "use another host, or remove it from the service that has it"
            }
            ProblemKind::AddressClaimed { .. } => {
                "use the address of this back end, or remove the other one first"
            }
            ProblemKind::NothingSelected => {
                "correct the selector, or add the labels to the back ends meant"
            }
            ProblemKind::UnknownVersion(_) => "set apiVersion to threadledge.dev/v1",
            ProblemKind::UnknownKind(_) => "use BackEnd, KeyedService or RouterGroup",
            ProblemKind::Duplicate(_) => "remove the second one",
            ProblemKind::InvalidPathPrefix(_) => {
                "begin with '/', without query, fragment, spaces, empty or dot segments"
            }
            ProblemKind::InvalidMethod(_) => {
                "use GET, HEAD, POST, PUT, PATCH, DELETE or OPTIONS, in upper case"
            }
            ProblemKind::InvalidHeader(_) => {
                "name a header of the request that is neither of the connection nor threadledge's \
                 own"
            }
            ProblemKind::ShadowedRoute { .. } => "move it before the earlier route, or remove it",
        }
    }
}

impl Problem {
    pub(crate) fn boxed(object: ObjectReference, field: String, kind: ProblemKind) -> Box<Self> {
        Box::new(Problem {
            object,
            field,
            kind,
        })
    }
}

/// Collects the problems of one object.
pub(crate) struct ProblemList {
    object: ObjectReference,
    problems: Vec<Problem>,
}

impl ProblemList {
    pub(crate) fn new(object: ObjectReference) -> Self {
        ProblemList {
            object,
            problems: Vec::new(),
        }
    }

    pub(crate) fn add(&mut self, field: impl Into<String>, kind: ProblemKind) {
        self.problems.push(Problem {
            object: self.object.clone(),
            field: field.into(),
            kind,
        });
    }

    /// Adds a problem unless `value` lies in `least..=most`.
    pub(crate) fn check_range<T>(&mut self, field: impl Into<String>, value: T, least: T, most: T)
    where
        T: PartialOrd + fmt::Display,
    {
        // A NaN is in no range, which the positive form of the test says.
        let in_range = value >= least && value <= most;
        if !in_range {
            let kind = ProblemKind::OutOfRange {
                value: value.to_string(),
                least: least.to_string(),
                most: most.to_string(),
            };
            self.add(field, kind);
        }
    }

    /// Gives `value` if there was no problem, the problems otherwise.
    pub(crate) fn into_result<T>(self, value: T) -> Result<T, Vec<Problem>> {
        if self.problems.is_empty() {
            Ok(value)
        } else {
            Err(self.problems)
        }
    }
}
