//! Writer of the statuses of configuration objects.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_std::task;
use k8s_openapi::apimachinery::pkg::apis::meta::v1::Time;
use k8s_openapi::jiff::Timestamp as WallTime;
use threadledge_control::{AcceptanceResult, ObjectRef, StatusWrite};
use threadledge_object_api::{ObjectClient, ObjectKey, PlatformError, PlatformErrorKind};
use threadledge_types::acceptance::{acceptance_status, accepted_condition};
use threadledge_types::objects::{
    ACCEPTED_CONDITION, AcceptanceStatus, BackEndObject, KeyedServiceObject,
};

use super::kinds::{ConfigurationObject, object_key};
use crate::control_shell::availability::{AvailabilityLog, PlatformUse, means_unavailable};
use crate::events::{EventId, emit};

/// Maximum number of attempts to write a status.
const STATUS_ATTEMPTS: usize = 5;
/// Delay between attempts to write a status.
const STATUS_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Writes queued statuses one after the other.
pub(super) struct StatusWriter {
    client: ObjectClient,
    log: Arc<AvailabilityLog>,
}

impl StatusWriter {
    /// Creates a writer that reports the availability of the object API to `log`.
    pub fn new(client: ObjectClient, log: Arc<AvailabilityLog>) -> Self {
        StatusWriter { client, log }
    }

    /// Writes until the queue is closed. If several statuses of an object are
    /// queued, only the last is written.
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

    /// Writes one status, with retries. A conflict means that the object was
    /// changed between reading and writing; it is read again. A failure is
    /// logged only if the platform still refuses the last attempt; an
    /// unavailable platform is logged once by the availability log.
    async fn write<K: ConfigurationObject>(&self, key: &ObjectKey, write: &StatusWrite) {
        let mut last = None;
        for _ in 0..STATUS_ATTEMPTS {
            match self.try_write::<K>(key, write).await {
                Ok(()) => return self.log.record_success(PlatformUse::Single),
                Err(error) => {
                    self.log.record_failure(PlatformUse::Single, &error);
                    last = Some(error);
                }
            }
            task::sleep(STATUS_RETRY_DELAY).await;
        }
        if let Some(error) = last.filter(|error| !means_unavailable(&error.kind)) {
            emit!(EventId::StatusNotWritten, object = %key, %error);
        }
    }

    /// Reads the object, sets its status and writes it back, provided that it was
    /// not changed in between.
    async fn try_write<K: ConfigurationObject>(
        &self,
        key: &ObjectKey,
        write: &StatusWrite,
    ) -> Result<(), PlatformError> {
        let stored = match self.client.get::<K>(key).await {
            Ok(stored) => stored,
            Err(error) if error.kind == PlatformErrorKind::NotFound => return Ok(()),
            Err(error) => return Err(error),
        };
        // A changed specification is validated again and gets another status. An
        // object that cannot be parsed cannot be written back without loss.
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
    let (problems, revision) = match &write.acceptance {
        AcceptanceResult::Accepted(revision) => (Vec::new(), Some(*revision)),
        AcceptanceResult::Rejected(problems) => (problems.clone(), None),
    };
    let conditions = previous.iter().flat_map(|status| &status.conditions);
    let former = conditions
        .into_iter()
        .find(|condition| condition.type_ == ACCEPTED_CONDITION);
    let now = Time(WallTime::now());
    let condition = accepted_condition(write.observed_generation, &problems, former, now);
    acceptance_status(previous, condition, revision)
}
