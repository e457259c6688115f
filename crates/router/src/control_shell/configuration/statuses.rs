//! Writing the statuses of configuration objects.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_std::task;
use k8s_openapi::apimachinery::pkg::apis::meta::v1::Time;
use k8s_openapi::jiff::Timestamp as WallTime;
use threadledge_control::{ObjectRef, StatusWrite, Verdict};
use threadledge_object_api::{ObjectClient, ObjectKey, PlatformError, PlatformErrorKind};
use threadledge_types::acceptance::{acceptance_status, accepted_condition};
use threadledge_types::objects::{
    ACCEPTED_CONDITION, AcceptanceStatus, BackEndObject, KeyedServiceObject,
};

use super::kinds::{Configured, object_key};
use crate::control_shell::availability::{AvailabilityLog, PlatformUse, means_unavailable};
use crate::events::{EventId, emit};

/// Attempts at one status.
const STATUS_ATTEMPTS: usize = 5;
/// Pause between attempts at one status.
const STATUS_RETRY: Duration = Duration::from_millis(300);

/// Writes statuses one after the other.
pub(super) struct StatusWriter {
    client: ObjectClient,
    log: Arc<AvailabilityLog>,
}

impl StatusWriter {
    /// A writer that reports to `log` how the object API answers.
    pub fn new(client: ObjectClient, log: Arc<AvailabilityLog>) -> Self {
        StatusWriter { client, log }
    }

    /// Writes until the queue is closed. Of several statuses for one object
    /// that wait, only the last is written.
    pub async fn run(self, queue: Receiver<StatusWrite>) {
        while let Ok(first) = queue.recv().await {
            let mut latest = BTreeMap::from([(first.object.clone(), first)]);
            while let Ok(next) = queue.try_recv() {
                latest.insert(next.object.clone(), next);
            }
            for (reference, write) in latest {
                let key = object_key(&reference);
                match reference {
                    ObjectRef::BackEnd(_) => self.write::<BackEndObject>(&key, &write).await,
                    ObjectRef::Service(_) => self.write::<KeyedServiceObject>(&key, &write).await,
                }
            }
        }
    }

    /// A conflict means that somebody changed the object in between: it is
    /// read again. Only an attempt that the platform refuses to the end is
    /// worth a line; when the platform cannot be used, that is told once.
    async fn write<K: Configured>(&self, key: &ObjectKey, write: &StatusWrite) {
        let mut last = None;
        for _ in 0..STATUS_ATTEMPTS {
            match self.try_write::<K>(key, write).await {
                Ok(()) => return self.log.record_success(PlatformUse::Single),
                Err(error) => {
                    self.log.record_failure(PlatformUse::Single, &error);
                    last = Some(error);
                }
            }
            task::sleep(STATUS_RETRY).await;
        }
        if let Some(error) = last.filter(|error| !means_unavailable(&error.kind)) {
            emit!(EventId::StatusNotWritten, object = %key, %error);
        }
    }

    /// Reads the object, sets its status and writes it back on the condition
    /// that nobody changed it in between.
    async fn try_write<K: Configured>(
        &self,
        key: &ObjectKey,
        write: &StatusWrite,
    ) -> Result<(), PlatformError> {
        let stored = match self.client.get::<K>(key).await {
            Ok(stored) => stored,
            Err(error) if error.kind == PlatformErrorKind::NotFound => return Ok(()),
            Err(error) => return Err(error),
        };
        // A changed specification is judged anew; an unreadable object cannot
        // be written back without loss.
        let Ok(object) = stored.content else {
            return Ok(());
        };
        if stored.generation != write.observed_generation {
            return Ok(());
        }
        let status = next_status(object.status(), write);
        let object = object.with_status(status);
        self.client.replace_status(&object).await.map(|_| ())
    }
}

fn next_status(previous: Option<&AcceptanceStatus>, write: &StatusWrite) -> AcceptanceStatus {
    let (problems, revision) = match &write.verdict {
        Verdict::Accepted(revision) => (Vec::new(), Some(*revision)),
        Verdict::Rejected(problems) => (problems.clone(), None),
    };
    let conditions = previous.iter().flat_map(|status| &status.conditions);
    let former = conditions
        .into_iter()
        .find(|condition| condition.type_ == ACCEPTED_CONDITION);
    let now = Time(WallTime::now());
    let condition = accepted_condition(write.observed_generation, &problems, former, now);
    acceptance_status(previous, condition, revision)
}
