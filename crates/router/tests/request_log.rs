//! Tests of the aggregated log lines about requests.

use std::sync::Arc;

use threadledge::events::EventId;
use threadledge::request_log::{RequestLine, RequestTally};
use threadledge_types::{NotRunReason, Outcome, ServiceId, UnknownReason};

const OVERLOADED: Outcome = Outcome::NotRun(NotRunReason::Overloaded);

fn events(lines: &[RequestLine]) -> Vec<(EventId, u64)> {
    let pairs = lines.iter().map(|line| (line.event, line.requests));
    pairs.collect()
}

#[test]
fn outcomes_are_counted_by_service_and_reason() {
    let service = Arc::new(ServiceId::new("kasamahan", "gallery"));
    let lost = Outcome::Unknown(UnknownReason::ConnectionLost);
    let mut tally = RequestTally::default();
    for _ in 0..1_000 {
        tally.count(Some(&service), Outcome::Answered);
        tally.count(Some(&service), lost);
    }
    tally.count(None, Outcome::NotRun(NotRunReason::NoRoute));
    let lines = tally.take_lines();
    let expected = [
        (EventId::RequestsRefused, 1),
        (EventId::RequestsUnknown, 1_000),
    ];
    assert_eq!(events(&lines), expected);
    assert_eq!(lines[1].service, Some(service));
    assert_eq!(lines[1].reason, "connection-lost");
    assert_eq!(tally.take_lines(), []);
}

#[test]
fn overload_is_logged_once_until_it_has_passed() {
    let mut tally = RequestTally::default();
    let mut overloads = Vec::new();
    for refused in [2, 1, 0, 1] {
        for _ in 0..refused {
            tally.count(None, OVERLOADED);
        }
        let lines = events(&tally.take_lines());
        overloads.push(lines.contains(&(EventId::Overloaded, refused)));
    }
    assert_eq!(overloads, [true, false, false, true]);
}
