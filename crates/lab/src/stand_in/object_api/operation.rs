//! Writes, validated before they reach the store.

use kube_core::ObjectMeta;
use serde::Deserialize;
use serde_json::Value;
use threadledge_types::objects::API_VERSION;

use super::error::ApiError;
use super::path::{Collection, ObjectPath};

/// The part of an object that a write changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteTarget {
    /// A new object.
    Create,
    /// Spec, labels and annotations.
    Spec,
    /// The status subresource.
    Status,
    /// The whole object, which is deleted.
    Delete,
}

/// One validated write.
#[derive(Clone, Debug, PartialEq)]
pub struct Write {
    /// Path of the object.
    pub path: ObjectPath,
    /// The part that changes.
    pub target: WriteTarget,
    /// The desired object. For a deletion, only the preconditions in its
    /// metadata are used.
    pub object: Value,
    /// Wall-clock time in the format of the object API.
    pub time: String,
}

impl Write {
    /// Creates an object in a collection.
    ///
    /// # Errors
    ///
    /// Fails if the object is invalid or does not belong to the collection.
    pub fn create(
        collection: &Collection,
        mut object: Value,
        time: String,
    ) -> Result<Write, ApiError> {
        let named = metadata_text(&object, "namespace").map(str::to_owned);
        let namespace = collection.namespace.clone().or(named);
        let namespace =
            namespace.ok_or_else(|| ApiError::invalid("metadata.namespace is missing"))?;
        let name = metadata_text(&object, "name").map(str::to_owned);
        let name = name.ok_or_else(|| ApiError::invalid("metadata.name is missing"))?;
        let path = ObjectPath {
            resource: collection.resource,
            namespace,
            name,
        };
        check(&path, &mut object)?;
        Ok(Write {
            path,
            target: WriteTarget::Create,
            object,
            time,
        })
    }

    /// Replaces an object or its status.
    ///
    /// # Errors
    ///
    /// Fails if the object is invalid or does not match `path`.
    pub fn replace(
        path: ObjectPath,
        target: WriteTarget,
        mut object: Value,
        time: String,
    ) -> Result<Write, ApiError> {
        check(&path, &mut object)?;
        Ok(Write {
            path,
            target,
            object,
            time,
        })
    }

    /// Deletes an object. `options` may contain `preconditions`.
    pub fn delete(path: ObjectPath, options: &Value, time: String) -> Write {
        let conditions = options.get("preconditions").cloned().unwrap_or_default();
        Write {
            path,
            target: WriteTarget::Delete,
            object: serde_json::json!({ "metadata": conditions }),
            time,
        }
    }

    /// Returns the version that the write expects, if it names one.
    pub fn expected_version(&self) -> Option<u64> {
        metadata_text(&self.object, "resourceVersion")?.parse().ok()
    }
}

/// Returns a string field of an object's metadata, or `None` if it is missing
/// or empty.
pub fn metadata_text<'a>(object: &'a Value, field: &str) -> Option<&'a str> {
    let text = object.get("metadata")?.get(field)?.as_str()?;
    (!text.is_empty()).then_some(text)
}

/// Runs the checks that the object API makes on every object. The content of
/// the spec is not checked, so that invalid specs reach the routers.
fn check(path: &ObjectPath, object: &mut Value) -> Result<(), ApiError> {
    if let Err(error) = ObjectMeta::deserialize(&object["metadata"]) {
        return Err(ApiError::invalid(format!("metadata: {error}")));
    }
    expect(&object["apiVersion"], API_VERSION, "apiVersion")?;
    expect(&object["kind"], path.resource.kind, "kind")?;
    expect(&object["metadata"]["name"], &path.name, "metadata.name")?;
    if metadata_text(object, "namespace").is_none() {
        object["metadata"]["namespace"] = Value::from(path.namespace.as_str());
    }
    let namespace = &object["metadata"]["namespace"];
    expect(namespace, &path.namespace, "metadata.namespace")?;
    if !object["spec"].is_object() {
        return Err(ApiError::invalid("spec is missing"));
    }
    Ok(())
}

fn expect(found: &Value, wanted: &str, field: &str) -> Result<(), ApiError> {
    if found.as_str() == Some(wanted) {
        return Ok(());
    }
    let message = format!("{field} is {found}, expected '{wanted}'");
    Err(ApiError::invalid(message))
}
