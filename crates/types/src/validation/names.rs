//! Checks of names, labels and versions by the rules of the Kubernetes API.

use std::collections::BTreeMap;

use k8s_openapi::apimachinery::pkg::apis::meta::v1::ObjectMeta;

use super::problem::{ProblemKind, ProblemList};
use crate::objects::SYSTEM_NAMESPACE;

/// Longest name, label value and label key without its prefix.
const MAX_NAME_LENGTH: usize = 63;
/// Longest DNS name, used for hosts and prefixes of label keys.
const MAX_DNS_NAME_LENGTH: usize = 253;

/// Metadata of an object, as returned by [`check_metadata`].
pub(crate) struct CheckedMetadata {
    pub(crate) namespace: String,
    pub(crate) name: String,
    pub(crate) resource_version: u64,
    pub(crate) generation: i64,
    pub(crate) labels: BTreeMap<String, String>,
}

/// Checks the name, namespace, version and labels of an object. Invalid fields
/// may get default values; the caller then returns the problems and discards
/// the metadata.
pub(crate) fn check_metadata(metadata: &ObjectMeta, problems: &mut ProblemList) -> CheckedMetadata {
    let namespace = metadata.namespace.clone().unwrap_or_default();
    let name = metadata.name.clone().unwrap_or_default();
    check_name("metadata.namespace", &namespace, problems);
    check_name("metadata.name", &name, problems);
    if namespace == SYSTEM_NAMESPACE {
        let kind = ProblemKind::ReservedNamespace(namespace.clone());
        problems.add("metadata.namespace", kind);
    }
    let labels = metadata.labels.clone().unwrap_or_default();
    check_labels(&labels, problems);
    CheckedMetadata {
        namespace,
        name,
        resource_version: check_version(metadata, problems),
        generation: metadata.generation.unwrap_or_default(),
        labels,
    }
}

/// Adds a problem unless `name` is a DNS label.
pub(crate) fn check_name(field: &str, name: &str, problems: &mut ProblemList) {
    if name.is_empty() {
        problems.add(field, ProblemKind::Empty);
    } else if !is_dns_label(name) {
        problems.add(field, ProblemKind::InvalidName(name.to_owned()));
    }
}

/// Returns the version of an object. An object read from a file has no version
/// yet and gets 0; one from the store must have a number.
fn check_version(metadata: &ObjectMeta, problems: &mut ProblemList) -> u64 {
    let Some(text) = &metadata.resource_version else {
        return 0;
    };
    text.parse().unwrap_or_else(|_| {
        let kind = ProblemKind::InvalidVersion(text.clone());
        problems.add("metadata.resourceVersion", kind);
        0
    })
}

fn check_labels(labels: &BTreeMap<String, String>, problems: &mut ProblemList) {
    for (key, value) in labels {
        if !is_label_key(key) || !is_label_value(value) {
            let field = format!("metadata.labels[{key}]");
            problems.add(field, ProblemKind::InvalidLabel(format!("{key}={value}")));
        }
    }
}

/// Returns true for 1 to 63 lower-case letters, digits and `-` that begin and
/// end with a letter or digit.
pub(crate) fn is_dns_label(text: &str) -> bool {
    let inner = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    let edge = |byte: &u8| *byte != b'-';
    text.len() <= MAX_NAME_LENGTH
        && text.bytes().all(inner)
        && text.as_bytes().first().is_some_and(edge)
        && text.as_bytes().last().is_some_and(edge)
}

/// Returns true for DNS labels joined by dots, at most 253 bytes in total.
pub(crate) fn is_dns_name(text: &str) -> bool {
    text.len() <= MAX_DNS_NAME_LENGTH && text.split('.').all(is_dns_label)
}

/// Returns true for a valid label key, with or without a DNS prefix.
pub(crate) fn is_label_key(key: &str) -> bool {
    match key.split_once('/') {
        Some((prefix, name)) => is_dns_name(prefix) && is_qualified_name(name),
        None => is_qualified_name(key),
    }
}

/// Returns true for a valid label value, which may be empty.
pub(crate) fn is_label_value(value: &str) -> bool {
    value.is_empty() || is_qualified_name(value)
}

fn is_qualified_name(text: &str) -> bool {
    let inner = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    text.len() <= MAX_NAME_LENGTH
        && text.bytes().all(inner)
        && text
            .as_bytes()
            .first()
            .is_some_and(u8::is_ascii_alphanumeric)
        && text
            .as_bytes()
            .last()
            .is_some_and(u8::is_ascii_alphanumeric)
}
