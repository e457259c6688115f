//! Commands that the rig sends during a run: it changes objects as operators
//! do, drains and degrades back ends, and injects faults of the platform.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::future::timeout;
use async_std::net::TcpStream;
use async_std::task;
use http_types::{Body, Method, Request, Url};
use serde_json::{Value, json};
use threadledge_types::objects::{ACCEPTED_CONDITION, API_VERSION, KEYED_SERVICE_PLURAL};
use threadledge_types::{Epoch, Revision, ServiceId};

use crate::clock;
use crate::history::{Event, ObjectRef};
use crate::stand_in::back_end::{DEGRADE_PATH, DRAIN_PATH, Degradation};
use crate::stand_in::machine_list::{MACHINE_COMMANDS_PATH, MachineCommand};
use crate::stand_in::object_api::{FAULTS_PATH, FaultCommand};

/// Timeout of one exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time to wait for the acceptance of a change.
const ACCEPTANCE_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval for polling the acceptance.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of attempts of a write that conflicts with others.
const MAX_WRITES: u32 = 10;

/// Tells a back end to drain.
pub(super) async fn drain(control_address: SocketAddr) -> http_types::Result<()> {
    send(control_address, Method::Post, DRAIN_PATH, None).await?;
    Ok(())
}

/// Sets or clears the degradation of a back end.
pub(super) async fn degrade(
    control_address: SocketAddr,
    degradation: Degradation,
) -> http_types::Result<()> {
    let body = serde_json::to_value(degradation)?;
    send(control_address, Method::Post, DEGRADE_PATH, Some(body)).await?;
    Ok(())
}

/// Changes the list of machines.
pub(super) async fn change_machines(
    machine_list: SocketAddr,
    command: &MachineCommand,
) -> http_types::Result<()> {
    let body = serde_json::to_value(command)?;
    let path = MACHINE_COMMANDS_PATH;
    send(machine_list, Method::Post, path, Some(body)).await?;
    Ok(())
}

/// Injects or clears a fault of the object API.
pub(super) async fn set_object_api_fault(
    api: SocketAddr,
    command: &FaultCommand,
) -> http_types::Result<()> {
    let body = serde_json::to_value(command)?;
    send(api, Method::Post, FAULTS_PATH, Some(body)).await?;
    Ok(())
}

/// Slightly increases the churn budget of a service, and waits until the object
/// API shows the change as accepted.
pub(super) async fn change_service(
    api: SocketAddr,
    service: &ServiceId,
) -> http_types::Result<Event> {
    let path = format!(
        "/apis/{API_VERSION}/namespaces/{}/{KEYED_SERVICE_PLURAL}/{}",
        service.namespace, service.name
    );
    let generation = write_change(api, &path).await?;
    let until = clock::now() + ACCEPTANCE_TIMEOUT;
    while clock::now() < until {
        let object = send(api, Method::Get, &path, None).await?;
        if let Some(revision) = accepted_revision(&object, generation) {
            return Ok(Event::ConfigurationAccepted {
                at: clock::now(),
                object: ObjectRef(format!("KeyedService {service}")),
                revision,
            });
        }
        task::sleep(POLL_INTERVAL).await;
    }
    Err(http_types::format_err!(
        "{service} was not accepted in time"
    ))
}

/// Reads, changes and writes the object, and retries if the write fails, for
/// example on a conflicting write. Returns the generation of the change.
async fn write_change(api: SocketAddr, path: &str) -> http_types::Result<i64> {
    for _ in 0..MAX_WRITES {
        let mut object = send(api, Method::Get, path, None).await?;
        let budget = &mut object["spec"]["placement"]["churnBudgetPerMinute"];
        *budget = json!(budget.as_f64().unwrap_or(0.02) + 0.000_1);
        if let Ok(written) = send(api, Method::Put, path, Some(object)).await {
            return Ok(written["metadata"]["generation"].as_i64().unwrap_or(0));
        }
    }
    Err(http_types::format_err!(
        "{path} kept changing; no write won"
    ))
}

/// Returns the revision at which `generation` or a later one was accepted, or
/// `None` if it is not accepted yet.
fn accepted_revision(object: &Value, generation: i64) -> Option<Revision> {
    let conditions = object["status"]["conditions"].as_array()?;
    conditions.iter().find(|condition| {
        condition["type"] == ACCEPTED_CONDITION
            && condition["status"] == "True"
            && condition["observedGeneration"].as_i64() >= Some(generation)
    })?;
    let revision: Epoch = object["status"]["revision"].as_str()?.parse().ok()?;
    Some(revision.0)
}

/// Sends one request on a new connection and returns the JSON response, or null
/// if the body is empty.
async fn send(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Option<Value>,
) -> http_types::Result<Value> {
    let mut request = Request::new(method, Url::parse(&format!("http://{address}{path}"))?);
    if let Some(body) = body {
        request.set_body(Body::from_json(&body)?);
    }
    let exchange = async {
        let stream = TcpStream::connect(address).await?;
        let mut response = async_h1::connect(stream, request).await?;
        let status = response.status();
        let bytes = response.body_bytes().await?;
        http_types::ensure!(status.is_success(), "{path} was answered with {status}");
        if bytes.is_empty() {
            return Ok(Value::Null);
        }
        Ok(serde_json::from_slice(&bytes)?)
    };
    timeout(EXCHANGE_TIMEOUT, exchange).await?
}
