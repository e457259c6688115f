//! Tests of the grant handling of the stand-in back end that the soak relies
//! on.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use async_std::task;
use threadledge_platform_stand_in::{KeyChange, StandInBackEnd};

/// Time limit for conditions that must eventually hold.
const TIMEOUT: Duration = Duration::from_secs(30);

fn wait_until(mut reached: impl FnMut() -> bool) {
    let start = Instant::now();
    while !reached() {
        assert!(start.elapsed() < TIMEOUT, "condition not reached in time");
        std::thread::yield_now();
    }
}

/// Sends a grant of all keys and closes the connection at once, as a gateway
/// that gave the grant up.
fn give_up_grant(back_end: &StandInBackEnd, fence: u64) {
    let body = StandInBackEnd::grant_body(0, u16::MAX, fence, Duration::from_secs(60));
    send(back_end, StandInBackEnd::GRANT_PATH, &body);
}

/// Releases all keys under a fence and waits for the answer.
fn release(back_end: &StandInBackEnd, fence: u64) {
    let body = StandInBackEnd::grant_body(0, u16::MAX, fence, Duration::ZERO);
    let mut stream = send(back_end, StandInBackEnd::RELEASE_PATH, &body);
    let mut answer = [0; 12];
    stream.read_exact(&mut answer).expect("an answer");
    assert_eq!(&answer, b"HTTP/1.1 200");
}

fn send(back_end: &StandInBackEnd, path: &str, body: &str) -> TcpStream {
    let text = format!(
        "POST {path} HTTP/1.1\r\nhost: b\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len(),
    );
    let mut stream = TcpStream::connect(back_end.address()).expect("a connection");
    stream.write_all(text.as_bytes()).expect("sent");
    stream
}

fn start() -> StandInBackEnd {
    task::block_on(StandInBackEnd::start("b-1", true)).expect("a back end")
}

/// TCP may deliver a grant together with the end of its connection.
#[test]
fn grant_of_a_closed_connection_is_applied() {
    for fence in 1..50 {
        let back_end = start();
        give_up_grant(&back_end, fence);
        wait_until(|| back_end.holds(7));
    }
}

#[test]
fn delayed_grant_is_applied_after_the_sender_is_gone() {
    let back_end = start();
    back_end.set_grant_delay(Some(Duration::from_millis(50)));
    give_up_grant(&back_end, 3);
    wait_until(|| back_end.holds(7));
    let events = back_end.key_events();
    let [event] = &events[..] else {
        panic!("{events:?}");
    };
    assert!(matches!(event.change, KeyChange::Granted { fence: 3, .. }));
}

#[test]
fn late_grant_is_taken_beside_the_next_owner_until_a_release_arrives() {
    let [late, next] = [start(), start()];
    late.set_grant_delay(Some(Duration::from_millis(50)));
    give_up_grant(&late, 3);
    give_up_grant(&next, 9);
    wait_until(|| next.holds(7) && late.holds(7));
    // Nothing but a higher fence at the same back end withdraws it.
    release(&late, 10);
    assert!(!late.holds(7));
    give_up_grant(&late, 3);
    task::block_on(task::sleep(Duration::from_millis(200)));
    assert!(!late.holds(7));
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
