//! Paths and queries of the object API.

use std::collections::BTreeMap;
use std::fmt;

use threadledge_types::objects::{
    API_VERSION, BACK_END_KIND, BACK_END_PLURAL, KEYED_SERVICE_KIND, KEYED_SERVICE_PLURAL,
    ROUTER_GROUP_KIND, ROUTER_GROUP_PLURAL,
};

use super::error::ApiError;

const NAMESPACES: &str = "namespaces";
const STATUS: &str = "status";

/// A resource type that is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Resource {
    /// Plural name used in paths.
    pub plural: &'static str,
    /// Kind used in objects.
    pub kind: &'static str,
}

/// All resource types that are served.
pub const RESOURCES: [Resource; 3] = [
    Resource {
        plural: BACK_END_PLURAL,
        kind: BACK_END_KIND,
    },
    Resource {
        plural: KEYED_SERVICE_PLURAL,
        kind: KEYED_SERVICE_KIND,
    },
    Resource {
        plural: ROUTER_GROUP_PLURAL,
        kind: ROUTER_GROUP_KIND,
    },
];

impl Resource {
    /// Returns the resource type of a kind, if it is served.
    pub fn from_kind(kind: &str) -> Option<Resource> {
        RESOURCES.into_iter().find(|resource| resource.kind == kind)
    }

    fn from_plural(plural: &str) -> Option<Resource> {
        RESOURCES
            .into_iter()
            .find(|resource| resource.plural == plural)
    }
}

/// Identifies one object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ObjectPath {
    /// Resource type.
    pub resource: Resource,
    /// Namespace.
    pub namespace: String,
    /// Name.
    pub name: String,
}

impl fmt::Display for ObjectPath {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ObjectPath {
            resource,
            namespace,
            name,
        } = self;
        write!(formatter, "{} {namespace}/{name}", resource.kind)
    }
}

/// A collection: all objects of one resource type, in one namespace or in all.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Collection {
    /// Resource type of its objects.
    pub resource: Resource,
    /// Namespace; `None` for all.
    pub namespace: Option<String>,
}

impl Collection {
    /// Returns whether an object belongs to the collection.
    pub fn contains(&self, path: &ObjectPath) -> bool {
        let namespace_fits = match &self.namespace {
            Some(namespace) => *namespace == path.namespace,
            None => true,
        };
        self.resource == path.resource && namespace_fits
    }
}

/// The target that a request path identifies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// A collection.
    Collection(Collection),
    /// An object.
    Object(ObjectPath),
    /// The status of an object.
    Status(ObjectPath),
}

impl Target {
    /// Parses a request path.
    ///
    /// # Errors
    ///
    /// Fails with 404 if nothing is served there.
    pub fn parse(path: &str) -> Result<Target, ApiError> {
        let unknown = || ApiError::not_found(format!("path {path}"));
        let prefix = format!("/apis/{API_VERSION}/");
        let rest = path.strip_prefix(&prefix).ok_or_else(unknown)?;
        let segments: Vec<&str> = rest.split('/').collect();
        let (namespace, segments) = match segments.as_slice() {
            [NAMESPACES, namespace, rest @ ..] => (Some((*namespace).to_owned()), rest),
            rest => (None, rest),
        };
        let [plural, rest @ ..] = segments else {
            return Err(unknown());
        };
        let resource = Resource::from_plural(plural).ok_or_else(unknown)?;
        let object = |namespace: String, name: &str| ObjectPath {
            resource,
            namespace,
            name: name.to_owned(),
        };
        match (namespace, rest) {
            (namespace, []) => Ok(Target::Collection(Collection {
                resource,
                namespace,
            })),
            (Some(namespace), [name]) => Ok(Target::Object(object(namespace, name))),
            (Some(namespace), [name, STATUS]) => Ok(Target::Status(object(namespace, name))),
            _ => Err(unknown()),
        }
    }

    /// Returns the namespace of the target, or `None` for all namespaces.
    pub fn namespace(&self) -> Option<&str> {
        match self {
            Target::Collection(collection) => collection.namespace.as_deref(),
            Target::Object(path) | Target::Status(path) => Some(&path.namespace),
        }
    }
}

/// Query parameters of a list or a watch.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Query {
    parameters: BTreeMap<String, String>,
}

impl Query {
    /// Collects decoded pairs; the last of several equal names wins.
    pub fn new<'a, N, V>(pairs: impl IntoIterator<Item = (N, V)>) -> Self
    where
        N: Into<std::borrow::Cow<'a, str>>,
        V: Into<std::borrow::Cow<'a, str>>,
    {
        let owned = |(name, value): (N, V)| {
            let name: std::borrow::Cow<'a, str> = name.into();
            let value: std::borrow::Cow<'a, str> = value.into();
            (name.into_owned(), value.into_owned())
        };
        Query {
            parameters: pairs.into_iter().map(owned).collect(),
        }
    }

    /// Returns a parameter, or `None` if it is missing or empty.
    pub fn text(&self, name: &str) -> Option<&str> {
        let value = self.parameters.get(name)?;
        (!value.is_empty()).then_some(value)
    }

    /// Returns whether a parameter is `true` or `1`.
    pub fn flag(&self, name: &str) -> bool {
        matches!(self.text(name), Some("true" | "1"))
    }

    /// Parses a parameter as a number; `None` if it is missing.
    ///
    /// # Errors
    ///
    /// Fails if the parameter is not a number.
    pub fn number(&self, name: &str) -> Result<Option<u64>, ApiError> {
        let Some(text) = self.text(name) else {
            return Ok(None);
        };
        let number = text.parse().map_err(|_| {
            let message = format!("{name}: '{text}' is not a number");
            ApiError::bad_request(message)
        })?;
        Ok(Some(number))
    }
}
