//! Watches: changes streamed as JSON lines until the timeout passes or a fault
//! ends them.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_std::future::timeout;
use async_std::stream::Stream;
use futures::io::AsyncRead;
use serde_json::{Value, json};
use threadledge_types::objects::API_VERSION;

use super::error::ApiError;
use super::path::{Collection, Query};
use super::state::{Inner, Shared, WatchCuts};
use super::store::{ChangeKind, StoreChange};

/// Maximum duration of a watch, whatever the client requests.
const MAX_WATCH: Duration = Duration::from_secs(600);
/// Chunks of the body that may be queued for the connection.
const MAX_QUEUED_CHUNKS: usize = 16;

type Chunk = io::Result<Vec<u8>>;

/// One running watch.
struct Watch {
    collection: Collection,
    /// Changes up to this version were sent.
    position: u64,
    /// State of the watch cuts when this watch started.
    cuts: WatchCuts,
    bookmarks: bool,
    end: Instant,
}

/// Next action of a watch.
enum Next {
    Lines(Vec<u8>),
    Wait,
    End(Option<Chunk>),
}

/// Starts a watch and returns the body of its response.
///
/// # Errors
///
/// Fails if the version was compacted or is newer than the store, or if too
/// many watches run.
pub(super) async fn begin(
    shared: Arc<Shared>,
    collection: Collection,
    query: &Query,
) -> Result<WatchBody, ApiError> {
    let seconds = query.number("timeoutSeconds")?.map(Duration::from_secs);
    let from = query.number("resourceVersion")?;
    let length = seconds.unwrap_or(MAX_WATCH).min(MAX_WATCH);
    let bookmarks = query.flag("allowWatchBookmarks");
    let (watch, first) = shared.with(|inner| -> Result<_, ApiError> {
        let (position, first) = start(inner, &collection, from)?;
        let watch = Watch {
            collection: collection.clone(),
            position,
            cuts: inner.cuts,
            bookmarks,
            end: Instant::now() + length,
        };
        Ok((watch, first))
    })?;
    let (sender, chunks) = async_channel::bounded(MAX_QUEUED_CHUNKS);
    let (started, start_result) = async_channel::bounded(1);
    async_std::task::spawn(async move {
        let registration = match shared.register_watch() {
            Ok(registration) => registration,
            Err(error) => {
                let _ = started.send(Some(error)).await;
                return;
            }
        };
        let _ = started.send(None).await;
        watch
            .feed(&shared, &registration.signal, first, &sender)
            .await;
    });
    match start_result.recv().await {
        Ok(Some(error)) => Err(error),
        _ => Ok(WatchBody::new(chunks)),
    }
}

/// Returns the start version of a watch and its first lines. A watch from
/// "any" version starts with all current objects.
fn start(
    inner: &Inner,
    collection: &Collection,
    from: Option<u64>,
) -> Result<(u64, Vec<u8>), ApiError> {
    match from {
        Some(version) if version > 0 => {
            inner.store.changes_after(collection, version)?;
            Ok((version, Vec::new()))
        }
        _ => {
            let page = inner.store.list(collection, None, None)?;
            let added = ChangeKind::Added.as_str();
            let lines = page.items.iter().flat_map(|item| line(added, item));
            Ok((page.version, lines.collect()))
        }
    }
}

impl Watch {
    /// Sends the lines of the watch until it ends or the client disconnects.
    async fn feed(
        mut self,
        shared: &Shared,
        signal: &Receiver<()>,
        first: Vec<u8>,
        chunks: &Sender<Chunk>,
    ) {
        if !first.is_empty() && chunks.send(Ok(first)).await.is_err() {
            return;
        }
        loop {
            let next = shared.with(|inner| self.next(inner));
            match next {
                Next::Lines(lines) => {
                    if chunks.send(Ok(lines)).await.is_err() {
                        return;
                    }
                }
                Next::Wait => {
                    if !self.wait(shared, signal, chunks).await {
                        return;
                    }
                }
                Next::End(last) => {
                    if let Some(last) = last {
                        let _ = chunks.send(last).await;
                    }
                    return;
                }
            }
        }
    }

    fn next(&mut self, inner: &Inner) -> Next {
        if inner.cuts.count != self.cuts.count {
            let abruptly = inner.cuts.abruptly;
            let cut = || Err(io::ErrorKind::ConnectionReset.into());
            return Next::End(abruptly.then(cut));
        }
        if Instant::now() >= self.end {
            return Next::End(None);
        }
        match inner.store.changes_after(&self.collection, self.position) {
            Err(error) => Next::End(Some(Ok(line("ERROR", &json!(error.status()))))),
            Ok(changes) => {
                self.position = inner.store.version();
                let lines: Vec<u8> = changes.into_iter().flat_map(change_line).collect();
                if lines.is_empty() {
                    Next::Wait
                } else {
                    Next::Lines(lines)
                }
            }
        }
    }

    /// Waits for a change and sends a bookmark if none arrives in time.
    /// Returns whether the client is still connected.
    async fn wait(&self, shared: &Shared, signal: &Receiver<()>, chunks: &Sender<Chunk>) -> bool {
        let left = self.end.saturating_duration_since(Instant::now());
        let wait = shared.bookmark_interval.min(left);
        if timeout(wait, signal.recv()).await.is_ok() || !self.bookmarks {
            return !chunks.is_closed();
        }
        let bookmark = json!({
            "apiVersion": API_VERSION,
            "kind": self.collection.resource.kind,
            "metadata": { "resourceVersion": self.position.to_string() },
        });
        chunks.send(Ok(line("BOOKMARK", &bookmark))).await.is_ok()
    }
}

fn change_line(change: &StoreChange) -> Vec<u8> {
    line(change.kind.as_str(), &change.object)
}

fn line(event_type: &str, object: &Value) -> Vec<u8> {
    let event = json!({ "type": event_type, "object": object });
    let mut line = event.to_string().into_bytes();
    line.push(b'\n');
    line
}

/// Response body of a watch.
pub(super) struct WatchBody {
    chunks: Pin<Box<Receiver<Chunk>>>,
    current: Vec<u8>,
}

impl WatchBody {
    fn new(chunks: Receiver<Chunk>) -> Self {
        WatchBody {
            chunks: Box::pin(chunks),
            current: Vec::new(),
        }
    }
}

impl AsyncRead for WatchBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        while self.current.is_empty() {
            match ready!(self.chunks.as_mut().poll_next(context)) {
                Some(chunk) => self.current = chunk?,
                None => return Poll::Ready(Ok(0)),
            }
        }
        let count = buffer.len().min(self.current.len());
        buffer[..count].copy_from_slice(&self.current[..count]);
        self.current.drain(..count);
        Poll::Ready(Ok(count))
    }
}
