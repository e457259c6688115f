//! Writes, checked against the conventions before they reach the store.

use kube_core::ObjectMeta;
use serde::Deserialize;
use serde_json::Value;
use threadledge_types::objects::API_VERSION;

use super::error::ApiError;
use super::path::{Collection, ObjectPath};

/// Which part of an object a write concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteTarget {
    /// A new object.
    Create,
    /// Specification, labels and annotations.
    Spec,
    /// Status.
    Status,
    /// The whole object goes.
    Delete,
}

/// One write.
#[derive(Clone, Debug, PartialEq)]
pub struct Write {
    /// Which object.
    pub path: ObjectPath,
    /// Which part of it.
    pub target: WriteTarget,
    /// The object as wanted. For a deletion only the conditions in its
    /// metadata count.
    pub object: Value,
    /// Wall time in the form of the object API.
    pub time: String,
}

impl Write {
    /// A new object in a collection.
    ///
    /// # Errors
    ///
    /// The object breaks the conventions or belongs elsewhere.
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

    /// A new form of an object, or of its status.
    ///
    /// # Errors
    ///
    /// The object breaks the conventions or has another name.
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

    /// A deletion. `options` may carry `preconditions`.
    pub fn delete(path: ObjectPath, options: &Value, time: String) -> Write {
        let conditions = options.get("preconditions").cloned().unwrap_or_default();
        Write {
            path,
            target: WriteTarget::Delete,
            object: serde_json::json!({ "metadata": conditions }),
            time,
        }
    }

    /// Version that the write expects, if it names one.
    pub fn expected_version(&self) -> Option<u64> {
        metadata_text(&self.object, "resourceVersion")?.parse().ok()
    }
}

/// A text of an object's metadata, if it is there and not empty.
pub fn metadata_text<'a>(object: &'a Value, field: &str) -> Option<&'a str> {
    let text = object.get("metadata")?.get(field)?.as_str()?;
    (!text.is_empty()).then_some(text)
}

/// Checks what the object API checks of every object. The specification is
/// left to the routers, so that a bad one reaches them.
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
