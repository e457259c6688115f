//! Validation and compilation of label selectors.

use k8s_openapi::apimachinery::pkg::apis::meta::v1::{LabelSelector, LabelSelectorRequirement};
use kube_core::Selector;

use super::names::{is_label_key, is_label_value};
use super::problem::{ProblemKind, ProblemList};

const FIELD: &str = "spec.backEndSelector";

/// Compiles a validated selector. An empty selector selects every back end of
/// the namespace, as in the Kubernetes API.
///
/// # Errors
///
/// Returns [`ProblemKind::InvalidSelector`] if the selector cannot be
/// evaluated, which never happens for accepted objects.
pub fn compile_selector(selector: &LabelSelector) -> Result<Selector, ProblemKind> {
    Selector::try_from(selector.clone())
        .map_err(|error| ProblemKind::InvalidSelector(error.to_string()))
}

/// Returns the problems of a selector, each with its field.
pub fn validate_selector(selector: &LabelSelector) -> Vec<(String, ProblemKind)> {
    let mut found = Vec::new();
    for (key, value) in selector.match_labels.iter().flatten() {
        if !is_label_key(key) || !is_label_value(value) {
            let field = format!("{FIELD}.matchLabels[{key}]");
            found.push((field, ProblemKind::InvalidLabel(format!("{key}={value}"))));
        }
    }
    let requirements = selector.match_expressions.iter().flatten();
    for (index, requirement) in requirements.enumerate() {
        let field = format!("{FIELD}.matchExpressions[{index}]");
        let problem = requirement_problem(requirement);
        found.extend(problem.map(|kind| (field, kind)));
    }
    found
}

pub(crate) fn check_selector(selector: &LabelSelector, problems: &mut ProblemList) {
    for (field, kind) in validate_selector(selector) {
        problems.add(field, kind);
    }
}

fn requirement_problem(requirement: &LabelSelectorRequirement) -> Option<ProblemKind> {
    if !is_label_key(&requirement.key) {
        return Some(ProblemKind::InvalidLabel(requirement.key.clone()));
    }
    let values = requirement.values.as_deref().unwrap_or_default();
    if let Some(value) = values.iter().find(|value| !is_label_value(value)) {
        return Some(ProblemKind::InvalidLabel(value.clone()));
    }
    let operator = requirement.operator.as_str();
    let fault = match (operator, values.is_empty()) {
        ("In" | "NotIn", true) => format!("{operator} has no values"),
        ("Exists" | "DoesNotExist", false) => format!("{operator} takes no values"),
        ("In" | "NotIn", false) | ("Exists" | "DoesNotExist", true) => return None,
        _ => format!("unknown operator '{operator}'"),
    };
    Some(ProblemKind::InvalidSelector(fault))
}
