//! Assembles the events of all processes into one history.

use std::collections::BTreeMap;

use threadledge_types::{Epoch, Point, Revision, ServiceId, SessionId, Timestamp, session::Grant};

use super::event::{Attempt, ConfigurationSeen, Event, ObjectRef, RequestId, SliceSeen};

/// The execution of one request by a back end.
#[derive(Clone, Debug, PartialEq)]
pub struct Execution {
    /// Session of the back end.
    pub session: SessionId,
    /// Id of the request.
    pub request: RequestId,
    /// Service of the request.
    pub service: ServiceId,
    /// Point of its key.
    pub point: Point,
    /// Epoch under which it was executed.
    pub epoch: Epoch,
    /// Start of the execution.
    pub begin: Timestamp,
    /// End of the execution; `None` if the process died during it.
    pub end: Option<Timestamp>,
    /// Whether it took effect; true if unknown.
    pub completed: bool,
}

/// An interval in which a back end believed that it owned a slice.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnershipClaim {
    /// Session of the back end.
    pub session: SessionId,
    /// Grant of the slice.
    pub grant: Grant,
    /// Start, inclusive.
    pub begin: Timestamp,
    /// End, exclusive.
    pub end: Timestamp,
}

/// One request as observed by its caller.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestRecord {
    /// Send time according to the schedule.
    pub intended: Timestamp,
    /// Id of the request.
    pub request: RequestId,
    /// Service of the request.
    pub service: ServiceId,
    /// Point of its key.
    pub point: Point,
    /// Whether it may be executed more than once.
    pub repeatable: bool,
    /// All attempts, in order.
    pub attempts: Vec<Attempt>,
    /// Whether the response was complete and belonged to this request.
    pub answer_matches: Option<bool>,
}

/// Everything that the processes of one run recorded.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Executions, ordered by start time.
    pub executions: Vec<Execution>,
    /// Requests, ordered by intended send time.
    pub requests: Vec<RequestRecord>,
    /// Ownership claims, ordered by start time.
    pub claims: Vec<OwnershipClaim>,
    /// Drain notices: time and session.
    pub drains: Vec<(Timestamp, SessionId)>,
    /// Planned stops of routers: time and router number.
    pub planned_stops: Vec<(Timestamp, usize)>,
    /// Accepted configuration objects: time, object and revision.
    pub accepted: Vec<(Timestamp, ObjectRef, Revision)>,
    /// Configurations reported by routers.
    pub configurations: Vec<ConfigurationSeen>,
    /// Slice owners reported by routers.
    pub slices: Vec<SliceSeen>,
    /// Injected faults: time and description.
    pub faults: Vec<(Timestamp, String)>,
}

impl History {
    /// Assembles the events of a run; `events` may come in any order.
    pub fn assemble(mut events: Vec<Event>) -> History {
        events.sort_by_key(event_time);
        let mut history = History::default();
        let mut claims = ClaimBuilder::default();
        let mut running: BTreeMap<(SessionId, RequestId), Vec<usize>> = BTreeMap::new();
        for event in events {
            claims.add(&event);
            history.add(event, &mut running);
        }
        history.claims = claims.finish();
        history.requests.sort_by_key(|record| record.intended);
        history
    }

    /// Adds one event. `running` holds the indexes of the executions without an
    /// end.
    fn add(&mut self, event: Event, running: &mut BTreeMap<(SessionId, RequestId), Vec<usize>>) {
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

/// Returns the time by which events are ordered.
fn event_time(event: &Event) -> Timestamp {
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

/// Computes ownership claims as the intersection of held grants and valid
/// leases.
#[derive(Default)]
struct ClaimBuilder {
    sessions: BTreeMap<SessionId, SessionClaims>,
    finished: Vec<OwnershipClaim>,
}

/// Lease and held grants of one session.
#[derive(Default)]
struct SessionClaims {
    lease_end: Timestamp,
    /// Held grants with the time since which they are claimed.
    open: BTreeMap<Grant, Timestamp>,
}

impl ClaimBuilder {
    fn add(&mut self, event: &Event) {
        match event {
            Event::LeaseExtended { at, session, until } => self.extend(session, *at, *until),
            Event::GrantTaken { at, session, grant } => {
                let claims = self.sessions.entry(session.clone()).or_default();
                claims.open.insert(grant.clone(), *at);
            }
            Event::GrantReleased { at, session, grant } => {
                let Some(claims) = self.sessions.get_mut(session) else {
                    return;
                };
                if let Some(begin) = claims.open.remove(grant) {
                    let end = claims.lease_end.min(*at);
                    push_claim(&mut self.finished, session, grant, begin, end);
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

    /// Extends a lease. If it had expired, the claims up to its end are
    /// completed.
    fn extend(&mut self, session: &SessionId, at: Timestamp, until: Timestamp) {
        let claims = self.sessions.entry(session.clone()).or_default();
        if claims.lease_end < at {
            // The lease had expired, so the claims paused from its end until now.
            for (grant, begin) in &mut claims.open {
                push_claim(&mut self.finished, session, grant, *begin, claims.lease_end);
                *begin = (*begin).max(at);
            }
        }
        claims.lease_end = claims.lease_end.max(until);
    }

    /// Completes all claims of a session that ended at time `at`.
    fn close(&mut self, session: &SessionId, at: Timestamp) {
        let Some(claims) = self.sessions.remove(session) else {
            return;
        };
        for (grant, begin) in claims.open {
            push_claim(
                &mut self.finished,
                session,
                &grant,
                begin,
                claims.lease_end.min(at),
            );
        }
    }

    fn finish(mut self) -> Vec<OwnershipClaim> {
        let sessions: Vec<SessionId> = self.sessions.keys().cloned().collect();
        for session in sessions {
            self.close(&session, Timestamp::from_micros(u64::MAX));
        }
        self.finished.sort_by_key(|claim| claim.begin);
        self.finished
    }
}

/// Adds a claim, unless its interval is empty.
fn push_claim(
    finished: &mut Vec<OwnershipClaim>,
    session: &SessionId,
    grant: &Grant,
    begin: Timestamp,
    end: Timestamp,
) {
    if begin < end {
        finished.push(OwnershipClaim {
            session: session.clone(),
            grant: grant.clone(),
            begin,
            end,
        });
    }
}
