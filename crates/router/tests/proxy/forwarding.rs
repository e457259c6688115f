//! Tests of forwarding requests to back ends and responses to callers.

use threadledge::proxy::ProxySettings;
use threadledge::settings::Limits;
use threadledge_net::MAX_HEAD_BYTES;
use threadledge_types::Outcome;

use crate::back_end::{BackEnd, Behavior, header};
use crate::world::World;

#[async_std::test]
async fn an_answer_reaches_its_caller_with_its_outcome() {
    let world = World::start().await;
    let mut caller = world.caller().await;
    for number in 0..10 {
        let target = format!("/path/{number}?key=k");
        let answer = caller.get(&target).await;
        world.check(&answer, &target, true);
        assert_eq!(answer.status, 200);
        assert_eq!(answer.outcome(), "answered");
        assert_eq!(answer.header("x-back-end"), Some("one"));
    }
    assert_eq!(world.back_end.connections(), 1);
    let observations = world.observations.lock();
    assert_eq!(observations.len(), 10);
    for observation in observations.iter() {
        assert_eq!(observation.outcome, Some(Outcome::Answered));
        assert_eq!(observation.route.as_deref(), Some("all"));
    }
}

#[async_std::test]
async fn the_back_end_receives_the_router_headers_and_none_forged_by_a_caller() {
    let world = World::start().await;
    let mut caller = world.caller().await;
    let headers = "threadledge-epoch: 9.9\r\nthreadledge-point: x\r\nthreadledge-refusal: y\r\n\
        threadledge-deadline-ms: 5000\r\nconnection: x-hop\r\nx-hop: 1\r\nte: trailers\r\n\
        idempotency-key: \"abc\"\r\nx-other: kept\r\n";
    caller.send("POST", "/p?key=k", headers, b"body").await;
    assert_eq!(caller.read_answer().await.outcome(), "answered");
    let run = &world.back_end.runs()[0];
    assert_eq!(run.body, b"body");
    assert_eq!(header(&run.head, "host"), Some("s.test"));
    assert_eq!(header(&run.head, "threadledge-epoch"), Some("1.42"));
    assert_eq!(header(&run.head, "threadledge-service"), Some("a/s"));
    assert_eq!(
        header(&run.head, "threadledge-point").map(str::len),
        Some(16)
    );
    assert_eq!(header(&run.head, "idempotency-key"), Some("\"abc\""));
    assert_eq!(header(&run.head, "x-other"), Some("kept"));
    for absent in [
        "threadledge-refusal",
        "x-hop",
        "te",
        "connection",
        "content-type",
    ] {
        assert_eq!(header(&run.head, absent), None, "{absent}");
    }
    let deadline = header(&run.head, "threadledge-deadline-ms").unwrap();
    assert!(deadline.parse::<u64>().unwrap() <= 5_000);
}

#[async_std::test]
async fn a_back_end_cannot_forge_an_outcome() {
    let world = World::start().await;
    let mut caller = world.caller().await;
    let forged = "HTTP/1.1 200 OK\r\nthreadledge-outcome: not-run\r\nthreadledge-reason: overloaded\r\n\
        threadledge-refusal: overloaded\r\ncontent-length: 2\r\n\r\nok";
    world.back_end.enqueue(Behavior::SendBytes(forged.into()));
    let answer = caller.post("/p?key=k", b"").await;
    assert_eq!((answer.outcome(), answer.body.as_str()), ("answered", "ok"));
    assert_eq!(answer.reason(), "");
    assert_eq!(answer.header("threadledge-refusal"), None);
    // A refusal requires its status as well, so this response is none.
    assert_eq!(world.back_end.runs().len(), 1);
}

#[async_std::test]
async fn large_bodies_are_forwarded_both_ways() {
    let world = World::start().await;
    let mut caller = world.caller().await;
    let body = vec![b'r'; 3_000_000];
    let text = "a".repeat(2_000_000);
    let length = text.len();
    let large = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{text}");
    world.back_end.enqueue(Behavior::SendBytes(large.into()));
    let answer = caller.post("/p?key=k", &body).await;
    assert!(answer.complete);
    assert_eq!(answer.body, text);
    assert_eq!(world.back_end.runs()[0].body, body);
    let answer = caller.get("/after?key=k").await;
    world.check(&answer, "/after?key=k", true);
    assert_eq!(world.handle.counters().answered, 2);
}

#[async_std::test]
async fn chunked_answers_are_forwarded() {
    let world = World::start().await;
    let mut caller = world.caller().await;
    let small = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n";
    world.back_end.enqueue(Behavior::SendBytes(small.into()));
    let answer = caller.get("/p?key=k").await;
    assert_eq!((answer.body.as_str(), answer.outcome()), ("ok", "answered"));
}

#[async_std::test]
async fn answers_without_a_body_keep_their_announced_length() {
    let world = World::start().await;
    let mut caller = world.caller().await;
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 77\r\n\r\n";
    world.back_end.enqueue(Behavior::SendBytes(head.into()));
    caller.send("HEAD", "/h?key=k", "", b"").await;
    let not_modified = "HTTP/1.1 304 Not Modified\r\ncontent-length: 5\r\n\r\n";
    world
        .back_end
        .enqueue(Behavior::SendBytes(not_modified.into()));
    caller.send("GET", "/n?key=k", "", b"").await;
    let length = |head: &str| header(head, "content-length").map(str::to_owned);
    let heads = caller.read_heads(2).await;
    assert_eq!(length(&heads[0]).as_deref(), Some("77"));
    assert_eq!(length(&heads[1]).as_deref(), Some("5"));
    assert!(heads[1].starts_with("HTTP/1.1 304"));
}

#[async_std::test]
async fn requests_without_a_route_are_not_run_and_state_the_reason() {
    let world = World::start().await;
    let mut caller = world.caller().await;
    let answer = caller.get("/p").await;
    assert_eq!((answer.status, answer.reason()), (400, "missing-key"));
    caller
        .send_raw("GET /p?key=k HTTP/1.1\r\nhost: other.test\r\n\r\n")
        .await;
    let answer = caller.read_answer().await;
    assert_eq!((answer.status, answer.reason()), (404, "no-route"));
    world.handle.set_ready(false);
    let answer = caller.get("/p?key=k").await;
    assert_eq!((answer.status, answer.reason()), (503, "not-ready"));
    assert!(answer.header("retry-after").is_some());
    assert!(world.back_end.runs().is_empty());
}

/// Returns a request whose head has this many bytes.
fn request_with_head_of(bytes: usize) -> String {
    let start = "GET /p?key=k HTTP/1.1\r\nhost: s.test\r\nx-fill: ";
    let end = "\r\n\r\n";
    let fill = "f".repeat(bytes - start.len() - end.len());
    format!("{start}{fill}{end}")
}

#[async_std::test]
async fn a_head_of_the_maximum_size_is_forwarded_and_a_larger_one_is_refused() {
    let limits = Limits::default();
    assert_eq!(limits.max_head_bytes, MAX_HEAD_BYTES);
    let settings = ProxySettings::with_seed(7).with_limits(&limits);
    let world = World::start_with(BackEnd::start().await, settings).await;
    let mut caller = world.caller().await;
    caller
        .send_raw(&request_with_head_of(limits.max_head_bytes))
        .await;
    assert_eq!(caller.read_answer().await.outcome(), "answered");
    caller
        .send_raw(&request_with_head_of(limits.max_head_bytes + 1))
        .await;
    let answer = caller.read_answer().await;
    assert_eq!((answer.status, answer.outcome()), (431, "not-run"));
    assert_eq!(world.back_end.runs().len(), 1);
}
