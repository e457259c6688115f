//! Events of one watch connection.

use std::marker::PhantomData;

use futures::io::AsyncBufReadExt;
use http_types::Response;
use kube_core::response::Status;
use serde::Deserialize;
use serde_json::Value;

use crate::error::{PlatformError, PlatformErrorKind};
use crate::resource::{ApiObject, StoredObject, parse_version};
use crate::transport::error_kind;

const OPERATION: &str = "watch";

/// One event of a watch.
#[derive(Clone, Debug)]
pub enum Event<K> {
    /// An object was created.
    Added(StoredObject<K>),
    /// An object was changed.
    Modified(StoredObject<K>),
    /// An object was deleted; contains its last state.
    Deleted(StoredObject<K>),
    /// There are no further events of the watch up to this version.
    Bookmark(u64),
    /// The store no longer has the version; list again.
    Gone,
}

/// Events of one watch connection, ordered by version.
pub struct EventStream<K> {
    response: Response,
    max_line_bytes: usize,
    line: Vec<u8>,
    kind: PhantomData<fn() -> K>,
}

#[derive(Deserialize)]
struct WatchLine {
    #[serde(rename = "type")]
    event_type: String,
    object: Value,
}

impl<K: ApiObject> EventStream<K> {
    pub(crate) fn new(response: Response, max_line_bytes: usize) -> Self {
        EventStream {
            response,
            max_line_bytes,
            line: Vec::new(),
            kind: PhantomData,
        }
    }

    /// Returns the next event, or `None` when the store ended the watch.
    /// Dropping the future between two events loses nothing.
    ///
    /// # Errors
    ///
    /// The connection failed, or the store sent an error or a line that
    /// violates the API conventions; the stream cannot be used afterwards.
    pub async fn next(&mut self) -> Option<Result<Event<K>, PlatformError>> {
        match self.read_line().await {
            Ok(false) => None,
            Ok(true) => {
                let event = read_event(&self.line);
                self.line.clear();
                Some(event)
            }
            Err(error) => Some(Err(error)),
        }
    }

    /// Reads up to the next line end into `line`, which keeps the bytes read by
    /// a dropped call. Returns whether there is a line.
    async fn read_line(&mut self) -> Result<bool, PlatformError> {
        loop {
            let available = self.response.fill_buf().await.map_err(|error| {
                watch_error(PlatformErrorKind::ConnectionLost(error.to_string()))
            })?;
            if available.is_empty() {
                return self.end_of_stream();
            }
            let end = available.iter().position(|byte| *byte == b'\n');
            let taken = end.map_or(available.len(), |index| index + 1);
            self.line.extend_from_slice(&available[..taken]);
            self.response.consume_unpin(taken);
            if self.line.len() > self.max_line_bytes {
                return Err(watch_error(PlatformErrorKind::TooLarge(
                    self.max_line_bytes,
                )));
            }
            if end.is_some() {
                return Ok(true);
            }
        }
    }

    fn end_of_stream(&self) -> Result<bool, PlatformError> {
        if self.line.is_empty() {
            return Ok(false);
        }
        let text = "the connection ended within an event".to_owned();
        Err(watch_error(PlatformErrorKind::ConnectionLost(text)))
    }
}

fn read_event<K: ApiObject>(line: &[u8]) -> Result<Event<K>, PlatformError> {
    let bad_response = |text: String| watch_error(PlatformErrorKind::BadAnswer(text));
    let line: WatchLine =
        serde_json::from_slice(line).map_err(|error| bad_response(error.to_string()))?;
    let object = || StoredObject::read(&line.object).map_err(bad_response);
    match line.event_type.as_str() {
        "ADDED" => Ok(Event::Added(object()?)),
        "MODIFIED" => Ok(Event::Modified(object()?)),
        "DELETED" => Ok(Event::Deleted(object()?)),
        "BOOKMARK" => {
            let version = line.object["metadata"]["resourceVersion"].as_str();
            let version = parse_version(version.unwrap_or_default()).map_err(bad_response)?;
            Ok(Event::Bookmark(version))
        }
        "ERROR" => read_error(line.object),
        other => Err(bad_response(format!("unknown event type '{other}'"))),
    }
}

fn read_error<K>(object: Value) -> Result<Event<K>, PlatformError> {
    let status: Status = serde_json::from_value(object).unwrap_or_default();
    match error_kind(status.code, crate::transport::DEFAULT_RETRY_AFTER, &status) {
        PlatformErrorKind::Gone => Ok(Event::Gone),
        kind => Err(watch_error(kind)),
    }
}

fn watch_error(kind: PlatformErrorKind) -> PlatformError {
    PlatformError::without_effect(OPERATION, kind)
}
