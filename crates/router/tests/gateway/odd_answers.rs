//! Back ends whose answers are none of HTTP/1.1, or have a status without a
//! name, through the real program.

use super::broken_back_end::{Answer, Received, World, post};

/// Rest of a whole answer after its status line.
const REST: &str = "x-request-id: ID\r\nx-server-stamp: a\r\ncontent-length: 2\r\n\r\nok";
/// Starts of answers whose head is not valid. The tests of the HTTP client have
/// many more.
const ODD_STARTS: [&str; 7] = [
    "HTTP/1.1 000 OK",
    "HTTP/1.1 600 OK",
    "HTTP/1.1 200 OK\r\nx name: a",
    "HTTP/1.1 200 OK\r\nx-name : a",
    "HTTP/1.1 200 OK\r\nx\u{1}name: a",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked",
    "HTTP/1.1 200 OK\r\nContent-Length\t: 1",
];

#[test]
fn odd_heads_are_no_answers() {
    let world = World::start();
    for (number, start) in ODD_STARTS.into_iter().enumerate() {
        world.set_answer(Answer::lasting(format!("{start}\r\n{REST}")));
        let id = format!("odd-{number}");
        let received = post(world.gateways[0].callers, &id, 1);
        assert_eq!(received, Received::Whole(502), "{start:?}");
        assert_eq!(world.arrivals(&id), 1, "{start:?}");
    }
}

/// Callers received 502 in their place, although the back end had answered.
#[test]
fn statuses_without_a_name_reach_the_caller() {
    for (name, world) in [
        ("direct", World::start()),
        ("forwarded", World::start_forwarding()),
    ] {
        for status in [218, 299, 306, 420, 430, 499, 509, 520, 599] {
            for reason in [" Reason", " ", ""] {
                let start = format!("HTTP/1.1 {status}{reason}\r\n{REST}");
                world.set_answer(Answer::lasting(start));
                let id = format!("{name}-{status}-{}", reason.len());
                let received = post(world.gateways[0].callers, &id, 1);
                assert_eq!(received, Received::Whole(status), "{id}");
            }
        }
    }
}

#[test]
fn successes_without_a_name_or_a_stamp_are_no_answers() {
    let world = World::start();
    world.set_answer(Answer::lasting(
        "HTTP/1.1 299 OK\r\nx-request-id: ID\r\ncontent-length: 2\r\n\r\nok".to_owned(),
    ));
    let received = post(world.gateways[0].callers, "unstamped", 1);
    assert_eq!(received, Received::Whole(502));
}
