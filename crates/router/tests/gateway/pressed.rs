//! Three gateways with callers at each of them, all the time.

use std::ops::Range;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use async_std::task::block_on;

use super::process::{Gateway, TestRequest, World};

/// Pause of each gateway's callers between two requests.
const PAUSE: Duration = Duration::from_millis(25);

/// What became of requests.
pub struct Outcomes {
    /// Those that were answered with success.
    pub served: usize,
    /// All others.
    pub others: usize,
}

/// Three gateways with everything held.
pub struct Fleet {
    pub world: World,
    others: Vec<Gateway>,
}

impl Fleet {
    pub fn start() -> Fleet {
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

    /// Sends at every gateway; see [`press`].
    pub fn press(&self, ask: &TestRequest<'_>, keys: &[u16], counted: Range<Duration>) -> Outcomes {
        let gateways = std::iter::once(&self.world.gateway);
        let gateways: Vec<&Gateway> = gateways.chain(&self.others).collect();
        press(&gateways, ask, keys, counted)
    }
}

/// Sends at these gateways until the end of `counted`, from now; what became of
/// requests that ended within it.
pub fn press(
    gateways: &[&Gateway],
    ask: &TestRequest<'_>,
    keys: &[u16],
    counted: Range<Duration>,
) -> Outcomes {
    let begun = Instant::now();
    let done = AtomicBool::new(false);
    let (served, others) = (AtomicUsize::new(0), AtomicUsize::new(0));
    std::thread::scope(|scope| {
        for gateway in gateways {
            let callers = gateway.callers;
            let (done, served, others) = (&done, &served, &others);
            scope.spawn(move || {
                let mut keys = keys.iter().cycle();
                while !done.load(Ordering::Relaxed) {
                    let key = keys.next().copied();
                    let ask = TestRequest { key, ..*ask };
                    let status = block_on(ask.send_async(callers)).status().as_u16();
                    if begun.elapsed() > counted.start {
                        let count = if status == 200 { served } else { others };
                        count.fetch_add(1, Ordering::Relaxed);
                    }
                    std::thread::sleep(PAUSE);
                }
            });
        }
        std::thread::sleep(counted.end);
        done.store(true, Ordering::Relaxed);
    });
    Outcomes {
        served: served.into_inner(),
        others: others.into_inner(),
    }
}
