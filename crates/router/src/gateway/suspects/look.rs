//! Looks at processes at which an attempt broke: nobody listens any more at
//! the address of one that ended.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_std::task;
use threadledge_net::{Pool, PoolSettings, timer};
use threadledge_types::deployment::BackEndName;

use super::{Finding, SuspectService};
use crate::events::{EventId, emit};

/// Waits before each look. The kernel closes what a process leaves behind one
/// after the other, so that a connection may break while another one can still
/// be opened. After the last look requests show what became of the process.
const PAUSES: [Duration; 2] = [Duration::from_millis(5), Duration::from_millis(150)];
/// Longest wait for a connection to come up: as long as a request waits for
/// one.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// Looks at one process after the other, each in a task of its own.
pub(super) struct Looker {
    pub(super) service: SuspectService,
    pub(super) findings: async_channel::Receiver<Finding>,
}

impl Looker {
    /// Runs for ever.
    pub(super) async fn run(self) {
        let pool = Pool::new(PoolSettings::default());
        while let Ok(finding) = self.findings.recv().await {
            let Finding::Broke(process, address) = finding else {
                self.service.tell_crashes();
                continue;
            };
            let service = self.service.clone();
            let pool = pool.clone();
            task::spawn(async move { look(&service, &pool, process, address).await });
        }
    }
}

async fn look(service: &SuspectService, pool: &Pool, process: BackEndName, address: SocketAddr) {
    for pause in PAUSES {
        timer::sleep(pause).await;
        let deadline = Instant::now() + CONNECT_TIMEOUT;
        if pool.open_and_close(address, deadline).await.is_err() {
            return ended(service, &process);
        }
    }
}

/// Nobody listens there any more.
fn ended(service: &SuspectService, process: &BackEndName) {
    service
        .dispatch
        .with(|dispatcher, _now| dispatcher.process_ended(process));
}

impl SuspectService {
    /// Writes the crashes that were confirmed here into the log.
    pub(super) fn tell_crashes(&self) {
        let crashes = self
            .dispatch
            .with(|dispatcher, _now| dispatcher.take_crashes());
        for crash in crashes {
            self.own.lock().insert(crash.identity.request);
            emit!(
                EventId::CrashedUnderRequest,
                back_end = %crash.process,
                identity = %crash.identity.request,
                request = crash.label,
            );
        }
        self.log.tell(&self.dispatch, "own");
    }
}
