//! The parent's side of spreading: answers pulls and pushes deltas.

use std::collections::BTreeMap;
use std::time::Duration;

use threadledge_types::records::RecordDelta;
use threadledge_types::{Revision, RouterId, RouterIdentity, Timestamp};

use crate::message::{Pull, PullResponse, SpreadMessage};
use crate::node::SpreadOutput;
use crate::page::PageLimits;
use crate::replica::Replica;
use crate::settings::Settings;

/// A router that pulls from this one.
#[derive(Debug)]
struct Child {
    identity: RouterIdentity,
    /// Revision that the child has, or will have once the last message arrives.
    have: Revision,
    /// Whether it is being sent pages; a push would not fit between them.
    is_in_transfer: bool,
    /// Whether this router is its first choice.
    preferred: bool,
    expires_at: Timestamp,
}

/// The routers that pull from this one. Their number is bounded, which limits
/// both memory and the cost of a push.
#[derive(Debug, Default)]
pub(crate) struct Children {
    by_id: BTreeMap<RouterId, Child>,
    last_push: Option<Timestamp>,
    /// Time of the next push, if the replica advanced since the last one.
    push_due: Option<Timestamp>,
}

impl Children {
    /// Answers a pull, or refuses it when there are enough children.
    pub(crate) fn handle_pull(
        &mut self,
        now: Timestamp,
        settings: &Settings,
        from: RouterIdentity,
        pull: &Pull,
        confirmed_as_of: Option<Timestamp>,
        replica: &Replica,
    ) -> SpreadOutput {
        if !self.admit(now, settings, from.id, pull.preferred) {
            let message = SpreadMessage::Busy {
                group: pull.group,
                sequence: pull.sequence,
            };
            return send(from, message);
        }
        let mut answer = PullResponse {
            group: pull.group,
            sequence: pull.sequence,
            staleness_micros: confirmed_as_of
                .map(|confirmed| staleness_micros(now.since(confirmed), settings.drift_percent)),
            delta: None,
            resume: None,
            continued: false,
        };
        // A child that is ahead of this copy gets no delta, because there is
        // nothing newer here.
        if replica.revision() > pull.have {
            let page = replica.page(pull.have, pull.resume, limits(settings));
            answer.delta = Some(page.delta);
            answer.resume = page.resume;
            answer.continued = page.continued;
        }
        let fresh = confirmed_as_of
            .is_some_and(|confirmed| now.since(confirmed) <= settings.max_parent_staleness);
        let is_in_transfer = answer.resume.is_some();
        if fresh || is_in_transfer {
            let child = Child {
                identity: from.clone(),
                have: if is_in_transfer {
                    pull.have
                } else {
                    replica.revision().max(pull.have)
                },
                is_in_transfer,
                preferred: pull.preferred,
                expires_at: now + settings.child_expiry,
            };
            self.by_id.insert(from.id, child);
        } else {
            // The child will move to a confirmed parent, so it must not take
            // the place of one that stays.
            self.by_id.remove(&from.id);
        }
        send(from, SpreadMessage::Answer(answer))
    }

    /// Schedules a push after the replica advanced.
    pub(crate) fn replica_advanced(&mut self, now: Timestamp, settings: &Settings) {
        let earliest = match self.last_push {
            Some(last) => now.max(last + settings.push_interval),
            None => now,
        };
        self.push_due.get_or_insert(earliest);
    }

    /// Pushes to every child that is behind, if a push is due.
    pub(crate) fn push_if_due(
        &mut self,
        now: Timestamp,
        settings: &Settings,
        replica: &Replica,
        outputs: &mut Vec<SpreadOutput>,
    ) {
        if self.push_due.is_none_or(|due| now < due) {
            return;
        }
        self.push_due = None;
        self.last_push = Some(now);
        self.expire(now);
        let mut deltas = BTreeMap::new();
        for child in self.by_id.values_mut() {
            if child.is_in_transfer || child.have >= replica.revision() {
                continue;
            }
            let delta = deltas
                .entry(child.have)
                .or_insert_with(|| push_delta(replica, child.have, settings));
            let message = match delta {
                Some(delta) => SpreadMessage::Push(delta.clone()),
                None => SpreadMessage::Advanced {
                    group: replica.group(),
                    revision: replica.revision(),
                },
            };
            // If the push is lost, the child detects a gap at the next one and
            // pulls.
            child.have = replica.revision();
            outputs.push(send(child.identity.clone(), message));
        }
    }

    /// Time of the next push.
    pub(crate) fn next_wakeup(&self) -> Option<Timestamp> {
        self.push_due
    }

    /// Number of children, including expired ones that have not been removed
    /// yet.
    pub(crate) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether a router may pull from this one. Makes room for one that prefers
    /// this router.
    fn admit(
        &mut self,
        now: Timestamp,
        settings: &Settings,
        id: RouterId,
        preferred: bool,
    ) -> bool {
        if self.by_id.contains_key(&id) || self.by_id.len() < settings.max_children {
            return true;
        }
        self.expire(now);
        if self.by_id.len() >= settings.max_children && preferred {
            self.evict_non_preferring();
        }
        self.by_id.len() < settings.max_children
    }

    /// Drops one child whose first choice is another router; it learns of this
    /// at its next pull. Otherwise children that lost their own parents could
    /// keep out those for which this router is the first choice.
    fn evict_non_preferring(&mut self) {
        let mut children = self.by_id.iter();
        let non_preferring = children.find(|(_, child)| !child.preferred);
        if let Some(id) = non_preferring.map(|(id, _)| *id) {
            self.by_id.remove(&id);
        }
    }

    fn expire(&mut self, now: Timestamp) {
        self.by_id.retain(|_, child| now < child.expires_at);
    }
}

/// Returns the delta to push to a child at `have`, unless it is too large.
fn push_delta(replica: &Replica, have: Revision, settings: &Settings) -> Option<RecordDelta> {
    let page = replica.page(have, None, limits(settings));
    let is_complete = page.resume.is_none() && !page.delta.full;
    is_complete.then_some(page.delta)
}

fn limits(settings: &Settings) -> PageLimits {
    PageLimits {
        max_changes: usize::MAX,
        max_bytes: settings.max_page_bytes,
    }
}

/// Returns the age of a confirmation in microseconds, increased by the maximum
/// drift of this clock.
fn staleness_micros(age: Duration, drift_percent: u64) -> u64 {
    let micros = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
    let drift = (micros / 100).saturating_mul(drift_percent);
    micros.saturating_add(drift).saturating_add(1)
}

fn send(to: RouterIdentity, message: SpreadMessage) -> SpreadOutput {
    SpreadOutput::Send {
        to,
        message: Box::new(message),
    }
}
