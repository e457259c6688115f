//! Following a collection of the store through its failures.

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

/// Of the back ends' registrations.
const HEARTBEAT: Duration = Duration::from_millis(1_300);

const WAIT: Duration = Duration::from_secs(20);

/// What a call does.
#[derive(Clone, Debug)]
enum Reply {
    List(u64),
    /// A page, and the name after which the next begins.
    Page(u64, &'static str),
    Changes(u64),
    Fail(StoreError),
    Silence,
}

/// A collection that answers by a script and tells what it was asked.
struct Scripted {
    replies: Mutex<VecDeque<Reply>>,
    asked: async_channel::Sender<String>,
}

impl Scripted {
    fn next(&self, asked: String) -> Reply {
        let _ = self.asked.try_send(asked);
        self.replies.lock().pop_front().unwrap_or(Reply::Silence)
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
        let asked = format!("list {after}");
        let reply = self.next(asked.trim_end().to_owned());
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
                Reply::Changes(_) | Reply::Silence => pending().await,
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
                Reply::List(_) | Reply::Page(..) | Reply::Silence => pending().await,
            }
        })
    }
}

struct Following {
    asked: async_channel::Receiver<String>,
    told: async_channel::Receiver<Update<u64>>,
    health: Arc<StoreHealth>,
}

fn follow(replies: impl IntoIterator<Item = Reply>) -> Following {
    let pause = Duration::from_millis(100);
    follow_pausing(replies, Backoff::new(pause, pause, 1))
}

fn follow_pausing(replies: impl IntoIterator<Item = Reply>, backoff: Backoff) -> Following {
    let (asked_sender, asked) = async_channel::unbounded();
    let (told_sender, told) = async_channel::unbounded();
    let collection = Arc::new(Scripted {
        replies: Mutex::new(replies.into_iter().collect()),
        asked: asked_sender,
    });
    let health = Arc::new(StoreHealth::new(HEARTBEAT));
    let follower =
        CollectionWatcher::new("test", collection, health.clone(), WAIT).with_backoff(backoff);
    task::spawn(follower.run(move |update| {
        let _ = told_sender.try_send(update);
    }));
    Following {
        asked,
        told,
        health,
    }
}

impl Following {
    fn asked(&self) -> String {
        task::block_on(self.asked.recv()).expect("asked")
    }

    fn told_at(&self) -> u64 {
        match task::block_on(self.told.recv()).expect("told") {
            Update::Listed(listing) => listing.at,
            Update::Changed(changes) => changes.at,
        }
    }
}

#[test]
fn watch_goes_on_from_the_last_revision() {
    let following = follow([Reply::List(3), Reply::Changes(5), Reply::Changes(8)]);
    assert_eq!(following.asked(), "list");
    assert_eq!(following.asked(), "long watch after 3");
    assert_eq!(following.asked(), "long watch after 5");
    assert_eq!(following.asked(), "long watch after 8");
    assert_eq!([(); 3].map(|()| following.told_at()), [3, 5, 8]);
}

#[test]
fn forgotten_history_is_followed_by_a_new_list() {
    let following = follow([
        Reply::List(3),
        Reply::Fail(StoreError::HistoryGone),
        Reply::List(9),
    ]);
    assert_eq!(following.asked(), "list");
    assert_eq!(following.asked(), "long watch after 3");
    assert_eq!(following.asked(), "list");
    assert_eq!(following.asked(), "long watch after 9");
}

#[test]
fn failed_watch_is_followed_by_a_short_one() {
    let following = follow([
        Reply::List(3),
        Reply::Fail(StoreError::NoAnswer),
        Reply::Fail(StoreError::Unreachable),
        Reply::Changes(4),
    ]);
    assert_eq!(following.asked(), "list");
    assert_eq!(following.asked(), "long watch after 3");
    assert_eq!(following.asked(), "short watch after 3");
    assert_eq!(following.asked(), "short watch after 3");
    assert_eq!(following.asked(), "long watch after 4");
}

/// A store that fell silent forgets the watches that wait; only another call
/// shows that it did. Without the doubt, the watch waits its 20 s out.
#[test]
fn watch_that_waits_is_doubted_when_another_call_fails() {
    let following = follow([Reply::List(3), Reply::Silence, Reply::Changes(7)]);
    assert_eq!(following.asked(), "list");
    assert_eq!(following.asked(), "long watch after 3");
    following.health.record_failure();
    assert_eq!(following.asked(), "short watch after 3");
    assert_eq!(following.asked(), "long watch after 7");
    assert_eq!([(); 2].map(|()| following.told_at()), [3, 7]);
}

/// While the store is down every gateway would otherwise call it for each of
/// its collections again and again, and each call is paid for.
#[test]
fn store_that_stays_down_is_called_ever_more_rarely() {
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
fn call_that_the_store_answers_ends_the_pause_of_the_others() {
    let down = || Reply::Fail(StoreError::Unreachable);
    let replies = [Reply::List(3), down(), down(), Reply::Changes(4)];
    let (first, hour) = (Duration::from_millis(1), Duration::from_secs(3_600));
    let growth = 3_600_000;
    let following = follow_pausing(replies, Backoff::new(first, hour, growth));
    assert_eq!(following.asked(), "list");
    assert_eq!(following.asked(), "long watch after 3");
    assert_eq!(following.asked(), "short watch after 3");
    // The pause is an hour now. An answer may come before it begins, so there
    // are several.
    let health = following.health.clone();
    let answering = task::spawn(async move {
        loop {
            health.record_answer(Timestamp::from_millis(1));
            task::sleep(first).await;
        }
    });
    assert_eq!(following.asked(), "short watch after 3");
    assert_eq!([(); 2].map(|()| following.told_at()), [3, 4]);
    task::block_on(answering.cancel());
}

/// After all gateways had started again, those of one region listed the
/// configuration at once over a full link and gave it up together, for 17 s,
/// while the relay that one of them followed could have told them.
#[test]
fn list_that_does_not_come_is_left_once_a_relay_tells() {
    let clock = Clock::start();
    let health = Arc::new(StoreHealth::new(HEARTBEAT));
    let sources = Arc::new(Sources::new(clock, health.clone()));
    let (asked_sender, asked) = async_channel::unbounded();
    let collection = Arc::new(Scripted {
        replies: Mutex::new([Reply::Silence].into()),
        asked: asked_sender,
    });
    let (looked_sender, looked) = async_channel::unbounded();
    let reach = move || {
        let _ = looked_sender.try_send(());
        7
    };
    let follower = CollectionWatcher::new("test", collection, health, WAIT);
    let follower = follower.with_relay(sources.clone(), reach);
    task::spawn(follower.run(|_| {}));
    let next = || task::block_on(asked.recv()).expect("asked");
    assert_eq!(next(), "list");
    let relay = Source::Relay {
        until: clock.now() + Duration::from_secs(600),
        seen: clock.now(),
    };
    sources.set(relay, false);
    task::block_on(looked.recv()).expect("it looks how far that goes");
    sources.set(Source::Store, false);
    assert_eq!(next(), "long watch after 7");
}

/// Hundreds of gateways that start together would list thousands of back ends
/// each: one in each zone does, and tells the others.
#[test]
fn later_pages_of_a_long_list_are_left_to_a_relay() {
    let clock = Clock::start();
    let health = Arc::new(StoreHealth::new(HEARTBEAT));
    let sources = Arc::new(Sources::new(clock, health.clone()));
    sources.set(
        Source::Starting {
            until: clock.now() + Duration::from_secs(600),
        },
        false,
    );
    let (asked_sender, asked) = async_channel::unbounded();
    let replies = [
        Reply::Page(5, "b-500"),
        Reply::Page(6, "b-999"),
        Reply::List(7),
    ];
    let collection = Arc::new(Scripted {
        replies: Mutex::new(replies.into()),
        asked: asked_sender,
    });
    let (told_sender, told) = async_channel::unbounded();
    let follower = CollectionWatcher::new("test", collection, health, WAIT);
    let follower = follower.with_relay(sources.clone(), || 0);
    task::spawn(follower.run(move |update| {
        let _ = told_sender.try_send(update);
    }));
    let next = || task::block_on(asked.recv()).expect("asked");
    assert_eq!(next(), "list");
    // It is to relay itself: nobody else lists.
    sources.set(Source::Store, true);
    assert_eq!(
        [(); 3].map(|()| next()),
        ["list b-500", "list b-999", "long watch after 5"]
    );
    let Update::Listed(listing) = task::block_on(told.recv()).expect("told") else {
        panic!("a list comes first");
    };
    assert_eq!((listing.entries.len(), listing.at), (3, 5));
}
