//! Probes of other routers, made for this router or on behalf of others.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use threadledge_types::{RouterId, Timestamp};

/// Maximum number of concurrent probes on behalf of others. Further requests
/// are not answered.
const MAX_INDIRECT_PROBES: usize = 64;

/// Probe of another router by this one.
#[derive(Debug)]
pub(crate) struct Probe {
    pub(crate) target: RouterId,
    sequence: u64,
    /// When other routers are asked for indirect probes; `None` after they
    /// were.
    indirect_at: Option<Timestamp>,
    /// When the probe fails.
    fails_at: Timestamp,
    /// Number of routers asked for indirect probes.
    helpers: usize,
    /// Routers whose indirect probe got no answer either.
    nacks: Vec<RouterId>,
}

impl Probe {
    /// Returns whether none of the routers asked for indirect probes answered
    /// at all, in which case the fault may be here. A single answer shows that
    /// this router can be reached; the others may not answer because many
    /// routers failed at once.
    pub(crate) fn is_isolated(&self) -> bool {
        self.helpers > 0 && self.nacks.is_empty()
    }

    /// Returns the routers whose indirect probe got no answer either. Each is
    /// independent evidence.
    pub(crate) fn nacks(&self) -> &[RouterId] {
        &self.nacks
    }
}

/// Probe made on behalf of another router.
#[derive(Debug)]
struct IndirectProbe {
    target: RouterId,
    request: IndirectRequest,
    ends_at: Timestamp,
}

/// Router that requested an indirect probe, to be told the result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct IndirectRequest {
    pub(crate) requester: RouterId,
    pub(crate) address: SocketAddr,
    pub(crate) sequence: u64,
}

/// Next step of a probe.
#[derive(Debug)]
pub(crate) enum ProbeStep {
    /// Ask other routers to probe this target; with the sequence number.
    RequestIndirect(RouterId, u64),
    /// The probe failed.
    Failed(Probe),
}

/// Current probe of this router, and indirect probes on behalf of others.
#[derive(Debug)]
pub(crate) struct Prober {
    sequence: u64,
    probe: Option<Probe>,
    next_probe_at: Timestamp,
    indirect_probes: BTreeMap<u64, IndirectProbe>,
}

impl Prober {
    pub(crate) fn new(now: Timestamp) -> Self {
        Prober {
            sequence: 0,
            probe: None,
            next_probe_at: now,
            indirect_probes: BTreeMap::new(),
        }
    }

    pub(crate) fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Returns whether the next probe is due.
    pub(crate) fn is_due(&self, now: Timestamp) -> bool {
        self.probe.is_none() && now >= self.next_probe_at
    }

    /// Starts a probe and returns its sequence number.
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
            helpers: 0,
            nacks: Vec::new(),
        });
        self.next_probe_at = now + interval;
        sequence
    }

    /// Delays the next probe by `interval`, because no member can be probed
    /// now.
    pub(crate) fn skip(&mut self, now: Timestamp, interval: Duration) {
        self.next_probe_at = now + interval;
    }

    /// Abandons all probes, because this router was paused.
    pub(crate) fn reset(&mut self, now: Timestamp) {
        self.probe = None;
        self.indirect_probes.clear();
        self.next_probe_at = now;
    }

    /// Records the number of routers asked for indirect probes.
    pub(crate) fn record_helpers(&mut self, count: usize) {
        if let Some(probe) = &mut self.probe {
            probe.helpers = count;
        }
    }

    /// Handles an ack of `from` and returns whether it ends the current probe.
    pub(crate) fn on_ack(&mut self, from: RouterId, sequence: u64) -> bool {
        self.probe
            .take_if(|probe| probe.sequence == sequence && probe.target == from)
            .is_some()
    }

    /// Handles the ack of an indirect probe and returns whether it ends the
    /// current probe.
    pub(crate) fn on_indirect_ack(&mut self, sequence: u64) -> bool {
        self.probe
            .take_if(|probe| probe.sequence == sequence)
            .is_some()
    }

    /// Records that the indirect probe by `helper` got no answer either.
    pub(crate) fn on_indirect_nack(&mut self, helper: RouterId, sequence: u64) {
        if let Some(probe) = &mut self.probe
            && probe.sequence == sequence
            && !probe.nacks.contains(&helper)
        {
            probe.nacks.push(helper);
        }
    }

    /// Returns the next step of the current probe, if one is due.
    pub(crate) fn advance(&mut self, now: Timestamp) -> Option<ProbeStep> {
        let probe = self.probe.as_mut()?;
        if now >= probe.fails_at {
            return self.probe.take().map(ProbeStep::Failed);
        }
        let due = probe.indirect_at.take_if(|at| now >= *at);
        due.map(|_| ProbeStep::RequestIndirect(probe.target, probe.sequence))
    }

    /// Starts a probe on behalf of another router and returns its sequence
    /// number, or `None` if too many are in progress.
    pub(crate) fn begin_indirect(
        &mut self,
        target: RouterId,
        request: IndirectRequest,
        ends_at: Timestamp,
    ) -> Option<u64> {
        if self.indirect_probes.len() >= MAX_INDIRECT_PROBES {
            return None;
        }
        let sequence = self.next_sequence();
        let indirect = IndirectProbe {
            target,
            request,
            ends_at,
        };
        self.indirect_probes.insert(sequence, indirect);
        Some(sequence)
    }

    /// Handles an ack of `from`. Returns the request if the ack ends an
    /// indirect probe.
    pub(crate) fn finish_indirect(
        &mut self,
        from: RouterId,
        sequence: u64,
    ) -> Option<IndirectRequest> {
        let indirect = self.indirect_probes.get(&sequence)?;
        if indirect.target != from {
            return None;
        }
        self.indirect_probes
            .remove(&sequence)
            .map(|indirect| indirect.request)
    }

    /// Removes an indirect probe that got no answer in time and returns its
    /// request.
    pub(crate) fn pop_expired_indirect(&mut self, now: Timestamp) -> Option<IndirectRequest> {
        // All indirect probes have the same timeout, so the one with the lowest
        // sequence number expires first.
        let (&sequence, indirect) = self.indirect_probes.first_key_value()?;
        if now < indirect.ends_at {
            return None;
        }
        self.indirect_probes
            .remove(&sequence)
            .map(|indirect| indirect.request)
    }

    /// Returns when [`Prober::advance`], a new probe or the expiry of an
    /// indirect probe is due.
    pub(crate) fn next_wakeup(&self) -> Timestamp {
        let probe = match &self.probe {
            Some(probe) => probe.indirect_at.unwrap_or(probe.fails_at),
            None => self.next_probe_at,
        };
        let indirect = self.indirect_probes.first_key_value();
        indirect.map_or(probe, |(_, indirect)| indirect.ends_at.min(probe))
    }
}
