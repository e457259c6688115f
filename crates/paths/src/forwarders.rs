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
/// Time for which a gateway that did not reach a back end is not asked for that
/// back end again.
const MISSED_FOR: Duration = Duration::from_millis(1_500);
/// Gateways that a brief search asks for one back end without a pause.
const BRIEF_SEARCH: usize = 3;
/// Pause after a gateway did not reach a back end: of a brief search before it
/// asks one more, and before requests that others forward try further ones.
const SEARCH_PAUSE: Duration = Duration::from_millis(150);
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

/// Whether a gateway that did not reach a back end reaches others of its
/// service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Witness {
    /// It does.
    Yes,
    /// It does not, so that its failure says nothing about the back end.
    No,
}

/// What other gateways showed about the way to one back end.
#[derive(Debug, Default)]
struct Reached {
    /// Gateways that reached it, and when they last did.
    by: BTreeMap<SocketAddr, Timestamp>,
    /// Gateways that did not reach it, and when they were last asked.
    missed: BTreeMap<SocketAddr, (Timestamp, Witness)>,
    /// True while it counts as unreachable for all.
    confirmed: bool,
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
        let reached = self.by_back_end.get_mut(&back_end);
        if let Some(reached) = reached {
            reached.forget_old(now);
        }
        let tried = self.by_service.get(service);
        let forwarder = |address: &SocketAddr| tried.and_then(|tried| tried.get(address).copied());
        let may_ask = |address: &&SocketAddr| {
            let forwarder = forwarder(address);
            forwarder.is_none_or(|forwarder| forwarder.not_before <= now)
        };
        let reached = self.by_back_end.get(&back_end);
        let missed = |address: &SocketAddr| {
            reached.is_some_and(|reached| reached.missed.contains_key(address))
        };
        let candidates = known.iter().filter(may_ask).copied();
        let candidates: Vec<SocketAddr> = candidates.filter(|each| !missed(each)).collect();
        let reaches = |address: &&SocketAddr| {
            reached.is_some_and(|reached| reached.by.contains_key(*address))
        };
        let promising = |address: &&SocketAddr| {
            let forwarder = forwarder(address);
            forwarder.is_none_or(|forwarder| forwarder.works(now))
        };
        let missed_lately = reached.is_some_and(|reached| reached.missed_lately(now));
        let mut pool: Vec<SocketAddr> = candidates.iter().filter(reaches).copied().collect();
        let pauses = reached.is_some_and(Reached::has_many_misses) && missed_lately;
        if pool.is_empty() && pauses && search == Search::Brief && !candidates.is_empty() {
            return NextForwarder::Pausing;
        }
        if pool.is_empty() || !missed_lately {
            let others = candidates.iter().filter(|each| !reaches(each));
            pool.extend(others.filter(promising).copied());
        }
        if pool.is_empty() {
            pool = candidates;
        }
        if pool.is_empty() {
            let reached = self.by_back_end.get_mut(&back_end);
            return reached.map_or(NextForwarder::NoneLeft, Reached::verdict);
        }
        NextForwarder::Ask(pool[self.random.random_range(0..pool.len())])
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
        reached.missed.remove(&forwarder);
        reached.by.insert(forwarder, now);
        reached.confirmed = false;
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
        reached.by.remove(&forwarder);
        reached.missed.insert(forwarder, (now, witness));
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

impl Reached {
    fn forget_old(&mut self, now: Timestamp) {
        self.by.retain(|_, at| now.since(*at) < WORKING_FOR);
        self.missed.retain(|_, (at, _)| now.since(*at) < MISSED_FOR);
    }

    fn missed_lately(&self, now: Timestamp) -> bool {
        let last = self.missed.values().map(|(at, _)| *at).max();
        last.is_some_and(|last| now.since(last) < SEARCH_PAUSE)
    }

    fn has_many_misses(&self) -> bool {
        self.missed.len() >= BRIEF_SEARCH
    }

    /// What follows once no gateway is left to ask. Invariant: a gateway that
    /// reached the back end a moment ago and does not answer now leaves it open.
    fn verdict(&mut self) -> NextForwarder {
        let mut witnesses = self.missed.values().map(|(_, witness)| *witness);
        if !self.by.is_empty() || !witnesses.any(|witness| witness == Witness::Yes) {
            return NextForwarder::NoneLeft;
        }
        let is_new = !std::mem::replace(&mut self.confirmed, true);
        NextForwarder::Confirmed {
            missed: self.missed.len(),
            is_new,
        }
    }
}
