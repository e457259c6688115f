//! Callers that mean harm. They send nothing that could be carried out, except
//! for requests whose sender hangs up at once.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use async_std::future::timeout;
use async_std::io::prelude::{ReadExt, WriteExt};
use async_std::net::TcpStream;
use async_std::task;
use futures::future::join_all;

/// Bytes of a head that no server should accept.
const LARGE_HEAD_BYTES: usize = 256 * 1024;
/// Bytes sent of a body that is announced as much larger.
const PART_OF_A_BODY_BYTES: usize = 64 * 1024;
/// Interval between the bytes of a slow head.
const SLOW_BYTE: Duration = Duration::from_millis(100);
/// Longest time that one hostile exchange lasts.
const EXCHANGE_LIMIT: Duration = Duration::from_secs(3);
/// Pause after each hostile exchange: harm, not a flood.
const PAUSE: Duration = Duration::from_millis(20);

/// What one hostile caller does.
#[derive(Clone, Copy, Debug)]
enum Harm {
    SlowHead,
    LargeHead,
    LargeBody,
    Malformed,
    TwoLengths,
    HangUp,
}

const HARMS: [Harm; 6] = [
    Harm::SlowHead,
    Harm::LargeHead,
    Harm::LargeBody,
    Harm::Malformed,
    Harm::TwoLengths,
    Harm::HangUp,
];

/// What became of hostile exchanges.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HostileCounts {
    /// Exchanges begun.
    pub begun: u64,
    /// Answered with a refusal (status 400 to 599).
    pub refused: u64,
    /// Answered with any other status.
    pub answered: u64,
    /// Without an answer: closed, reset, or still waiting when the time of
    /// the exchange was over.
    pub silent: u64,
}

impl fmt::Display for HostileCounts {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} begun, {} refused, {} answered, {} without an answer",
            self.begun, self.refused, self.answered, self.silent
        )
    }
}

#[derive(Default)]
struct Counters {
    begun: AtomicU64,
    refused: AtomicU64,
    answered: AtomicU64,
}

/// Runs `connections` hostile callers against `routers` for `lasts`.
pub async fn send_hostile_callers(
    routers: &[SocketAddr],
    connections: u32,
    lasts: Duration,
) -> HostileCounts {
    let counters = Arc::new(Counters::default());
    let until = Instant::now() + lasts;
    let callers = (0..connections as usize).map(|number| {
        let router = routers[number % routers.len()];
        let harm = HARMS[number % HARMS.len()];
        task::spawn(keep_harming(router, harm, until, counters.clone()))
    });
    join_all(callers).await;
    let load = |counter: &AtomicU64| counter.load(Ordering::SeqCst);
    let (begun, refused, answered) = (
        load(&counters.begun),
        load(&counters.refused),
        load(&counters.answered),
    );
    HostileCounts {
        begun,
        refused,
        answered,
        silent: begun - refused - answered,
    }
}

async fn keep_harming(router: SocketAddr, harm: Harm, until: Instant, counters: Arc<Counters>) {
    while Instant::now() < until {
        counters.begun.fetch_add(1, Ordering::SeqCst);
        let status = timeout(EXCHANGE_LIMIT, exchange(router, harm)).await;
        match status.ok().flatten() {
            Some(400..600) => {
                counters.refused.fetch_add(1, Ordering::SeqCst);
            }
            Some(_) => {
                counters.answered.fetch_add(1, Ordering::SeqCst);
            }
            None => {}
        }
        task::sleep(PAUSE).await;
    }
}

/// Sends one piece of harm and reads the status, if one comes.
async fn exchange(router: SocketAddr, harm: Harm) -> Option<u16> {
    let mut stream = TcpStream::connect(router).await.ok()?;
    // A server may refuse before it has read everything; what it answered can
    // be read all the same.
    let _ = send(&mut stream, harm).await;
    if matches!(harm, Harm::HangUp) {
        return None;
    }
    read_status(&mut stream).await
}

async fn send(stream: &mut TcpStream, harm: Harm) -> std::io::Result<()> {
    match harm {
        Harm::SlowHead => {
            for byte in b"GET /slow HTTP/1.1\r\nhost: slow.example.org\r\n" {
                stream.write_all(&[*byte]).await?;
                task::sleep(SLOW_BYTE).await;
            }
            Ok(())
        }
        Harm::LargeHead => {
            let filler = "a".repeat(LARGE_HEAD_BYTES);
            let head = format!("GET / HTTP/1.1\r\nhost: a\r\nfiller: {filler}\r\n\r\n");
            stream.write_all(head.as_bytes()).await
        }
        Harm::LargeBody => {
            let head = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1000000000\r\n\r\n";
            stream.write_all(head.as_bytes()).await?;
            stream.write_all(&[b'a'; PART_OF_A_BODY_BYTES]).await
        }
        Harm::Malformed => stream.write_all(b"\x16\x03\x01 not http\r\n\r\n").await,
        Harm::TwoLengths => {
            let head =
                "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab";
            stream.write_all(head.as_bytes()).await
        }
        Harm::HangUp => {
            let head = "GET /v1/members/key-00000000 HTTP/1.1\r\nhost: gallery.kasamahan.example.org\r\n\r\n";
            stream.write_all(head.as_bytes()).await
        }
    }
}

async fn read_status(stream: &mut TcpStream) -> Option<u16> {
    let mut head = [0_u8; 12];
    stream.read_exact(&mut head).await.ok()?;
    let text = std::str::from_utf8(&head).ok()?;
    text.strip_prefix("HTTP/1.1 ")?.parse().ok()
}
