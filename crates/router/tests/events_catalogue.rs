//! The catalogue in the docs and the one in the code are the same.

use std::collections::BTreeSet;

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
