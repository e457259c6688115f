//! Checks that docs/EVENTS.md and the catalogue in the code list the same events.

use std::collections::BTreeSet;
use std::path::Path;

use threadledge::events::EventId;

const PAGE: &str = include_str!("../../../docs/EVENTS.md");

fn row(event: EventId) -> String {
    format!(
        "| {} | `{}` | {} | {} | {} |",
        event.number(),
        event.name(),
        event.level(),
        event.meaning(),
        event.action()
    )
}

#[test]
fn page_and_code_list_the_same_events() {
    let in_code: Vec<String> = EventId::ALL.iter().copied().map(row).collect();
    let in_page: Vec<&str> = PAGE
        .lines()
        .filter(|line| line.starts_with("| ") && line.contains("| `"))
        .collect();
    assert_eq!(
        in_page,
        in_code,
        "the rows should be:\n{}",
        in_code.join("\n")
    );
}

#[test]
fn numbers_grow_and_names_are_unique() {
    let numbers: Vec<u32> = EventId::ALL.iter().map(|event| event.number()).collect();
    assert!(numbers.is_sorted_by(|left, right| left < right));
    let names: BTreeSet<&str> = EventId::ALL.iter().map(|event| event.name()).collect();
    assert_eq!(names.len(), EventId::ALL.len());
}

/// Appends all source files below a directory, except the catalogue, to `text`.
fn append_sources(directory: &Path, text: &mut String) {
    let entries = std::fs::read_dir(directory).expect("a directory of the crate");
    for entry in entries {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            append_sources(&path, text);
        } else if !path.ends_with("events/catalogue.rs") {
            text.push_str(&std::fs::read_to_string(&path).expect("a source file"));
        }
    }
}

#[test]
fn every_event_is_emitted_somewhere() {
    let mut text = String::new();
    append_sources(
        &Path::new(env!("CARGO_MANIFEST_DIR")).join("src"),
        &mut text,
    );
    let words: BTreeSet<&str> = text
        .split(|letter: char| !letter.is_alphanumeric() && letter != ':')
        .collect();
    let not_emitted: Vec<&EventId> = EventId::ALL
        .iter()
        .filter(|event| !words.contains(format!("EventId::{event:?}").as_str()))
        .collect();
    assert!(
        not_emitted.is_empty(),
        "emit or remove these events: {not_emitted:?}"
    );
}
