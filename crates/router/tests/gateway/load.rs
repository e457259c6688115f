//! Three gateways under continuous load from callers at each of them.

use std::ops::Range;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use async_std::task::block_on;

use super::process::{Gateway, TestRequest, World};

/// Delay between two requests of each gateway's callers.
const PAUSE: Duration = Duration::from_millis(25);

/// Counts of the requests' outcomes.
pub struct Outcomes {
    /// Requests answered with status 200.
    pub served: usize,
    /// All other requests.
    pub others: usize,
}

/// Three gateways with their stand-in platform and back ends.
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

    /// Sends requests at every gateway; see [`send_load`].
    pub fn send_load(
        &self,
        request: &TestRequest<'_>,
        keys: &[u16],
        counted: Range<Duration>,
    ) -> Outcomes {
        let gateways = std::iter::once(&self.world.gateway);
        let gateways: Vec<&Gateway> = gateways.chain(&self.others).collect();
        send_load(&gateways, request, keys, counted)
    }
}

/// Sends requests at these gateways from now until the end of `counted`.
/// Returns the outcomes of the requests that ended within `counted`.
pub fn send_load(
    gateways: &[&Gateway],
    request: &TestRequest<'_>,
    keys: &[u16],
    counted: Range<Duration>,
) -> Outcomes {
    let started = Instant::now();
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
                    let request = TestRequest { key, ..*request };
                    let status = block_on(request.send_async(callers)).status().as_u16();
                    if started.elapsed() > counted.start {
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
