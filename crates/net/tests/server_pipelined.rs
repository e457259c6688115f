//! Requests sent before the first was answered: those that may run side by
//! side do, answers leave in order, and nobody is told less than what ran.

mod support;

use std::collections::HashMap;
use std::sync::Arc;

use async_std::channel::{self, Receiver, Sender};
use futures::future::BoxFuture;
use http_types::{Body, Request, Response};
use parking_lot::Mutex;
use support::{RawCaller, TestServer, quick_limits, within};
use threadledge_net::{ConcurrentHandler, ConnectionInfo, Handler, Instant, ServerLimits};

/// What a request is answered with.
enum Answer {
    /// Its own path.
    Path,
    /// A body of so many bytes.
    Bytes(usize),
    /// Its path, and the connection is to be closed.
    Close,
    /// A body of so many bytes, and the connection is to be closed.
    CloseAfter(usize),
    /// More bytes announced than come.
    Short(usize),
}

/// Lets a test see requests begin and end, and answer each by its path.
struct Stage {
    started: Receiver<(String, ConnectionInfo)>,
    dropped: Receiver<String>,
    /// Heads for which the rule was asked.
    asked: Receiver<String>,
    gates: Gates,
}

/// Through it an answer gets to its request.
type Gate = (Sender<Answer>, Receiver<Answer>);

#[derive(Clone, Default)]
struct Gates(Arc<Mutex<HashMap<String, Gate>>>);

impl Gates {
    fn of(&self, path: &str) -> Gate {
        let mut gates = self.0.lock();
        gates
            .entry(path.to_owned())
            .or_insert_with(channel::unbounded)
            .clone()
    }
}

/// Tells when it is dropped.
struct Dropped(Sender<String>, String);

impl Drop for Dropped {
    fn drop(&mut self) {
        let _ = self.0.try_send(self.1.clone());
    }
}

fn response(answer: Answer, path: &str) -> Response {
    let mut response = Response::new(200);
    match answer {
        Answer::Path => response.set_body(path),
        Answer::Bytes(count) => response.set_body("x".repeat(count)),
        Answer::Short(count) => {
            let body = futures::io::Cursor::new("x".repeat(count));
            response.set_body(Body::from_reader(body, Some(count + 1)));
        }
        Answer::Close => {
            response.set_body(path);
            response.insert_header("connection", "close");
        }
        Answer::CloseAfter(count) => {
            response.set_body("x".repeat(count));
            response.insert_header("connection", "close");
        }
    }
    response
}

/// A stage, and a handler on which paths that begin with `/safe` run side by
/// side.
fn stage() -> (Stage, impl Handler) {
    let (started_sender, started) = channel::unbounded();
    let (dropped_sender, dropped) = channel::unbounded();
    let (asked_sender, asked) = channel::unbounded();
    let gates = Gates::default();
    let opened = gates.clone();
    let handler = move |request: Request, connection: ConnectionInfo| {
        let path = request.url().path().to_owned();
        let (_, gate) = opened.of(&path);
        let dropped = Dropped(dropped_sender.clone(), path.clone());
        let started = started_sender.clone();
        let run = async move {
            let _dropped = dropped;
            let _request = request;
            let _ = started.try_send((path.clone(), connection));
            response(gate.recv().await.expect("open"), &path)
        };
        Box::pin(run) as BoxFuture<'static, Response>
    };
    let may_run_concurrently = move |request: &Request| {
        let path = request.url().path();
        let _ = asked_sender.try_send(path.to_owned());
        path.starts_with("/safe")
    };
    let stage = Stage {
        started,
        dropped,
        asked,
        gates,
    };
    (
        stage,
        ConcurrentHandler {
            handler,
            may_run_concurrently,
        },
    )
}

impl Stage {
    /// The next request that begins.
    async fn begins(&self) -> (String, ConnectionInfo) {
        within(self.started.recv()).await.expect("a request")
    }

    async fn all_begin(&self, paths: &[&str]) {
        for path in paths {
            assert_eq!(self.begins().await.0, *path);
        }
    }

    /// Waits until the rule is asked about a path.
    async fn reads(&self, path: &str) {
        while within(self.asked.recv()).await.expect("a head") != path {}
    }

    fn none_begins(&self) {
        let begun = self.started.try_recv().map(|(path, _)| path);
        assert!(begun.is_err(), "{begun:?} began");
    }

    fn answer(&self, path: &str, answer: Answer) {
        self.gates.of(path).0.try_send(answer).expect("open");
    }
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n")
}

fn gets(paths: &[&str]) -> String {
    paths.iter().map(|path| get(path)).collect()
}

async fn next_path(caller: &mut RawCaller) -> String {
    caller.response().await.expect("an answer").text()
}

#[async_std::test]
async fn requests_that_may_run_side_by_side_and_are_answered_in_order() {
    let (stage, handler) = stage();
    let server = TestServer::start(quick_limits(), handler).await;
    let mut caller = RawCaller::connect(server.address).await;
    let paths: Vec<String> = (0..8).map(|number| format!("/safe/{number}")).collect();
    let paths: Vec<&str> = paths.iter().map(String::as_str).collect();
    caller.send(get(paths[0])).await;
    assert_eq!(stage.begins().await.1.unanswered_before, 0);
    caller.send(gets(&paths[1..])).await;
    for (before, sent) in paths.iter().enumerate().skip(1) {
        let (path, connection) = stage.begins().await;
        assert_eq!(
            (path.as_str(), connection.unanswered_before),
            (*sent, before)
        );
    }
    for path in paths.iter().rev() {
        stage.answer(path, Answer::Path);
    }
    for path in &paths {
        assert_eq!(next_path(&mut caller).await, *path);
    }
    let report = server.finish().await;
    assert_eq!((report.requests, report.hung_up), (8, 0));
}

#[async_std::test]
async fn one_that_changes_something_runs_alone() {
    let (stage, handler) = stage();
    let server = TestServer::start(quick_limits(), handler).await;
    let mut caller = RawCaller::connect(server.address).await;
    let paths = ["/safe/1", "/safe/2", "/change/3", "/safe/4", "/safe/5"];
    caller.send(gets(&paths)).await;
    stage.all_begin(&paths[..2]).await;
    stage.reads(paths[2]).await;
    stage.none_begins();
    stage.answer(paths[0], Answer::Path);
    assert_eq!(next_path(&mut caller).await, paths[0]);
    stage.none_begins();
    stage.answer(paths[1], Answer::Path);
    assert_eq!(next_path(&mut caller).await, paths[1]);
    stage.all_begin(&paths[2..3]).await;
    stage.none_begins();
    stage.answer(paths[2], Answer::Path);
    assert_eq!(next_path(&mut caller).await, paths[2]);
    stage.all_begin(&paths[3..]).await;
    for path in &paths[3..] {
        stage.answer(path, Answer::Path);
        assert_eq!(next_path(&mut caller).await, *path);
    }
    assert_eq!(server.finish().await.requests, 5);
}

#[async_std::test]
async fn one_with_a_body_waits_and_gets_its_own_body() {
    let (stage, handler) = stage();
    let server = TestServer::start(quick_limits(), handler).await;
    let mut caller = RawCaller::connect(server.address).await;
    let put = "PUT /safe/body HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nGET / HTT";
    caller.send([&get("/safe/1"), put].concat()).await;
    stage.all_begin(&["/safe/1"]).await;
    stage.none_begins();
    stage.answer("/safe/1", Answer::Path);
    assert_eq!(next_path(&mut caller).await, "/safe/1");
    stage.all_begin(&["/safe/body"]).await;
    // It leaves its body unread: the connection cannot carry another.
    stage.answer("/safe/body", Answer::Path);
    let last = caller.response().await.expect("an answer");
    assert_eq!(last.header("connection"), Some("close"));
    assert_eq!(server.finish().await.requests, 2);
}

#[async_std::test]
async fn no_more_run_than_allowed() {
    let (stage, handler) = stage();
    let limits = ServerLimits {
        max_pipelined_requests: 2,
        ..quick_limits()
    };
    let server = TestServer::start(limits, handler).await;
    let mut caller = RawCaller::connect(server.address).await;
    let paths = ["/safe/1", "/safe/2", "/safe/3", "/safe/4", "/safe/5"];
    caller.send(gets(&paths)).await;
    stage.all_begin(&paths[..3]).await;
    // One that is answered before its turn keeps its place.
    stage.answer(paths[1], Answer::Path);
    within(stage.dropped.recv()).await.expect("ended");
    stage.none_begins();
    stage.answer(paths[0], Answer::Path);
    assert_eq!(next_path(&mut caller).await, paths[0]);
    assert_eq!(next_path(&mut caller).await, paths[1]);
    stage.all_begin(&paths[3..]).await;
    for path in &paths[2..] {
        stage.answer(path, Answer::Path);
        assert_eq!(next_path(&mut caller).await, *path);
    }
    server.finish().await;
}

#[async_std::test]
async fn answers_that_wait_for_their_turn_hold_back_further_requests() {
    let (stage, handler) = stage();
    let limits = ServerLimits {
        max_pipelined_response_bytes: 100,
        ..quick_limits()
    };
    let server = TestServer::start(limits, handler).await;
    let mut caller = RawCaller::connect(server.address).await;
    caller.send(gets(&["/safe/1", "/safe/2"])).await;
    stage.all_begin(&["/safe/1", "/safe/2"]).await;
    stage.answer("/safe/2", Answer::Bytes(100));
    within(stage.dropped.recv()).await.expect("ended");
    caller.send(get("/safe/3")).await;
    stage.answer("/safe/1", Answer::Path);
    assert_eq!(next_path(&mut caller).await, "/safe/1");
    assert_eq!(next_path(&mut caller).await.len(), 100);
    let (path, connection) = stage.begins().await;
    // It began when nothing was held any more.
    assert_eq!(
        (path.as_str(), connection.unanswered_before),
        ("/safe/3", 0)
    );
    stage.answer("/safe/3", Answer::Path);
    assert_eq!(next_path(&mut caller).await, "/safe/3");
    server.finish().await;
}

#[async_std::test]
async fn a_caller_that_leaves_ends_all_its_requests() {
    let (stage, handler) = stage();
    let server = TestServer::start(quick_limits(), handler).await;
    let mut caller = RawCaller::connect(server.address).await;
    let paths = ["/safe/1", "/safe/2", "/safe/3", "/change/4"];
    caller.send(gets(&paths)).await;
    stage.all_begin(&paths[..3]).await;
    drop(caller);
    for _ in 0..3 {
        within(stage.dropped.recv()).await.expect("dropped");
    }
    let report = server.finish().await;
    stage.none_begins();
    assert_eq!((report.requests, report.hung_up), (3, 3));
}

#[async_std::test]
async fn a_planned_stop_answers_all_that_was_begun_and_begins_no_more() {
    let (stage, handler) = stage();
    let server = TestServer::start(quick_limits(), handler).await;
    let mut caller = RawCaller::connect(server.address).await;
    let paths = ["/safe/1", "/safe/2", "/safe/3", "/change/4"];
    caller.send(gets(&paths)).await;
    stage.all_begin(&paths[..3]).await;
    stage.reads(paths[3]).await;
    server.stop.stop();
    for path in &paths[..3] {
        stage.answer(path, Answer::Path);
        let answer = caller.response().await.expect("an answer");
        assert_eq!(answer.text(), *path);
        let last = (*path == paths[2]).then_some("close");
        assert_eq!(answer.header("connection"), last);
    }
    assert_eq!(caller.rest().await, b"");
    let report = server.finish().await;
    stage.none_begins();
    assert_eq!((report.requests, report.aborted), (3, 0));
}

#[async_std::test]
async fn a_close_that_an_answer_asks_for_waits_for_those_begun_behind_it() {
    let (stage, handler) = stage();
    let server = TestServer::start(quick_limits(), handler).await;
    let mut caller = RawCaller::connect(server.address).await;
    caller.send(gets(&["/safe/1", "/safe/2"])).await;
    stage.all_begin(&["/safe/1", "/safe/2"]).await;
    stage.answer("/safe/1", Answer::Close);
    let first = caller.response().await.expect("an answer");
    assert_eq!(first.header("connection"), None);
    caller.send(get("/safe/3")).await;
    stage.answer("/safe/2", Answer::Path);
    let second = caller.response().await.expect("an answer");
    assert_eq!(second.text(), "/safe/2");
    assert_eq!(second.header("connection"), Some("close"));
    assert_eq!(caller.rest().await, b"");
    assert_eq!(server.finish().await.requests, 2);
    stage.none_begins();
}

/// The answer is more than the sockets hold, so that the next request comes
/// while it is leaving: begun, that one would run and get no answer.
#[async_std::test]
async fn nothing_begins_while_an_answer_that_closes_is_leaving() {
    let (stage, handler) = stage();
    let server = TestServer::start(quick_limits(), handler).await;
    let mut caller = RawCaller::connect(server.address).await;
    caller.send(get("/safe/1")).await;
    stage.all_begin(&["/safe/1"]).await;
    stage.answer("/safe/1", Answer::CloseAfter(32 * 1024 * 1024));
    caller.send(get("/safe/2")).await;
    assert!(caller.rest().await.len() > 32 * 1024 * 1024);
    assert_eq!(server.finish().await.requests, 1);
    stage.none_begins();
}

#[async_std::test]
async fn nothing_runs_behind_a_request_with_which_the_caller_closes() {
    let (stage, handler) = stage();
    let server = TestServer::start(quick_limits(), handler).await;
    let mut caller = RawCaller::connect(server.address).await;
    let closing = "GET /safe/2 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    let sent = [&get("/safe/1"), closing, &get("/safe/3")].concat();
    caller.send(sent).await;
    stage.all_begin(&["/safe/1", "/safe/2"]).await;
    stage.answer("/safe/2", Answer::Path);
    stage.answer("/safe/1", Answer::Path);
    assert_eq!(next_path(&mut caller).await, "/safe/1");
    let last = caller.response().await.expect("an answer");
    assert_eq!(last.header("connection"), Some("close"));
    assert_eq!(caller.rest().await, b"");
    assert_eq!(server.finish().await.requests, 2);
    stage.none_begins();
}

#[async_std::test]
async fn bytes_that_are_no_request_are_refused_behind_the_answers_before_them() {
    let (stage, handler) = stage();
    let server = TestServer::start(quick_limits(), handler).await;
    let mut caller = RawCaller::connect(server.address).await;
    let sent = [&gets(&["/safe/1", "/safe/2"]), "nonsense\r\n\r\n"].concat();
    caller.send(sent).await;
    stage.all_begin(&["/safe/1", "/safe/2"]).await;
    stage.answer("/safe/2", Answer::Path);
    stage.answer("/safe/1", Answer::Path);
    assert_eq!(next_path(&mut caller).await, "/safe/1");
    assert_eq!(next_path(&mut caller).await, "/safe/2");
    assert_eq!(caller.response().await.expect("a refusal").status, 400);
    assert_eq!(caller.rest().await, b"");
    let report = server.finish().await;
    assert_eq!((report.requests, report.refused_requests), (2, 1));
}

#[async_std::test]
async fn an_answer_cut_short_ends_those_behind_it_and_looks_like_none_of_theirs() {
    let (stage, handler) = stage();
    let server = TestServer::start(quick_limits(), handler).await;
    let mut caller = RawCaller::connect(server.address).await;
    caller.send(gets(&["/safe/1", "/safe/2"])).await;
    stage.all_begin(&["/safe/1", "/safe/2"]).await;
    stage.answer("/safe/2", Answer::Path);
    stage.answer("/safe/1", Answer::Short(200_000));
    let rest = String::from_utf8(caller.rest().await).expect("text");
    let (_, body) = rest.split_once("\r\n\r\n").expect("a head");
    assert!(!body.is_empty() && body.len() <= 200_000);
    assert!(
        body.bytes().all(|byte| byte == b'x'),
        "bytes of another answer"
    );
    let report = server.finish().await;
    assert_eq!((report.truncated, report.abandoned), (1, 1));
}

#[async_std::test]
async fn an_answer_lost_before_any_of_it_left_ends_none_behind_it() {
    let (stage, handler) = stage();
    let server = TestServer::start(quick_limits(), handler).await;
    let mut caller = RawCaller::connect(server.address).await;
    caller.send(gets(&["/safe/1", "/safe/2"])).await;
    stage.all_begin(&["/safe/1", "/safe/2"]).await;
    stage.answer("/safe/1", Answer::Short(5));
    stage.answer("/safe/2", Answer::Path);
    assert_eq!(caller.response().await.expect("an answer").status, 502);
    assert_eq!(next_path(&mut caller).await, "/safe/2");
    let report = server.finish().await;
    assert_eq!((report.truncated, report.abandoned), (1, 0));
}

#[async_std::test]
async fn the_time_of_a_request_counts_from_when_it_came() {
    let (stage, handler) = stage();
    let server = TestServer::start(quick_limits(), handler).await;
    let mut caller = RawCaller::connect(server.address).await;
    caller.send(gets(&["/safe/1", "/change/2"])).await;
    stage.all_begin(&["/safe/1"]).await;
    stage.reads("/change/2").await;
    let read = Instant::now();
    stage.answer("/safe/1", Answer::Path);
    assert_eq!(next_path(&mut caller).await, "/safe/1");
    let (path, connection) = stage.begins().await;
    assert_eq!(path, "/change/2");
    assert!(connection.read_at <= read);
    stage.answer("/change/2", Answer::Path);
    assert_eq!(next_path(&mut caller).await, "/change/2");
    server.finish().await;
}
