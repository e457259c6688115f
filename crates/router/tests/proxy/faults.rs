//! Tests with failing back ends. They guard against a wrong outcome `not-run`, a
//! second run of a request that may not be repeated, and an answer to another
//! caller's request.

use std::time::Duration;

use futures::AsyncWriteExt;

use threadledge::proxy::ProxySettings;
use threadledge_net::timer;
use threadledge_types::{Outcome, Timestamp, UnknownReason};

use crate::back_end::{BackEnd, Behavior, answer_to};
use crate::world::{World, within};

/// Most streamed answers that are cut. Few heads leave before the cut.
const MAX_CUTS: usize = 50;
/// Pause between two looks at what was observed.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

fn faults(target: &str) -> Vec<Behavior> {
    let whole = answer_to(target).len();
    let mut faults = vec![
        Behavior::CloseBeforeRun,
        Behavior::CloseAfterRun,
        Behavior::AnswerTwice,
        Behavior::SendBytes(b"nonsense\r\n\r\n".to_vec()),
        Behavior::SendBytes(b"HTTP/1.1 200 OK\r\n\r\nends with the connection".to_vec()),
        Behavior::SendBytes(
            b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab".to_vec(),
        ),
        Behavior::SendBytes(
            b"HTTP/1.1 200 OK\r\nthreadledge-request-id: 0\r\ncontent-length: 2\r\n\r\nno".to_vec(),
        ),
        Behavior::Refuse("wrong-owner"),
        Behavior::Refuse("lease-lapsed"),
        Behavior::Refuse("overloaded"),
    ];
    faults.extend((0..=whole).map(Behavior::Truncate));
    faults
}

#[async_std::test]
async fn a_request_that_may_not_be_repeated_runs_once_at_most_whatever_fails() {
    let world = World::start().await;
    for (number, fault) in faults("/post/00?key=k").into_iter().enumerate() {
        let target = format!("/post/{number:02}?key=k");
        world.back_end.enqueue(fault.clone());
        let answer = world.caller().await.post(&target, b"body").await;
        world.check(&answer, &target, false);
        if matches!(fault, Behavior::Refuse(_)) {
            // The refused attempt did not run, so the request was sent again.
            assert_eq!(answer.outcome(), "answered", "{fault:?}");
        }
        let after = format!("/after/{number}?key=k");
        let answer = world.caller().await.get(&after).await;
        world.check(&answer, &after, true);
        assert_eq!(answer.outcome(), "answered", "after {fault:?}");
    }
}

#[async_std::test]
async fn a_repeated_refusal_is_never_taken_for_the_answer_to_the_next_attempt() {
    for refusal in ["wrong-owner", "lease-lapsed", "overloaded"] {
        let world = World::start().await;
        let target = format!("/post/{refusal}?key=k");
        world.back_end.enqueue(Behavior::RefuseTwice(refusal));
        let answer = world.caller().await.post(&target, b"body").await;
        world.check(&answer, &target, false);
        assert_eq!(answer.outcome(), "answered", "{refusal}");
    }
}

#[async_std::test]
async fn a_request_that_may_be_repeated_is_answered_whatever_fails_once() {
    let world = World::start().await;
    for (number, fault) in faults("/get/000?key=k").into_iter().enumerate() {
        let target = format!("/get/{number:03}?key=k");
        world.back_end.enqueue(fault.clone());
        let answer = world.caller().await.get(&target).await;
        world.check(&answer, &target, true);
        assert_eq!(answer.outcome(), "answered", "{fault:?}");
        // Replenishes the retry budget.
        for more in 0..20 {
            let target = format!("/more/{number}/{more}?key=k");
            let answer = world.caller().await.get(&target).await;
            world.check(&answer, &target, true);
        }
    }
}

#[async_std::test]
async fn an_answer_after_the_deadline_reaches_nobody() {
    let world = World::start().await;
    world.back_end.enqueue(Behavior::Hang);
    let late = world.caller().await.post("/short/late?key=k", b"").await;
    assert_eq!((late.status, late.reason()), (504, "deadline-passed"));
    world.check(&late, "/short/late?key=k", false);
    // The connection of the abandoned exchange was closed, not reused.
    within(world.back_end.closed.recv()).await.unwrap();
    let next = world.caller().await.get("/next?key=k").await;
    world.check(&next, "/next?key=k", true);
    assert_eq!(next.outcome(), "answered");
}

#[async_std::test]
async fn a_request_to_an_unreachable_back_end_is_not_run() {
    let world = World::start().await;
    let listener = async_std::net::TcpListener::bind("127.0.0.1:0")
        .await
        .unwrap();
    let unreachable = listener.local_addr().unwrap();
    drop(listener);
    let mut records = crate::world::records(unreachable);
    records.to.index += 1;
    world.handle.apply(&records).unwrap();
    let answer = world.caller().await.post("/short/p?key=k", b"").await;
    assert_eq!((answer.status, answer.outcome()), (503, "not-run"));
    assert!(answer.header("retry-after").is_some());
}

#[async_std::test]
async fn a_refused_request_is_sent_again_with_its_whole_body() {
    let world = World::start().await;
    world.back_end.enqueue(Behavior::Refuse("overloaded"));
    world.back_end.enqueue(Behavior::Refuse("wrong-owner"));
    let answer = world.caller().await.post("/p?key=k", b"whole body").await;
    assert_eq!(answer.outcome(), "answered");
    let runs = world.back_end.runs();
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].body, b"whole body");
}

#[async_std::test]
async fn a_large_request_that_was_refused_is_not_sent_again() {
    let world = World::start().await;
    world.back_end.enqueue(Behavior::Refuse("overloaded"));
    let body = vec![b'x'; 200_000];
    let answer = world.caller().await.post("/p?key=k", &body).await;
    assert_eq!(
        (answer.outcome(), answer.reason()),
        ("not-run", "overloaded")
    );
    world.check(&answer, "/p?key=k", false);
}

#[async_std::test]
async fn without_memory_budget_bodies_are_streamed_with_correct_outcomes() {
    let mut settings = ProxySettings::with_seed(7);
    settings.max_buffered_total = 0;
    let world = World::start_with(BackEnd::start().await, settings).await;
    world.back_end.enqueue(Behavior::Refuse("overloaded"));
    let answer = world.caller().await.post("/refused?key=k", b"body").await;
    world.check(&answer, "/refused?key=k", false);
    // A streamed body cannot be sent again.
    assert_eq!(answer.outcome(), "not-run");
    let mut cuts = 0;
    while cut_streamed_answer(&world, cuts).await == CutEnd::HeadLeft {
        cuts += 1;
        assert!(cuts < MAX_CUTS, "no cut answer ended before its head left");
    }
    let answer = world.caller().await.post("/whole?key=k", b"body").await;
    world.check(&answer, "/whole?key=k", false);
    assert_eq!(answer.outcome(), "answered");
    let counters = world.handle.counters();
    assert_eq!(counters.answered, 1);
    assert_eq!(counters.unknown(UnknownReason::BadAnswer), cuts as u64 + 1);
}

/// How an answer that its back end cut ended for the caller.
#[derive(Debug, PartialEq, Eq)]
enum CutEnd {
    /// Its head had left: the caller gets a part of it and the end of the
    /// connection.
    HeadLeft,
    /// Nothing had left: the caller gets `unknown`.
    Unknown,
}

/// Has a streamed answer cut by one byte and checks its end, which is the one
/// that the caller received.
async fn cut_streamed_answer(world: &World, number: usize) -> CutEnd {
    let target = format!("/cut/{number}?key=k");
    let whole = answer_to(&target).len();
    world.back_end.enqueue(Behavior::Truncate(whole - 1));
    let before = world.observations.lock().len();
    let answer = world.caller().await.post(&target, b"body").await;
    let observed = async {
        while world.observations.lock().len() == before {
            timer::sleep(POLL_INTERVAL).await;
        }
    };
    within(observed).await;
    let outcome = world.observations.lock()[before].outcome;
    let lost = Outcome::Unknown(UnknownReason::BadAnswer);
    assert_eq!(outcome, Some(lost), "{answer:?}");
    assert_eq!(world.back_end.runs_of(&target), 1, "{answer:?}");
    if answer.status != 200 {
        world.check(&answer, &target, false);
        assert_eq!(answer.outcome(), "unknown");
        assert!(answer.complete, "{answer:?}");
        return CutEnd::Unknown;
    }
    let body = format!("answer to {target}");
    assert!(!answer.complete, "{answer:?}");
    assert_eq!(answer.outcome(), "answered", "{answer:?}");
    assert_eq!(answer.header("x-back-end"), Some("one"), "{answer:?}");
    assert!(body.starts_with(&answer.body), "{answer:?}");
    assert!(answer.body.len() < body.len(), "{answer:?}");
    CutEnd::HeadLeft
}

#[async_std::test]
async fn a_back_end_that_stops_reading_leads_to_no_wrong_outcome() {
    let world = World::start().await;
    let sizes = [0, 1_000, 30_000, 200_000, 2_000_000];
    let cases = sizes.iter().flat_map(|size| {
        [Behavior::ResetAfterHead, Behavior::RefuseAfterHead].map(|fault| (*size, fault))
    });
    for (number, (size, fault)) in cases.enumerate() {
        let target = format!("/stops/{number}?key=k");
        let resets = matches!(fault, Behavior::ResetAfterHead);
        world.back_end.enqueue(fault);
        let body = vec![b'x'; size];
        let answer = world.caller().await.post(&target, &body).await;
        world.check(&answer, &target, false);
        if resets {
            assert_eq!(answer.outcome(), "unknown", "{target}: {answer:?}");
        }
        let after = format!("/after/{number}?key=k");
        let answer = world.caller().await.get(&after).await;
        world.check(&answer, &after, true);
    }
}

#[async_std::test]
async fn a_truncated_large_answer_is_truncated_for_the_caller_too() {
    let world = World::start().await;
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 500000\r\n\r\n";
    let cut = [head.as_bytes(), &vec![b'x'; 300_000]].concat();
    world.back_end.enqueue(Behavior::SendBytes(cut));
    // No further request is sent on that connection, so it is closed.
    world.back_end.enqueue(Behavior::CloseBeforeRun);
    let mut caller = world.caller().await;
    caller.send("POST", "/short/p?key=k", "", b"").await;
    let answer = caller.read_answer().await;
    assert!(!answer.complete);
    assert_eq!(world.handle.counters().answered, 0);
}

#[async_std::test]
async fn a_caller_that_disconnects_closes_the_connection_to_the_back_end() {
    let world = World::start().await;
    world.back_end.enqueue(Behavior::Hang);
    let mut caller = world.caller().await;
    caller.send("POST", "/p?key=k", "", b"").await;
    within(world.back_end.received.recv()).await.unwrap();
    caller.stream.close().await.unwrap();
    drop(caller);
    within(world.back_end.closed.recv()).await.unwrap();
    let next = world.caller().await.get("/next?key=k").await;
    world.check(&next, "/next?key=k", true);
    assert_eq!(world.handle.counters().caller_gone, 1);
}

#[async_std::test]
async fn many_callers_at_once_each_get_their_own_answer_from_a_back_end_that_keeps_failing() {
    let world = World::start().await;
    let faults = faults("/many/000?key=k");
    for round in 0..200 {
        // A step that is coprime with the number of faults covers all of them.
        world
            .back_end
            .enqueue(faults[round * 7 % faults.len()].clone());
        world.back_end.enqueue(Behavior::Answer);
    }
    let callers = (0..16).map(|number| {
        let world = &world;
        async move {
            for round in 0..20 {
                let target = format!("/many/{number}/{round}?key={number}");
                let mut caller = world.caller().await;
                let repeatable = round % 2 == 0;
                let answer = if repeatable {
                    caller.get(&target).await
                } else {
                    caller.post(&target, b"body").await
                };
                world.check(&answer, &target, repeatable);
            }
        }
    });
    futures::future::join_all(callers).await;
    assert_eq!(world.handle.counters().ended(), 320);
}

/// Checks that a streamed answer that does not end is ended at its deadline.
async fn check_streaming_answer_that_ends_at_the_deadline(sent: usize, reads: bool) {
    let world = World::start().await;
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 64000000\r\n\r\n";
    let start = [head.as_bytes(), &vec![b'x'; sent]].concat();
    world.back_end.enqueue(Behavior::SendBytes(start));
    let mut caller = world.caller().await;
    caller.send("POST", "/short/p?key=k", "", b"").await;
    if reads {
        let answer = caller.read_answer().await;
        assert!(!answer.complete);
    }
    // The connection of the abandoned answer is closed.
    within(world.back_end.closed.recv()).await.unwrap();
    let counters = world.handle.counters();
    assert_eq!(counters.unknown(UnknownReason::DeadlinePassed), 1);
    assert_eq!(counters.ended(), 1);
    let load = world
        .handle
        .with_dispatcher(|dispatcher| dispatcher.load(Timestamp::ZERO));
    assert_eq!((load.exchanges, load.back_ends[0].in_flight), (0, 0));
    let outcome = world.observations.lock()[0].outcome;
    let late = Outcome::Unknown(UnknownReason::DeadlinePassed);
    assert_eq!(outcome, Some(late));
    let next = world.caller().await.get("/next?key=k").await;
    world.check(&next, "/next?key=k", true);
    assert_eq!(next.outcome(), "answered");
}

#[async_std::test]
async fn a_streaming_answer_that_stalls_ends_at_the_deadline() {
    check_streaming_answer_that_ends_at_the_deadline(100_000, true).await;
}

#[async_std::test]
async fn a_streaming_answer_that_nobody_reads_ends_at_the_deadline() {
    check_streaming_answer_that_ends_at_the_deadline(63_000_000, false).await;
}
