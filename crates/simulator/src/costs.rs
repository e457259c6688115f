//! What control costs each router: messages, bytes and processor time.

use threadledge_control::PeerMessage;
use threadledge_spread::SpreadMessage;

use crate::measures::{MessageKind, Traffic};

/// Bytes of the heads of one exchange between routers as `net` writes them:
/// 113 for the request (request line, `host`, `content-length` and
/// `content-type`) and 109 for the answer (status line, `content-length`,
/// `date` and `content-type`).
pub const HEAD_BYTES: u64 = 222;

/// What one router sent, received and computed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouterCost {
    /// Sent, by [`MessageKind`].
    pub sent: [Traffic; MessageKind::ALL.len()],
    /// Received, by [`MessageKind`].
    pub received: [Traffic; MessageKind::ALL.len()],
    /// Time its core took, in nanoseconds, where a stopwatch is set.
    pub busy_nanos: u64,
    /// Longest time of one step, in nanoseconds.
    pub longest_step_nanos: u64,
    /// Pulls of other routers that it answered.
    pub pulls_answered: u64,
}

impl RouterCost {
    /// Notes a message that was sent.
    pub fn send(&mut self, kind: MessageKind, bytes: u64) {
        self.sent[kind as usize].add(bytes);
    }

    /// Notes a message that was received.
    pub fn receive(&mut self, kind: MessageKind, bytes: u64) {
        self.received[kind as usize].add(bytes);
    }

    /// Notes one step of the core.
    pub fn step(&mut self, nanos: u64) {
        self.busy_nanos += nanos;
        self.longest_step_nanos = self.longest_step_nanos.max(nanos);
    }

    /// Messages sent and received.
    pub fn messages(&self) -> u64 {
        self.both().map(|traffic| traffic.messages).sum()
    }

    /// Bytes sent and received.
    pub fn bytes(&self) -> u64 {
        self.both().map(|traffic| traffic.bytes).sum()
    }

    /// Bytes of one kind, sent and received.
    pub fn bytes_of(&self, kind: MessageKind) -> u64 {
        self.sent[kind as usize].bytes + self.received[kind as usize].bytes
    }

    fn both(&self) -> impl Iterator<Item = &Traffic> {
        self.sent.iter().chain(&self.received)
    }
}

/// Kind of a message between routers.
pub fn kind_of(message: &PeerMessage) -> MessageKind {
    match message {
        PeerMessage::Consensus { .. } => MessageKind::Consensus,
        PeerMessage::Membership(_)
        | PeerMessage::GroupInquiry { .. }
        | PeerMessage::GroupAnswer { .. } => MessageKind::Membership,
        PeerMessage::Spread { .. } => MessageKind::Spread,
    }
}

/// Whether a message answers another router's pull.
pub fn answers_pull(message: &PeerMessage) -> bool {
    let PeerMessage::Spread { message, .. } = message else {
        return false;
    };
    matches!(message, SpreadMessage::Answer(_))
}

/// Length of a value as JSON, without building the text.
pub fn json_bytes<T: serde::Serialize>(value: &T) -> u64 {
    let mut counter = Counter(0);
    // Messages are plain data and the counter takes everything.
    let _ = serde_json::to_writer(&mut counter, value);
    counter.0
}

struct Counter(u64);

impl std::io::Write for Counter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0 += bytes.len() as u64;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}
