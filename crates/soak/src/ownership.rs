//! Checks which back ends held which keys when, from the events that the back
//! ends recorded.

use std::collections::BTreeSet;
use std::time::Duration;

use threadledge_platform_stand_in::KeyChange;

use crate::check::{Tenure, Violation};

/// A change of the keys that a back end holds.
#[derive(Clone, Copy, Debug)]
pub struct KeyChangeEvent<'a> {
    /// The back end.
    pub back_end: &'a str,
    /// Time since the start of the soak.
    pub at: Duration,
    /// The change.
    pub change: KeyChange,
    /// True if the order was left unanswered and applied later.
    pub late: bool,
    /// True if the order may have waited in a full link.
    pub delayed: bool,
    /// True if the order may have waited unread at the back end.
    pub unread: bool,
}

/// A request for a key that a back end started to process.
#[derive(Clone, Copy, Debug)]
pub struct KeyedRun<'a> {
    /// The back end.
    pub back_end: &'a str,
    /// Start of the processing, since the start of the soak.
    pub at: Duration,
    /// End of the processing, if it has ended.
    pub until: Option<Duration>,
    /// The key.
    pub key: u16,
}

/// Finds three faults: keys that two back ends held at the same time, for
/// `tolerance` or longer or with requests started by both; grants whose fencing
/// token is not above all those under which other back ends had held the key;
/// and grants made while another back end was processing a request for the key
/// under a lease that had not expired. A renewal extends a tenure and does not
/// count as a grant. Events may come in any order.
pub fn check_history(
    events: &[KeyChangeEvent],
    runs: &[KeyedRun],
    tolerance: Duration,
) -> Vec<Violation> {
    let mut events = events.to_vec();
    events.sort_by_key(|event| event.at);
    let mut found = Vec::new();
    for (first, last) in key_ranges(&events) {
        let key_range = KeyRange::replay(first, last, &events);
        let inside = |each: &&KeyedRun| first <= each.key && each.key <= last;
        let runs: Vec<&KeyedRun> = runs.iter().filter(inside).collect();
        for each in key_range.overlaps(&runs, tolerance) {
            push_merged(&mut found, each);
        }
        for each in key_range.grants_during_work(&runs) {
            push_merged(&mut found, each);
        }
        for each in key_range.stale_fences {
            push_merged(&mut found, each);
        }
    }
    found
}

/// Adds a violation, or extends an equal violation of the adjacent keys.
fn push_merged(found: &mut Vec<Violation>, next: Violation) {
    let Some((first, last)) = next.keys() else {
        found.push(next);
        return;
    };
    for each in found.iter_mut() {
        let Some((from, to)) = each.keys() else {
            continue;
        };
        if first.checked_sub(1) == Some(to) && *each == next.clone().with_keys((from, to)) {
            *each = next.with_keys((from, last));
            return;
        }
    }
    found.push(next);
}

/// Splits the keys into ranges that every event covers completely or not at
/// all.
fn key_ranges(events: &[KeyChangeEvent]) -> Vec<(u16, u16)> {
    let mut starts = BTreeSet::from([0, u32::from(u16::MAX) + 1]);
    for event in events {
        if let Some((first, last)) = affected_keys(event.change) {
            starts.extend([u32::from(first), u32::from(last) + 1]);
        }
    }
    let key = |number: u32| u16::try_from(number).unwrap_or(u16::MAX);
    let starts: Vec<u32> = starts.into_iter().collect();
    starts
        .windows(2)
        .map(|pair| (key(pair[0]), key(pair[1] - 1)))
        .collect()
}

fn affected_keys(change: KeyChange) -> Option<(u16, u16)> {
    match change {
        KeyChange::Granted { first, last, .. } | KeyChange::Released { first, last } => {
            Some((first, last))
        }
        KeyChange::Crashed => None,
    }
}

/// A range of keys that share one history.
struct KeyRange {
    first: u16,
    last: u16,
    tenures: Vec<Tenure>,
    stale_fences: Vec<Violation>,
}

impl KeyRange {
    fn replay(first: u16, last: u16, events: &[KeyChangeEvent]) -> Self {
        let mut key_range = KeyRange {
            first,
            last,
            tenures: Vec::new(),
            stale_fences: Vec::new(),
        };
        for event in events {
            let covered =
                affected_keys(event.change).is_none_or(|(from, to)| from <= first && last <= to);
            if covered {
                key_range.apply(event);
            }
        }
        key_range
    }

    fn apply(&mut self, event: &KeyChangeEvent) {
        let KeyChange::Granted { fence, hold, .. } = event.change else {
            if let Some(current_tenure) = self.current_tenure(event) {
                current_tenure.until = event.at;
                if event.change == KeyChange::Crashed {
                    current_tenure.lease = event.at;
                }
            }
            return;
        };
        let until = event.at + hold;
        if let Some(current_tenure) = self.current_tenure(event) {
            if current_tenure.fence == fence {
                current_tenure.until = until;
                current_tenure.lease = until;
                current_tenure.late = event.late;
                current_tenure.delayed = event.delayed;
                current_tenure.unread = event.unread;
                return;
            }
            current_tenure.until = event.at;
        }
        let tenure = Tenure {
            back_end: event.back_end.to_owned(),
            fence,
            from: event.at,
            until,
            lease: until,
            late: event.late,
            delayed: event.delayed,
            unread: event.unread,
        };
        self.check_fence(&tenure);
        self.tenures.push(tenure);
    }

    /// Returns the tenure that the back end of an event has when the event
    /// occurs.
    fn current_tenure(&mut self, event: &KeyChangeEvent) -> Option<&mut Tenure> {
        let own = |tenure: &&mut Tenure| tenure.back_end == event.back_end;
        let latest = self.tenures.iter_mut().rev().find(own)?;
        (latest.until > event.at).then_some(latest)
    }

    fn check_fence(&mut self, tenure: &Tenure) {
        let others = self
            .tenures
            .iter()
            .filter(|other| other.back_end != tenure.back_end);
        let Some(highest) = others.max_by_key(|other| other.fence) else {
            return;
        };
        if tenure.fence <= highest.fence {
            self.stale_fences.push(Violation::StaleFence {
                keys: (self.first, self.last),
                tenures: Box::new([highest.clone(), tenure.clone()]),
            });
        }
    }

    /// Finds grants to other back ends that occurred while a back end was still
    /// processing a request.
    fn grants_during_work(&self, runs: &[&KeyedRun]) -> Vec<Violation> {
        let mut found = Vec::new();
        for run in runs {
            let tenures = self.tenures.iter();
            let mut held_at_start = tenures.filter(|each| {
                each.back_end == run.back_end && each.from <= run.at && run.at < each.until
            });
            let Some(holder) = held_at_start.next_back() else {
                continue;
            };
            let until = run.until.unwrap_or(holder.lease).min(holder.lease);
            let others = self.tenures.iter();
            let mut grants_to_others = others.filter(|other| {
                other.back_end != run.back_end && run.at < other.from && other.from < until
            });
            if let Some(other) = grants_to_others.next() {
                found.push(Violation::GrantedDuringWork {
                    key: run.key,
                    work: (run.at, until),
                    tenures: Box::new([holder.clone(), other.clone()]),
                });
            }
        }
        found
    }

    fn overlaps(&self, runs: &[&KeyedRun], tolerance: Duration) -> Vec<Violation> {
        let mut found = Vec::new();
        for (index, one) in self.tenures.iter().enumerate() {
            for two in &self.tenures[index + 1..] {
                let from = one.from.max(two.from);
                let until = one.until.min(two.until);
                if one.back_end == two.back_end || from >= until {
                    continue;
                }
                let has_started = |tenure: &Tenure| {
                    let mut own = runs.iter().filter(|each| each.back_end == tenure.back_end);
                    own.any(|each| from <= each.at && each.at < until)
                };
                let both_started = has_started(one) && has_started(two);
                if both_started || until - from >= tolerance {
                    found.push(Violation::OverlappingTenures {
                        keys: (self.first, self.last),
                        tenures: Box::new([one.clone(), two.clone()]),
                        both_started,
                    });
                }
            }
        }
        found
    }
}
