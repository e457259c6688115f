//! Callers: they send requests and keep what they saw.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Method, Response};
use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use threadledge_net::{HttpClient, PoolSettings, StopSignal, timer};
use threadledge_platform_stand_in::CallerRequest;

use crate::check::{Answer, Seen};
use crate::tenants;

/// How long a caller waits for an answer.
pub(crate) const DEADLINE: Duration = Duration::from_millis(2_000);
/// Added for the answer to come.
pub(crate) const MARGIN: Duration = Duration::from_millis(600);
/// Pause of a caller between two requests, in milliseconds.
const PAUSE_MS: (u64, u64) = (5, 40);

/// What all callers saw.
pub type History = Arc<Mutex<Vec<Seen>>>;

/// A kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// To the service divided by key.
    Keyed,
    /// May run more than once.
    Safe,
    /// Must not.
    Unsafe,
}

impl Kind {
    /// Every kind.
    pub const ALL: [Kind; 3] = [Kind::Keyed, Kind::Safe, Kind::Unsafe];

    /// Host and path of its requests.
    pub fn place(self) -> (&'static str, &'static str) {
        match self {
            Kind::Keyed => ("keyed.example", "/k/"),
            Kind::Safe => ("plain.example", "/safe/"),
            Kind::Unsafe => ("plain.example", "/unsafe/"),
        }
    }
}

/// A client as callers use it.
pub fn client() -> HttpClient {
    HttpClient::new(PoolSettings {
        connect_timeout: Duration::from_millis(500),
        ..PoolSettings::default()
    })
}

/// Sends one request that is like no other.
pub async fn ask(client: &HttpClient, to: SocketAddr, kind: Kind, id: &str, key: u16) -> Seen {
    send(client, to, kind, id, id, key).await
}

/// Sends one request for `name`.
pub async fn send(
    client: &HttpClient,
    to: SocketAddr,
    kind: Kind,
    id: &str,
    name: &str,
    key: u16,
) -> Seen {
    send_with(client, to, kind, id, name, key, tenants::key_of(id)).await
}

/// Sends one request for `name` with a tenant's key.
pub async fn send_with(
    client: &HttpClient,
    to: SocketAddr,
    kind: Kind,
    id: &str,
    name: &str,
    key: u16,
    api_key: &str,
) -> Seen {
    let (host, prefix) = kind.place();
    let method = match kind {
        Kind::Unsafe => Method::POST,
        Kind::Keyed | Kind::Safe => Method::GET,
    };
    let body = match kind {
        Kind::Unsafe => id.as_bytes(),
        Kind::Keyed | Kind::Safe => &[],
    };
    let request = CallerRequest {
        method: &method,
        host,
        target: &format!("{prefix}{name}"),
        id,
        key: (kind == Kind::Keyed).then_some(key),
        api_key: Some(api_key),
        tenant: None,
        cookie: None,
        body,
        deadline: DEADLINE,
    };
    let answer = match request.build() {
        Ok(request) => client.send(to, request, DEADLINE + MARGIN).await.ok(),
        Err(_) => None,
    };
    Seen {
        id: id.to_owned(),
        repeatable: kind != Kind::Unsafe,
        answer: answer.map_or(Answer::None, seen),
    }
}

fn seen(response: Response<Vec<u8>>) -> Answer {
    let id = response.headers().get("x-request-id");
    Answer::Whole {
        status: response.status().as_u16(),
        id: id.and_then(|id| id.to_str().ok()).map(str::to_owned),
        body: String::from_utf8_lossy(response.body()).into_owned(),
    }
}

/// Sends requests to gateways in turn until `stop` is given.
pub async fn call(
    number: usize,
    seed: u64,
    gateways: Vec<SocketAddr>,
    history: History,
    stop: StopSignal,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ (number as u64 + 1) << 32);
    let client = client();
    let mut sent = 0_u64;
    while !stop.is_stopped() {
        let gateway = rng.random_range(0..gateways.len());
        let to = gateways[gateway];
        let kind = Kind::ALL[rng.random_range(0..Kind::ALL.len())];
        let stray = if sent % tenants::STRAY_EACH == tenants::STRAY_EACH - 1 {
            tenants::STRAY
        } else {
            ""
        };
        let id = format!("{stray}c{number}-{sent}{}", at_gateway(gateway));
        sent += 1;
        let key = rng.random::<u16>();
        let seen = ask(&client, to, kind, &id, key).await;
        history.lock().push(seen);
        timer::sleep(pause(&mut rng)).await;
    }
}

/// The end of the id of a request that is sent to a gateway.
pub(crate) fn at_gateway(number: usize) -> String {
    format!("-g{number}")
}

/// Which gateway a request was sent to, as its id tells.
pub(crate) fn gateway_of(id: &str) -> Option<usize> {
    let (_, number) = id.rsplit_once("-g")?;
    number.parse().ok()
}

/// A pause of a caller.
pub(crate) fn pause(rng: &mut ChaCha8Rng) -> Duration {
    Duration::from_millis(rng.random_range(PAUSE_MS.0..PAUSE_MS.1))
}
