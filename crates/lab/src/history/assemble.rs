//! Puts the events of all processes together.

use std::collections::BTreeMap;

use threadledge_types::{Epoch, Point, Revision, ServiceId, SessionId, Timestamp, session::Grant};

use super::event::{Attempt, ConfigurationSeen, Event, ObjectRef, RequestId, SliceSeen};

/// One request as a back end carried it out.
#[derive(Clone, Debug, PartialEq)]
pub struct Execution {
    /// Who.
    pub session: SessionId,
    /// Which request.
    pub request: RequestId,
    /// Which service.
    pub service: ServiceId,
    /// Point of its key.
    pub point: Point,
    /// Epoch it was served under.
    pub epoch: Epoch,
    /// When it began.
    pub begin: Timestamp,
    /// When it ended; `None` when its process died on it.
    pub end: Option<Timestamp>,
    /// Whether it took effect, as far as is known.
    pub completed: bool,
}

/// A stretch of time in which a back end believed that it owned a slice.
#[derive(Clone, Debug, PartialEq)]
pub struct Belief {
    /// Who.
    pub session: SessionId,
    /// What.
    pub grant: Grant,
    /// First moment.
    pub begin: Timestamp,
    /// End, exclusive.
    pub end: Timestamp,
}

/// One request as its caller saw it.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestRecord {
    /// When the schedule wanted it sent.
    pub intended: Timestamp,
    /// Which request.
    pub request: RequestId,
    /// Which service.
    pub service: ServiceId,
    /// Point of its key.
    pub point: Point,
    /// Whether it may be carried out more than once.
    pub repeatable: bool,
    /// Every attempt, in order.
    pub attempts: Vec<Attempt>,
    /// Whether the answer was whole and the caller's own.
    pub answer_matches: Option<bool>,
}

/// Everything that the processes of one run recorded.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Executions in the order in which they began.
    pub executions: Vec<Execution>,
    /// Requests in the order in which they were intended.
    pub requests: Vec<RequestRecord>,
    /// Stretches of believed ownership.
    pub beliefs: Vec<Belief>,
    /// Drain notices.
    pub drains: Vec<(Timestamp, SessionId)>,
    /// Planned stops of routers: when, and the router's number.
    pub planned_stops: Vec<(Timestamp, usize)>,
    /// Accepted configuration objects.
    pub accepted: Vec<(Timestamp, ObjectRef, Revision)>,
    /// Configurations told by routers.
    pub configurations: Vec<ConfigurationSeen>,
    /// Owners told by routers.
    pub slices: Vec<SliceSeen>,
    /// Faults caused.
    pub faults: Vec<(Timestamp, String)>,
}

impl History {
    /// Assembles the events of a run; `events` may come in any order.
    pub fn assemble(mut events: Vec<Event>) -> History {
        events.sort_by_key(time_of);
        let mut history = History::default();
        let mut beliefs = BeliefBuilder::default();
        let mut running: BTreeMap<(SessionId, RequestId), Vec<usize>> = BTreeMap::new();
        for event in events {
            beliefs.take(&event);
            history.take(event, &mut running);
        }
        history.beliefs = beliefs.finish();
        history.requests.sort_by_key(|record| record.intended);
        history
    }

    fn take(&mut self, event: Event, running: &mut BTreeMap<(SessionId, RequestId), Vec<usize>>) {
        match event {
            Event::ExecutionBegan {
                at,
                session,
                request,
                service,
                point,
                epoch,
            } => {
                let key = (session.clone(), request);
                running.entry(key).or_default().push(self.executions.len());
                self.executions.push(Execution {
                    session,
                    request,
                    service,
                    point,
                    epoch,
                    begin: at,
                    end: None,
                    completed: true,
                });
            }
            Event::ExecutionEnded {
                at,
                session,
                request,
                completed,
            } => {
                let open = running.get_mut(&(session, request)).and_then(Vec::pop);
                if let Some(number) = open {
                    self.executions[number].end = Some(at);
                    self.executions[number].completed = completed;
                }
            }
            Event::RequestEnded {
                intended,
                request,
                service,
                point,
                repeatable,
                attempts,
                answer_matches,
            } => self.requests.push(RequestRecord {
                intended,
                request,
                service,
                point,
                repeatable,
                attempts,
                answer_matches,
            }),
            Event::PlannedStopBegan { at, router } => self.planned_stops.push((at, router)),
            Event::DrainBegan { at, session } => self.drains.push((at, session)),
            Event::ConfigurationAccepted {
                at,
                object,
                revision,
            } => self.accepted.push((at, object, revision)),
            Event::ConfigurationSeen(seen) => self.configurations.push(seen),
            Event::SliceSeen(seen) => self.slices.push(seen),
            Event::Fault { at, what } => self.faults.push((at, what)),
            Event::GrantTaken { .. }
            | Event::GrantReleased { .. }
            | Event::LeaseExtended { .. }
            | Event::ProcessEnded { .. } => {}
        }
    }
}

fn time_of(event: &Event) -> Timestamp {
    match event {
        Event::ExecutionBegan { at, .. }
        | Event::ExecutionEnded { at, .. }
        | Event::GrantTaken { at, .. }
        | Event::GrantReleased { at, .. }
        | Event::LeaseExtended { at, .. }
        | Event::ProcessEnded { at, .. }
        | Event::PlannedStopBegan { at, .. }
        | Event::DrainBegan { at, .. }
        | Event::ConfigurationAccepted { at, .. }
        | Event::Fault { at, .. } => *at,
        Event::RequestEnded { intended, .. } => *intended,
        Event::ConfigurationSeen(seen) => seen.at,
        Event::SliceSeen(seen) => seen.end,
    }
}

/// Intersects grants held with leases in force.
#[derive(Default)]
struct BeliefBuilder {
    sessions: BTreeMap<SessionId, SessionBelief>,
    done: Vec<Belief>,
}

#[derive(Default)]
struct SessionBelief {
    until: Timestamp,
    open: BTreeMap<Grant, Timestamp>,
}

impl BeliefBuilder {
    fn take(&mut self, event: &Event) {
        match event {
            Event::LeaseExtended { at, session, until } => self.extend(session, *at, *until),
            Event::GrantTaken { at, session, grant } => {
                let belief = self.sessions.entry(session.clone()).or_default();
                belief.open.insert(grant.clone(), *at);
            }
            Event::GrantReleased { at, session, grant } => {
                let Some(belief) = self.sessions.get_mut(session) else {
                    return;
                };
                if let Some(begin) = belief.open.remove(grant) {
                    let end = belief.until.min(*at);
                    push_belief(&mut self.done, session, grant, begin, end);
                }
            }
            Event::ProcessEnded { at, sessions, .. } => {
                for session in sessions {
                    self.close(session, *at);
                }
            }
            _ => {}
        }
    }

    fn extend(&mut self, session: &SessionId, at: Timestamp, until: Timestamp) {
        let belief = self.sessions.entry(session.clone()).or_default();
        if belief.until < at {
            // The lease had lapsed: belief paused from its end until now.
            for (grant, begin) in &mut belief.open {
                push_belief(&mut self.done, session, grant, *begin, belief.until);
                *begin = (*begin).max(at);
            }
        }
        belief.until = belief.until.max(until);
    }

    fn close(&mut self, session: &SessionId, at: Timestamp) {
        let Some(belief) = self.sessions.remove(session) else {
            return;
        };
        for (grant, begin) in belief.open {
            push_belief(&mut self.done, session, &grant, begin, belief.until.min(at));
        }
    }

    fn finish(mut self) -> Vec<Belief> {
        let sessions: Vec<SessionId> = self.sessions.keys().cloned().collect();
        for session in sessions {
            self.close(&session, Timestamp::from_micros(u64::MAX));
        }
        self.done.sort_by_key(|belief| belief.begin);
        self.done
    }
}

fn push_belief(
    done: &mut Vec<Belief>,
    session: &SessionId,
    grant: &Grant,
    begin: Timestamp,
    end: Timestamp,
) {
    if begin < end {
        done.push(Belief {
            session: session.clone(),
            grant: grant.clone(),
            begin,
            end,
        });
    }
}
