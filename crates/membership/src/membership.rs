//! The steppable core of failure detection.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use threadledge_types::{RouterId, RouterIdentity, Timestamp};

use crate::machines::MachineList;
use crate::member::{Member, MemberState};
use crate::message::{Message, Refutation};
use crate::proof::DeathProof;
use crate::settings::Settings;

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
    /// The platform's machine list was read.
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
    /// A router announced that it stops.
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
    /// The platform took its machine off the list.
    RemovedFromList,
}

/// Failure detection as seen by one router.
#[derive(Debug)]
pub struct Membership {
    settings: Settings,
    members: BTreeMap<RouterId, Member>,
    next_wakeup: Timestamp,
}

impl Membership {
    /// A membership that knows only `identity`, this router.
    pub fn new(settings: Settings, identity: RouterIdentity, now: Timestamp) -> Self {
        let own = Member {
            state: MemberState::Alive,
            refutation: Refutation::default(),
            identity,
        };
        Membership {
            next_wakeup: now + settings.gossip_interval,
            settings,
            members: BTreeMap::from([(own.identity.id, own)]),
        }
    }

    /// Takes one input at `now` and returns what follows from it.
    pub fn step(&mut self, now: Timestamp, input: Input) -> Vec<Output> {
        let _ = input;
        self.next_wakeup = now + self.settings.gossip_interval;
        Vec::new()
    }

    /// Every member known, this router and remembered dead ones included, in
    /// the order of their ids.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// The members that are alive or merely suspect, this router included, in
    /// the order of their ids.
    pub fn alive(&self) -> impl Iterator<Item = &Member> {
        self.members()
            .filter(|member| matches!(member.state, MemberState::Alive | MemberState::Suspect))
    }

    /// Evidence that the process `id` is gone for good, if there is any.
    pub fn death_proof(&self, id: RouterId) -> Option<DeathProof> {
        let _ = id;
        None
    }

    /// When [`Membership::step`] wants to be called next, at the latest.
    pub fn next_wakeup(&self) -> Timestamp {
        self.next_wakeup
    }
}
