//! The probe under way, and probes made for others.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use threadledge_types::{RouterId, Timestamp};

/// Most probes made for others at once; further requests are not answered.
const MAX_RELAYS: usize = 64;

/// A probe of one router by this one.
#[derive(Debug)]
pub(crate) struct Probe {
    pub(crate) target: RouterId,
    sequence: u64,
    /// When others are asked to probe as well; `None` once they were.
    indirect_at: Option<Timestamp>,
    /// When the probe has failed.
    fails_at: Timestamp,
    relays_asked: usize,
    /// Relays that got no answer either.
    refusals: Vec<RouterId>,
}

impl Probe {
    /// Whether nobody who was asked for help answered at all. Then the fault
    /// may be here. One answer shows that this router can be reached; that
    /// others are silent may mean that many failed at once.
    pub(crate) fn is_isolated(&self) -> bool {
        self.relays_asked > 0 && self.refusals.is_empty()
    }

    /// Relays that got no answer either: each is independent evidence.
    pub(crate) fn refusals(&self) -> &[RouterId] {
        &self.refusals
    }
}

/// A probe made for another router.
#[derive(Debug)]
struct Relay {
    target: RouterId,
    request: RelayRequest,
    ends_at: Timestamp,
}

/// Whom to tell how a probe made for it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RelayRequest {
    pub(crate) requester: RouterId,
    pub(crate) address: SocketAddr,
    pub(crate) sequence: u64,
}

/// What a probe needs next.
#[derive(Debug)]
pub(crate) enum ProbeStep {
    /// Ask others to probe this router.
    AskOthers(RouterId, u64),
    /// The probe failed.
    Failed(Probe),
}

/// The probe under way, and probes made for others.
#[derive(Debug)]
pub(crate) struct Prober {
    sequence: u64,
    probe: Option<Probe>,
    next_probe_at: Timestamp,
    relays: BTreeMap<u64, Relay>,
}

impl Prober {
    pub(crate) fn new(now: Timestamp) -> Self {
        Prober {
            sequence: 0,
            probe: None,
            next_probe_at: now,
            relays: BTreeMap::new(),
        }
    }

    pub(crate) fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Whether the next probe is due.
    pub(crate) fn is_due(&self, now: Timestamp) -> bool {
        self.probe.is_none() && now >= self.next_probe_at
    }

    /// Begins a probe and returns its number.
    pub(crate) fn begin(
        &mut self,
        now: Timestamp,
        target: RouterId,
        timeout: Duration,
        interval: Duration,
    ) -> u64 {
        let sequence = self.next_sequence();
        self.probe = Some(Probe {
            target,
            sequence,
            indirect_at: Some(now + timeout),
            fails_at: now + interval,
            relays_asked: 0,
            refusals: Vec::new(),
        });
        self.next_probe_at = now + interval;
        sequence
    }

    /// Nobody can be probed; look again after `interval`.
    pub(crate) fn skip(&mut self, now: Timestamp, interval: Duration) {
        self.next_probe_at = now + interval;
    }

    /// Drops everything under way: this router was paused.
    pub(crate) fn abandon(&mut self, now: Timestamp) {
        self.probe = None;
        self.relays.clear();
        self.next_probe_at = now;
    }

    pub(crate) fn asked_relays(&mut self, count: usize) {
        if let Some(probe) = &mut self.probe {
            probe.relays_asked = count;
        }
    }

    /// Takes an answer of `from` and returns whether it ends the probe of it.
    pub(crate) fn acknowledged(&mut self, from: RouterId, sequence: u64) -> bool {
        self.probe
            .take_if(|probe| probe.sequence == sequence && probe.target == from)
            .is_some()
    }

    /// Takes the good news of a relay and returns whether it ends the probe.
    pub(crate) fn relay_acknowledged(&mut self, sequence: u64) -> bool {
        self.probe
            .take_if(|probe| probe.sequence == sequence)
            .is_some()
    }

    /// A relay got no answer either, but itself is there.
    pub(crate) fn relay_refused(&mut self, relay: RouterId, sequence: u64) {
        if let Some(probe) = &mut self.probe
            && probe.sequence == sequence
            && !probe.refusals.contains(&relay)
        {
            probe.refusals.push(relay);
        }
    }

    /// What the probe under way needs now.
    pub(crate) fn advance(&mut self, now: Timestamp) -> Option<ProbeStep> {
        let probe = self.probe.as_mut()?;
        if now >= probe.fails_at {
            return self.probe.take().map(ProbeStep::Failed);
        }
        let due = probe.indirect_at.take_if(|at| now >= *at);
        due.map(|_| ProbeStep::AskOthers(probe.target, probe.sequence))
    }

    /// Begins a probe for another router and returns its number, or `None`
    /// when too many are under way.
    pub(crate) fn begin_relay(
        &mut self,
        target: RouterId,
        request: RelayRequest,
        ends_at: Timestamp,
    ) -> Option<u64> {
        if self.relays.len() >= MAX_RELAYS {
            return None;
        }
        let sequence = self.next_sequence();
        let relay = Relay {
            target,
            request,
            ends_at,
        };
        self.relays.insert(sequence, relay);
        Some(sequence)
    }

    /// Takes an answer of `from` to a probe made for another router.
    pub(crate) fn end_relay(&mut self, from: RouterId, sequence: u64) -> Option<RelayRequest> {
        let relay = self.relays.get(&sequence)?;
        if relay.target != from {
            return None;
        }
        self.relays.remove(&sequence).map(|relay| relay.request)
    }

    /// Takes one probe made for another router that got no answer in time.
    pub(crate) fn take_expired_relay(&mut self, now: Timestamp) -> Option<RelayRequest> {
        // All relays last equally long, so the one with the lowest number
        // ends first.
        let (&sequence, relay) = self.relays.first_key_value()?;
        if now < relay.ends_at {
            return None;
        }
        self.relays.remove(&sequence).map(|relay| relay.request)
    }

    /// When [`Prober::advance`] or a new probe is due.
    pub(crate) fn next_wakeup(&self) -> Timestamp {
        let probe = match &self.probe {
            Some(probe) => probe.indirect_at.unwrap_or(probe.fails_at),
            None => self.next_probe_at,
        };
        let relay = self.relays.first_key_value();
        relay.map_or(probe, |(_, relay)| relay.ends_at.min(probe))
    }
}
