//! Which other gateways reach back ends that this one does not.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use threadledge_types::Timestamp;
use threadledge_types::deployment::ServiceName;

use crate::reached::{Reached, Witness};

/// Time for which a gateway that does not answer, or has lost its own paths, is
/// not asked again.
const FORWARDER_RETRY: Duration = Duration::from_millis(500);
/// Time for which a forwarder counts as working after its last success.
const WORKING_FOR: Duration = Duration::from_secs(2);
/// Most gateways remembered for one service: several times as many as a gateway
/// knows at once.
const MAX_REMEMBERED: usize = 256;
/// Most forwarders named to another gateway.
const MAX_NAMED: usize = 4;

/// How many gateways are asked for a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Search {
    /// A few at once and then one after each pause. Enough for a request: if
    /// these do not reach the back end, few others do.
    Brief,
    /// All that are known: whether any of them reaches the back end decides
    /// whether it has ended.
    Exhaustive,
}

/// The way to a back end that this gateway does not reach itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextForwarder {
    /// Ask this gateway.
    Ask(SocketAddr),
    /// None of the known gateways reached the back end, one of which reaches
    /// others of the service. Invariant: the word of some proves nothing, since
    /// several gateways may have lost their paths to the same back end.
    Confirmed {
        /// Number of gateways that did not reach it.
        missed: usize,
        /// This was not known before.
        is_new: bool,
    },
    /// A brief search has asked enough for now.
    Pausing,
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
    /// By back end, because a gateway may reach one and not another.
    by_back_end: HashMap<SocketAddr, Reached>,
}

impl Forwarders {
    /// Creates an empty set. `seed` decides between equal forwarders.
    pub fn new(seed: u64) -> Self {
        Forwarders {
            random: ChaCha8Rng::seed_from_u64(seed),
            by_service: BTreeMap::new(),
            by_back_end: HashMap::new(),
        }
    }

    /// Chooses the gateway through which to reach `back_end` of `service` among
    /// the gateways known. Requests are spread over all that reached it, or reach
    /// others of the service, or were not tried yet; only over the first right
    /// after one did not reach it. Those that failed are only tried again if
    /// there are none.
    pub fn choose(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        back_end: SocketAddr,
        known: &[SocketAddr],
        search: Search,
    ) -> NextForwarder {
        if let Some(reached) = self.by_back_end.get_mut(&back_end) {
            reached.forget_old(now);
        }
        let candidates = self.candidates(now, service, back_end, known);
        if candidates.is_empty() {
            let reached = self.by_back_end.get_mut(&back_end);
            return reached.map_or(NextForwarder::NoneLeft, Reached::verdict);
        }
        let reached = self.by_back_end.get(&back_end);
        let reaches = |address: &SocketAddr| reached.is_some_and(|reached| reached.is_by(address));
        let (mut pool, others): (Vec<SocketAddr>, Vec<SocketAddr>) =
            candidates.iter().copied().partition(reaches);
        let missed_lately = reached.is_some_and(|reached| reached.missed_lately(now));
        let missed_often = reached.is_some_and(Reached::missed_often);
        if pool.is_empty() && missed_lately && missed_often && search == Search::Brief {
            return NextForwarder::Pausing;
        }
        if pool.is_empty() || !missed_lately {
            let promising = |address: &SocketAddr| self.is_promising(now, service, address);
            pool.extend(others.into_iter().filter(promising));
        }
        if pool.is_empty() {
            pool = candidates;
        }
        NextForwarder::Ask(pool[self.random.random_range(0..pool.len())])
    }

    /// Returns the gateways known that have neither failed for the service nor
    /// missed the back end lately.
    fn candidates(
        &self,
        now: Timestamp,
        service: &ServiceName,
        back_end: SocketAddr,
        known: &[SocketAddr],
    ) -> Vec<SocketAddr> {
        let reached = self.by_back_end.get(&back_end);
        let mut candidates = known.to_vec();
        candidates.retain(|address| {
            let forwarder = self.tried(service, address);
            let missed = reached.is_some_and(|reached| reached.is_missed_by(address));
            !missed && forwarder.is_none_or(|forwarder| forwarder.not_before <= now)
        });
        candidates
    }

    /// Returns whether a gateway forwards to the service, or was not tried yet.
    fn is_promising(&self, now: Timestamp, service: &ServiceName, address: &SocketAddr) -> bool {
        let forwarder = self.tried(service, address);
        forwarder.is_none_or(|forwarder| forwarder.works(now))
    }

    fn tried(&self, service: &ServiceName, address: &SocketAddr) -> Option<&Forwarder> {
        self.by_service.get(service)?.get(address)
    }

    /// Records that a gateway reached a back end of a service.
    pub fn on_forwarded(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        back_end: SocketAddr,
        forwarder: SocketAddr,
    ) {
        let reached = self.by_back_end.entry(back_end).or_default();
        reached.on_reached(now, forwarder);
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

    /// Records that a gateway could not connect to a back end.
    pub fn on_missed(
        &mut self,
        now: Timestamp,
        back_end: SocketAddr,
        forwarder: SocketAddr,
        witness: Witness,
    ) {
        let reached = self.by_back_end.entry(back_end).or_default();
        reached.on_missed(now, forwarder, witness);
    }

    /// Forgets a back end that is no longer registered or that this gateway
    /// reaches itself.
    pub fn forget(&mut self, back_end: SocketAddr) {
        self.by_back_end.remove(&back_end);
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
