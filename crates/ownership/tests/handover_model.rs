//! Explores every schedule of one handover up to a bound.
//!
//! Two back ends and one slice are run by the real state machine, grantor and
//! holders. From each state every possible action is taken: any message is
//! delivered or lost in any order, any proposal commits once or twice, the move
//! is begun and cancelled, admitted requests finish, time passes, the leader
//! changes. In every state at most one back end may have an effect.

mod support;

use std::collections::BTreeSet;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

use support::{
    GROUP, Log, address, back_end_id, begin_move, cancel_move, service_id, session_id, term,
};
use threadledge_ownership::{
    Command, Grantor, GrantorInput, GrantorOutput, GrantorSettings, Holder, Permit, StateMachine,
};
use threadledge_types::session::{LeaseRequest, LeaseResponse};
use threadledge_types::{Generation, Incarnation, Point, Revision, Timestamp, Timing};

const NAMES: [&str; 2] = ["a", "b"];
const KEY: Point = Point(1);
/// Schedules with more messages in flight are not explored further.
const MAX_MESSAGES: usize = 3;

#[derive(Clone, Debug)]
enum Message {
    Request(usize, Box<LeaseRequest>),
    Response(usize, Box<LeaseResponse>),
}

#[derive(Clone, Copy, Debug)]
enum Action {
    Deliver(usize),
    Lose(usize),
    Commit { proposal: usize, again: bool },
    Begin,
    Cancel,
    Admit,
    Finish,
    Pass,
    NextLeader,
}

impl Message {
    fn is_to(&self, number: usize) -> bool {
        matches!(self, Message::Request(to, _) if *to == number)
    }
}

/// Number of times that each action may still be taken.
#[derive(Clone, Debug)]
struct Budget {
    begin: u8,
    cancel: u8,
    lose: u8,
    again: u8,
    pass: u8,
    /// Time that passes with one `pass`, in milliseconds.
    jump: u64,
    leaders: u8,
    work: u8,
}

#[derive(Clone, Debug)]
struct World {
    machine: StateMachine,
    index: u64,
    term: u64,
    grantor: Grantor,
    holders: Vec<Holder>,
    /// Request that the first back end admitted.
    permit: Option<Permit>,
    messages: Vec<Message>,
    proposals: Vec<Command>,
    now: u64,
    budget: Budget,
}

fn grantor(number: u64, now: u64, machine: &StateMachine) -> Grantor {
    let settings = GrantorSettings::from(Timing::default());
    let now = Timestamp::from_millis(now);
    Grantor::start(settings, GROUP, term(number), now, now, machine)
}

impl World {
    /// Creates a world in which the first back end owns and serves the slice.
    fn with_owner(budget: Budget) -> Self {
        let mut log = Log::with_one_slice();
        log.assign(&session_id("a", 1));
        let holder = |name: &&str| Holder::new(back_end_id(name), Incarnation(1));
        let mut world = World {
            grantor: grantor(2, 0, &log.machine),
            index: log.next_revision().index - 1,
            machine: log.machine,
            term: 2,
            holders: NAMES.iter().map(holder).collect(),
            permit: None,
            messages: Vec::new(),
            proposals: Vec::new(),
            now: 0,
            budget,
        };
        world.step(GrantorInput::Tick);
        for _ in 0..200 {
            if !world.messages.is_empty() {
                world.deliver(0);
            } else if !world.proposals.is_empty() {
                world.commit(0, false);
            } else {
                world.now += 10;
                world.step(GrantorInput::Tick);
            }
        }
        while !world.messages.is_empty() {
            world.deliver(0);
        }
        assert!(world.could_commit(0));
        world
    }

    /// Creates a world in which the move has begun, the next owner is ready,
    /// and the request that takes the slice from its owner is in flight.
    fn withholding(budget: Budget) -> Self {
        let mut world = World::with_owner(budget);
        world.take(Action::Begin);
        while world.messages.iter().all(|message| !message.is_to(0)) {
            if world.messages.is_empty() {
                world.now += 20;
                world.step(GrantorInput::Tick);
            } else {
                world.deliver(0);
            }
        }
        world
    }

    fn step(&mut self, input: GrantorInput) {
        let now = Timestamp::from_millis(self.now);
        for output in self.grantor.step(now, input, &self.machine, true) {
            match output {
                GrantorOutput::Send { to, request } => {
                    let number = usize::from(to.port() - address(1).port());
                    self.messages.push(Message::Request(number, request));
                }
                GrantorOutput::Propose(command) => self.proposals.push(command),
                GrantorOutput::Load { .. }
                | GrantorOutput::Reachability { .. }
                | GrantorOutput::Observed(_) => {}
            }
        }
    }

    fn deliver(&mut self, number: usize) {
        match self.messages.remove(number) {
            Message::Request(to, request) => {
                let now = Timestamp::from_millis(self.now);
                let response = self.holders[to].handle(now, *request);
                let holder = &mut self.holders[to];
                for grant in holder.slices_to_prepare().cloned().collect::<Vec<_>>() {
                    holder.mark_ready(&grant);
                }
                let response = Message::Response(to, Box::new(response));
                self.messages.push(response);
            }
            Message::Response(from, response) => {
                let from = back_end_id(NAMES[from]);
                self.step(GrantorInput::Response { from, response });
            }
        }
    }

    fn commit(&mut self, proposal: usize, again: bool) {
        let command = if again {
            self.proposals[proposal].clone()
        } else {
            self.proposals.remove(proposal)
        };
        self.apply(&command);
    }

    fn apply(&mut self, command: &Command) {
        self.index += 1;
        let revision = Revision::new(Generation(1), self.index);
        let applied = self.machine.apply(revision, command);
        self.step(GrantorInput::Applied(applied.changes));
    }

    fn could_commit(&self, number: usize) -> bool {
        let now = Timestamp::from_millis(self.now);
        let holder = &self.holders[number];
        let works = |permit: &Permit| holder.may_commit(now, permit).is_ok();
        let running = number == 0 && self.permit.as_ref().is_some_and(works);
        let held = holder.held_epoch(&service_id("s"), KEY).is_some();
        running || (held && holder.has_valid_lease(now))
    }

    fn actions(&self) -> Vec<Action> {
        let mut actions = Vec::new();
        for number in 0..self.messages.len() {
            actions.push(Action::Deliver(number));
            if self.budget.lose > 0 {
                actions.push(Action::Lose(number));
            }
        }
        for proposal in 0..self.proposals.len() {
            let again = false;
            actions.push(Action::Commit { proposal, again });
            if self.budget.again > 0 {
                let again = true;
                actions.push(Action::Commit { proposal, again });
            }
        }
        let moving = !self.machine.pending_moves().is_empty();
        if self.budget.begin > 0 && !moving {
            actions.push(Action::Begin);
        }
        if self.budget.cancel > 0 && moving {
            actions.push(Action::Cancel);
        }
        if self.permit.is_some() {
            actions.push(Action::Finish);
        } else if self.budget.work > 0 {
            actions.push(Action::Admit);
        }
        if self.budget.pass > 0 {
            actions.push(Action::Pass);
        }
        if self.budget.leaders > 0 {
            actions.push(Action::NextLeader);
        }
        actions
    }

    /// Takes an action. Returns false if it changes nothing.
    fn take(&mut self, action: Action) -> bool {
        let record = self.machine.slice_at(&service_id("s"), KEY);
        let record = record.expect("the slice");
        match action {
            Action::Deliver(number) => self.deliver(number),
            Action::Lose(number) => {
                self.budget.lose -= 1;
                self.messages.remove(number);
            }
            Action::Commit { proposal, again } => {
                self.budget.again -= u8::from(again);
                self.commit(proposal, again);
            }
            Action::Begin => {
                self.budget.begin -= 1;
                let from = record.owner.as_ref().map(|owner| &owner.back_end);
                let to = NAMES.iter().map(|name| back_end_id(name));
                let to = to.into_iter().find(|id| Some(id) != from);
                self.apply(&begin_move(&record, &to.expect("another")));
            }
            Action::Cancel => {
                self.budget.cancel -= 1;
                self.apply(&cancel_move(&record));
            }
            Action::Admit => return self.admit(),
            Action::Finish => {
                if let Some(permit) = self.permit.take() {
                    self.holders[0].finish(permit);
                }
            }
            Action::Pass => {
                self.budget.pass -= 1;
                self.now += self.budget.jump;
                self.step(GrantorInput::Tick);
            }
            Action::NextLeader => {
                self.budget.leaders -= 1;
                self.term += 1;
                // The former leader's proposals are lost, but its messages are
                // still in flight.
                self.proposals.clear();
                self.grantor = grantor(self.term, self.now, &self.machine);
                self.step(GrantorInput::Tick);
            }
        }
        true
    }

    fn admit(&mut self) -> bool {
        self.budget.work -= 1;
        let now = Timestamp::from_millis(self.now);
        let service = service_id("s");
        let epoch = self.holders[0].held_epoch(&service, KEY);
        let admitted = epoch.map(|epoch| self.holders[0].admit(now, &service, KEY, epoch));
        self.permit = admitted.and_then(Result::ok);
        self.permit.is_some()
    }

    fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        let slice = self.machine.slice_at(&service_id("s"), KEY);
        let sessions: Vec<_> = self.machine.sessions().collect();
        let replicated = (slice, sessions, self.machine.term());
        let local = (&self.grantor, &self.holders, &self.permit);
        let in_flight = (&self.messages, &self.proposals);
        let whole = (replicated, local, in_flight, self.now, &self.budget);
        format!("{whole:?}").hash(&mut hasher);
        hasher.finish()
    }
}

/// Explores every schedule of up to `depth` actions. Returns the number of
/// states and the number of those in which the second back end may have an
/// effect.
fn explore(start: World, depth: usize) -> (usize, usize) {
    let mut seen = BTreeSet::new();
    let mut frontier = vec![start];
    let mut handed_over = 0;
    for _ in 0..depth {
        let mut next = Vec::new();
        for world in &frontier {
            for action in world.actions() {
                let mut following = world.clone();
                let changed = following.take(action);
                if !changed || following.messages.len() > MAX_MESSAGES {
                    continue;
                }
                if !seen.insert(following.fingerprint()) {
                    continue;
                }
                let both = following.could_commit(0) && following.could_commit(1);
                assert!(!both, "two owners after {action:?} in {world:#?}");
                handed_over += usize::from(following.could_commit(1));
                next.push(following);
            }
        }
        frontier = next;
    }
    println!("{} states, handed over in {handed_over}", seen.len());
    (seen.len(), handed_over)
}

#[test]
fn no_schedule_of_a_cancelled_and_repeated_move_gives_two_owners() {
    let budget = Budget {
        begin: 2,
        cancel: 1,
        lose: 0,
        again: 1,
        pass: 3,
        jump: 20,
        leaders: 0,
        work: 1,
    };
    let (_, handed_over) = explore(World::withholding(budget), 7);
    assert!(handed_over > 0, "some schedules complete the move");
}

#[test]
fn no_schedule_of_losses_and_lapses_gives_two_owners() {
    let budget = Budget {
        begin: 1,
        cancel: 0,
        lose: 2,
        again: 0,
        pass: 5,
        jump: 800,
        leaders: 0,
        work: 1,
    };
    let (_, handed_over) = explore(World::withholding(budget), 8);
    assert!(handed_over > 0, "some schedules complete the move");
}

#[test]
fn no_schedule_of_a_change_of_leader_during_a_move_gives_two_owners() {
    let budget = Budget {
        begin: 1,
        cancel: 0,
        lose: 1,
        again: 0,
        pass: 2,
        jump: 800,
        leaders: 1,
        work: 0,
    };
    let (_, handed_over) = explore(World::withholding(budget), 8);
    assert!(handed_over > 0, "some schedules complete the move");
}
