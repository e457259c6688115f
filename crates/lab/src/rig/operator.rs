//! What operators do during a run: they change objects, tell back ends to
//! leave, and take the object API down.

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
use crate::stand_in::back_end::{DRAIN_PATH, SICKNESS_PATH, Sickness};
use crate::stand_in::machine_list::{MACHINE_COMMANDS_PATH, MachineCommand};
use crate::stand_in::object_api::{FAULTS_PATH, FaultCommand};

/// Longest wait for one answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(2);
/// Longest wait for the acceptance of a change.
const ACCEPTANCE_LIMIT: Duration = Duration::from_secs(20);
/// Interval at which acceptance is looked for.
const POLL: Duration = Duration::from_millis(20);
/// Writes of an operator who loses a race before it gives up.
const MOST_WRITES: u32 = 10;

/// Tells a back end to leave.
pub(super) async fn drain(control_address: SocketAddr) -> http_types::Result<()> {
    send(control_address, Method::Post, DRAIN_PATH, None).await?;
    Ok(())
}

/// Makes a back end sick or well.
pub(super) async fn sicken(
    control_address: SocketAddr,
    sickness: Sickness,
) -> http_types::Result<()> {
    let body = serde_json::to_value(sickness)?;
    send(control_address, Method::Post, SICKNESS_PATH, Some(body)).await?;
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

/// Causes a fault of the object API.
pub(super) async fn fault(api: SocketAddr, command: &FaultCommand) -> http_types::Result<()> {
    let body = serde_json::to_value(command)?;
    send(api, Method::Post, FAULTS_PATH, Some(body)).await?;
    Ok(())
}

/// Changes the churn budget of a service a little, and waits until the change
/// shows as accepted.
pub(super) async fn change_service(
    api: SocketAddr,
    service: &ServiceId,
) -> http_types::Result<Event> {
    let path = format!(
        "/apis/{API_VERSION}/namespaces/{}/{KEYED_SERVICE_PLURAL}/{}",
        service.namespace, service.name
    );
    let generation = write_change(api, &path).await?;
    let until = clock::now() + ACCEPTANCE_LIMIT;
    while clock::now() < until {
        let object = send(api, Method::Get, &path, None).await?;
        if let Some(revision) = accepted_revision(&object, generation) {
            return Ok(Event::ConfigurationAccepted {
                at: clock::now(),
                object: ObjectRef(format!("KeyedService {service}")),
                revision,
            });
        }
        task::sleep(POLL).await;
    }
    Err(http_types::format_err!(
        "{service} was not accepted in time"
    ))
}

/// Reads, changes and writes back, again when another write came between.
/// Returns the generation of the change.
async fn write_change(api: SocketAddr, path: &str) -> http_types::Result<i64> {
    for _ in 0..MOST_WRITES {
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
    timeout(ANSWER_LIMIT, exchange).await?
}
