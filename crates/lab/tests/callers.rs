//! Tests of callers on loopback: they verify that a response belongs to their
//! request, and retry only when that is safe.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use async_std::net::TcpListener;
use async_std::task;
use http_types::{Request, Response, StatusCode};
use support::OutputLines;
use threadledge_lab::clock;
use threadledge_lab::history::{Attempt, AttemptOutcome, Event, Recorder, RequestId};
use threadledge_lab::load::{CallerSettings, PopularitySettings, TrafficSettings, run_process};
use threadledge_lab::stand_in::back_end::{
    ANSWER_CHECKSUM_HEADER, LAB_REQUEST_HEADER, answer_body, answer_checksum,
};
use threadledge_types::ServiceId;
use threadledge_types::outcome::{OUTCOME_HEADER, REASON_HEADER};

type Router = fn(RequestId) -> Response;

fn answers(request: RequestId) -> Response {
    let body = answer_body(request);
    let mut response = Response::new(StatusCode::Ok);
    response.insert_header(OUTCOME_HEADER, "answered");
    response.insert_header(ANSWER_CHECKSUM_HEADER, answer_checksum(body.as_bytes()));
    response.set_body(body);
    response
}

/// Returns a complete, well-formed response to another request.
fn answer_another_request(request: RequestId) -> Response {
    answers(RequestId(request.0 + 1))
}

fn not_ready(_: RequestId) -> Response {
    let mut response = Response::new(StatusCode::ServiceUnavailable);
    response.insert_header(OUTCOME_HEADER, "not-run");
    response.insert_header(REASON_HEADER, "not-ready");
    response
}

fn unknown(_: RequestId) -> Response {
    let mut response = Response::new(StatusCode::BadGateway);
    response.insert_header(OUTCOME_HEADER, "unknown");
    response.insert_header(REASON_HEADER, "connection-lost");
    response
}

async fn serve(router: Router) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    task::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let served = async_h1::accept(stream, move |request: Request| async move {
                let name = request.header(LAB_REQUEST_HEADER).expect("a name").as_str();
                Ok(router(RequestId(name.parse().expect("a number"))))
            });
            task::spawn(served);
        }
    });
    address
}

/// Sends one second of load, which is sent immediately because all of it is
/// overdue. Returns the attempts of each request and whether its response
/// matched.
async fn call(routers: Vec<SocketAddr>, repeatable: bool) -> Vec<(Vec<Attempt>, Option<bool>)> {
    let lines = OutputLines::default();
    let now = clock::now();
    let traffic = TrafficSettings {
        service: ServiceId::new("kauri", "order-svc"),
        host: "order.kauri.example.org".to_owned(),
        method: "POST".to_owned(),
        path: "/v1/orders/{key}".to_owned(),
        key_header: None,
        per_second: 20.0,
        repeatable,
        patience_ms: 60_000,
        retries_at_once: 0,
        popularity: PopularitySettings {
            keys: 10,
            exponent: 1.0,
            hot_keys: 0,
            shift_ms: 0,
        },
    };
    let settings = CallerSettings {
        routers,
        traffic: vec![traffic],
        direct: None,
        begin: now - Duration::from_secs(1),
        end: now,
        seed: 7,
        surges: Vec::new(),
        first_request: 0,
    };
    run_process(settings, Recorder::new(Box::new(lines.clone()))).await;
    let ended = lines.events().into_iter().filter_map(|event| match event {
        Event::RequestEnded {
            attempts,
            answer_matches,
            ..
        } => Some((attempts, answer_matches)),
        _ => None,
    });
    ended.collect()
}

fn outcomes(attempts: &[Attempt]) -> Vec<AttemptOutcome> {
    attempts.iter().map(|attempt| attempt.outcome).collect()
}

#[test]
fn a_caller_retries_at_the_next_router_if_one_is_not_ready() {
    task::block_on(async {
        let routers = vec![serve(not_ready).await, serve(answers).await];
        let requests = call(routers, false).await;
        assert!(requests.len() > 5, "{} requests", requests.len());
        for (attempts, matches) in &requests {
            let expected = match attempts[0].router {
                0 => vec![AttemptOutcome::NotRun, AttemptOutcome::Answered],
                _ => vec![AttemptOutcome::Answered],
            };
            assert_eq!((outcomes(attempts), *matches), (expected, Some(true)));
        }
        assert!(requests.iter().any(|(attempts, _)| attempts.len() == 2));
    });
}

#[test]
fn a_response_to_another_request_is_detected() {
    task::block_on(async {
        let requests = call(vec![serve(answer_another_request).await], false).await;
        assert!(requests.iter().all(|(_, matches)| *matches == Some(false)));
    });
}

#[test]
fn a_request_that_may_have_run_is_not_retried() {
    task::block_on(async {
        let routers = vec![serve(unknown).await, serve(unknown).await];
        for (attempts, matches) in call(routers, false).await {
            assert_eq!(outcomes(&attempts), vec![AttemptOutcome::Unknown]);
            assert_eq!(matches, None);
        }
    });
}

#[test]
fn a_refused_connection_counts_as_not_sent() {
    task::block_on(async {
        let closed = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = closed.local_addr().expect("an address");
        drop(closed);
        for (attempts, _) in call(vec![address], false).await {
            assert_eq!(outcomes(&attempts), vec![AttemptOutcome::NotSent]);
        }
    });
}
