//! Back ends that break off their answers to uploads, through the real program.
//! No caller receives a part of an answer as a whole one.

use std::thread;
use std::time::Duration;

use super::broken_back_end::{Answer, End, Received, World, post};

/// Length of an upload, in bytes: more than the kernel buffers on the way to a
/// back end, and less than the longest body that a gateway forwards for another.
const UPLOAD_BYTES: usize = 4_000_000;
/// Uploads at the same time.
const UPLOADS: usize = 6;
/// Times for which a back end lets an upload fill the buffers before it answers.
const DELAYS: [Duration; 2] = [Duration::from_millis(5), Duration::from_millis(40)];
/// Lengths of the parts of an answer that are sent, in bytes: less and more
/// than a gateway reads ahead.
const PARTS: [usize; 2] = [3_000, 300_000];

/// Sends uploads at the same time that the back end answers so and breaks
/// off, and checks what their callers receive.
fn check_uploads(world: &World, name: &str, answer: Answer) {
    world.set_answer(answer);
    let callers = world.gateways[0].callers;
    let start = |number| {
        let id = format!("{name}-{number}");
        thread::spawn(move || (post(callers, &id, UPLOAD_BYTES), id))
    };
    let sent: Vec<_> = (0..UPLOADS).map(start).collect();
    let mut all_arrived = 0;
    for each in sent {
        let (received, id) = each.join().expect("an end");
        let arrived = world.arrivals(&id);
        let is_true = match received {
            Received::Whole(502) | Received::Cut(_) | Received::Nothing => arrived <= 1,
            Received::Whole(503) => arrived == 0,
            Received::Whole(_) => false,
        };
        assert!(is_true, "{id}: {received:?}, arrived {arrived} times");
        all_arrived += arrived;
    }
    assert!(all_arrived > 0, "{name}: the back end got none");
}

fn check_unframed_uploads(world: &World) {
    for (row, headers) in ["", "connection: close\r\n"].into_iter().enumerate() {
        for end in [End::Reset, End::CloseUnread] {
            for delay in DELAYS {
                for part in PARTS {
                    let name = format!("{row}-{end:?}-{}-{part}", delay.as_millis());
                    let answer = Answer {
                        delay,
                        start: format!("{}{headers}\r\n", Answer::HEAD),
                        part,
                        end,
                    };
                    check_uploads(world, &name.to_lowercase(), answer);
                }
            }
        }
    }
}

/// Callers received the part that had arrived before the reset as a whole
/// answer.
#[test]
fn unframed_answer_that_is_reset_during_the_upload_is_never_whole() {
    check_unframed_uploads(&World::start());
}

#[test]
fn forwarded_unframed_answer_that_is_reset_during_the_upload_is_never_whole() {
    check_unframed_uploads(&World::start_forwarding());
}

#[test]
fn framed_answer_that_is_cut_during_the_upload_is_never_whole() {
    let world = World::start();
    for (row, framing) in [
        "content-length: 300001\r\n",
        "transfer-encoding: chunked\r\n",
    ]
    .into_iter()
    .enumerate()
    {
        for part in PARTS {
            let answer = Answer {
                delay: DELAYS[0],
                start: format!("{}{framing}\r\n", Answer::HEAD),
                part,
                end: End::Reset,
            };
            check_uploads(&world, &format!("{row}-{part}"), answer);
        }
    }
}
