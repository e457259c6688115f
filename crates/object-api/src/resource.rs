//! Object kinds, their paths, and objects as returned by the store.

use std::fmt;

use kube_core::{ApiResource, GroupVersionKind, ObjectMeta, Resource};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use threadledge_types::objects::{
    API_GROUP, API_GROUP_VERSION, BACK_END_KIND, BACK_END_PLURAL, BackEndObject,
    KEYED_SERVICE_KIND, KEYED_SERVICE_PLURAL, KeyedServiceObject, ROUTER_GROUP_KIND,
    ROUTER_GROUP_PLURAL, RouterGroupObject,
};
use threadledge_types::validation::{Problem, parse_object};

/// A kind of object that the store holds.
pub trait ApiObject: Clone + Serialize + DeserializeOwned + Send + Sync + 'static {
    /// Kind, for example `BackEnd`.
    const KIND: &'static str;
    /// Plural name in paths, for example `backends`.
    const PLURAL: &'static str;

    /// Returns the metadata of the object.
    fn metadata(&self) -> &ObjectMeta;

    /// Returns the resource description that `kube_core` uses.
    fn resource() -> ApiResource {
        let kind = GroupVersionKind::gvk(API_GROUP, API_GROUP_VERSION, Self::KIND);
        ApiResource::from_gvk_with_plural(&kind, Self::PLURAL)
    }
}

macro_rules! api_object {
    ($object:ty, $kind:expr, $plural:expr) => {
        impl ApiObject for $object {
            const KIND: &'static str = $kind;
            const PLURAL: &'static str = $plural;

            fn metadata(&self) -> &ObjectMeta {
                &self.metadata
            }
        }
    };
}

api_object!(BackEndObject, BACK_END_KIND, BACK_END_PLURAL);
api_object!(KeyedServiceObject, KEYED_SERVICE_KIND, KEYED_SERVICE_PLURAL);
api_object!(RouterGroupObject, ROUTER_GROUP_KIND, ROUTER_GROUP_PLURAL);

/// Namespaces that a list or a watch covers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Scope {
    /// All namespaces.
    #[default]
    All,
    /// One namespace.
    Namespace(String),
}

impl Scope {
    /// Returns the path of the collection of `K` within this scope.
    pub fn path<K: ApiObject>(&self) -> String {
        let namespace = match self {
            Scope::All => None,
            Scope::Namespace(namespace) => Some(namespace.as_str()),
        };
        // `DynamicObject` stands for any kind; only the resource determines the
        // path.
        kube_core::DynamicObject::url_path(&K::resource(), namespace)
    }
}

/// Namespace and name of an object of a known kind.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ObjectKey {
    /// Namespace.
    pub namespace: String,
    /// Name within the namespace.
    pub name: String,
}

impl ObjectKey {
    /// Creates a key from namespace and name.
    pub fn new(namespace: impl Into<String>, name: impl Into<String>) -> Self {
        ObjectKey {
            namespace: namespace.into(),
            name: name.into(),
        }
    }

    /// Returns the key of the object with this `metadata`.
    pub fn of(metadata: &ObjectMeta) -> Self {
        ObjectKey {
            namespace: metadata.namespace.clone().unwrap_or_default(),
            name: metadata.name.clone().unwrap_or_default(),
        }
    }
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.namespace, self.name)
    }
}

/// An object returned by the store. Its metadata was readable; its content may
/// be unreadable without affecting other objects.
#[derive(Clone, Debug)]
pub struct StoredObject<K> {
    /// Namespace and name.
    pub key: ObjectKey,
    /// Identity of the object; an object created again under the same name has
    /// another.
    pub uid: String,
    /// Version of the store that last changed the object.
    pub resource_version: u64,
    /// Number of changes to the specification of the object.
    pub generation: i64,
    /// The object, or the reason why it cannot be read.
    pub content: Result<K, Box<Problem>>,
}

impl<K: ApiObject> StoredObject<K> {
    /// Parses an object from the JSON of the store.
    ///
    /// # Errors
    ///
    /// Name, identity or version violate the conventions of the object API; the
    /// text describes how. An operator cannot cause that.
    pub fn read(value: &Value) -> Result<Self, String> {
        let metadata = value.get("metadata").unwrap_or(&Value::Null);
        let store_metadata =
            StoreMetadata::deserialize(metadata).map_err(|error| format!("metadata: {error}"))?;
        Ok(StoredObject {
            key: ObjectKey::new(store_metadata.namespace, store_metadata.name),
            uid: store_metadata.uid,
            resource_version: parse_version(&store_metadata.resource_version)?,
            generation: store_metadata.generation,
            content: parse_object(K::KIND, value),
        })
    }
}

/// Metadata that the store itself sets. All other metadata is set by operators
/// and parsed with the content.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct StoreMetadata {
    name: String,
    #[serde(default)]
    namespace: String,
    #[serde(default)]
    uid: String,
    resource_version: String,
    #[serde(default)]
    generation: i64,
}

/// Parses a version of the store. Versions are compared as numbers, which the
/// object API allows since Kubernetes 1.35 and which already worked with every
/// earlier store.
///
/// # Errors
///
/// The text is not a number.
pub fn parse_version(text: &str) -> Result<u64, String> {
    text.parse()
        .map_err(|_| format!("resourceVersion '{text}' is not a number"))
}
