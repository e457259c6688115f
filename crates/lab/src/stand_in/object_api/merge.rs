//! How a write changes an object.

use serde_json::{Value, json};

use super::error::ApiError;
use super::operation::metadata_text;
use super::path::ObjectPath;

/// The object with a new specification and metadata, and its status as it is.
/// Only a change of the specification makes a new generation.
pub(super) fn replaced_spec(current: &Value, wanted: &Value) -> Value {
    let mut next = wanted.clone();
    let fields = ["uid", "generation", "creationTimestamp", "resourceVersion"];
    for field in fields {
        next["metadata"][field] = current["metadata"][field].clone();
    }
    if let Some(fields) = next.as_object_mut() {
        fields.remove("status");
    }
    if let Some(status) = current.get("status") {
        next["status"] = status.clone();
    }
    if current.get("spec") != wanted.get("spec") {
        let generation = current["metadata"]["generation"].as_i64();
        next["metadata"]["generation"] = json!(generation.unwrap_or_default() + 1);
    }
    next
}

/// The object with a new status and all else as it is.
pub(super) fn replaced_status(current: &Value, wanted: &Value) -> Value {
    let mut next = current.clone();
    match wanted.get("status") {
        Some(status) => next["status"] = status.clone(),
        None => {
            next.as_object_mut()
                .and_then(|fields| fields.remove("status"));
        }
    }
    next
}

/// A version or an identity that the writer names has to be the current one.
pub(super) fn check_conditions(
    path: &ObjectPath,
    current: &Value,
    wanted: &Value,
) -> Result<(), ApiError> {
    for field in ["resourceVersion", "uid"] {
        let expected = metadata_text(wanted, field);
        if expected.is_some() && expected != metadata_text(current, field) {
            return Err(ApiError::conflict(path));
        }
    }
    Ok(())
}

/// Identity of the object that was created as this number.
pub(super) fn uid(number: u64) -> String {
    format!("00000000-0000-4000-8000-{number:012x}")
}
