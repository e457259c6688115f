//! Back ends that name the requests a second that they take from all gateways
//! together, through the real program.

use std::time::{Duration, Instant};

use threadledge_platform_stand_in::StandInBackEnd;

use super::pressed::{Fleet, Outcomes};
use super::process::TestRequest;

/// Requests a second that limited back ends take.
const LIMIT: f64 = 2.0;
/// From then on after a back end first named its limit, every gateway keeps it.
const CONTACT: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(4);

/// What one limited back end may get in any window.
fn allowed() -> usize {
    (1.5 * LIMIT * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Most requests that came in any window, from when all gateways know.
fn busiest(back_end: &StandInBackEnd, named: Instant) -> usize {
    let arrivals = back_end.arrivals().into_iter().map(|arrival| arrival.at);
    let arrivals: Vec<Instant> = arrivals.filter(|at| *at >= named + CONTACT).collect();
    let within = |from: &Instant| {
        let window = arrivals
            .iter()
            .filter(|at| *at >= from && **at < *from + WINDOW);
        window.count()
    };
    arrivals.iter().map(within).max().unwrap_or(0)
}

#[test]
fn owner_that_names_a_limit_gets_more_from_all_gateways_together() {
    let fleet = Fleet::start();
    let limited = &fleet.world.keyed[0];
    let keys: Vec<u16> = (0..u16::MAX).step_by(1_000).collect();
    let ask = TestRequest {
        host: "keyed.example",
        target: "/k/x",
        ..TestRequest::default()
    };
    limited.set_rate_limit(Some(&LIMIT.to_string()));
    let named = Instant::now();
    let counted = CONTACT..CONTACT + WINDOW * 2;
    let Outcomes { served, others } = fleet.press(&ask, &keys, counted);
    let most = busiest(limited, named);
    assert!(most <= allowed(), "{most} in 4 s, {} allowed", allowed());
    // Its keys have gone to the other owner.
    assert!(others * 20 < served, "{served} served, {others} not");
}

#[test]
fn back_ends_that_all_name_a_limit_get_more_from_all_gateways_together() {
    let fleet = Fleet::start();
    for back_end in &fleet.world.plain {
        back_end.set_rate_limit(Some(&LIMIT.to_string()));
    }
    let named = Instant::now();
    let counted = CONTACT..CONTACT + WINDOW * 2;
    let Outcomes { served, .. } = fleet.press(&TestRequest::default(), &[], counted);
    for back_end in &fleet.world.plain {
        let most = busiest(back_end, named);
        assert!(most <= allowed(), "{most} in 4 s, {} allowed", allowed());
    }
    // Both together take 32 in that time.
    assert!(served >= 16, "{served} served of some 32");
}
