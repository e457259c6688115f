//! The steppable core of failure detection.

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
use crate::sync::SyncRound;
use crate::table::MemberTable;

/// A small group suspects as long as one of this power of ten.
const LEAST_SUSPICION_DIGITS: f64 = 2.0;

/// What a [`Membership`] is stepped with.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// Another router sent a message.
    Message {
        /// The message.
        message: Box<Message>,
    },
    /// The platform's machine list was read. Reading the same version again
    /// counts as well: it shows that the list still stands.
    MachineList(MachineList),
    /// This router is about to stop.
    Leave,
}

/// What a [`Membership`] asks for or reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message. It may be lost.
    Send {
        /// Where to.
        to: SocketAddr,
        /// Which router is meant, if known.
        to_id: Option<RouterId>,
        /// The message.
        message: Box<Message>,
    },
    /// A router is alive that was not so before.
    MemberUp(RouterIdentity),
    /// A router did not answer; it may be slow.
    MemberSuspect(RouterId),
    /// A router is taken for dead.
    MemberDown(RouterId, DownReason),
    /// A router announced that it stops, or the platform says so.
    MemberLeaving(RouterId),
}

/// Why a router is taken for dead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DownReason {
    /// A suspicion was not contradicted in time. The router may still run.
    Unresponsive,
    /// It announced that it stops, and then fell silent.
    Left,
    /// A later process answered on its machine.
    Superseded,
    /// It fell silent, and the platform took its machine off the list.
    RemovedFromList,
}

/// Failure detection as seen by one router.
///
/// Suspicion says whom to rely on, never who is certainly gone: for that
/// there is [`Membership::death_proof`].
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
    pub(crate) sync: SyncRound,
    pub(crate) random: ChaCha8Rng,
    pub(crate) next_gossip_at: Timestamp,
    pub(crate) next_contact_at: Timestamp,
    pub(crate) contact_count: usize,
    next_wakeup: Timestamp,
}

impl Membership {
    /// A membership that knows only `identity`, this router.
    pub fn new(settings: Settings, identity: RouterIdentity, now: Timestamp) -> Self {
        // Every router has the same settings; its id keeps their choices
        // apart.
        let random = ChaCha8Rng::seed_from_u64(settings.seed ^ identity.id.0);
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
            sync: SyncRound::new(now),
            random,
            next_gossip_at: now,
            next_contact_at: now,
            contact_count: 0,
            next_wakeup: now,
            settings,
        }
    }

    /// Takes one input at `now` and returns what follows from it.
    pub fn step(&mut self, now: Timestamp, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        self.notice_pause(now);
        match input {
            Input::Tick => {}
            Input::Message { message } => self.receive(now, *message, &mut outputs),
            Input::MachineList(list) => self.take_machine_list(now, list, &mut outputs),
            Input::Leave => self.leave(&mut outputs),
        }
        self.run_timers(now, &mut outputs);
        self.next_wakeup = self.compute_next_wakeup(now);
        outputs
    }

    /// Every member known, this router and remembered dead ones included, in
    /// the order of their ids.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.table.iter().map(|record| &record.member)
    }

    /// One member.
    pub fn member(&self, id: RouterId) -> Option<&Member> {
        self.table.get(id).map(|record| &record.member)
    }

    /// The members that are alive or merely suspect, this router included, in
    /// the order of their ids.
    pub fn alive(&self) -> impl Iterator<Item = &Member> {
        self.members()
            .filter(|member| matches!(member.state, MemberState::Alive | MemberState::Suspect))
    }

    /// This router.
    pub fn identity(&self) -> &RouterIdentity {
        &self.own
    }

    /// Evidence that the process `id` is gone for good, if there is any.
    ///
    /// Suspicion is no such evidence. A router that was taken off the machine
    /// list counts only once it fell silent as well.
    pub fn death_proof(&self, id: RouterId) -> Option<DeathProof> {
        let record = self.table.get(id)?;
        if !record.is_dead() {
            return None;
        }
        record.proof.clone()
    }

    /// When [`Membership::step`] wants to be called next, at the latest. A
    /// call that comes much later counts as a pause of this router.
    pub fn next_wakeup(&self) -> Timestamp {
        self.next_wakeup
    }

    /// A step that comes long after it was asked for shows that this process
    /// was paused. What it did not hear meanwhile says nothing about others,
    /// so every wait begins anew.
    fn notice_pause(&mut self, now: Timestamp) {
        if now.since(self.next_wakeup) <= self.settings.pause_threshold {
            return;
        }
        self.prober.abandon(now);
        self.suspicions.restart_all(now);
        self.health.worsen(2);
    }

    fn leave(&mut self, outputs: &mut Vec<Output>) {
        if self.leaving {
            return;
        }
        self.leaving = true;
        self.raise_refutation(RefutationNumber(self.refutation.0 + 1));
        self.send_gossip(outputs);
    }

    /// Takes a higher number for this router and tells everyone.
    pub(crate) fn raise_refutation(&mut self, refutation: RefutationNumber) {
        self.refutation = refutation;
        self.table.refute(self.own.id, refutation);
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

    /// How many times an update is sent on.
    pub(crate) fn retransmissions(&self) -> usize {
        let digits = (self.table.living_count() as f64 + 1.0).log10().ceil();
        self.settings.retransmit_multiplier * (digits as usize).max(1)
    }

    /// Least length of a suspicion.
    pub(crate) fn shortest_suspicion(&self) -> Duration {
        let digits = (self.table.living_count() as f64).log10();
        let digits = digits.max(LEAST_SUSPICION_DIGITS);
        let intervals = self.settings.suspicion_multiplier * digits;
        let length = self.settings.probe_interval.mul_f64(intervals);
        length * self.health.multiplier()
    }

    /// Sends a message, with news if there are any.
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

    /// Sends a message with these updates.
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
