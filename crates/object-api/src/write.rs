//! Conditional writes that handle lost responses.

use std::time::Duration;

use serde_json::Value;

use crate::backoff::{Backoff, BackoffSettings};
use crate::client::ObjectClient;
use crate::error::{PlatformError, PlatformErrorKind, WriteEffect};
use crate::resolve::{Condition, Finish, ReadBack, Step, WriteResolver};
use crate::resource::{ApiObject, ObjectKey, StoredObject, parse_version};

/// A conditional write.
#[derive(Clone, Debug)]
pub enum Write<K> {
    /// Creates the object if its name is free.
    Create(K),
    /// Replaces the object if it still has the version that this one carries.
    Replace(K),
    /// Replaces the status of the object, under the same condition.
    ReplaceStatus(K),
}

/// Result of a write that ended without an error.
#[derive(Clone, Debug)]
pub enum WriteOutcome<K> {
    /// The object has the content of the write.
    Applied(StoredObject<K>),
    /// The condition did not hold; the write had no effect.
    Conflict,
    /// Another writer changed the object after the condition held; the write
    /// may have been in force in between. Contains the current object.
    Superseded(StoredObject<K>),
    /// The object was deleted, or deleted and created again.
    Gone,
}

/// Settings for a write with read-back.
#[derive(Clone, Debug)]
pub struct ResolveSettings {
    /// Maximum number of requests after the first, including reads.
    pub max_attempts: u32,
    /// Delays between requests.
    pub backoff: BackoffSettings,
    /// Seed of the backoff jitter.
    pub seed: u64,
}

impl Default for ResolveSettings {
    fn default() -> Self {
        ResolveSettings {
            max_attempts: 8,
            backoff: BackoffSettings::default(),
            seed: 0,
        }
    }
}

/// Performs a write, and reads the object back whenever a response was lost.
///
/// # Errors
///
/// The last failure. Its effect is [`WriteEffect::Ambiguous`] if a lost
/// response could not be resolved: the object has to be read before it is
/// written again.
pub async fn write_resolved<K: ApiObject>(
    client: &ObjectClient,
    write: &Write<K>,
    settings: &ResolveSettings,
) -> Result<WriteOutcome<K>, PlatformError> {
    let condition = write.condition()?;
    let resolver = WriteResolver::new(condition, settings.max_attempts);
    let backoff = Backoff::new(settings.backoff.clone(), settings.seed);
    let executor = WriteExecutor {
        client,
        write,
        resolver,
        backoff,
        object: None,
        error: None,
    };
    executor.run().await
}

/// Execution state of one write.
struct WriteExecutor<'a, K> {
    client: &'a ObjectClient,
    write: &'a Write<K>,
    resolver: WriteResolver,
    backoff: Backoff,
    object: Option<StoredObject<K>>,
    error: Option<PlatformError>,
}

impl<K: ApiObject> WriteExecutor<'_, K> {
    async fn run(mut self) -> Result<WriteOutcome<K>, PlatformError> {
        let mut step = Step::Send;
        loop {
            step = match step {
                Step::Send => self.send().await,
                Step::ReadBack => self.read_back().await,
                Step::Finish(finish) => return self.finish(finish),
            };
        }
    }

    async fn send(&mut self) -> Step {
        self.wait_after_error().await;
        let result = match self.write {
            Write::Create(object) => self.client.create(object).await,
            Write::Replace(object) => self.client.replace(object).await,
            Write::ReplaceStatus(object) => self.client.replace_status(object).await,
        };
        match result {
            Ok(object) => {
                self.object = Some(object);
                self.resolver.on_write(Ok(()))
            }
            Err(error) => {
                tracing::debug!(%error, "write failed");
                let step = self.resolver.on_write(Err(&error));
                self.error = Some(error);
                step
            }
        }
    }

    async fn read_back(&mut self) -> Step {
        self.wait_after_error().await;
        match self.client.get::<K>(&self.write.key()).await {
            Ok(object) => {
                let found = self.write.compare(&object);
                self.object = Some(object);
                self.resolver.on_read(Ok(Some(&found)))
            }
            Err(error) if error.kind == PlatformErrorKind::NotFound => {
                self.object = None;
                self.resolver.on_read(Ok(None))
            }
            Err(error) => {
                let step = self.resolver.on_read(Err(&error));
                self.error = Some(error);
                step
            }
        }
    }

    /// Waits for the backoff delay, or longer if the platform asked for it,
    /// after an error.
    async fn wait_after_error(&mut self) {
        let Some(error) = &self.error else {
            return;
        };
        let requested = error.retry_after().unwrap_or(Duration::ZERO);
        let wait = self.backoff.next_delay().max(requested);
        async_std::task::sleep(wait).await;
    }

    fn finish(self, finish: Finish) -> Result<WriteOutcome<K>, PlatformError> {
        match (finish, self.object) {
            (Finish::Applied, Some(object)) => Ok(WriteOutcome::Applied(object)),
            (Finish::Superseded, Some(object)) => Ok(WriteOutcome::Superseded(object)),
            (Finish::Conflict, _) => Ok(WriteOutcome::Conflict),
            (Finish::Gone, _) => Ok(WriteOutcome::Gone),
            _ => Err(final_error(self.error, self.resolver.response_lost())),
        }
    }
}

/// Returns the last error, marked as ambiguous if a response was lost.
fn final_error(error: Option<PlatformError>, response_lost: bool) -> PlatformError {
    let mut error = error.unwrap_or_else(|| {
        let kind = PlatformErrorKind::BadAnswer(
            "the store still shows an older version than the write was based on".to_owned(),
        );
        PlatformError::without_effect("write", kind)
    });
    if response_lost {
        error.effect = WriteEffect::Ambiguous;
    }
    error
}

impl<K: ApiObject> Write<K> {
    /// Returns the object to write.
    pub fn object(&self) -> &K {
        match self {
            Write::Create(object) | Write::Replace(object) | Write::ReplaceStatus(object) => object,
        }
    }

    /// Returns the key of the object to write.
    pub fn key(&self) -> ObjectKey {
        ObjectKey::of(self.object().metadata())
    }

    /// Returns the condition under which the write takes effect.
    fn condition(&self) -> Result<Condition, PlatformError> {
        if let Write::Create(_) = self {
            return Ok(Condition::NameIsFree);
        }
        let metadata = self.object().metadata();
        let unconditional = |text: String| {
            let kind = PlatformErrorKind::BadRequest(text);
            PlatformError::without_effect("write object", kind)
        };
        let version = metadata.resource_version.as_deref().unwrap_or_default();
        let version = parse_version(version).map_err(unconditional)?;
        let uid = metadata.uid.clone();
        Ok(Condition::HasVersion { uid, version })
    }

    /// Compares the written part of the object with the object that was read.
    fn compare(&self, found: &StoredObject<K>) -> ReadBack {
        let content_matches = match &found.content {
            Ok(object) => self.written_part(object) == self.written_part(self.object()),
            Err(_) => false,
        };
        ReadBack {
            uid: found.uid.clone(),
            version: found.resource_version,
            content_matches,
        }
    }

    /// Returns the part of `object` that this write sets: the status, or the
    /// specification with labels and annotations.
    fn written_part(&self, object: &K) -> Value {
        let mut value = serde_json::to_value(object).unwrap_or_default();
        if let Write::ReplaceStatus(_) = self {
            return value["status"].take();
        }
        let mut metadata = value["metadata"].take();
        serde_json::json!({
            "spec": value["spec"].take(),
            "labels": metadata["labels"].take(),
            "annotations": metadata["annotations"].take(),
        })
    }
}
