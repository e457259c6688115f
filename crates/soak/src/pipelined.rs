//! Callers that send several requests before they read the first response.

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

use crate::caller::{DEADLINE, History, Kind, RESPONSE_MARGIN, gateway_suffix, random_pause};
use crate::check::{Answer, RequestRecord};
use crate::tenants;

/// Number of pipelining callers.
pub const CALLERS: usize = 2;
/// Number of requests in a burst: minimum, and one more than the maximum.
const BURST_SIZE: (usize, usize) = (2, 12);
/// One request in this many is unsafe, so that the requests around it wait.
const ONE_UNSAFE_IN: u32 = 6;
/// Separates the random draws of these callers, so that the other callers keep
/// theirs.
const SEED_SALT: u64 = 0x7069_7065;

/// One request of a burst.
struct PipelinedRequest {
    id: String,
    kind: Kind,
}

impl PipelinedRequest {
    fn bytes(&self) -> http::Result<Vec<u8>> {
        let PipelinedRequest { id, kind } = self;
        let (host, prefix) = kind.host_and_path();
        let (method, body) = match kind.is_repeatable() {
            true => (Method::GET, ""),
            false => (Method::POST, id.as_str()),
        };
        let request = CallerRequest {
            method: &method,
            host,
            target: &format!("{prefix}{id}"),
            id,
            key: None,
            api_key: Some(tenants::api_key_for(id)),
            tenant: None,
            cookie: None,
            body: body.as_bytes(),
            deadline: DEADLINE,
        };
        request.bytes()
    }

    fn into_record(self, answer: Option<Answer>) -> RequestRecord {
        RequestRecord {
            id: self.id,
            repeatable: self.kind.is_repeatable(),
            answer: answer.unwrap_or(Answer::None),
        }
    }
}

/// Sends bursts to gateways chosen at random until `stop` is set. Requests
/// after a response that closes the connection get no response.
pub async fn run_pipelined_caller(
    number: usize,
    seed: u64,
    gateways: Vec<SocketAddr>,
    history: History,
    stop: StopSignal,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ (number as u64 + 1) << 32 ^ SEED_SALT);
    let mut sent = 0_u64;
    while !stop.is_stopped() {
        let gateway = rng.random_range(0..gateways.len());
        let to = gateways[gateway];
        let count = rng.random_range(BURST_SIZE.0..BURST_SIZE.1);
        let burst = (0..count).map(|_| {
            sent += 1;
            let is_unsafe = rng.random_range(0..ONE_UNSAFE_IN) == 0;
            let kind = if is_unsafe { Kind::Unsafe } else { Kind::Safe };
            let id = format!("p{number}-{sent}{}", gateway_suffix(gateway));
            PipelinedRequest { id, kind }
        });
        let burst: Vec<PipelinedRequest> = burst.collect();
        let mut answers = send_burst(to, &burst).await.into_iter();
        let records = burst
            .into_iter()
            .map(|request| request.into_record(answers.next()));
        history.lock().extend(records);
        timer::sleep(random_pause(&mut rng)).await;
    }
}

/// Sends a whole burst and reads responses until all have arrived, the
/// connection ends or the time limit passes.
async fn send_burst(to: SocketAddr, burst: &[PipelinedRequest]) -> Vec<Answer> {
    let mut answers = Vec::new();
    let bytes: http::Result<Vec<Vec<u8>>> = burst.iter().map(PipelinedRequest::bytes).collect();
    let bytes = bytes.expect("an id of letters and digits").concat();
    let deadline = Instant::now() + DEADLINE + RESPONSE_MARGIN;
    let exchange = async {
        let mut stream = TcpStream::connect(to).await?;
        stream.write_all(&bytes).await?;
        let mut reader = BufReader::new(stream);
        while answers.len() < burst.len() {
            answers.push(read_response(&mut reader).await?);
        }
        io::Result::Ok(())
    };
    // Responses that arrived before an error or the time limit count.
    let _ = timer::timeout_at(deadline, exchange).await;
    answers
}

async fn read_response(reader: &mut BufReader<TcpStream>) -> io::Result<Answer> {
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
