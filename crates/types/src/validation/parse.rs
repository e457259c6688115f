//! Reads one object out of JSON.

use std::net::SocketAddr;

use serde::de::DeserializeOwned;
use serde_json::Value;

use super::problem::{ObjectReference, Problem, ProblemKind};

/// Fields that hold an IP address with a port.
const ADDRESS_FIELDS: [&str; 3] = ["address", "controlAddress", "founderAddress"];

/// Reads an object out of JSON. Objects of a list are read one by one, so
/// that an object of one partner that cannot be read hides no other.
///
/// # Errors
///
/// The first field that cannot be read; the parser stops there.
pub fn parse_object<K: DeserializeOwned>(kind: &str, value: &Value) -> Result<K, Box<Problem>> {
    let object = reference_of(kind, value);
    if let Some((field, address)) = not_an_address(value) {
        let kind = ProblemKind::NotAnAddress(address);
        return Err(Problem::boxed(object, field, kind));
    }
    serde_path_to_error::deserialize(value).map_err(|error| {
        let field = error.path().to_string();
        let kind = ProblemKind::Unreadable(error.into_inner().to_string());
        Problem::boxed(object, field, kind)
    })
}

/// Names an object by what its metadata holds.
pub(crate) fn reference_of(kind: &str, value: &Value) -> ObjectReference {
    let text = |name: &str| {
        let field = &value["metadata"][name];
        field.as_str().unwrap_or_default()
    };
    ObjectReference::new(kind, text("namespace"), text("name"))
}

fn not_an_address(value: &Value) -> Option<(String, String)> {
    ADDRESS_FIELDS.iter().find_map(|name| {
        let text = value["spec"].get(name)?.as_str()?;
        match text.parse::<SocketAddr>() {
            Ok(_) => None,
            Err(_) => Some((format!("spec.{name}"), text.to_owned())),
        }
    })
}
