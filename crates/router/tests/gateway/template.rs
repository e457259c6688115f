//! Fills the settings template of the deployment as the platform does.

use std::collections::BTreeMap;
use std::path::PathBuf;

/// The template, from the repository's root.
pub const TEMPLATE: &str = "deploy/settings.template.toml";

pub fn repository_root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Fills every placeholder; panics if one has no value.
pub fn fill(values: &BTreeMap<&str, String>) -> String {
    let path = repository_root().join(TEMPLATE);
    let template = std::fs::read_to_string(path).expect("the template");
    let template = without_sections(&template, values);
    let mut filled = String::new();
    let mut rest = template.as_str();
    while let Some((before, after)) = rest.split_once("{{") {
        let (placeholder, after) = after.split_once("}}").expect("a closed placeholder");
        filled.push_str(before);
        filled.push_str(&value_of(placeholder, values));
        rest = after;
    }
    filled + rest
}

/// Keeps the sections whose value is given and drops the others.
fn without_sections(template: &str, values: &BTreeMap<&str, String>) -> String {
    let mut kept = String::new();
    let mut rest = template;
    while let Some((before, after)) = rest.split_once("{{#") {
        let (name, after) = after.split_once("}}").expect("a closed placeholder");
        let end = format!("{{{{/{name}}}}}");
        let (section, after) = after.split_once(&end).expect("a closed section");
        kept.push_str(before);
        if values.contains_key(name) {
            kept.push_str(section);
        }
        rest = after;
    }
    kept + rest
}

fn value_of(placeholder: &str, values: &BTreeMap<&str, String>) -> String {
    let (name, as_json) = match placeholder.strip_suffix("|json") {
        Some(name) => (name, true),
        None => (placeholder, false),
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

#[test]
fn bounds_that_a_deployment_does_not_state_are_left_out() {
    let template = "a\n{{#X}}b = {{X}}\n{{/X}}c\n";
    assert_eq!(without_sections(template, &BTreeMap::new()), "a\nc\n");
    let values = BTreeMap::from([("X", "5".to_owned())]);
    assert_eq!(without_sections(template, &values), "a\nb = {{X}}\nc\n");
}
