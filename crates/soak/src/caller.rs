//! Callers that send requests and record the results.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Method, Response};
use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use threadledge_net::{HttpClient, PoolSettings, StopSignal, timer};
use threadledge_platform_stand_in::CallerRequest;

use crate::check::{Answer, RequestRecord};
use crate::tenants;

/// Deadline that a caller gives its requests.
pub(crate) const DEADLINE: Duration = Duration::from_millis(2_000);
/// The same of requests that may wait longer.
pub(crate) const PATIENT_DEADLINE: Duration = Duration::from_millis(2_500);
/// Number of the keys, the first ones, to which half of those requests go.
const BUSY_KEYS: u16 = 8_192;
/// Time beyond the deadline that a caller waits for the response to arrive.
pub(crate) const RESPONSE_MARGIN: Duration = Duration::from_millis(600);
/// Bounds of the pause of a caller between two requests, in milliseconds.
const PAUSE_MS: (u64, u64) = (5, 40);

/// Records of all callers.
pub type History = Arc<Mutex<Vec<RequestRecord>>>;

/// Kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A request to the service that is partitioned by key.
    Keyed,
    /// A request that may run more than once.
    Safe,
    /// A request that must not run more than once.
    Unsafe,
    /// A request to the service that is partitioned by key, which must not run
    /// more than once.
    UnsafeKeyed,
    /// The same with a longer deadline, for keys of which some are far busier
    /// than others.
    PatientKeyed,
}

impl Kind {
    /// Every kind that callers send in all soaks.
    pub const ALL: [Kind; 3] = [Kind::Keyed, Kind::Safe, Kind::Unsafe];

    /// Host and path prefix of the requests of this kind.
    pub fn host_and_path(self) -> (&'static str, &'static str) {
        match self {
            Kind::Keyed => ("keyed.example", "/k/"),
            Kind::Safe => ("plain.example", "/safe/"),
            Kind::Unsafe => ("plain.example", "/unsafe/"),
            Kind::UnsafeKeyed | Kind::PatientKeyed => ("keyed.example", "/unsafe/"),
        }
    }

    /// Returns whether a request may run more than once.
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Kind::Keyed | Kind::Safe)
    }

    /// Returns whether a request names a key.
    pub const fn is_keyed(self) -> bool {
        matches!(self, Kind::Keyed | Kind::UnsafeKeyed | Kind::PatientKeyed)
    }

    /// Deadline of a request.
    const fn deadline(self) -> Duration {
        match self {
            Kind::PatientKeyed => PATIENT_DEADLINE,
            _ => DEADLINE,
        }
    }

    fn draw_key(self, rng: &mut ChaCha8Rng) -> u16 {
        let any = rng.random::<u16>();
        match self {
            Kind::PatientKeyed if any.is_multiple_of(2) => any % BUSY_KEYS,
            _ => any,
        }
    }
}

/// Creates an HTTP client with the settings of a caller.
pub fn client() -> HttpClient {
    HttpClient::new(PoolSettings {
        connect_timeout: Duration::from_millis(500),
        ..PoolSettings::default()
    })
}

/// Sends one request whose target ends with its own id.
pub async fn send_unique(
    client: &HttpClient,
    to: SocketAddr,
    kind: Kind,
    id: &str,
    key: u16,
) -> RequestRecord {
    send(client, to, kind, id, id, key).await
}

/// Sends one request with `name` below the path prefix of its kind.
pub async fn send(
    client: &HttpClient,
    to: SocketAddr,
    kind: Kind,
    id: &str,
    name: &str,
    key: u16,
) -> RequestRecord {
    send_with_api_key(client, to, kind, id, name, key, tenants::api_key_for(id)).await
}

/// Like [`send`], with the given API key.
pub async fn send_with_api_key(
    client: &HttpClient,
    to: SocketAddr,
    kind: Kind,
    id: &str,
    name: &str,
    key: u16,
    api_key: &str,
) -> RequestRecord {
    let (host, prefix) = kind.host_and_path();
    let (method, body) = match kind.is_repeatable() {
        true => (Method::GET, &[][..]),
        false => (Method::POST, id.as_bytes()),
    };
    let request = CallerRequest {
        method: &method,
        host,
        target: &format!("{prefix}{name}"),
        id,
        key: kind.is_keyed().then_some(key),
        api_key: Some(api_key),
        tenant: None,
        cookie: None,
        body,
        deadline: kind.deadline(),
    };
    let answer = match request.build() {
        Ok(request) => client
            .send(to, request, kind.deadline() + RESPONSE_MARGIN)
            .await
            .ok(),
        Err(_) => None,
    };
    RequestRecord {
        id: id.to_owned(),
        repeatable: kind.is_repeatable(),
        answer: answer.map_or(Answer::None, to_answer),
    }
}

fn to_answer(response: Response<Vec<u8>>) -> Answer {
    let id = response.headers().get("x-request-id");
    Answer::Whole {
        status: response.status().as_u16(),
        id: id.and_then(|id| id.to_str().ok()).map(str::to_owned),
        body: String::from_utf8_lossy(response.body()).into_owned(),
    }
}

/// Sends requests of these kinds to gateways chosen at random until `stop` is
/// set.
pub async fn run_caller(
    number: usize,
    seed: u64,
    kinds: Vec<Kind>,
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
        let kind = kinds[rng.random_range(0..kinds.len())];
        let prefix = if sent % tenants::UNKNOWN_KEY_INTERVAL == tenants::UNKNOWN_KEY_INTERVAL - 1 {
            tenants::UNKNOWN_KEY_PREFIX
        } else {
            ""
        };
        let id = format!("{prefix}c{number}-{sent}{}", gateway_suffix(gateway));
        sent += 1;
        let key = kind.draw_key(&mut rng);
        let record = send_unique(&client, to, kind, &id, key).await;
        history.lock().push(record);
        timer::sleep(random_pause(&mut rng)).await;
    }
}

/// Suffix of a request id that names the gateway to which the request is sent.
pub(crate) fn gateway_suffix(number: usize) -> String {
    format!("-g{number}")
}

/// Returns the gateway to which a request was sent, from its id.
pub(crate) fn gateway_from_id(id: &str) -> Option<usize> {
    let (_, number) = id.rsplit_once("-g")?;
    number.parse().ok()
}

/// Draws the pause before the next request.
pub(crate) fn random_pause(rng: &mut ChaCha8Rng) -> Duration {
    Duration::from_millis(rng.random_range(PAUSE_MS.0..PAUSE_MS.1))
}
