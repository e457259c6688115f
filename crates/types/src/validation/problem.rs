//! Validation problems: the object, the field, the error and a remedy.

use std::fmt;
use std::net::SocketAddr;

use k8s_openapi::apimachinery::pkg::apis::meta::v1::ObjectMeta;
use serde::{Deserialize, Serialize};

use crate::ids::{BackEndId, ServiceId};

/// Reference to the object that has a [`Problem`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ObjectReference {
    /// Kind of the object, for example `BackEnd`.
    pub kind: String,
    /// Namespace of the object, or empty if it has none.
    pub namespace: String,
    /// Name of the object, or empty if it has none.
    pub name: String,
}

impl ObjectReference {
    /// Builds a reference from a kind, a namespace and a name.
    pub fn new(kind: &str, namespace: &str, name: &str) -> Self {
        ObjectReference {
            kind: kind.to_owned(),
            namespace: namespace.to_owned(),
            name: name.to_owned(),
        }
    }

    /// Builds a reference to the object with this metadata.
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

/// A validation error in one field of an object.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
#[error("{object}: {field}: {kind}; {}", kind.remedy())]
pub struct Problem {
    /// Object that has the problem.
    pub object: ObjectReference,
    /// Path of the field, for example `spec.routes[2].key`.
    pub field: String,
    /// Kind of the problem.
    pub kind: ProblemKind,
}

/// Kind of validation error.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProblemKind {
    /// The field cannot be parsed.
    #[error("cannot be read: {0}")]
    Unreadable(String),
    /// A required field is missing or empty.
    #[error("is missing or empty")]
    Empty,
    /// The name breaks the rules of the Kubernetes API.
    #[error("'{0}' is not a valid name")]
    InvalidName(String),
    /// The namespace is reserved for the routers.
    #[error("namespace '{0}' belongs to the routers")]
    ReservedNamespace(String),
    /// The store's version of the object is not a number.
    #[error("'{0}' is not a version of the store")]
    InvalidVersion(String),
    /// The key or value of a label breaks the rules of the Kubernetes API.
    #[error("'{0}' is not a valid label")]
    InvalidLabel(String),
    /// The selector cannot be evaluated.
    #[error("the selector cannot be evaluated: {0}")]
    InvalidSelector(String),
    /// The text is not an IP address with a port.
    #[error("'{0}' is not an IP address with a port")]
    NotAnAddress(String),
    /// The address cannot be a destination of requests.
    #[error("no request can be sent to '{0}'")]
    UnusableAddress(String),
    /// The number is outside its range.
    #[error("{value} is outside {least} to {most}")]
    OutOfRange {
        /// Value of the field.
        value: String,
        /// Smallest allowed value.
        least: String,
        /// Largest allowed value.
        most: String,
    },
    /// The list has more entries than allowed.
    #[error("{count} entries are more than {most}")]
    TooMany {
        /// Number of entries.
        count: usize,
        /// Largest allowed number.
        most: usize,
    },
    /// The back end has fewer connections than slots.
    #[error("{connections} connections cannot fill {slots} slots")]
    FewerConnectionsThanSlots {
        /// Number of connections.
        connections: u32,
        /// Number of slots.
        slots: u32,
    },
    /// The text is not a host name in lower case without port.
    #[error("'{0}' is not a host name in lower case without port")]
    InvalidHost(String),
    /// The host belongs to another service.
    #[error("host '{host}' belongs to {holder}")]
    HostClaimed {
        /// Host name.
        host: String,
        /// Service that claimed it first.
        holder: ServiceId,
    },
    /// The address belongs to another back end.
    #[error("address {address} belongs to {holder}")]
    AddressClaimed {
        /// Address of the back end.
        address: SocketAddr,
        /// Back end that claimed it first.
        holder: BackEndId,
    },
    /// The selector matches no back end of the namespace.
    #[error("no back end of the namespace is selected")]
    NothingSelected,
    /// `apiVersion` is not the supported one.
    #[error("{0} is not threadledge.dev/v1")]
    UnknownVersion(String),
    /// `kind` is not a kind of threadledge object.
    #[error("'{0}' is not a kind of threadledge object")]
    UnknownKind(String),
    /// The value occurs more than once.
    #[error("'{0}' stands more than once")]
    Duplicate(String),
    /// The text is not an absolute path prefix.
    #[error("'{0}' is not a path prefix")]
    InvalidPathPrefix(String),
    /// The text is not an HTTP method.
    #[error("'{0}' is not an HTTP method")]
    InvalidMethod(String),
    /// The text is not a header name, or the header is not passed to back ends.
    #[error("'{0}' is not a header that can carry a key")]
    InvalidHeader(String),
    /// An earlier route matches every request of this one.
    #[error("route '{earlier}' takes every request of this one")]
    ShadowedRoute {
        /// Name of the earlier route.
        earlier: String,
    },
}

impl ProblemKind {
    /// Returns the reason for the `Accepted` condition, in CamelCase.
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

    /// Returns advice for the operator on how to fix the problem.
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

/// List of the problems of one object.
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

    /// Adds a problem unless `value` lies in `min..=max`.
    pub(crate) fn check_range<T>(&mut self, field: impl Into<String>, value: T, min: T, max: T)
    where
        T: PartialOrd + fmt::Display,
    {
        // Negating the test for being inside also rejects NaN, which is in no
        // range.
        let in_range = value >= min && value <= max;
        if !in_range {
            let kind = ProblemKind::OutOfRange {
                value: value.to_string(),
                least: min.to_string(),
                most: max.to_string(),
            };
            self.add(field, kind);
        }
    }

    /// Returns `value` if the list is empty, the problems otherwise.
    pub(crate) fn into_result<T>(self, value: T) -> Result<T, Vec<Problem>> {
        if self.problems.is_empty() {
            Ok(value)
        } else {
            Err(self.problems)
        }
    }
}
