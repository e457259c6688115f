//! Prints the progress of a run.

use std::io::{IsTerminal, Write};
use std::time::Duration;

use threadledge_types::Timestamp;

use super::child::ChildProcess;
use crate::clock;
use crate::history::{AttemptOutcome, Event};

/// Interval between two updates on a terminal.
const TERMINAL_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between two lines if standard error is not a terminal.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Counts the outcomes that callers recorded and prints them in one line.
pub(super) struct Progress {
    begin: Timestamp,
    total: Duration,
    last_printed: Timestamp,
    counted_events: Vec<usize>,
    answered: u64,
    not_run: u64,
    unknown: u64,
    terminal: bool,
}

impl Progress {
    /// Creates the progress of a load that starts at `begin` and lasts `total`.
    pub fn new(begin: Timestamp, total: Duration) -> Self {
        Progress {
            begin,
            total,
            last_printed: Timestamp::ZERO,
            counted_events: Vec::new(),
            answered: 0,
            not_run: 0,
            unknown: 0,
            terminal: std::io::stderr().is_terminal(),
        }
    }

    /// Prints the progress if the interval has passed.
    pub fn print_if_due(&mut self, callers: &[ChildProcess]) {
        let now = clock::now();
        let interval = match self.terminal {
            true => TERMINAL_INTERVAL,
            false => LOG_INTERVAL,
        };
        if now.since(self.last_printed) < interval {
            return;
        }
        self.last_printed = now;
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
        // Failing to print the progress does not stop the run.
        let _ = std::io::stderr().flush();
    }

    /// Terminates the progress line.
    pub fn end(&self) {
        if self.terminal {
            eprintln!();
        }
    }

    /// Counts the outcomes recorded since the last call.
    fn count(&mut self, callers: &[ChildProcess]) {
        self.counted_events.resize(callers.len(), 0);
        for (number, caller) in callers.iter().enumerate() {
            let from = self.counted_events[number];
            let outcomes: Vec<AttemptOutcome> =
                caller.with_events(|events| events[from..].iter().filter_map(outcome).collect());
            self.counted_events[number] = caller.event_count().max(from);
            for outcome in outcomes {
                match outcome {
                    AttemptOutcome::Answered => self.answered += 1,
                    outcome if outcome.guarantees_not_run() => self.not_run += 1,
                    _ => self.unknown += 1,
                }
            }
        }
    }
}

/// Returns the final outcome of a request, if the event records one.
fn outcome(event: &Event) -> Option<AttemptOutcome> {
    match event {
        Event::RequestEnded { attempts, .. } => Some(attempts.last()?.outcome),
        _ => None,
    }
}
