//! Kinds of objects, their paths, and objects as the store returns them.

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

    /// The object's metadata.
    fn metadata(&self) -> &ObjectMeta;

    /// The resource in the library's terms.
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

/// Which namespaces a list or a watch covers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Scope {
    /// Every namespace.
    #[default]
    All,
    /// One namespace.
    Namespace(String),
}

impl Scope {
    /// Path of the collection of `K` within this scope.
    pub fn path<K: ApiObject>(&self) -> String {
        let namespace = match self {
            Scope::All => None,
            Scope::Namespace(namespace) => Some(namespace.as_str()),
        };
        // Any object of the library gives the path; the resource decides it.
        kube_core::DynamicObject::url_path(&K::resource(), namespace)
    }
}

/// Identity of an object of a known kind.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ObjectKey {
    /// Namespace.
    pub namespace: String,
    /// Name within the namespace.
    pub name: String,
}

impl ObjectKey {
    /// Builds a key from its parts.
    pub fn new(namespace: impl Into<String>, name: impl Into<String>) -> Self {
        ObjectKey {
            namespace: namespace.into(),
            name: name.into(),
        }
    }

    /// Key of the object that carries `metadata`.
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

/// An object as the store returned it. Its metadata could be read; its
/// content may be unreadable, which hides no other object.
#[derive(Clone, Debug)]
pub struct StoredObject<K> {
    /// Which object.
    pub key: ObjectKey,
    /// Identity over time: a name that is created again has another.
    pub uid: String,
    /// Version of the store that last changed the object.
    pub resource_version: u64,
    /// Number of changes of its specification.
    pub generation: i64,
    /// The object, or why it cannot be read.
    pub content: Result<K, Box<Problem>>,
}

impl<K: ApiObject> StoredObject<K> {
    /// Reads an object out of the store's JSON.
    ///
    /// # Errors
    ///
    /// Name, identity or version break the conventions of the object API; the
    /// text says how. An operator cannot cause that.
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

/// The metadata that the store itself sets. All other metadata is an
/// operator's and is read with the content.
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

/// Reads a version of the store. Versions are compared as numbers, which the
/// object API allows since Kubernetes 1.35 and every store before it kept.
///
/// # Errors
///
/// The text is not a number.
pub fn parse_version(text: &str) -> Result<u64, String> {
    text.parse()
        .map_err(|_| format!("resourceVersion '{text}' is not a number"))
}
