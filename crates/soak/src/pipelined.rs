//! Callers that send several requests before they read the first answer.

use std::io;
use std::net::SocketAddr;

use async_std::io::prelude::BufReadExt;
use async_std::io::{BufReader, ReadExt, WriteExt};
use async_std::net::TcpStream;
use http::Method;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use threadledge_net::{Instant, StopSignal, timer};
use threadledge_platform_stand_in::CallerRequest;

use crate::caller::{DEADLINE, History, Kind, MARGIN, at_gateway, pause};
use crate::check::{Answer, Seen};
use crate::tenants;

/// Callers of this sort.
pub const CALLERS: usize = 2;
/// Requests that one sends at once: fewest, and one more than most.
const AT_ONCE: (usize, usize) = (2, 12);
/// One request in so many changes something, so that those around it wait.
const ONE_UNSAFE_IN: u32 = 6;
/// Marks their draws, so that the other callers keep theirs.
const DRAWS: u64 = 0x7069_7065;

/// One request of a burst.
struct Asked {
    id: String,
    kind: Kind,
}

impl Asked {
    fn bytes(&self) -> http::Result<Vec<u8>> {
        let Asked { id, kind } = self;
        let (host, prefix) = kind.place();
        let (method, body) = match kind {
            Kind::Unsafe => (Method::POST, id.as_str()),
            Kind::Keyed | Kind::Safe => (Method::GET, ""),
        };
        let request = CallerRequest {
            method: &method,
            host,
            target: &format!("{prefix}{id}"),
            id,
            key: None,
            api_key: Some(tenants::key_of(id)),
            tenant: None,
            cookie: None,
            body: body.as_bytes(),
            deadline: DEADLINE,
        };
        request.bytes()
    }

    fn seen(self, answer: Option<Answer>) -> Seen {
        Seen {
            id: self.id,
            repeatable: self.kind != Kind::Unsafe,
            answer: answer.unwrap_or(Answer::None),
        }
    }
}

/// Sends bursts to gateways in turn until `stop` is given. What stands behind
/// an answer that closes the connection has none.
pub async fn call(
    number: usize,
    seed: u64,
    gateways: Vec<SocketAddr>,
    history: History,
    stop: StopSignal,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ (number as u64 + 1) << 32 ^ DRAWS);
    let mut sent = 0_u64;
    while !stop.is_stopped() {
        let gateway = rng.random_range(0..gateways.len());
        let to = gateways[gateway];
        let count = rng.random_range(AT_ONCE.0..AT_ONCE.1);
        let burst = (0..count).map(|_| {
            sent += 1;
            let changes = rng.random_range(0..ONE_UNSAFE_IN) == 0;
            let kind = if changes { Kind::Unsafe } else { Kind::Safe };
            let id = format!("p{number}-{sent}{}", at_gateway(gateway));
            Asked { id, kind }
        });
        let burst: Vec<Asked> = burst.collect();
        let mut answers = ask(to, &burst).await.into_iter();
        let seen = burst.into_iter().map(|asked| asked.seen(answers.next()));
        history.lock().extend(seen);
        timer::sleep(pause(&mut rng)).await;
    }
}

/// Sends all of a burst and reads answers until there are as many, or the
/// connection ends, or none comes for too long.
async fn ask(to: SocketAddr, burst: &[Asked]) -> Vec<Answer> {
    let mut answers = Vec::new();
    let bytes: http::Result<Vec<Vec<u8>>> = burst.iter().map(Asked::bytes).collect();
    let bytes = bytes.expect("an id of letters and digits").concat();
    let deadline = Instant::now() + DEADLINE + MARGIN;
    let exchange = async {
        let mut stream = TcpStream::connect(to).await?;
        stream.write_all(&bytes).await?;
        let mut reader = BufReader::new(stream);
        while answers.len() < burst.len() {
            answers.push(read(&mut reader).await?);
        }
        io::Result::Ok(())
    };
    // However it ends: what was answered was answered.
    let _ = timer::timeout_at(deadline, exchange).await;
    answers
}

async fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Answer> {
    let mut head = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if line == "\r\n" {
            break;
        }
        head.push(line.trim().to_ascii_lowercase());
    }
    let value = |name: &str| head.iter().find_map(|line| line.strip_prefix(name));
    let malformed = || io::Error::from(io::ErrorKind::InvalidData);
    let status = head.first().and_then(|line| line.get(9..12));
    let status = status.and_then(|status| status.parse().ok());
    let length = value("content-length: ").and_then(|length| length.parse().ok());
    let mut body = vec![0; length.ok_or_else(malformed)?];
    reader.read_exact(&mut body).await?;
    Ok(Answer::Whole {
        status: status.ok_or_else(malformed)?,
        id: value("x-request-id: ").map(str::to_owned),
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}
