//! Membership state machine.

use std::net::SocketAddr;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use threadledge_types::{RouterId, RouterIdentity, Timestamp};

use crate::gossip::GossipQueue;
use crate::health::LocalHealth;
use crate::machine_view::MachineView;
use crate::machines::MachineList;
use crate::member::{Member, MemberState};
use crate::message::{MemberUpdate, Message, MessageBody, RefutationNumber};
use crate::prober::Prober;
use crate::proof::DeathProof;
use crate::settings::Settings;
use crate::suspicion::Suspicions;
use crate::sync::SyncSchedule;
use crate::table::MemberTable;

/// Minimum base-10 logarithm of the member count in the suspicion timeout.
/// Smaller groups use the timeout of a group of 100.
const MIN_SUSPICION_DIGITS: f64 = 2.0;

/// Input of [`Membership::step`].
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A message from another router arrived.
    Message {
        /// Received message.
        message: Box<Message>,
    },
    /// The platform's machine list was read. Reading the same version again
    /// also counts, because it shows that the list is still current.
    MachineList(MachineList),
    /// This router is about to stop.
    Leave,
}

/// Action or event returned by [`Membership::step`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// A message has to be sent. Delivery need not be reliable.
    Send {
        /// Address to send to.
        to: SocketAddr,
        /// Intended receiver, if known.
        to_id: Option<RouterId>,
        /// Message to send.
        message: Box<Message>,
    },
    /// A router is alive that was not known to be alive before.
    MemberUp(RouterIdentity),
    /// A router did not answer. It may only be slow.
    MemberSuspect(RouterId),
    /// A router is considered dead.
    MemberDown(RouterId, DownReason),
    /// A router announced that it stops, or the platform lists its machine as
    /// leaving.
    MemberLeaving(RouterId),
}

/// Reason why a router is considered dead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DownReason {
    /// A suspicion was not refuted in time. The router may still run.
    Unresponsive,
    /// The router announced that it stops and then no longer answered.
    Left,
    /// A later process answered on the same machine.
    Superseded,
    /// The router no longer answered, and the platform removed its machine from
    /// the list.
    RemovedFromList,
}

/// Membership and failure detection as seen by one router.
///
/// The state of a member shows whether to rely on it, not whether its process
/// has certainly ended. Only [`Membership::death_proof`] shows that.
#[derive(Debug)]
pub struct Membership {
    pub(crate) settings: Settings,
    pub(crate) own: RouterIdentity,
    pub(crate) refutation: RefutationNumber,
    pub(crate) leaving: bool,
    pub(crate) table: MemberTable,
    pub(crate) suspicions: Suspicions,
    pub(crate) gossip: GossipQueue,
    pub(crate) prober: Prober,
    pub(crate) health: LocalHealth,
    pub(crate) machines: MachineView,
    pub(crate) sync: SyncSchedule,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) next_gossip_at: Timestamp,
    /// When machines without a known router are pinged next.
    pub(crate) next_contact_at: Timestamp,
    /// Number of such rounds so far.
    pub(crate) contact_count: usize,
    next_wakeup: Timestamp,
}

impl Membership {
    /// Creates a membership that knows only this router, `identity`.
    pub fn new(settings: Settings, identity: RouterIdentity, now: Timestamp) -> Self {
        // All routers have the same settings; the id makes their random choices
        // differ.
        let rng = ChaCha8Rng::seed_from_u64(settings.seed ^ identity.id.0);
        Membership {
            own: identity.clone(),
            refutation: RefutationNumber::default(),
            leaving: false,
            table: MemberTable::new(identity.clone(), now),
            suspicions: Suspicions::default(),
            gossip: GossipQueue::default(),
            prober: Prober::new(now),
            health: LocalHealth::default(),
            machines: MachineView::new(identity),
            sync: SyncSchedule::new(now),
            rng,
            next_gossip_at: now,
            next_contact_at: now,
            contact_count: 0,
            next_wakeup: now,
            settings,
        }
    }

    /// Handles one input at `now`, runs due timers and returns the outputs.
    pub fn step(&mut self, now: Timestamp, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        self.detect_pause(now);
        match input {
            Input::Tick => {}
            Input::Message { message } => self.handle_message(now, *message, &mut outputs),
            Input::MachineList(list) => self.apply_machine_list(now, list, &mut outputs),
            Input::Leave => self.leave(&mut outputs),
        }
        self.run_timers(now, &mut outputs);
        self.next_wakeup = self.compute_next_wakeup(now);
        outputs
    }

    /// Iterates over all known members in the order of their ids, including
    /// this router and remembered dead members.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.table.iter().map(|record| &record.member)
    }

    /// Returns the member `id`, if known.
    pub fn member(&self, id: RouterId) -> Option<&Member> {
        self.table.get(id).map(|record| &record.member)
    }

    /// Iterates over the members that are alive or suspect in the order of
    /// their ids, including this router.
    pub fn alive(&self) -> impl Iterator<Item = &Member> {
        self.members()
            .filter(|member| matches!(member.state, MemberState::Alive | MemberState::Suspect))
    }

    /// Returns the identity of this router.
    pub fn identity(&self) -> &RouterIdentity {
        &self.own
    }

    /// Returns proof that the process `id` has ended permanently, if any.
    ///
    /// Suspicion is no proof. Removal from the machine list counts only once
    /// the router no longer answers as well.
    pub fn death_proof(&self, id: RouterId) -> Option<DeathProof> {
        let record = self.table.get(id)?;
        if !record.is_dead() {
            return None;
        }
        record.proof.clone()
    }

    /// Returns the time by which [`Membership::step`] must be called again. A
    /// call that comes much later is treated as a pause of this router.
    pub fn next_wakeup(&self) -> Timestamp {
        self.next_wakeup
    }

    /// Detects that this process was paused, because this step comes long after
    /// the requested time. Messages missed in between are no evidence against
    /// others, so all probes and suspicions start over.
    fn detect_pause(&mut self, now: Timestamp) {
        if now.since(self.next_wakeup) <= self.settings.pause_threshold {
            return;
        }
        self.prober.reset(now);
        self.suspicions.restart_all(now);
        self.health.worsen(2);
    }

    /// Announces to other routers that this router is about to stop.
    fn leave(&mut self, outputs: &mut Vec<Output>) {
        if self.leaving {
            return;
        }
        self.leaving = true;
        self.raise_refutation(RefutationNumber(self.refutation.0 + 1));
        self.send_gossip(outputs);
    }

    /// Sets a higher refutation number for this router and gossips it.
    pub(crate) fn raise_refutation(&mut self, refutation: RefutationNumber) {
        self.refutation = refutation;
        self.table.set_refutation(self.own.id, refutation);
        if let Some(record) = self.table.get_mut(self.own.id) {
            record.announced_leaving = self.leaving;
            record.member.state = if self.leaving {
                MemberState::Leaving
            } else {
                MemberState::Alive
            };
        }
        let identity = self.own.clone();
        self.gossip.push(if self.leaving {
            MemberUpdate::Leaving {
                identity,
                refutation,
            }
        } else {
            MemberUpdate::Alive {
                identity,
                refutation,
            }
        });
    }

    /// Returns the number of times that an update is sent.
    pub(crate) fn retransmissions(&self) -> usize {
        let digits = (self.table.living_count() as f64 + 1.0).log10().ceil();
        self.settings.retransmit_multiplier * (digits as usize).max(1)
    }

    /// Returns the minimum suspicion timeout.
    pub(crate) fn min_suspicion(&self) -> Duration {
        let digits = (self.table.living_count() as f64).log10();
        let digits = digits.max(MIN_SUSPICION_DIGITS);
        let intervals = self.settings.suspicion_multiplier * digits;
        let length = self.settings.probe_interval.mul_f64(intervals);
        length * self.health.multiplier()
    }

    /// Sends a message with queued updates, if there are any.
    pub(crate) fn send(
        &mut self,
        to: SocketAddr,
        to_id: Option<RouterId>,
        body: MessageBody,
        outputs: &mut Vec<Output>,
    ) {
        let limit = self.retransmissions();
        let updates = self.gossip.take(self.settings.max_piggyback, limit);
        self.send_with(to, to_id, body, updates, outputs);
    }

    /// Sends a message with the given updates.
    pub(crate) fn send_with(
        &mut self,
        to: SocketAddr,
        to_id: Option<RouterId>,
        body: MessageBody,
        updates: Vec<MemberUpdate>,
        outputs: &mut Vec<Output>,
    ) {
        let message = Message {
            from: self.own.clone(),
            refutation: self.refutation,
            leaving: self.leaving,
            body,
            updates,
        };
        outputs.push(Output::Send {
            to,
            to_id,
            message: Box::new(message),
        });
    }
}
