//! Parsing of configuration objects from JSON.

use std::net::SocketAddr;

use serde::de::DeserializeOwned;
use serde_json::Value;

use super::problem::{ObjectReference, Problem, ProblemKind};

/// Fields of `spec` that hold an IP address with a port.
const ADDRESS_FIELDS: [&str; 3] = ["address", "controlAddress", "founderAddress"];

/// Parses one object. Objects of a list are parsed one by one, so that a
/// malformed object of one partner does not hide the others.
///
/// # Errors
///
/// Returns a problem with the first field that cannot be parsed.
pub fn parse_object<K: DeserializeOwned>(kind: &str, value: &Value) -> Result<K, Box<Problem>> {
    let object = reference_of(kind, value);
    if let Some((field, address)) = find_invalid_address(value) {
        let kind = ProblemKind::NotAnAddress(address);
        return Err(Problem::boxed(object, field, kind));
    }
    serde_path_to_error::deserialize(value).map_err(|error| {
        let field = error.path().to_string();
        let kind = ProblemKind::Unreadable(error.into_inner().to_string());
        Problem::boxed(object, field, kind)
    })
}

/// Builds a reference to an object from its JSON metadata.
pub(crate) fn reference_of(kind: &str, value: &Value) -> ObjectReference {
    let text = |name: &str| {
        let field = &value["metadata"][name];
        field.as_str().unwrap_or_default()
    };
    ObjectReference::new(kind, text("namespace"), text("name"))
}

/// Returns the path and value of the first address field that is not an IP
/// address with a port.
fn find_invalid_address(value: &Value) -> Option<(String, String)> {
    ADDRESS_FIELDS.iter().find_map(|name| {
        let text = value["spec"].get(name)?.as_str()?;
        match text.parse::<SocketAddr>() {
            Ok(_) => None,
            Err(_) => Some((format!("spec.{name}"), text.to_owned())),
        }
    })
}
