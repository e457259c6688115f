//! Back ends whose connection ends in the middle of an answer's head, through
//! the real program. No caller receives what arrived as an answer.

use std::time::Duration;

use super::broken_back_end::{Answer, End, Received, World, post};

/// Lines that say where the body ends; it ends with the connection without any.
const FRAMINGS: [&str; 4] = [
    "content-length: 2\r\n",
    "content-length: 0\r\n",
    "transfer-encoding: chunked\r\n",
    "",
];
/// A whole response before the final one.
const INTERIM: &str = "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n";

/// All heads that lack bytes at the end.
fn cut_heads() -> Vec<String> {
    let mut cut = Vec::new();
    for start in FRAMINGS
        .map(|framing| format!("{}{framing}\r\n", Answer::HEAD))
        .into_iter()
        .chain([format!("{INTERIM}{}\r\n", Answer::HEAD)])
    {
        cut.extend((0..start.len()).map(|length| start[..length].to_owned()));
    }
    cut
}

#[track_caller]
fn check(world: &World) {
    for (number, start) in cut_heads().into_iter().enumerate() {
        for end in [End::ShutDown, End::Reset] {
            let answer = Answer {
                delay: Duration::ZERO,
                start: start.clone(),
                part: 0,
                end,
            };
            world.set_answer(answer);
            let id = format!("cut-{number}-{end:?}").to_lowercase();
            let received = post(world.gateways[0].callers, &id, 1);
            assert_eq!(received, Received::Whole(502), "{start:?}, {end:?}");
            assert_eq!(world.arrivals(&id), 1, "{start:?}, {end:?}");
        }
    }
}

#[test]
fn cut_head_is_no_answer() {
    check(&World::start());
}

#[test]
fn cut_head_is_no_answer_to_a_forwarded_request() {
    check(&World::start_forwarding());
}
