//! The stand-in back end does with orders what the soak relies on.

use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use async_std::task;
use threadledge_platform_stand_in::{KeyChange, StandInBackEnd};

/// Longest wait for what must come some time.
const PATIENCE: Duration = Duration::from_secs(30);

fn eventually(mut reached: impl FnMut() -> bool) {
    let start = Instant::now();
    while !reached() {
        assert!(start.elapsed() < PATIENCE, "it never came");
        std::thread::yield_now();
    }
}

/// Sends a grant of all keys and hangs up at once, as one that gave it up.
fn give_up_grant(back_end: &StandInBackEnd, fence: u64) {
    let body = StandInBackEnd::grant_body(0, u16::MAX, fence, Duration::from_secs(60));
    let text = format!(
        "POST {} HTTP/1.1\r\nhost: b\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        StandInBackEnd::GRANT_PATH,
        body.len(),
    );
    let mut stream = TcpStream::connect(back_end.address()).expect("a connection");
    stream.write_all(text.as_bytes()).expect("sent");
}

fn start() -> StandInBackEnd {
    task::block_on(StandInBackEnd::start("b-1", true)).expect("a back end")
}

/// As TCP delivers an order and the end of its connection together.
#[test]
fn grant_of_one_that_hung_up_is_carried_out() {
    for fence in 1..50 {
        let back_end = start();
        give_up_grant(&back_end, fence);
        eventually(|| back_end.holds(7));
    }
}

#[test]
fn late_grant_is_carried_out_though_nobody_waits() {
    let back_end = start();
    back_end.set_grant_delay(Some(Duration::from_millis(50)));
    give_up_grant(&back_end, 3);
    eventually(|| back_end.holds(7));
    let events = back_end.key_events();
    let [event] = &events[..] else {
        panic!("{events:?}");
    };
    assert!(matches!(event.change, KeyChange::Granted { fence: 3, .. }));
}

#[test]
fn crashed_back_end_takes_no_more_grants() {
    let back_end = start();
    back_end.set_grant_delay(Some(Duration::from_millis(50)));
    give_up_grant(&back_end, 3);
    back_end.crash();
    task::block_on(task::sleep(Duration::from_millis(200)));
    assert!(!back_end.holds(7));
    let events = back_end.key_events();
    assert!(
        events
            .iter()
            .all(|event| event.change == KeyChange::Crashed)
    );
}
