//! Callers that send requests which must not run twice, and what they were told.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Connection, Message};
use crate::record::Record;

/// What a caller got for one try.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    Status(u16),
    /// The connection ended or nothing came in time.
    NoAnswer,
}

/// All tries by their id.
#[derive(Clone, Default)]
pub struct Outcomes(pub Arc<Mutex<BTreeMap<String, Outcome>>>);

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// One request of a caller.
pub struct Try<'a> {
    pub method: &'a str,
    pub host: &'a str,
    pub path: &'a str,
    pub key: Option<u16>,
    pub deadline: Duration,
    pub body: &'a [u8],
}

/// A caller with its kept connection to one gateway.
pub struct Caller {
    pub gateway: SocketAddr,
    pub outcomes: Outcomes,
    pub record: Record,
    connection: Option<Connection>,
}

impl Caller {
    pub fn new(gateway: SocketAddr, outcomes: Outcomes, record: Record) -> Self {
        Caller {
            gateway,
            outcomes,
            record,
            connection: None,
        }
    }

    /// Sends one try and returns its id, its outcome and the answer.
    pub fn send(&mut self, request: &Try) -> (String, Outcome, Option<Message>) {
        let id = format!("q{:06}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
        let started = Instant::now();
        self.record.line(&format!(
            "caller sends {id} key {:?} to {}",
            request.key, self.gateway
        ));
        let answer = self.exchange(&id, request, started);
        let outcome = answer
            .as_ref()
            .map_or(Outcome::NoAnswer, |answer| Outcome::Status(answer.status()));
        self.record
            .line(&format!("caller gets {outcome:?} for {id}"));
        self.outcomes
            .0
            .lock()
            .unwrap()
            .insert(id.clone(), outcome.clone());
        (id, outcome, answer)
    }

    fn exchange(&mut self, id: &str, request: &Try, started: Instant) -> Option<Message> {
        let mut connection = match self.connection.take() {
            Some(kept) if !kept.is_closed() => kept,
            _ => Connection::new(
                TcpStream::connect_timeout(&self.gateway, Duration::from_secs(1)).ok()?,
            ),
        };
        let key = request
            .key
            .map(|key| format!("X-Shard-Key: {key}\r\n"))
            .unwrap_or_default();
        let head = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nX-Request-Id: {id}\r\nX-Request-Deadline-Ms: {}\r\n{key}Content-Length: {}\r\n\r\n",
            request.method,
            request.path,
            request.host,
            request.deadline.as_millis(),
            request.body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(request.body);
        connection.write(&bytes).ok()?;
        let left = request
            .deadline
            .saturating_sub(started.elapsed())
            .max(Duration::from_millis(1));
        connection.stream.set_read_timeout(Some(left)).ok()?;
        let answer = connection.read().ok()??;
        if !answer.closes() && !connection.has_unread() {
            self.connection = Some(connection);
        }
        Some(answer)
    }
}
