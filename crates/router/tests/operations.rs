//! Tests of the operators' service over real sockets, its client and its text
//! output.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime};

use async_std::net::TcpListener;
use async_std::task;
use threadledge::metrics::{ControlState, Metrics};
use threadledge::operations::{
    ClientError, ExplainError, ExplainRequest, ExplainedRoute, Explanation, MemberState,
    MemberStatus, NotReadyReason, OperatorClient, OperatorService, Readiness, RouterView,
    SelectedBackEnd, ServiceStatus, SessionStatus, SliceOwner, StatusReport, explanation_text,
    serve, status_text,
};
use threadledge_net::{HttpClient, StopSignal};
use threadledge_types::objects::{KeySource, Priority};
use threadledge_types::{
    BackEndId, Epoch, Generation, Incarnation, Outcome, Revision, RouterId, RouterIdentity,
    ServiceId, SessionId, Slice, hash_key,
};

const TIMEOUT: Duration = Duration::from_secs(5);

/// A fake router that serves one host.
#[derive(Default)]
struct FakeRouter {
    draining: AtomicBool,
}

impl RouterView for FakeRouter {
    fn status(&self) -> StatusReport {
        StatusReport {
            router: identity(),
            uptime_ms: 5_000,
            readiness: self.readiness(),
            revision: Revision::new(Generation(1), 42),
            confirmed_age_ms: Some(120),
            requests_in_flight: 3,
            members: vec![MemberStatus {
                identity: identity(),
                state: MemberState::Alive,
            }],
            groups: Vec::new(),
            sessions: vec![SessionStatus {
                session: session(),
                draining: false,
                slices: 64,
            }],
            services: vec![ServiceStatus {
                service: ServiceId::new("hearts", "gallery"),
                resource_version: 7,
                back_ends: 15,
                slices: 960,
                unowned: 0,
                moving: 2,
                imbalance: Some(1.04),
            }],
        }
    }

    fn explain(&self, request: &ExplainRequest) -> Result<Explanation, ExplainError> {
        if request.host != "gallery.example" {
            return Err(ExplainError::UnknownHost {
                host: request.host.clone(),
            });
        }
        let key = request
            .headers
            .iter()
            .find(|(name, _)| name == "x-member")
            .map(|(_, value)| value.clone())
            .ok_or_else(|| ExplainError::MissingKey {
                route: "browse".to_owned(),
                source_of_key: "header x-member".to_owned(),
            })?;
        Ok(explanation(key))
    }

    fn readiness(&self) -> Readiness {
        if self.draining.load(Ordering::SeqCst) {
            Readiness::not_ready(NotReadyReason::Draining)
        } else {
            Readiness::ready()
        }
    }

    fn start_drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }
}

fn identity() -> RouterIdentity {
    RouterIdentity {
        id: RouterId(7),
        machine: "router-1".into(),
        incarnation: Incarnation(1),
        region: "luzon".into(),
        zone: "luzon-a".into(),
        peer_address: ([127, 0, 0, 1], 8_081).into(),
        caller_address: ([127, 0, 0, 1], 8_080).into(),
    }
}

fn session() -> SessionId {
    SessionId {
        back_end: BackEndId::new("hearts", "gallery-01"),
        incarnation: Incarnation(9),
    }
}

fn explanation(key: String) -> Explanation {
    let point = hash_key(key.as_bytes());
    Explanation {
        service: ServiceId::new("hearts", "gallery"),
        route: ExplainedRoute {
            name: "browse".to_owned(),
            key: KeySource::Header("x-member".to_owned()),
            repeatable: true,
            priority: Priority::Normal,
            deadline_ms: 2_000,
            may_queue: false,
        },
        selector: "app=gallery".to_owned(),
        selected: vec![SelectedBackEnd {
            back_end: session().back_end,
            session_open: true,
            draining: false,
        }],
        key,
        point,
        slice: Slice::ALL,
        owner: Some(SliceOwner {
            session: session(),
            address: Some(([127, 0, 0, 1], 9_000).into()),
        }),
        epoch: Epoch(Revision::new(Generation(1), 17)),
        next: None,
        revision: Revision::new(Generation(1), 42),
    }
}

/// Runs `test` against the operators' service of a fake router.
fn with_service<F: Future<Output = ()>>(test: impl FnOnce(SocketAddr, Metrics) -> F) {
    task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let metrics = Metrics::new(SystemTime::UNIX_EPOCH).expect("names are valid");
        let service = OperatorService::new(Arc::new(FakeRouter::default()), metrics.clone());
        let stop = StopSignal::new();
        let server = task::spawn(serve(listener, service, stop.clone()));
        test(address, metrics).await;
        stop.stop();
        server.await;
    });
}

/// Sends a request and returns the status and body of the response.
async fn send(address: SocketAddr, method: &str, path: &str) -> (u16, String) {
    let request = http::Request::builder()
        .method(method)
        .uri(path)
        .body(Vec::new())
        .expect("a valid request");
    let response = HttpClient::default()
        .send(address, request, TIMEOUT)
        .await
        .expect("an answer");
    let status = response.status().as_u16();
    let body = String::from_utf8(response.into_body()).expect("text");
    (status, body)
}

fn request(host: &str, headers: &[(&str, &str)]) -> ExplainRequest {
    ExplainRequest {
        host: host.to_owned(),
        method: "GET".to_owned(),
        path: "/near?a=b&c=%20".to_owned(),
        headers: headers
            .iter()
            .map(|(name, value)| ((*name).to_owned(), (*value).to_owned()))
            .collect(),
    }
}

#[test]
fn drain_makes_the_router_not_ready_and_says_why() {
    with_service(|address, _| async move {
        assert_eq!(send(address, "GET", "/healthz").await.0, 200);
        assert_eq!(send(address, "GET", "/readyz").await.0, 200);
        OperatorClient::new(address)
            .drain()
            .await
            .expect("accepted");
        let (status, body) = send(address, "GET", "/readyz").await;
        assert_eq!(status, 503);
        assert!(body.starts_with("draining: "), "{body}");
        assert_eq!(send(address, "GET", "/healthz").await.0, 200);
    });
}

#[test]
fn status_and_explanation_survive_the_round_trip() {
    with_service(|address, _| async move {
        let client = OperatorClient::new(address);
        let status = client.status().await.expect("a status");
        assert_eq!(status, FakeRouter::default().status());
        let explain_request = request("gallery.example", &[("x-member", "ann&b=c d:e%20é")]);
        let explained = client
            .explain(&explain_request)
            .await
            .expect("an explanation");
        assert_eq!(explained, explanation("ann&b=c d:e%20é".to_owned()));
    });
}

#[test]
fn refusals_carry_the_callers_status_and_the_remedy() {
    with_service(|address, _| async move {
        let client = OperatorClient::new(address);
        for (explain_request, expected) in [
            (request("other.example", &[]), 404),
            (request("gallery.example", &[]), 400),
        ] {
            match client.explain(&explain_request).await {
                Err(ClientError::Refused { status, message }) => {
                    assert_eq!(status, expected);
                    assert!(message.contains("add "), "{message}");
                }
                other => panic!("{other:?}"),
            }
        }
    });
}

#[test]
fn malformed_operator_requests_are_refused() {
    with_service(|address, _| async move {
        for (method, path, expected) in [
            ("GET", "/nothing", 404),
            ("GET", "/v1/drain", 405),
            ("POST", "/v1/status", 405),
            ("GET", "/v1/explain", 400),
            ("GET", "/v1/explain?host=a&path=b", 400),
            ("GET", "/v1/explain?host=a&path=/&header=x", 400),
            ("GET", "/v1/explain?host=a&path=/&colour=x", 400),
        ] {
            let (status, body) = send(address, method, path).await;
            assert_eq!(status, expected, "{method} {path}");
            assert!(body.contains("message"), "{body}");
        }
    });
}

#[test]
fn metrics_are_served_as_text() {
    with_service(|address, metrics| async move {
        let service = ServiceId::new("hearts", "gallery");
        let elapsed = Duration::from_millis(3);
        metrics.count_request(Some(&service), "browse", Outcome::Answered, elapsed);
        metrics.set_control(&ControlState {
            term: 5,
            revision: Revision::new(Generation(2), 42),
            members: 3,
            confirmed_age: None,
        });
        let (status, body) = send(address, "GET", "/metrics").await;
        assert_eq!(status, 200);
        for line in [
            "threadledge_requests_total{outcome=\"answered\",reason=\"\",route=\"browse\",service=\"hearts/gallery\"} 1",
            "threadledge_request_seconds_count{route=\"browse\",service=\"hearts/gallery\"} 1",
            "threadledge_group_term 5",
            "threadledge_group_generation 2",
            "threadledge_revision_index 42",
            "threadledge_members_alive 3",
            "threadledge_confirmed_age_seconds -1",
            "process_start_time_seconds 0",
        ] {
            assert!(
                body.lines().any(|found| found == line),
                "{line} not in\n{body}"
            );
        }
    });
}

#[test]
fn client_error_names_the_remedy_when_router_does_not_respond() {
    task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        drop(listener);
        let error = OperatorClient::new(address)
            .status()
            .await
            .expect_err("nobody");
        assert!(error.to_string().contains("operator-address"), "{error}");
    });
}

#[test]
fn texts_contain_the_main_fields() {
    let text = status_text(&FakeRouter::default().status());
    for part in [
        "router-1",
        "1.42",
        "confirmed 120 ms",
        "hearts/gallery-01@9",
        "imbalance 1.04",
    ] {
        assert!(text.contains(part), "{part} not in\n{text}");
    }
    let text = explanation_text(&explanation("ann".to_owned()));
    for part in [
        "hearts/gallery",
        "app=gallery",
        "browse",
        "1.17",
        "127.0.0.1:9000",
        "revision  1.42",
    ] {
        assert!(text.contains(part), "{part} not in\n{text}");
    }
}
