//! Back ends that name the requests a second that they take from all gateways
//! together, through the real program.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use async_std::task::block_on;
use threadledge_platform_stand_in::StandInBackEnd;

use super::process::{Ask, Gateway, World};

/// Requests a second that limited back ends take.
const LIMIT: f64 = 2.0;
/// From then on after a back end first named its limit, every gateway keeps it.
const CONTACT: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(4);
/// Pause of each gateway's callers between two requests.
const PAUSE: Duration = Duration::from_millis(25);

/// What one limited back end may get in any window.
fn allowed() -> usize {
    (1.5 * LIMIT * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Three gateways with everything held.
struct Fleet {
    world: World,
    others: Vec<Gateway>,
}

impl Fleet {
    fn start() -> Fleet {
        let world = World::start();
        let store = world.store.address();
        let mut others: Vec<Gateway> = ["router-2", "router-3"]
            .map(|name| Gateway::start_named(name, store))
            .into();
        for gateway in &mut others {
            gateway.await_ready();
        }
        Fleet { world, others }
    }

    /// Sends at every gateway for so long. Answers with success and others,
    /// after the gateways could know of the limits.
    fn press(&self, ask: &Ask<'_>, keys: &[u16], lasts: Duration) -> (usize, usize) {
        let begun = Instant::now();
        let done = AtomicBool::new(false);
        let (served, refused) = (AtomicUsize::new(0), AtomicUsize::new(0));
        std::thread::scope(|scope| {
            for gateway in std::iter::once(&self.world.gateway).chain(&self.others) {
                let callers = gateway.callers;
                let (done, served, refused) = (&done, &served, &refused);
                scope.spawn(move || {
                    let mut keys = keys.iter().cycle();
                    while !done.load(Ordering::Relaxed) {
                        let key = keys.next().copied();
                        let ask = Ask { key, ..*ask };
                        let status = block_on(ask.sending(callers)).status().as_u16();
                        if begun.elapsed() > CONTACT {
                            let count = if status == 200 { served } else { refused };
                            count.fetch_add(1, Ordering::Relaxed);
                        }
                        std::thread::sleep(PAUSE);
                    }
                });
            }
            std::thread::sleep(lasts);
            done.store(true, Ordering::Relaxed);
        });
        (served.into_inner(), refused.into_inner())
    }
}

/// Most requests that came in any window, from when all gateways know.
fn busiest(back_end: &StandInBackEnd, named: Instant) -> usize {
    let mut arrivals = back_end.arrivals();
    arrivals.retain(|at| *at >= named + CONTACT);
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
    let ask = Ask {
        host: "keyed.example",
        target: "/k/x",
        ..Ask::default()
    };
    limited.set_limit(Some(&LIMIT.to_string()));
    let named = Instant::now();
    let (served, refused) = fleet.press(&ask, &keys, CONTACT + WINDOW * 2);
    let most = busiest(limited, named);
    assert!(most <= allowed(), "{most} in 4 s, {} allowed", allowed());
    // Its keys have gone to the other owner.
    assert!(refused * 20 < served, "{served} served, {refused} refused");
}

#[test]
fn back_ends_that_all_name_a_limit_get_more_from_all_gateways_together() {
    let fleet = Fleet::start();
    for back_end in &fleet.world.plain {
        back_end.set_limit(Some(&LIMIT.to_string()));
    }
    let named = Instant::now();
    let (served, _) = fleet.press(&Ask::default(), &[], CONTACT + WINDOW * 2);
    for back_end in &fleet.world.plain {
        let most = busiest(back_end, named);
        assert!(most <= allowed(), "{most} in 4 s, {} allowed", allowed());
    }
    // Both together take 32 in that time.
    assert!(served >= 16, "{served} served of some 32");
}
