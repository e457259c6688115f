//! Client that sends messages to other routers. Each receiver has a queue and at
//! most one request in flight, so that messages keep their order and are sent in
//! batches.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use async_channel::{Receiver, Sender, TrySendError};
use async_std::future::timeout;
use async_std::task;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use parking_lot::Mutex;
use threadledge_control::{Input, PeerBatch, PeerMessage};
use threadledge_net::{HttpClient, PoolSettings};
use threadledge_types::RouterId;

use super::PEER_PATH;
use super::safety::SafetySettings;
use super::shared::ControlShell;
use crate::events::{EventId, emit};
use crate::operations::ProblemBody;

/// Maximum number of messages that wait for a receiver. Further ones are
/// dropped; the protocols between routers retransmit what they need.
const QUEUE_LIMIT: usize = 1_024;
/// Maximum number of messages in a batch.
const BATCH_LIMIT: usize = 128;
/// Timeout of a small batch. A receiver that has not responded by then is
/// treated as unreachable for now.
const POST_TIMEOUT: Duration = Duration::from_millis(500);
/// Minimum throughput, by which the timeout of a batch grows with its size. A
/// snapshot is one message of any size: with a fixed timeout, a large one would
/// be sent again and again and never arrive.
const MIN_BYTES_PER_SECOND: u64 = 10 * 1024 * 1024;
/// Time after which an unused queue is removed.
const QUEUE_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
const JSON: &str = "application/json";

/// Receiver of messages: an address and, if known, the id of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Destination {
    address: SocketAddr,
    id: Option<RouterId>,
}

/// Message queues to all other routers.
pub struct Peers {
    client: HttpClient,
    queues: Mutex<HashMap<Destination, Sender<PeerMessage>>>,
    safety: SafetySettings,
    /// Request path, with the safety settings as query parameters.
    path: String,
    /// Routers that refused a batch because their safety settings differ.
    differing: Mutex<BTreeSet<SocketAddr>>,
}

impl Peers {
    /// Creates a client without queues.
    pub fn new(safety: SafetySettings) -> Self {
        let settings = PoolSettings {
            connect_timeout: POST_TIMEOUT,
            ..Default::default()
        };
        Peers {
            client: HttpClient::new(settings),
            queues: Mutex::new(HashMap::new()),
            path: safety.add_to_path(PEER_PATH),
            safety,
            differing: Mutex::new(BTreeSet::new()),
        }
    }

    /// Returns the settings that other routers must share.
    pub fn safety(&self) -> SafetySettings {
        self.safety
    }

    /// Returns whether a router with different safety settings is known.
    pub fn any_differ(&self) -> bool {
        !self.differing.lock().is_empty()
    }

    /// Posts a batch and returns the response. Returns `None` if there is none or
    /// the batch was refused.
    async fn post(&self, address: SocketAddr, batch: &PeerBatch) -> Option<PeerBatch> {
        let body = serde_json::to_vec(batch).ok()?;
        let timeout = post_timeout(body.len());
        let request = http::Request::post(&self.path)
            .header(CONTENT_TYPE, JSON)
            .body(body)
            .ok()?;
        let response = self.client.send(address, request, timeout).await.ok()?;
        self.record_safety(address, response.status(), response.body());
        if !response.status().is_success() {
            return None;
        }
        serde_json::from_slice(response.body()).ok()
    }

    /// Records from a response whether a router shares the safety settings.
    fn record_safety(&self, address: SocketAddr, status: StatusCode, body: &[u8]) {
        let mut differing = self.differing.lock();
        if status.is_success() {
            differing.remove(&address);
        } else if status == StatusCode::CONFLICT && differing.insert(address) {
            let problem = serde_json::from_slice::<ProblemBody>(body);
            let message = problem.map(|problem| problem.message).unwrap_or_default();
            emit!(EventId::SafetySettingsDiffer, %address, %message);
        }
    }

    /// Queues a message; drops it if the queue is full.
    pub fn send(
        &self,
        shell: &ControlShell,
        address: SocketAddr,
        id: Option<RouterId>,
        message: PeerMessage,
    ) {
        let destination = Destination { address, id };
        let mut queues = self.queues.lock();
        let message = match queues.get(&destination) {
            None => message,
            Some(queue) => match queue.try_send(message) {
                Ok(()) | Err(TrySendError::Full(_)) => return,
                Err(TrySendError::Closed(message)) => message,
            },
        };
        let (sender, queue) = async_channel::bounded(QUEUE_LIMIT);
        // The queue is new and has room.
        let _ = sender.try_send(message);
        queues.insert(destination, sender);
        task::spawn(drain_queue(shell.clone(), destination, queue));
    }

    /// Closes and removes a queue unless a message was added meanwhile. Returns
    /// whether it was closed.
    fn close_if_empty(&self, destination: &Destination, queue: &Receiver<PeerMessage>) -> bool {
        let mut queues = self.queues.lock();
        if !queue.is_empty() {
            return false;
        }
        queue.close();
        queues.remove(destination);
        true
    }
}

/// Posts the messages of a queue in batches until the queue is closed.
async fn drain_queue(shell: ControlShell, destination: Destination, queue: Receiver<PeerMessage>) {
    loop {
        match timeout(QUEUE_IDLE_TIMEOUT, queue.recv()).await {
            Ok(Ok(first)) => post_batch(&shell, destination, first, &queue).await,
            Ok(Err(_)) => return,
            Err(_) if shell.peers().close_if_empty(&destination, &queue) => return,
            Err(_) => {}
        }
    }
}

async fn post_batch(
    shell: &ControlShell,
    destination: Destination,
    first: PeerMessage,
    queue: &Receiver<PeerMessage>,
) {
    let mut messages = vec![first];
    while messages.len() < BATCH_LIMIT {
        match queue.try_recv() {
            Ok(message) => messages.push(message),
            Err(_) => break,
        }
    }
    let batch = PeerBatch {
        from: shell.identity().clone(),
        to: destination.id,
        messages,
    };
    // A lost batch needs no handling: the cores retransmit what they need.
    if let Some(answer) = shell.peers().post(destination.address, &batch).await
        && !answer.messages.is_empty()
    {
        shell.input(Input::Peer(answer));
    }
}

/// Returns the timeout of a batch of `bytes` bytes.
fn post_timeout(bytes: usize) -> Duration {
    let millis = (bytes as u64).saturating_mul(1_000) / MIN_BYTES_PER_SECOND;
    POST_TIMEOUT + Duration::from_millis(millis)
}
