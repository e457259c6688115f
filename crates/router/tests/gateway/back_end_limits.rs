//! Back ends that announce a rate limit over all gateways together, through the
//! real program.

use std::time::{Duration, Instant};

use threadledge_platform_stand_in::StandInBackEnd;

use super::load::{Fleet, Outcomes};
use super::process::TestRequest;

/// Rate limit of the limited back ends, in requests per second.
const LIMIT: f64 = 2.0;
/// Time after a back end first announces its limit within which every gateway
/// applies it.
const LIMIT_KNOWN_AFTER: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(4);

/// Returns the requests that one limited back end may get in any window.
fn allowed() -> usize {
    (1.5 * LIMIT * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Returns the maximum number of requests in any window, from when all gateways
/// know the limit.
fn max_arrivals(back_end: &StandInBackEnd, announced_at: Instant) -> usize {
    let arrivals = back_end.arrivals().into_iter().map(|arrival| arrival.at);
    let arrivals: Vec<Instant> = arrivals
        .filter(|at| *at >= announced_at + LIMIT_KNOWN_AFTER)
        .collect();
    let arrivals_from = |from: &Instant| {
        let window = arrivals
            .iter()
            .filter(|at| *at >= from && **at < *from + WINDOW);
        window.count()
    };
    arrivals.iter().map(arrivals_from).max().unwrap_or(0)
}

#[test]
fn owner_that_announces_a_limit_gets_no_more_from_all_gateways_together() {
    let fleet = Fleet::start();
    let limited = &fleet.world.keyed[0];
    let keys: Vec<u16> = (0..u16::MAX).step_by(1_000).collect();
    let request = TestRequest {
        host: "keyed.example",
        target: "/k/x",
        ..TestRequest::default()
    };
    limited.set_rate_limit(Some(&LIMIT.to_string()));
    let announced_at = Instant::now();
    let counted = LIMIT_KNOWN_AFTER..LIMIT_KNOWN_AFTER + WINDOW * 2;
    let Outcomes { served, others } = fleet.send_load(&request, &keys, counted);
    let max = max_arrivals(limited, announced_at);
    assert!(max <= allowed(), "{max} in 4 s, {} allowed", allowed());
    // Its keys have moved to the other owner.
    assert!(others * 20 < served, "{served} served, {others} not");
}

#[test]
fn back_ends_that_all_announce_a_limit_get_no_more_from_all_gateways_together() {
    let fleet = Fleet::start();
    for back_end in &fleet.world.plain {
        back_end.set_rate_limit(Some(&LIMIT.to_string()));
    }
    let announced_at = Instant::now();
    let counted = LIMIT_KNOWN_AFTER..LIMIT_KNOWN_AFTER + WINDOW * 2;
    let Outcomes { served, .. } = fleet.send_load(&TestRequest::default(), &[], counted);
    for back_end in &fleet.world.plain {
        let max = max_arrivals(back_end, announced_at);
        assert!(max <= allowed(), "{max} in 4 s, {} allowed", allowed());
    }
    // Both back ends together accept 32 requests in that time.
    assert!(served >= 16, "{served} served of some 32");
}
