//! Cost of the control plane for each router: messages, bytes and processor
//! time.

use threadledge_control::PeerMessage;
use threadledge_spread::SpreadMessage;

use crate::metrics::{MessageKind, Traffic};

/// Bytes of the HTTP heads of one exchange between routers as `net` writes
/// them: 113 for the request (request line, `host`, `content-length` and
/// `content-type`) and 109 for the response (status line, `content-length`,
/// `date` and `content-type`).
pub const HTTP_HEAD_BYTES: u64 = 222;

/// Messages, bytes and processor time of one router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouterCost {
    /// Messages sent, by [`MessageKind`].
    pub sent: [Traffic; MessageKind::ALL.len()],
    /// Messages received, by [`MessageKind`].
    pub received: [Traffic; MessageKind::ALL.len()],
    /// Processor time of the control core in nanoseconds, if a stopwatch is
    /// set.
    pub busy_nanos: u64,
    /// Longest time of one step, in nanoseconds.
    pub longest_step_nanos: u64,
    /// Number of pulls from other routers that it answered.
    pub pulls_answered: u64,
}

impl RouterCost {
    /// Counts a message that was sent.
    pub fn record_sent(&mut self, kind: MessageKind, bytes: u64) {
        self.sent[kind as usize].add(bytes);
    }

    /// Counts a message that was received.
    pub fn record_received(&mut self, kind: MessageKind, bytes: u64) {
        self.received[kind as usize].add(bytes);
    }

    /// Adds the time of one step of the core.
    pub fn record_step(&mut self, nanos: u64) {
        self.busy_nanos += nanos;
        self.longest_step_nanos = self.longest_step_nanos.max(nanos);
    }

    /// Number of messages sent and received.
    pub fn messages(&self) -> u64 {
        self.all_traffic().map(|traffic| traffic.messages).sum()
    }

    /// Number of bytes sent and received.
    pub fn bytes(&self) -> u64 {
        self.all_traffic().map(|traffic| traffic.bytes).sum()
    }

    /// Number of bytes of one kind, sent and received.
    pub fn bytes_of(&self, kind: MessageKind) -> u64 {
        self.sent[kind as usize].bytes + self.received[kind as usize].bytes
    }

    fn all_traffic(&self) -> impl Iterator<Item = &Traffic> {
        self.sent.iter().chain(&self.received)
    }
}

/// Returns the kind of a message between routers.
pub fn message_kind(message: &PeerMessage) -> MessageKind {
    match message {
        PeerMessage::Consensus { .. } => MessageKind::Consensus,
        PeerMessage::Membership(_)
        | PeerMessage::GroupInquiry { .. }
        | PeerMessage::GroupAnswer { .. } => MessageKind::Membership,
        PeerMessage::Spread { .. } => MessageKind::Spread,
    }
}

/// Returns whether a message is the answer to another router's pull.
pub fn is_pull_answer(message: &PeerMessage) -> bool {
    let PeerMessage::Spread { message, .. } = message else {
        return false;
    };
    matches!(message, SpreadMessage::Answer(_))
}

/// Returns the length of a value as JSON without building the text.
pub fn json_length<T: serde::Serialize>(value: &T) -> u64 {
    let mut counter = ByteCounter(0);
    // Serialization cannot fail: messages are plain data, and the counter
    // accepts every write.
    let _ = serde_json::to_writer(&mut counter, value);
    counter.0
}

struct ByteCounter(u64);

impl std::io::Write for ByteCounter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0 += bytes.len() as u64;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}
