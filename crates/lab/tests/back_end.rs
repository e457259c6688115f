//! Tests over real sockets that a stand-in back end enforces its grants, its
//! lease, deadlines and the bound of its queue.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::net::TcpStream;
use async_std::task;
use http_types::{Body, Method, Request, Response, Url};
use support::OutputLines;
use threadledge_lab::clock;
use threadledge_lab::history::{Event, Recorder};
use threadledge_lab::stand_in::back_end::{
    BackEnd, BackEndSettings, ColdStart, LAB_REQUEST_HEADER, RunningBackEnd, ServiceTimeSettings,
    serve,
};
use threadledge_types::session::{
    DEADLINE_HEADER, EPOCH_HEADER, Grant, GrantsUpdate, GrantsVersion, LEASE_PATH, LeaseRequest,
    LeaseResponse, LeaseSequence, POINT_HEADER, REFUSAL_HEADER, SERVICE_HEADER,
};
use threadledge_types::{
    BackEndId, Epoch, Generation, GroupId, Incarnation, Point, Revision, ServiceId, Slice,
};

const LONG_LEASE_MS: u64 = 60_000;
const INCARNATION: Incarnation = Incarnation(7);

fn settings(slots: u32, queue: u32, median_ms: f64) -> BackEndSettings {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    BackEndSettings {
        id: BackEndId::new("kauri", "order-1"),
        address: any,
        control_address: any,
        slots,
        connections: 8,
        queue,
        service_time: ServiceTimeSettings {
            median_ms,
            spread: 0.0,
        },
        cold_start: ColdStart {
            for_ms: 0,
            factor: 1.0,
        },
        connect_ms: 0,
        probe_ms: 0,
        report_lag_ms: 0,
        prepare_ms: 0,
        seed: 1,
    }
}

struct TestServer {
    running: RunningBackEnd,
    back_end: Arc<BackEnd>,
    lines: OutputLines,
}

async fn start_back_end(settings: BackEndSettings) -> TestServer {
    let lines = OutputLines::default();
    let recorder = Recorder::new(Box::new(lines.clone()));
    let back_end = Arc::new(BackEnd::new(settings, INCARNATION, recorder));
    let running = serve(back_end.clone()).await.expect("two free ports");
    TestServer {
        running,
        back_end,
        lines,
    }
}

fn service() -> ServiceId {
    ServiceId::new("kauri", "order-svc")
}

fn epoch(index: u64) -> Epoch {
    Epoch(Revision::new(Generation(1), index))
}

fn lease_request(sequence: u64, grants: GrantsUpdate, lease_ms: u64) -> LeaseRequest {
    LeaseRequest {
        group: GroupId(0),
        back_end: BackEndId::new("kauri", "order-1"),
        incarnation: Some(INCARNATION),
        order: LeaseSequence {
            generation: Generation(1),
            term: 1,
            sequence,
        },
        echo: Some(clock::now()),
        lease_ms,
        grants,
        prepare: Vec::new(),
    }
}

fn grant_all(number: u64) -> GrantsUpdate {
    let grant = Grant {
        service: service(),
        slice: Slice::ALL,
        epoch: epoch(5),
    };
    GrantsUpdate::Full {
        version: version(number),
        grants: vec![grant],
    }
}

fn version(number: u64) -> GrantsVersion {
    GrantsVersion {
        generation: Generation(1),
        term: 1,
        number,
    }
}

impl TestServer {
    async fn lease(&self, request: &LeaseRequest) -> LeaseResponse {
        let address = self.running.control_address;
        let url = Url::parse(&format!("http://{address}{LEASE_PATH}")).expect("a URL");
        let mut message = Request::new(Method::Post, url);
        message.set_body(Body::from_json(request).expect("JSON"));
        let stream = TcpStream::connect(address).await.expect("a connection");
        let mut response = async_h1::connect(stream, message).await.expect("an answer");
        response.body_json().await.expect("a lease response")
    }

    async fn send_request(&self, number: u64, under: Epoch, deadline_ms: u64) -> Response {
        let stream = TcpStream::connect(self.running.address)
            .await
            .expect("a connection");
        async_h1::connect(stream, build_request(number, under, deadline_ms))
            .await
            .expect("an answer")
    }

    fn completed(&self) -> usize {
        let events = self.lines.events();
        let ended = events.iter();
        ended
            .filter(|event| {
                matches!(
                    event,
                    Event::ExecutionEnded {
                        completed: true,
                        ..
                    }
                )
            })
            .count()
    }
}

fn build_request(number: u64, under: Epoch, deadline_ms: u64) -> Request {
    let url = Url::parse("http://orders.example/orders").expect("a URL");
    let mut request = Request::new(Method::Post, url);
    request.insert_header(LAB_REQUEST_HEADER, number.to_string());
    request.insert_header(SERVICE_HEADER, service().to_string());
    request.insert_header(POINT_HEADER, Point(9).to_string());
    request.insert_header(EPOCH_HEADER, under.to_string());
    request.insert_header(DEADLINE_HEADER, deadline_ms.to_string());
    request.set_body("one window");
    request
}

fn refusal(response: &Response) -> Option<&str> {
    response
        .header(REFUSAL_HEADER)
        .map(|values| values.as_str())
}

#[test]
fn a_request_without_a_grant_is_not_executed() {
    task::block_on(async {
        let server = start_back_end(settings(2, 4, 1.0)).await;
        let response = server.send_request(1, epoch(5), 1_000).await;
        assert_eq!(u16::from(response.status()), 421);
        assert_eq!(refusal(&response), Some("wrong-owner"));
        assert_eq!(server.completed(), 0);
    });
}

#[test]
fn a_granted_request_is_answered_with_its_own_id_and_recorded() {
    task::block_on(async {
        let server = start_back_end(settings(2, 4, 1.0)).await;
        server
            .lease(&lease_request(1, grant_all(1), LONG_LEASE_MS))
            .await;
        let mut response = server.send_request(42, epoch(5), 10_000).await;
        let body = response.body_string().await.expect("a body");
        assert!(body.starts_with("request 42\n"));
        assert_eq!(server.completed(), 1);
        let taken = server.lines.events();
        assert!(
            taken
                .iter()
                .any(|event| matches!(event, Event::GrantTaken { .. }))
        );
    });
}

#[test]
fn a_stale_epoch_and_an_expired_lease_are_refused() {
    task::block_on(async {
        let server = start_back_end(settings(2, 4, 1.0)).await;
        server
            .lease(&lease_request(1, grant_all(1), LONG_LEASE_MS))
            .await;
        assert_eq!(
            refusal(&server.send_request(1, epoch(4), 1_000).await),
            Some("wrong-owner")
        );

        let other = back_end_with_expired_lease().await;
        assert_eq!(
            refusal(&other.send_request(1, epoch(5), 1_000).await),
            Some("lease-lapsed")
        );
        assert_eq!(server.completed() + other.completed(), 0);
    });
}

/// Starts a back end whose lease expired when it was granted.
async fn back_end_with_expired_lease() -> TestServer {
    let server = start_back_end(settings(2, 4, 1.0)).await;
    server.lease(&lease_request(1, grant_all(1), 0)).await;
    server
}

#[test]
fn a_request_past_its_deadline_has_no_effect() {
    task::block_on(async {
        let server = start_back_end(settings(1, 4, 60_000.0)).await;
        server
            .lease(&lease_request(1, grant_all(1), LONG_LEASE_MS))
            .await;
        let response = server.send_request(1, epoch(5), 20).await;
        assert_eq!(refusal(&response), Some("deadline-passed"));
        assert_eq!(server.completed(), 0);
        assert_eq!(server.back_end.slots.running(), 0);
    });
}

#[test]
fn a_full_queue_sheds_load_and_a_disconnect_frees_the_slot() {
    task::block_on(async {
        let server = start_back_end(settings(1, 0, 60_000.0)).await;
        server
            .lease(&lease_request(1, grant_all(1), LONG_LEASE_MS))
            .await;
        let stream = TcpStream::connect(server.running.address)
            .await
            .expect("a connection");
        let endless = async_h1::connect(stream.clone(), build_request(1, epoch(5), 60_000));
        let endless = task::spawn(endless);
        wait_until(|| server.back_end.slots.running() == 1).await;
        let response = server.send_request(2, epoch(5), 1_000).await;
        assert_eq!(refusal(&response), Some("overloaded"));
        stream
            .shutdown(std::net::Shutdown::Both)
            .expect("an open connection");
        drop(endless.await);
        wait_until(|| server.back_end.slots.running() == 0).await;
        assert_eq!(server.completed(), 0);
    });
}

#[test]
fn a_revoked_grant_is_released() {
    task::block_on(async {
        let server = start_back_end(settings(2, 4, 1.0)).await;
        server
            .lease(&lease_request(1, grant_all(1), LONG_LEASE_MS))
            .await;
        let none = GrantsUpdate::Full {
            version: version(2),
            grants: Vec::new(),
        };
        let response = server.lease(&lease_request(2, none, LONG_LEASE_MS)).await;
        assert!(response.taken && response.releasing.is_empty());
        assert_eq!(
            refusal(&server.send_request(1, epoch(5), 1_000).await),
            Some("wrong-owner")
        );
        let released = server.lines.events();
        assert!(
            released
                .iter()
                .any(|event| matches!(event, Event::GrantReleased { .. }))
        );
    });
}

/// Polls until `condition` holds.
async fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        task::sleep(Duration::from_millis(1)).await;
    }
}
