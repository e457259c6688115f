//! Checks that only the adapter in `platform/` contains the platform's names.

use std::path::{Path, PathBuf};

use super::template::repository_root;

/// Names of headers, paths, kinds, fields and variables of the platform.
const PLATFORM_NAMES: [&str; 18] = [
    "x-request-deadline-ms",
    "x-server-stamp",
    "x-expected-instance",
    "x-instance-id",
    "x-shard-key",
    "x-not-executed",
    "x-server-load",
    "x-handover",
    "/api/objects",
    "/api/grant",
    "/api/release",
    "/api/ready",
    "threadledge_boot",
    "retrybudgetslack",
    "targetlatencys",
    "coldremainings",
    "targetversion",
    "maxholds",
];

fn collect_sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            collect_sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

fn product_sources() -> Vec<PathBuf> {
    let mut found = Vec::new();
    let crates = repository_root().join("crates");
    for entry in std::fs::read_dir(crates).expect("crates") {
        collect_sources(&entry.expect("a crate").path().join("src"), &mut found);
    }
    found
}

fn names_in(text: &str) -> Vec<&'static str> {
    let text = text.to_ascii_lowercase();
    PLATFORM_NAMES
        .into_iter()
        .filter(|name| text.contains(name))
        .collect()
}

#[test]
fn only_the_adapter_contains_platform_names() {
    let sources = product_sources();
    assert!(sources.len() > 100, "only {} sources found", sources.len());
    for path in sources {
        let text = std::fs::read_to_string(&path).expect("text");
        let names = names_in(&text);
        assert!(names.is_empty(), "{} names {names:?}", path.display());
    }
}

#[test]
fn check_finds_such_names_where_they_stand() {
    let adapter = repository_root().join("platform/src/headers.rs");
    let text = std::fs::read_to_string(adapter).expect("the adapter");
    assert!(names_in(&text).contains(&"x-shard-key"));
}
