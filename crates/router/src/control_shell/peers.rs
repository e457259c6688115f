//! Messages to other routers: one queue and one request at a time for each
//! receiver, so that messages keep their order and share requests.

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

/// Messages that may wait for one receiver. More are dropped: every protocol
/// between routers repeats what matters.
const QUEUE_LIMIT: usize = 1_024;
/// Messages in one batch.
const BATCH_LIMIT: usize = 128;
/// A receiver that has not answered a small batch by then counts as
/// unreachable for now.
const POST_TIMEOUT: Duration = Duration::from_millis(500);
/// Slowest receipt of a batch that is not given up. A snapshot is one message
/// of any size: with the same time for all batches, a large one would be sent
/// again and again and never arrive.
const LEAST_BYTES_PER_SECOND: u64 = 10 * 1024 * 1024;
/// A queue unused for this long is given up.
const QUEUE_IDLE: Duration = Duration::from_secs(10);
const JSON: &str = "application/json";

/// Where messages go: an address and, when known, the process meant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Destination {
    address: SocketAddr,
    id: Option<RouterId>,
}

/// Queues to all other routers.
pub struct Peers {
    client: HttpClient,
    queues: Mutex<HashMap<Destination, Sender<PeerMessage>>>,
    safety: SafetySettings,
    /// Path of a post, with the safety settings.
    path: String,
    /// Routers that refused a post for their safety settings.
    differing: Mutex<BTreeSet<SocketAddr>>,
}

impl Peers {
    /// No queues yet.
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

    /// Settings that other routers must share.
    pub fn safety(&self) -> SafetySettings {
        self.safety
    }

    /// Whether a router is known that has other safety settings.
    pub fn any_differ(&self) -> bool {
        !self.differing.lock().is_empty()
    }

    /// Posts a batch. `None` if there is no answer, or a refusal.
    async fn post(&self, address: SocketAddr, batch: &PeerBatch) -> Option<PeerBatch> {
        let body = serde_json::to_vec(batch).ok()?;
        let timeout = post_timeout(body.len());
        let request = http::Request::post(&self.path)
            .header(CONTENT_TYPE, JSON)
            .body(body)
            .ok()?;
        let response = self.client.send(address, request, timeout).await.ok()?;
        self.note_safety(address, response.status(), response.body());
        if !response.status().is_success() {
            return None;
        }
        serde_json::from_slice(response.body()).ok()
    }

    /// Notes whether a router shares the safety settings.
    fn note_safety(&self, address: SocketAddr, status: StatusCode, body: &[u8]) {
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

    /// Ends the queue unless a message came in meanwhile.
    fn retire(&self, destination: &Destination, queue: &Receiver<PeerMessage>) -> bool {
        let mut queues = self.queues.lock();
        if !queue.is_empty() {
            return false;
        }
        queue.close();
        queues.remove(destination);
        true
    }
}

async fn drain_queue(shell: ControlShell, destination: Destination, queue: Receiver<PeerMessage>) {
    loop {
        match timeout(QUEUE_IDLE, queue.recv()).await {
            Ok(Ok(first)) => post_batch(&shell, destination, first, &queue).await,
            Ok(Err(_)) => return,
            Err(_) if shell.peers().retire(&destination, &queue) => return,
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
    // A lost batch needs no handling: the cores repeat what matters.
    if let Some(answer) = shell.peers().post(destination.address, &batch).await
        && !answer.messages.is_empty()
    {
        shell.input(Input::Peer(answer));
    }
}

/// Longest wait for the answer to a batch of this many bytes.
fn post_timeout(bytes: usize) -> Duration {
    let millis = (bytes as u64).saturating_mul(1_000) / LEAST_BYTES_PER_SECOND;
    POST_TIMEOUT + Duration::from_millis(millis)
}
