//! Who held which keys when, judged from what back ends saw.

use std::collections::BTreeSet;
use std::time::Duration;

use threadledge_platform_stand_in::KeyChange;

use crate::check::{Tenure, Violation};

/// A change of what a back end holds, at a time from the start of the soak.
#[derive(Clone, Copy, Debug)]
pub struct Change<'a> {
    /// The back end.
    pub back_end: &'a str,
    /// When.
    pub at: Duration,
    /// What changed.
    pub what: KeyChange,
}

/// A keyed request that a back end began.
#[derive(Clone, Copy, Debug)]
pub struct Begun<'a> {
    /// The back end.
    pub back_end: &'a str,
    /// When.
    pub at: Duration,
    /// When the work ended, if it has.
    pub until: Option<Duration>,
    /// The key.
    pub key: u16,
}

/// Finds keys that two back ends held at the same time, for `tolerance` or
/// longer or with requests begun by both; grants whose fence is not above all
/// those under which others had held the key; and grants that came while
/// another was at work on a key and its lease had not run out. A renewal
/// continues a hold and counts as no grant. Changes may come in any order.
pub fn judge(changes: &[Change], begun: &[Begun], tolerance: Duration) -> Vec<Violation> {
    let mut changes = changes.to_vec();
    changes.sort_by_key(|change| change.at);
    let mut found = Vec::new();
    for (first, last) in stretches(&changes) {
        let held = Stretch::replay(first, last, &changes);
        let inside = |each: &&Begun| first <= each.key && each.key <= last;
        let begun: Vec<&Begun> = begun.iter().filter(inside).collect();
        for each in held.overlaps(&begun, tolerance) {
            add(&mut found, each);
        }
        for each in held.interrupted(&begun) {
            add(&mut found, each);
        }
        for each in held.low_fences {
            add(&mut found, each);
        }
    }
    found
}

/// Neighbouring keys with the same story are told of once.
fn add(found: &mut Vec<Violation>, next: Violation) {
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

/// Stretches of keys that every change covers whole or not at all.
fn stretches(changes: &[Change]) -> Vec<(u16, u16)> {
    let mut starts = BTreeSet::from([0, u32::from(u16::MAX) + 1]);
    for change in changes {
        if let Some((first, last)) = range(change.what) {
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

fn range(what: KeyChange) -> Option<(u16, u16)> {
    match what {
        KeyChange::Granted { first, last, .. } | KeyChange::Released { first, last } => {
            Some((first, last))
        }
        KeyChange::Crashed => None,
    }
}

/// Keys with one history.
struct Stretch {
    first: u16,
    last: u16,
    tenures: Vec<Tenure>,
    low_fences: Vec<Violation>,
}

impl Stretch {
    fn replay(first: u16, last: u16, changes: &[Change]) -> Self {
        let mut stretch = Stretch {
            first,
            last,
            tenures: Vec::new(),
            low_fences: Vec::new(),
        };
        for change in changes {
            let covered = range(change.what).is_none_or(|(from, to)| from <= first && last <= to);
            if covered {
                stretch.apply(change);
            }
        }
        stretch
    }

    fn apply(&mut self, change: &Change) {
        let KeyChange::Granted { fence, hold, .. } = change.what else {
            if let Some(running) = self.running(change) {
                running.until = change.at;
                if change.what == KeyChange::Crashed {
                    running.lease = change.at;
                }
            }
            return;
        };
        let until = change.at + hold;
        if let Some(running) = self.running(change) {
            if running.fence == fence {
                running.until = until;
                running.lease = until;
                return;
            }
            running.until = change.at;
        }
        let tenure = Tenure {
            back_end: change.back_end.to_owned(),
            fence,
            from: change.at,
            until,
            lease: until,
        };
        self.compare_fence(&tenure);
        self.tenures.push(tenure);
    }

    /// What the back end of a change holds when the change comes.
    fn running(&mut self, change: &Change) -> Option<&mut Tenure> {
        let own = |tenure: &&mut Tenure| tenure.back_end == change.back_end;
        let latest = self.tenures.iter_mut().rev().find(own)?;
        (latest.until > change.at).then_some(latest)
    }

    fn compare_fence(&mut self, tenure: &Tenure) {
        let others = self
            .tenures
            .iter()
            .filter(|other| other.back_end != tenure.back_end);
        let Some(highest) = others.max_by_key(|other| other.fence) else {
            return;
        };
        if tenure.fence <= highest.fence {
            self.low_fences.push(Violation::LowFence {
                keys: (self.first, self.last),
                tenures: Box::new([highest.clone(), tenure.clone()]),
            });
        }
    }

    /// Grants that came while another was at work.
    fn interrupted(&self, begun: &[&Begun]) -> Vec<Violation> {
        let mut found = Vec::new();
        for run in begun {
            let tenures = self.tenures.iter();
            let mut under = tenures.filter(|each| {
                each.back_end == run.back_end && each.from <= run.at && run.at < each.until
            });
            let Some(holder) = under.next_back() else {
                continue;
            };
            let until = run.until.unwrap_or(holder.lease).min(holder.lease);
            let others = self.tenures.iter();
            let mut given = others.filter(|other| {
                other.back_end != run.back_end && run.at < other.from && other.from < until
            });
            if let Some(other) = given.next() {
                found.push(Violation::StillAtWork {
                    key: run.key,
                    work: (run.at, until),
                    tenures: Box::new([holder.clone(), other.clone()]),
                });
            }
        }
        found
    }

    fn overlaps(&self, begun: &[&Begun], tolerance: Duration) -> Vec<Violation> {
        let mut found = Vec::new();
        for (index, one) in self.tenures.iter().enumerate() {
            for two in &self.tenures[index + 1..] {
                let from = one.from.max(two.from);
                let until = one.until.min(two.until);
                if one.back_end == two.back_end || from >= until {
                    continue;
                }
                let began = |tenure: &Tenure| {
                    let mut own = begun.iter().filter(|each| each.back_end == tenure.back_end);
                    own.any(|each| from <= each.at && each.at < until)
                };
                let both_began = began(one) && began(two);
                if both_began || until - from >= tolerance {
                    found.push(Violation::HeldTwice {
                        keys: (self.first, self.last),
                        tenures: Box::new([one.clone(), two.clone()]),
                        both_began,
                    });
                }
            }
        }
        found
    }
}
