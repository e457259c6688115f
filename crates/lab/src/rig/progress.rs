//! The live progress line.

use std::io::{IsTerminal, Write};
use std::time::Duration;

use threadledge_types::Timestamp;

use super::child::ChildProcess;
use crate::clock;
use crate::history::{AttemptOutcome, Event};

/// Interval between two lines on a terminal.
const INTERVAL: Duration = Duration::from_millis(500);
/// Interval between two lines elsewhere.
const INTERVAL_IN_FILES: Duration = Duration::from_secs(5);

/// Counts what the callers recorded and tells it in one line.
pub(super) struct Progress {
    begin: Timestamp,
    total: Duration,
    shown: Timestamp,
    seen: Vec<usize>,
    answered: u64,
    not_run: u64,
    unknown: u64,
    terminal: bool,
}

impl Progress {
    /// Progress of a load of `total` that begins at `begin`.
    pub fn new(begin: Timestamp, total: Duration) -> Self {
        Progress {
            begin,
            total,
            shown: Timestamp::ZERO,
            seen: Vec::new(),
            answered: 0,
            not_run: 0,
            unknown: 0,
            terminal: std::io::stderr().is_terminal(),
        }
    }

    /// Tells the progress if it is time again.
    pub fn tell(&mut self, callers: &[ChildProcess]) {
        let now = clock::now();
        let interval = match self.terminal {
            true => INTERVAL,
            false => INTERVAL_IN_FILES,
        };
        if now.since(self.shown) < interval {
            return;
        }
        self.shown = now;
        self.count(callers);
        let end = if self.terminal { '\r' } else { '\n' };
        eprint!(
            "{:>5.1} of {:.1} s: {} answered, {} not run, {} unknown   {end}",
            now.since(self.begin).as_secs_f64(),
            self.total.as_secs_f64(),
            self.answered,
            self.not_run,
            self.unknown
        );
        // A progress line that cannot be shown is no reason to stop.
        let _ = std::io::stderr().flush();
    }

    /// Ends the line.
    pub fn end(&self) {
        if self.terminal {
            eprintln!();
        }
    }

    fn count(&mut self, callers: &[ChildProcess]) {
        self.seen.resize(callers.len(), 0);
        for (number, caller) in callers.iter().enumerate() {
            let from = self.seen[number];
            let outcomes: Vec<AttemptOutcome> =
                caller.with_events(|events| events[from..].iter().filter_map(outcome).collect());
            self.seen[number] = caller.event_count().max(from);
            for outcome in outcomes {
                match outcome {
                    AttemptOutcome::Answered => self.answered += 1,
                    outcome if outcome.promises_not_run() => self.not_run += 1,
                    _ => self.unknown += 1,
                }
            }
        }
    }
}

fn outcome(event: &Event) -> Option<AttemptOutcome> {
    match event {
        Event::RequestEnded { attempts, .. } => Some(attempts.last()?.outcome),
        _ => None,
    }
}
