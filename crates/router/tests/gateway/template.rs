//! Fills the settings template of the deploy file as the platform does.

use std::collections::BTreeMap;
use std::path::PathBuf;

/// The template, from the repository's root.
pub const TEMPLATE: &str = "deploy/settings.template.toml";

pub fn repository_root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Fills every gap; panics on one that has no value.
pub fn fill(values: &BTreeMap<&str, String>) -> String {
    let path = repository_root().join(TEMPLATE);
    let template = std::fs::read_to_string(path).expect("the template");
    let mut filled = String::new();
    let mut rest = template.as_str();
    while let Some((before, after)) = rest.split_once("{{") {
        let (gap, after) = after.split_once("}}").expect("a closed gap");
        filled.push_str(before);
        filled.push_str(&value_of(gap, values));
        rest = after;
    }
    filled + rest
}

fn value_of(gap: &str, values: &BTreeMap<&str, String>) -> String {
    let (name, as_json) = match gap.strip_suffix("|json") {
        Some(name) => (name, true),
        None => (gap, false),
    };
    let value = values.get(name);
    let value = value.unwrap_or_else(|| panic!("the template asks for {name}"));
    if as_json {
        format!("{value:?}")
    } else {
        value.clone()
    }
}

#[test]
fn deploy_file_names_the_template_and_this_program() {
    let path = repository_root().join("deploy/system.toml");
    let text = std::fs::read_to_string(path).expect("the deploy file");
    let deploy: toml::Table = text.parse().expect("TOML");
    let role = &deploy["roles"]["router"];
    assert_eq!(role["template"].as_str(), Some(TEMPLATE));
    let run = role["run"].as_str().expect("a program");
    assert!(run.starts_with("target/release/threadledge gateway --settings "));
}
