//! Which other gateways reach back ends that this one does not.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use threadledge_types::Timestamp;
use threadledge_types::deployment::ServiceName;

/// Time for which a gateway that does not answer, or has lost its own paths, is
/// not asked again.
const FORWARDER_RETRY: Duration = Duration::from_millis(500);
/// Time for which a back end counts as unreachable for all after a gateway that
/// reaches others could not connect to it.
const CONFIRMED_FOR: Duration = Duration::from_millis(300);
/// Time for which a forwarder counts as working after its last success.
const WORKING_FOR: Duration = Duration::from_secs(2);
/// Most gateways remembered for one service: several times as many as a gateway
/// knows at once.
const MAX_REMEMBERED: usize = 256;
/// Most forwarders named to another gateway.
const MAX_NAMED: usize = 4;

/// The way to a back end that this gateway does not reach itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextForwarder {
    /// Ask this gateway.
    Ask(SocketAddr),
    /// A gateway that reaches other back ends did not reach this one.
    Confirmed,
    /// No known gateway is left to ask, so nothing is known about the back
    /// end.
    NoneLeft,
}

/// What is known of one other gateway as a forwarder.
#[derive(Clone, Copy, Debug, Default)]
struct Forwarder {
    /// When it last forwarded successfully.
    worked_at: Option<Timestamp>,
    /// It is not asked before this time.
    not_before: Timestamp,
}

/// The gateways that this one may ask to forward. Gateways are identified by
/// the address at which peers call them.
#[derive(Debug)]
pub struct Forwarders {
    random: ChaCha8Rng,
    /// By service, because a gateway may reach one and not another.
    by_service: BTreeMap<ServiceName, BTreeMap<SocketAddr, Forwarder>>,
    /// Back ends that another gateway confirmed to be unreachable, and until
    /// when that counts.
    confirmed: HashMap<SocketAddr, Timestamp>,
}

impl Forwarders {
    /// Creates an empty set. `seed` decides between equal forwarders.
    pub fn new(seed: u64) -> Self {
        Forwarders {
            random: ChaCha8Rng::seed_from_u64(seed),
            by_service: BTreeMap::new(),
            confirmed: HashMap::new(),
        }
    }

    /// Chooses the gateway through which to reach `back_end` of `service` among
    /// the gateways known. Requests are spread over all that work or were not tried yet;
    /// those that failed are only tried again if there are none.
    pub fn choose(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        back_end: SocketAddr,
        known: &[SocketAddr],
    ) -> NextForwarder {
        if self
            .confirmed
            .get(&back_end)
            .is_some_and(|until| now < *until)
        {
            return NextForwarder::Confirmed;
        }
        let tried = self.by_service.get(service);
        let forwarder = |address: &SocketAddr| tried.and_then(|tried| tried.get(address).copied());
        let may_ask = |address: &&SocketAddr| {
            let forwarder = forwarder(address);
            forwarder.is_none_or(|forwarder| forwarder.not_before <= now)
        };
        let candidates: Vec<SocketAddr> = known.iter().filter(may_ask).copied().collect();
        let promising = |address: &&SocketAddr| {
            let forwarder = forwarder(address);
            forwarder.is_none_or(|forwarder| forwarder.works(now))
        };
        let promising: Vec<SocketAddr> = candidates.iter().filter(promising).copied().collect();
        let pool = match promising.is_empty() {
            true => candidates,
            false => promising,
        };
        if pool.is_empty() {
            return NextForwarder::NoneLeft;
        }
        NextForwarder::Ask(pool[self.random.random_range(0..pool.len())])
    }

    /// Records that a gateway reached a back end of a service.
    pub fn on_forwarded(&mut self, now: Timestamp, service: &ServiceName, forwarder: SocketAddr) {
        let forwarder = self.entry(service, forwarder);
        forwarder.worked_at = Some(now);
        forwarder.not_before = Timestamp::ZERO;
    }

    /// Records that a gateway does not answer, or cannot reach the back ends of
    /// a service either.
    pub fn on_unusable(&mut self, now: Timestamp, service: &ServiceName, forwarder: SocketAddr) {
        let forwarder = self.entry(service, forwarder);
        forwarder.worked_at = None;
        forwarder.not_before = now + FORWARDER_RETRY;
    }

    /// Records that a gateway that reaches other back ends could not connect to
    /// this one. Returns whether the back end counted as reachable before.
    pub fn on_confirmed_unreachable(&mut self, now: Timestamp, back_end: SocketAddr) -> bool {
        self.confirmed.retain(|_, until| now < *until);
        self.confirmed
            .insert(back_end, now + CONFIRMED_FOR)
            .is_none()
    }

    fn entry(&mut self, service: &ServiceName, forwarder: SocketAddr) -> &mut Forwarder {
        let tried = self.by_service.entry(service.clone()).or_default();
        if tried.len() >= MAX_REMEMBERED {
            tried.clear();
        }
        tried.entry(forwarder).or_default()
    }

    /// Gateways that recently forwarded to back ends of a service, to be named
    /// to others.
    pub fn working(&self, now: Timestamp, service: &ServiceName) -> Vec<SocketAddr> {
        let working = self.by_service.get(service).into_iter().flatten();
        let working = working.filter(|(_, forwarder)| forwarder.works(now));
        working
            .map(|(address, _)| *address)
            .take(MAX_NAMED)
            .collect()
    }
}

impl Forwarder {
    fn works(&self, now: Timestamp) -> bool {
        self.worked_at.is_some_and(|at| now.since(at) < WORKING_FOR)
    }
}
