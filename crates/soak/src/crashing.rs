//! A caller whose request crashes each back end that runs it, and the check
//! that gateways stop forwarding the request.

use std::net::SocketAddr;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use threadledge_net::{StopSignal, timer};
use threadledge_platform_stand_in::CrashTrigger;

use crate::caller::{self, Kind};
use crate::check::Violation;

/// Name of the requests, below the path prefix of their kind.
pub(crate) const REQUEST_NAME: &str = "crashing";
/// Key of the request to the service that is partitioned by key.
const KEY: u16 = 40_000;
/// Time between two attempts.
const REQUEST_INTERVAL: Duration = Duration::from_millis(700);
/// Time from the crash of a back end under a request until its restart.
pub const RESTART_DELAY: Duration = Duration::from_millis(2_500);
/// Back ends that may crash under a request before the gateways must stop
/// forwarding it.
const CRASHES_TO_DETECT: usize = 3;
/// Time that the gateways then have to tell each other.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// Back ends that the request may still reach after that time.
const MAX_LATE_RUNS: usize = 3;

/// Kinds of requests of which one crashes back ends.
pub const KINDS: [Kind; 2] = [Kind::Keyed, Kind::Safe];

/// Returns which request crashes a back end of the service.
pub fn crash_trigger(keyed: bool) -> CrashTrigger {
    let kind = if keyed { Kind::Keyed } else { Kind::Safe };
    CrashTrigger {
        target: target(kind),
        cookie: None,
    }
}

fn target(kind: Kind) -> String {
    let (_, prefix) = kind.host_and_path();
    format!("{prefix}{REQUEST_NAME}")
}

/// Returns whether a run with this target was a run of the crashing request.
pub fn is_crashing_request(kind: Kind, run_target: &str) -> bool {
    run_target == target(kind)
}

/// Sends the crashing request of a kind to gateways chosen at random until
/// `stop` is set.
pub async fn run_crashing_caller(
    kind: Kind,
    seed: u64,
    gateways: Vec<SocketAddr>,
    stop: StopSignal,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0xc4a5 ^ kind as u64);
    let client = caller::client();
    let mut sent = 0_u64;
    while !stop.is_stopped() {
        let to = gateways[rng.random_range(0..gateways.len())];
        let id = format!("{REQUEST_NAME}-{kind:?}-{sent}");
        sent += 1;
        caller::send(&client, to, kind, &id, REQUEST_NAME, KEY).await;
        timer::sleep(REQUEST_INTERVAL).await;
    }
}

/// Checks the runs of one crashing request, given as times since the start of
/// the soak: once three back ends have crashed under it and the propagation
/// time has passed, it may reach at most three more.
pub fn check_runs(kind: Kind, mut runs: Vec<Duration>, time_factor: u32) -> Option<Violation> {
    runs.sort_unstable();
    let detected_by = *runs.get(CRASHES_TO_DETECT - 1)? + PROPAGATION_TIME * time_factor;
    let late = runs.iter().filter(|at| **at > detected_by).count();
    (late > MAX_LATE_RUNS).then(|| Violation::CrashingRequestForwarded {
        kind: format!("{kind:?}"),
        runs: runs.len(),
        late,
    })
}
