//! Logs which requests are held and which are released.

use std::collections::BTreeMap;

use parking_lot::Mutex;
use threadledge_suspects::RequestHash;

use super::super::dispatch::Dispatch;
use crate::events::{EventId, emit};

/// The held requests last written to the log, each with its label.
#[derive(Debug, Default)]
pub(super) struct HeldLog {
    logged: Mutex<BTreeMap<RequestHash, String>>,
}

impl HeldLog {
    /// Logs changes of the held requests; `source` is where this gateway
    /// learned of them.
    pub(super) fn log_changes(&self, dispatch: &Dispatch, source: &str) {
        let held = dispatch.with(|dispatcher, _now| {
            let held = dispatcher.suspects().held();
            held.map(|(request, suspect)| {
                let processes = suspect.processes().into_iter();
                let processes: Vec<String> = processes.map(ToString::to_string).collect();
                (request, (suspect.label().to_owned(), processes.join(" ")))
            })
            .collect::<BTreeMap<_, _>>()
        });
        let mut logged = self.logged.lock();
        for (request, (label, back_ends)) in &held {
            if logged.insert(*request, label.clone()).is_some() {
                continue;
            }
            emit!(
                EventId::RequestHeld,
                identity = %request, request = label, back_ends, source,
            );
        }
        logged.retain(|request, label| {
            let still_held = held.contains_key(request);
            if !still_held {
                emit!(EventId::RequestLetGo, identity = %request, request = label, source);
            }
            still_held
        });
    }
}
