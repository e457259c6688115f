//! Watches: changes as lines of JSON, until the time is over or a fault ends
//! them.

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
use super::state::{Cuts, Inner, Shared};
use super::store::{ChangeKind, StoreChange};

/// Longest watch, whatever the reader asks for.
const MAX_WATCH: Duration = Duration::from_secs(600);
/// Pieces of the body that may wait for the connection.
const PIECES: usize = 16;

type Piece = io::Result<Vec<u8>>;

/// One running watch.
struct Watch {
    collection: Collection,
    /// Everything up to this version was sent.
    position: u64,
    /// Cuts there had been when it began.
    cuts: Cuts,
    bookmarks: bool,
    end: Instant,
}

/// What a watch sends next.
enum Next {
    Lines(Vec<u8>),
    Wait,
    End(Option<Piece>),
}

/// Begins a watch and gives the body of its answer.
///
/// # Errors
///
/// The version was compacted or lies ahead, or too many watches run.
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
    let (sender, pieces) = async_channel::bounded(PIECES);
    let (started, start_result) = async_channel::bounded(1);
    async_std::task::spawn(async move {
        let place = match shared.begin_watch() {
            Ok(place) => place,
            Err(error) => {
                let _ = started.send(Some(error)).await;
                return;
            }
        };
        let _ = started.send(None).await;
        watch.feed(&shared, &place.signal, first, &sender).await;
    });
    match start_result.recv().await {
        Ok(Some(error)) => Err(error),
        _ => Ok(WatchBody::new(pieces)),
    }
}

/// Where a watch begins. From "any" version it begins with all objects.
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
    async fn feed(
        mut self,
        shared: &Shared,
        signal: &Receiver<()>,
        first: Vec<u8>,
        pieces: &Sender<Piece>,
    ) {
        if !first.is_empty() && pieces.send(Ok(first)).await.is_err() {
            return;
        }
        loop {
            let next = shared.with(|inner| self.next(inner));
            match next {
                Next::Lines(lines) => {
                    if pieces.send(Ok(lines)).await.is_err() {
                        return;
                    }
                }
                Next::Wait => {
                    if !self.wait(shared, signal, pieces).await {
                        return;
                    }
                }
                Next::End(last) => {
                    if let Some(last) = last {
                        let _ = pieces.send(last).await;
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

    /// Waits for a change; sends a bookmark if none comes. Tells whether
    /// somebody still listens.
    async fn wait(&self, shared: &Shared, signal: &Receiver<()>, pieces: &Sender<Piece>) -> bool {
        let left = self.end.saturating_duration_since(Instant::now());
        let wait = shared.bookmark_interval.min(left);
        if timeout(wait, signal.recv()).await.is_ok() || !self.bookmarks {
            return !pieces.is_closed();
        }
        let bookmark = json!({
            "apiVersion": API_VERSION,
            "kind": self.collection.resource.kind,
            "metadata": { "resourceVersion": self.position.to_string() },
        });
        pieces.send(Ok(line("BOOKMARK", &bookmark))).await.is_ok()
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

/// Body of a watch's answer.
pub(super) struct WatchBody {
    pieces: Pin<Box<Receiver<Piece>>>,
    current: Vec<u8>,
}

impl WatchBody {
    fn new(pieces: Receiver<Piece>) -> Self {
        WatchBody {
            pieces: Box::pin(pieces),
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
            match ready!(self.pieces.as_mut().poll_next(context)) {
                Some(piece) => self.current = piece?,
                None => return Poll::Ready(Ok(0)),
            }
        }
        let count = buffer.len().min(self.current.len());
        buffer[..count].copy_from_slice(&self.current[..count]);
        self.current.drain(..count);
        Poll::Ready(Ok(count))
    }
}
