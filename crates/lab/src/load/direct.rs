//! Direct calls to a back end without a router, as the latency baseline of the
//! same run.
//!
//! The back end is a stand-in that enforces its grants, so the direct caller
//! first grants it every point of a service of its own.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::net::TcpStream;
use async_std::task;
use http_types::{Body, Method, Request, Url};
use threadledge_types::session::{
    EPOCH_HEADER, Grant, GrantsUpdate, GrantsVersion, LEASE_PATH, LeaseRequest, LeaseResponse,
    LeaseSequence, POINT_HEADER, SERVICE_HEADER,
};
use threadledge_types::{Epoch, Generation, GroupId, Revision, Slice, Timestamp, hash_key};

use super::arrivals::Arrivals;
use super::caller::Callers;
use super::connection_pool::ConnectionPool;
use super::exchange::{OutgoingRequest, SUCCESS_STATUS, exchange};
use super::settings::{CallerSettings, DirectSettings};
use crate::clock;
use crate::history::{Attempt, AttemptOutcome, Event};

/// Group number that no router uses.
const DIRECT_GROUP: GroupId = GroupId(u32::MAX);
/// Lease of the direct back end, longer than any run.
const DIRECT_LEASE: Duration = Duration::from_secs(24 * 3_600);
/// Timeout of a direct call.
const DIRECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Generation of the direct caller's grants and leases.
const GENERATION: Generation = Generation(1);

/// Grants the back end every point of its service, then calls it until the
/// load ends.
///
/// # Errors
///
/// Fails if the back end does not accept the grant.
pub(super) async fn call_directly(
    callers: Arc<Callers>,
    settings: &CallerSettings,
    direct: DirectSettings,
) -> http_types::Result<()> {
    let grant = Grant {
        service: direct.service.clone(),
        slice: Slice::ALL,
        epoch: Epoch(Revision::new(GENERATION, 1)),
    };
    grant_everything(&direct, &grant).await?;
    let connections = Arc::new(ConnectionPool::new(direct.address));
    let seed = settings.seed.wrapping_add(u64::MAX / 3);
    let arrivals = Arrivals::new(settings.begin, direct.per_second, seed);
    for intended in arrivals.take_while(|intended| *intended < settings.end) {
        task::sleep(intended.since(clock::now())).await;
        let callers = callers.clone();
        let connections = connections.clone();
        let grant = grant.clone();
        task::spawn(async move { call(&callers, &connections, &grant, intended).await });
    }
    Ok(())
}

async fn call(callers: &Callers, connections: &ConnectionPool, grant: &Grant, intended: Timestamp) {
    let request = callers.next_request();
    let point = hash_key(&request.0.to_le_bytes());
    let message = OutgoingRequest {
        request,
        method: Method::Get,
        host: "direct".to_owned(),
        path: "/".to_owned(),
        headers: vec![
            (SERVICE_HEADER.to_owned(), grant.service.to_string()),
            (POINT_HEADER.to_owned(), point.to_string()),
            (EPOCH_HEADER.to_owned(), grant.epoch.to_string()),
        ],
        repeatable: true,
    };
    let begin = clock::now();
    let result = exchange(connections, &message, DIRECT_TIMEOUT).await;
    // A back end sends no outcome header, so the status decides.
    let answered = result.status == Some(SUCCESS_STATUS);
    callers.recorder().record(Event::RequestEnded {
        intended,
        request,
        service: grant.service.clone(),
        point,
        repeatable: true,
        attempts: vec![Attempt {
            router: usize::MAX,
            begin,
            end: clock::now(),
            outcome: if answered {
                AttemptOutcome::Answered
            } else {
                result.outcome
            },
            reason: result.reason,
            status: result.status,
        }],
        answer_matches: result.answer_matches,
    });
}

/// Grants the back end all points. The first lease request only learns the
/// incarnation and clock reading that the second one has to repeat.
async fn grant_everything(direct: &DirectSettings, grant: &Grant) -> http_types::Result<()> {
    let inquire_request = lease_request(direct, 1, GrantsUpdate::Inquire);
    let known = lease(direct.control_address, &inquire_request).await?;
    let version = GrantsVersion {
        generation: GENERATION,
        term: 1,
        number: 1,
    };
    let grants = GrantsUpdate::Full {
        version,
        grants: vec![grant.clone()],
    };
    let mut full_request = lease_request(direct, 2, grants);
    full_request.incarnation = Some(known.incarnation);
    full_request.echo = Some(known.holder_time);
    let taken = lease(direct.control_address, &full_request).await?;
    http_types::ensure!(taken.taken, "the direct back end refused its grant");
    Ok(())
}

fn lease_request(direct: &DirectSettings, sequence: u64, grants: GrantsUpdate) -> LeaseRequest {
    LeaseRequest {
        group: DIRECT_GROUP,
        back_end: direct.back_end.clone(),
        incarnation: None,
        order: LeaseSequence {
            generation: GENERATION,
            term: 1,
            sequence,
        },
        echo: None,
        lease_ms: DIRECT_LEASE.as_millis() as u64,
        grants,
        prepare: Vec::new(),
    }
}

async fn lease(address: SocketAddr, request: &LeaseRequest) -> http_types::Result<LeaseResponse> {
    let url = Url::parse(&format!("http://{address}{LEASE_PATH}"))?;
    let mut message = Request::new(Method::Post, url);
    message.set_body(Body::from_json(request)?);
    let stream = TcpStream::connect(address).await?;
    let mut response = async_h1::connect(stream, message).await?;
    response.body_json().await
}
