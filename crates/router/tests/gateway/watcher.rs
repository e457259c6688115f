//! Watching a collection of the store through its failures.

use std::collections::VecDeque;
use std::future::pending;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use parking_lot::Mutex;
use threadledge::gateway::backoff::Backoff;
use threadledge::gateway::sources::Sources;
use threadledge::gateway::store_health::StoreHealth;
use threadledge::gateway::watcher::{CollectionWatcher, Update};
use threadledge::proxy::Clock;
use threadledge_coordination::action::Freshness;
use threadledge_ports::{Changes, Collection, Entry, Page, PortFuture, StoreError};
use threadledge_relay::Source;
use threadledge_types::Timestamp;

/// Heartbeat interval of the back ends.
const HEARTBEAT: Duration = Duration::from_millis(1_300);

const WAIT: Duration = Duration::from_secs(20);

/// The scripted reaction to one call.
#[derive(Clone, Debug)]
enum Reply {
    List(u64),
    /// A page with the name after which the next page begins.
    Page(u64, &'static str),
    Changes(u64),
    Fail(StoreError),
    NeverAnswer,
}

/// A collection that replies by a script and records its calls.
struct Scripted {
    replies: Mutex<VecDeque<Reply>>,
    calls: async_channel::Sender<String>,
}

impl Scripted {
    fn next(&self, call: String) -> Reply {
        let _ = self.calls.try_send(call);
        self.replies
            .lock()
            .pop_front()
            .unwrap_or(Reply::NeverAnswer)
    }
}

fn entry(revision: u64) -> Entry<u64> {
    Entry {
        name: "object".to_owned(),
        revision,
        value: Ok(revision),
    }
}

impl Collection<u64> for Scripted {
    fn page<'a>(
        &'a self,
        after: &'a str,
        _freshness: Freshness,
    ) -> PortFuture<'a, Result<Page<u64>, StoreError>> {
        let call = format!("list {after}");
        let reply = self.next(call.trim_end().to_owned());
        Box::pin(async move {
            let page = |at, next| Page {
                entries: vec![entry(at)],
                next,
                at,
            };
            match reply {
                Reply::List(at) => Ok(page(at, None)),
                Reply::Page(at, next) => Ok(page(at, Some(next.to_owned()))),
                Reply::Fail(error) => Err(error),
                Reply::Changes(_) | Reply::NeverAnswer => pending().await,
            }
        })
    }

    fn changes(
        &self,
        after: u64,
        wait: Duration,
    ) -> PortFuture<'_, Result<Changes<u64>, StoreError>> {
        let length = if wait == WAIT { "long" } else { "short" };
        let reply = self.next(format!("{length} watch after {after}"));
        Box::pin(async move {
            match reply {
                Reply::Changes(at) => Ok(Changes {
                    changes: vec![threadledge_ports::Change::Put(entry(at))],
                    at,
                }),
                Reply::Fail(error) => Err(error),
                Reply::List(_) | Reply::Page(..) | Reply::NeverAnswer => pending().await,
            }
        })
    }
}

struct RunningWatcher {
    calls: async_channel::Receiver<String>,
    updates: async_channel::Receiver<Update<u64>>,
    health: Arc<StoreHealth>,
}

fn start_watcher(replies: impl IntoIterator<Item = Reply>) -> RunningWatcher {
    let pause = Duration::from_millis(100);
    start_watcher_with(replies, Backoff::new(pause, pause, 1))
}

fn start_watcher_with(
    replies: impl IntoIterator<Item = Reply>,
    backoff: Backoff,
) -> RunningWatcher {
    let (call_sender, calls) = async_channel::unbounded();
    let (update_sender, updates) = async_channel::unbounded();
    let collection = Arc::new(Scripted {
        replies: Mutex::new(replies.into_iter().collect()),
        calls: call_sender,
    });
    let health = Arc::new(StoreHealth::new(HEARTBEAT));
    let collection_watcher =
        CollectionWatcher::new("test", collection, health.clone(), WAIT).with_backoff(backoff);
    task::spawn(collection_watcher.run(move |update| {
        let _ = update_sender.try_send(update);
    }));
    RunningWatcher {
        calls,
        updates,
        health,
    }
}

impl RunningWatcher {
    fn next_call(&self) -> String {
        task::block_on(self.calls.recv()).expect("a call")
    }

    fn next_revision(&self) -> u64 {
        match task::block_on(self.updates.recv()).expect("an update") {
            Update::Listed(listing) => listing.at,
            Update::Changed(changes) => changes.at,
        }
    }
}

#[test]
fn watch_continues_from_the_last_revision() {
    let watcher = start_watcher([Reply::List(3), Reply::Changes(5), Reply::Changes(8)]);
    assert_eq!(watcher.next_call(), "list");
    assert_eq!(watcher.next_call(), "long watch after 3");
    assert_eq!(watcher.next_call(), "long watch after 5");
    assert_eq!(watcher.next_call(), "long watch after 8");
    assert_eq!([(); 3].map(|()| watcher.next_revision()), [3, 5, 8]);
}

#[test]
fn compacted_history_causes_a_new_list() {
    let watcher = start_watcher([
        Reply::List(3),
        Reply::Fail(StoreError::HistoryGone),
        Reply::List(9),
    ]);
    assert_eq!(watcher.next_call(), "list");
    assert_eq!(watcher.next_call(), "long watch after 3");
    assert_eq!(watcher.next_call(), "list");
    assert_eq!(watcher.next_call(), "long watch after 9");
}

#[test]
fn failed_watch_is_followed_by_a_short_one() {
    let watcher = start_watcher([
        Reply::List(3),
        Reply::Fail(StoreError::NoAnswer),
        Reply::Fail(StoreError::Unreachable),
        Reply::Changes(4),
    ]);
    assert_eq!(watcher.next_call(), "list");
    assert_eq!(watcher.next_call(), "long watch after 3");
    assert_eq!(watcher.next_call(), "short watch after 3");
    assert_eq!(watcher.next_call(), "short watch after 3");
    assert_eq!(watcher.next_call(), "long watch after 4");
}

/// A store that falls silent forgets waiting watches, and only another call
/// shows it. Unless that call makes the watch suspect, the watch waits its full
/// 20 s.
#[test]
fn waiting_watch_is_checked_when_another_call_fails() {
    let watcher = start_watcher([Reply::List(3), Reply::NeverAnswer, Reply::Changes(7)]);
    assert_eq!(watcher.next_call(), "list");
    assert_eq!(watcher.next_call(), "long watch after 3");
    watcher.health.record_failure();
    assert_eq!(watcher.next_call(), "short watch after 3");
    assert_eq!(watcher.next_call(), "long watch after 7");
    assert_eq!([(); 2].map(|()| watcher.next_revision()), [3, 7]);
}

/// Without a growing backoff every gateway would keep calling a store that is
/// down for each of its collections, and each call is paid for.
#[test]
fn backoff_grows_while_the_store_is_down() {
    let (first, longest) = (Duration::from_millis(100), Duration::from_secs(3));
    let mut backoff = Backoff::new(first, longest, 5);
    let pauses: Vec<u128> = (0..5)
        .map(|_| backoff.after_failure().as_millis())
        .collect();
    assert_eq!(pauses, [100, 500, 2_500, 3_000, 3_000]);
    backoff.reset();
    assert_eq!(backoff.after_failure(), first);
}

#[test]
fn answered_call_ends_the_backoff_of_other_watchers() {
    let down = || Reply::Fail(StoreError::Unreachable);
    let replies = [Reply::List(3), down(), down(), Reply::Changes(4)];
    let (first, hour) = (Duration::from_millis(1), Duration::from_secs(3_600));
    let growth = 3_600_000;
    let watcher = start_watcher_with(replies, Backoff::new(first, hour, growth));
    assert_eq!(watcher.next_call(), "list");
    assert_eq!(watcher.next_call(), "long watch after 3");
    assert_eq!(watcher.next_call(), "short watch after 3");
    // The pause is an hour now. An answer may come before the pause begins, so
    // several are recorded.
    let health = watcher.health.clone();
    let answering = task::spawn(async move {
        loop {
            health.record_answer(Timestamp::from_millis(1));
            task::sleep(first).await;
        }
    });
    assert_eq!(watcher.next_call(), "short watch after 3");
    assert_eq!([(); 2].map(|()| watcher.next_revision()), [3, 4]);
    task::block_on(answering.cancel());
}

/// Of a list that cannot be read to its end nothing is used, and objects that it
/// lacks do not count as gone.
#[test]
fn stuck_list_is_read_again_and_changes_nothing() {
    let watcher = start_watcher([
        Reply::List(3),
        Reply::Fail(StoreError::HistoryGone),
        Reply::Page(6, "b-1"),
        Reply::Page(6, "b-1"),
        Reply::Page(8, "b-1"),
        Reply::List(9),
    ]);
    assert_eq!(watcher.next_call(), "list");
    assert_eq!(watcher.next_call(), "long watch after 3");
    for _ in 0..2 {
        assert_eq!(watcher.next_call(), "list");
        assert_eq!(watcher.next_call(), "list b-1");
    }
    assert_eq!(watcher.next_call(), "long watch after 8");
    assert_eq!([(); 2].map(|()| watcher.next_revision()), [3, 8]);
}

/// Each answer to another call would cost the store the whole list once more.
#[test]
fn answered_call_does_not_end_the_backoff_after_a_stuck_list() {
    let (first, hour) = (Duration::from_millis(1), Duration::from_secs(3_600));
    let growth = 3_600_000;
    let replies = [(); 6].map(|()| Reply::Page(6, "b-1"));
    let watcher = start_watcher_with(replies, Backoff::new(first, hour, growth));
    for _ in 0..2 {
        assert_eq!(watcher.next_call(), "list");
        assert_eq!(watcher.next_call(), "list b-1");
    }
    // The pause is an hour now.
    for _ in 0..100 {
        watcher.health.record_answer(Timestamp::from_millis(1));
        task::block_on(task::sleep(first));
    }
    assert!(watcher.calls.is_empty());
}

/// After all gateways had restarted, those of one region listed the
/// configuration at once over a saturated link and gave up together, for 17 s,
/// while the relay that one of them followed could have delivered it.
#[test]
fn pending_list_is_abandoned_when_a_relay_delivers() {
    let clock = Clock::start();
    let health = Arc::new(StoreHealth::new(HEARTBEAT));
    let sources = Arc::new(Sources::new(clock, health.clone()));
    sources.set_recorded_gateways(1);
    let (call_sender, calls) = async_channel::unbounded();
    let collection = Arc::new(Scripted {
        replies: Mutex::new([Reply::NeverAnswer].into()),
        calls: call_sender,
    });
    let (revision_read_sender, revision_reads) = async_channel::unbounded();
    let read_revision = move || {
        let _ = revision_read_sender.try_send(());
        7
    };
    let collection_watcher = CollectionWatcher::new("test", collection, health, WAIT);
    let collection_watcher = collection_watcher.with_relay(sources.clone(), read_revision);
    task::spawn(collection_watcher.run(|_| {}));
    let next = || task::block_on(calls.recv()).expect("a call");
    assert_eq!(next(), "list");
    let relay = Source::Relay {
        until: clock.now() + Duration::from_secs(600),
        seen: clock.now(),
    };
    sources.set(relay, false);
    task::block_on(revision_reads.recv()).expect("the revision is read");
    sources.set(Source::Store, false);
    assert_eq!(next(), "long watch after 7");
}

/// If hundreds of gateways start together, each would list thousands of back
/// ends. Instead one gateway of each zone lists them and delivers them to the
/// others.
#[test]
fn further_pages_wait_for_a_relay() {
    let clock = Clock::start();
    let health = Arc::new(StoreHealth::new(HEARTBEAT));
    let sources = Arc::new(Sources::new(clock, health.clone()));
    sources.set_recorded_gateways(1);
    sources.set(
        Source::Starting {
            until: clock.now() + Duration::from_secs(600),
        },
        false,
    );
    let (call_sender, calls) = async_channel::unbounded();
    let replies = [
        Reply::Page(5, "b-500"),
        Reply::Page(6, "b-999"),
        Reply::List(7),
    ];
    let collection = Arc::new(Scripted {
        replies: Mutex::new(replies.into()),
        calls: call_sender,
    });
    let (update_sender, updates) = async_channel::unbounded();
    let collection_watcher = CollectionWatcher::new("test", collection, health, WAIT);
    let collection_watcher = collection_watcher.with_relay(sources.clone(), || 0);
    task::spawn(collection_watcher.run(move |update| {
        let _ = update_sender.try_send(update);
    }));
    let next = || task::block_on(calls.recv()).expect("a call");
    assert_eq!(next(), "list");
    // This gateway becomes the relay itself, so no other gateway lists for it.
    sources.set(Source::Store, true);
    assert_eq!(
        [(); 3].map(|()| next()),
        ["list b-500", "list b-999", "long watch after 5"]
    );
    let Update::Listed(listing) = task::block_on(updates.recv()).expect("an update") else {
        panic!("a list comes first");
    };
    assert_eq!((listing.entries.len(), listing.at), (3, 5));
}

/// Guards against lists of all gateways that start together: over the store's
/// link, none of them arrived in time, the relay's neither.
#[test]
fn only_the_relay_of_a_large_fleet_lists_at_once() {
    let clock = Clock::start();
    let health = Arc::new(StoreHealth::new(HEARTBEAT));
    let sources = Arc::new(Sources::new(clock, health.clone()));
    // The gateways' turns are spread over hours.
    sources.set_recorded_gateways(10_000_000);
    let (call_sender, calls) = async_channel::unbounded();
    let collection = Arc::new(Scripted {
        replies: Mutex::new([Reply::List(5)].into()),
        calls: call_sender,
    });
    let collection_watcher = CollectionWatcher::new("test", collection, health, WAIT);
    let collection_watcher = collection_watcher.with_relay(sources.clone(), || 0);
    task::spawn(collection_watcher.run(|_| {}));
    task::block_on(task::sleep(Duration::from_millis(50)));
    assert!(calls.is_empty(), "{:?}", calls.try_recv());
    sources.set(Source::Store, true);
    let next = || task::block_on(calls.recv()).expect("a call");
    assert_eq!([next(), next()], ["list", "long watch after 5"]);
}
