//! Hostile callers. They send nothing that a back end could execute, except
//! for requests whose sender disconnects immediately.

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

/// Size of a request head that no server should accept.
const LARGE_HEAD_BYTES: usize = 256 * 1024;
/// Number of bytes sent of a body that is declared much larger.
const PARTIAL_BODY_BYTES: usize = 64 * 1024;
/// Interval between two bytes of a slow request head.
const SLOW_BYTE_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of one hostile exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause after each hostile exchange, so that the callers do not simply flood
/// the routers.
const PAUSE: Duration = Duration::from_millis(20);

/// Behavior of one hostile caller.
#[derive(Clone, Copy, Debug)]
enum Attack {
    /// Sends a request head byte by byte.
    SlowHead,
    /// Sends a request head of [`LARGE_HEAD_BYTES`].
    LargeHead,
    /// Sends the start of a body that is declared much larger.
    LargeBody,
    /// Sends bytes that are not HTTP.
    Malformed,
    /// Sends two different `content-length` headers.
    TwoLengths,
    /// Disconnects right after sending a valid request.
    Disconnect,
}

const ATTACKS: [Attack; 6] = [
    Attack::SlowHead,
    Attack::LargeHead,
    Attack::LargeBody,
    Attack::Malformed,
    Attack::TwoLengths,
    Attack::Disconnect,
];

/// Outcomes of the hostile exchanges.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HostileCounts {
    /// Exchanges started.
    pub begun: u64,
    /// Exchanges answered with an error (status 400 to 599).
    pub refused: u64,
    /// Exchanges answered with any other status.
    pub answered: u64,
    /// Exchanges without a response: closed, reset, or timed out.
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

/// Runs `connections` hostile callers against `routers` for `duration`, and
/// returns the outcomes of their exchanges.
pub async fn send_hostile_callers(
    routers: &[SocketAddr],
    connections: u32,
    duration: Duration,
) -> HostileCounts {
    let counters = Arc::new(Counters::default());
    let until = Instant::now() + duration;
    let callers = (0..connections as usize).map(|number| {
        let router = routers[number % routers.len()];
        let attack = ATTACKS[number % ATTACKS.len()];
        task::spawn(run_attack(router, attack, until, counters.clone()))
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

/// Repeats an attack until the time `until`.
async fn run_attack(router: SocketAddr, attack: Attack, until: Instant, counters: Arc<Counters>) {
    while Instant::now() < until {
        counters.begun.fetch_add(1, Ordering::SeqCst);
        let status = timeout(EXCHANGE_TIMEOUT, exchange(router, attack)).await;
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

/// Sends one hostile request and returns the response status, if there is one.
async fn exchange(router: SocketAddr, attack: Attack) -> Option<u16> {
    let mut stream = TcpStream::connect(router).await.ok()?;
    // A server may respond with an error before it has read the whole request,
    // so the response is read even if sending fails.
    let _ = send(&mut stream, attack).await;
    if matches!(attack, Attack::Disconnect) {
        return None;
    }
    read_status(&mut stream).await
}

async fn send(stream: &mut TcpStream, attack: Attack) -> std::io::Result<()> {
    match attack {
        Attack::SlowHead => {
            for byte in b"GET /slow HTTP/1.1\r\nhost: slow.example.org\r\n" {
                stream.write_all(&[*byte]).await?;
                task::sleep(SLOW_BYTE_INTERVAL).await;
            }
            Ok(())
        }
        Attack::LargeHead => {
            let filler = "a".repeat(LARGE_HEAD_BYTES);
            let head = format!("GET / HTTP/1.1\r\nhost: a\r\nfiller: {filler}\r\n\r\n");
            stream.write_all(head.as_bytes()).await
        }
        Attack::LargeBody => {
            let head = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1000000000\r\n\r\n";
            stream.write_all(head.as_bytes()).await?;
            stream.write_all(&[b'a'; PARTIAL_BODY_BYTES]).await
        }
        Attack::Malformed => stream.write_all(b"\x16\x03\x01 not http\r\n\r\n").await,
        Attack::TwoLengths => {
            let head =
                "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab";
            stream.write_all(head.as_bytes()).await
        }
        Attack::Disconnect => {
            let head = "GET /v1/members/key-00000000 HTTP/1.1\r\nhost: gallery.kasamahan.example.org\r\n\r\n";
            stream.write_all(head.as_bytes()).await
        }
    }
}

/// Reads the status code from the start of a response.
async fn read_status(stream: &mut TcpStream) -> Option<u16> {
    let mut head = [0_u8; 12];
    stream.read_exact(&mut head).await.ok()?;
    let text = std::str::from_utf8(&head).ok()?;
    text.strip_prefix("HTTP/1.1 ")?.parse().ok()
}
