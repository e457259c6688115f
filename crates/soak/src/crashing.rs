//! A caller whose request crashes each back end that runs it, and what gateways
//! may make of it.

use std::net::SocketAddr;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use threadledge_net::{StopSignal, timer};
use threadledge_platform_stand_in::CrashTrigger;

use crate::caller::{self, Kind};
use crate::check::Violation;

/// What the requests ask for, below the path of their kind.
pub(crate) const NAME: &str = "crashing";
/// Key of the one to the service divided by key.
const KEY: u16 = 40_000;
/// Time between two tries.
const BETWEEN_TRIES: Duration = Duration::from_millis(700);
/// How long a back end is away that ended under a request.
pub const AWAY: Duration = Duration::from_millis(2_500);
/// Back ends that end under a request before the fleet has to know.
const CRASHES: usize = 3;
/// Time that the fleet has then.
const CONTACT: Duration = Duration::from_secs(3);
/// Back ends that the request may reach later than that.
const MOST_LATE: usize = 3;

/// Kinds of requests of which one crashes back ends.
pub const KINDS: [Kind; 2] = [Kind::Keyed, Kind::Safe];

/// The requests that end a back end of a service.
pub fn crashing(keyed: bool) -> CrashTrigger {
    let kind = if keyed { Kind::Keyed } else { Kind::Safe };
    CrashTrigger {
        target: target(kind),
        cookie: None,
    }
}

fn target(kind: Kind) -> String {
    let (_, prefix) = kind.place();
    format!("{prefix}{NAME}")
}

/// Whether a run was one of such a request.
pub fn is_one(kind: Kind, run_target: &str) -> bool {
    run_target == target(kind)
}

/// Sends the request of a kind to gateways in turn until `stop` is given.
pub async fn call(kind: Kind, seed: u64, gateways: Vec<SocketAddr>, stop: StopSignal) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0xc4a5 ^ kind as u64);
    let client = caller::client();
    let mut sent = 0_u64;
    while !stop.is_stopped() {
        let to = gateways[rng.random_range(0..gateways.len())];
        let id = format!("{NAME}-{kind:?}-{sent}");
        sent += 1;
        caller::send(&client, to, kind, &id, NAME, KEY).await;
        timer::sleep(BETWEEN_TRIES).await;
    }
}

/// Judges the runs of one such request, in times from the start of the soak:
/// once three back ends had ended under it, it may reach three more after the
/// fleet's time to know.
pub fn judge(kind: Kind, mut runs: Vec<Duration>, patience: u32) -> Option<Violation> {
    runs.sort_unstable();
    let known = *runs.get(CRASHES - 1)? + CONTACT * patience;
    let late = runs.iter().filter(|at| **at > known).count();
    (late > MOST_LATE).then(|| Violation::SentOnThoughCrashing {
        kind: format!("{kind:?}"),
        runs: runs.len(),
        late,
    })
}
