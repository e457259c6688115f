//! Reads the messages of other gateways within a limit of memory for all of
//! them.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use futures::io::AsyncReadExt;
use http_types::Request;
use threadledge_net::message::Message as _;

use crate::events::{EventId, emit};
use crate::proxy::memory_budget::{MemoryBudget, Reservation};

/// Bytes of each message that are read whatever memory is left, and the steps of
/// what longer ones reserve. Most messages are smaller.
const FREE_BYTES: usize = 16 * 1024;
/// Memory for all that messages have beyond that, in bytes.
const BUDGET_BYTES: usize = 16 * 1024 * 1024;

/// Reason why a message was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MessageFault {
    /// It was cut short, too slow or larger than allowed.
    CutShort,
    /// There is no memory for it.
    NoMemory,
}

/// A message that was read whole, with its memory.
#[derive(Debug)]
pub(super) struct ReadMessage {
    pub(super) bytes: Vec<u8>,
    _reservations: Vec<Reservation>,
}

/// Reads messages. Clones share the memory.
#[derive(Clone, Debug)]
pub(super) struct MessageReader {
    budget: MemoryBudget,
    /// Whether the most recent long message was refused for lack of memory.
    refusing: Arc<AtomicBool>,
}

impl Default for MessageReader {
    fn default() -> Self {
        MessageReader {
            budget: MemoryBudget::new(BUDGET_BYTES),
            refusing: Arc::default(),
        }
    }
}

impl MessageReader {
    /// Reads the body of a request to its end.
    pub(super) async fn read(&self, request: &mut Request) -> Result<ReadMessage, MessageFault> {
        let mut body = request.take_body_keeping_headers();
        // One byte more, so that the end is found without growing.
        let first = body.len().map_or(FREE_BYTES, |length| length + 1);
        let mut bytes = vec![0; first.min(FREE_BYTES)];
        let mut length = 0;
        let mut reservations = Vec::new();
        loop {
            if length == bytes.len() {
                let reserved = self.budget.reserve(FREE_BYTES);
                reservations.push(reserved.ok_or_else(|| self.refuse())?);
                bytes.resize(length + FREE_BYTES, 0);
            }
            let read = body.read(&mut bytes[length..]).await;
            match read.map_err(|_| MessageFault::CutShort)? {
                0 => break,
                read => length += read,
            }
        }
        bytes.truncate(length);
        if !reservations.is_empty() {
            self.record_refusing(false);
        }
        Ok(ReadMessage {
            bytes,
            _reservations: reservations,
        })
    }

    fn refuse(&self) -> MessageFault {
        self.record_refusing(true);
        MessageFault::NoMemory
    }

    fn record_refusing(&self, refusing: bool) {
        if self.refusing.swap(refusing, Ordering::Relaxed) == refusing {
            return;
        }
        if refusing {
            emit!(EventId::PeerMessagesRefused, memory = BUDGET_BYTES);
        } else {
            emit!(EventId::PeerMessagesTakenAgain,);
        }
    }
}
