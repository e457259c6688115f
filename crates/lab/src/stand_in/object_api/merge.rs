//! Computes the new version of an object from its current version and a write.

use serde_json::{Value, json};

use super::error::ApiError;
use super::operation::metadata_text;
use super::path::ObjectPath;

/// Returns `wanted` with the status and the server-managed metadata of
/// `current`. The generation grows only if the spec changes.
pub(super) fn with_new_spec(current: &Value, wanted: &Value) -> Value {
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

/// Returns `current` with the status of `wanted`.
pub(super) fn with_new_status(current: &Value, wanted: &Value) -> Value {
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

/// Checks that the `resourceVersion` and the `format_uid` in the write, if given,
/// match the current object.
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

/// Returns the uid of the object with this creation number.
pub(super) fn format_uid(number: u64) -> String {
    format!("00000000-0000-4000-8000-{number:012x}")
}
