//! Passes what the gateway learns to the request path and to coordination.

use std::sync::Arc;

use parking_lot::Mutex;
use threadledge_coordination::{OwnershipRecord, OwnershipView};
use threadledge_net::{Pool, timer};
use threadledge_tenants::KeyChanges;
use threadledge_types::Timestamp;
use threadledge_types::deployment::{BackEnd, Configuration, DrainedZone};

use super::coordination::Event;
use super::dispatch::Dispatch;
use super::follow::Update;
use super::in_use::InUse;
use super::knowledge::{Knowledge, Learned};
use super::limits::Limits;
use super::news::{Differences, Marks, News, Reach};
use super::notifier::Notifier;
use super::readiness::Readiness;
use super::store_health::StoreHealth;
use crate::events::{EventId, emit};

/// Registrations learned at once that are told one by one. Where there are
/// thousands, each gateway that starts would write as many lines.
const MOST_TOLD_SINGLY: usize = 256;

fn is_registration(learned: &Learned) -> bool {
    matches!(learned, Learned::Registered(_))
}

/// What the gateway knows, and who has to be told of it. Clones share it.
#[derive(Clone)]
pub(super) struct Directory {
    pub(super) knowledge: Arc<Mutex<Knowledge>>,
    pub(super) dispatch: Arc<Dispatch>,
    pub(super) pool: Pool,
    pub(super) readiness: Arc<Readiness>,
    pub(super) health: Arc<StoreHealth>,
    pub(super) limits: Limits,
    pub(super) events: async_channel::Sender<Event>,
    /// Something was learned.
    pub(super) changed: Arc<Notifier>,
}

impl Directory {
    /// How far the knowledge goes.
    pub(super) fn marks(&self) -> Marks {
        self.knowledge.lock().marks()
    }

    /// What it holds beyond `marks`.
    pub(super) fn news_since(&self, marks: &Marks) -> News {
        self.knowledge.lock().news_since(marks, self.now())
    }

    /// Revisions of the store up to which the knowledge goes.
    pub(super) fn reach(&self) -> Reach {
        self.knowledge.lock().reach()
    }

    /// What one of `followers` that knows what `marks` say lacks.
    pub(super) fn differences_since(&self, marks: &Marks, followers: usize) -> Differences {
        let now = self.now();
        let mut knowledge = self.knowledge.lock();
        knowledge.set_followers(followers);
        knowledge.differences_since(marks, now)
    }

    /// The relay told what changed.
    pub(super) fn take_differences(&self, told: Differences) {
        let learned = self.learn(told);
        self.tell(learned);
    }

    /// Another gateway told what it knows beyond this one.
    pub(super) fn take_news(&self, news: News) {
        let learned = self.learn(news.differences);
        if !learned.is_empty() {
            emit!(EventId::LearnedFromPeer, changes = learned.len());
        }
        self.tell(learned);
    }

    fn learn(&self, told: Differences) -> Vec<Learned> {
        let mut knowledge = self.knowledge.lock();
        let concerns_back_ends = told.concerns_back_ends() || knowledge.is_partial();
        let now = self.now();
        let learned = knowledge.take_differences(told, now);
        if concerns_back_ends {
            self.publish_back_ends(knowledge.take_in_use(now));
        }
        learned
    }

    pub(super) fn configurations(&self, update: Update<Configuration>) {
        let learned = self.knowledge.lock().take_configurations(update);
        self.tell(learned);
    }

    pub(super) fn records(&self, update: Update<OwnershipRecord>) {
        let learned = self.knowledge.lock().take_records(update);
        self.tell(learned);
    }

    /// The store told of back ends.
    pub(super) fn back_ends(&self, update: Update<BackEnd>) {
        let now = self.now();
        self.health.heard(now);
        let learned = {
            let mut knowledge = self.knowledge.lock();
            knowledge.await_lapsed(self.health.awaited_until(now));
            let learned = knowledge.take_back_ends(update, now);
            // Under the lock, so that what is known and what is in use change
            // in the same order.
            self.publish_back_ends(knowledge.take_in_use(now));
            learned
        };
        self.tell(learned);
    }

    /// The store told of drained zones.
    pub(super) fn zones(&self, update: Update<DrainedZone>) {
        let learned = {
            let mut knowledge = self.knowledge.lock();
            let now = self.now();
            let learned = knowledge.take_zones(update, now);
            self.publish_back_ends(knowledge.take_in_use(now));
            learned
        };
        self.tell(learned);
    }

    /// Gives up back ends that were awaited in vain. Runs for ever.
    pub(super) async fn expire_lapsed(self) {
        loop {
            let changed = self.changed.next();
            let expiry = self.knowledge.lock().next_expiry();
            match expiry {
                Some(expiry) if expiry <= self.now() => self.expire(),
                Some(expiry) => {
                    let deadline = self.dispatch.clock().instant(expiry);
                    // Which of the two it was shows in the next round.
                    let _ = timer::timeout_at(deadline, changed).await;
                }
                None => changed.await,
            }
        }
    }

    fn expire(&self) {
        let learned = {
            let mut knowledge = self.knowledge.lock();
            let now = self.now();
            let learned = knowledge.expire_lapsed(now);
            self.publish_back_ends(knowledge.take_in_use(now));
            learned
        };
        self.tell(learned);
    }

    fn now(&self) -> Timestamp {
        self.dispatch.clock().now()
    }

    /// Puts the back ends in use, once it is known which of them may be.
    fn publish_back_ends(&self, in_use: Option<InUse>) {
        let Some(in_use) = in_use else {
            return;
        };
        let left = self.dispatch.with(|dispatcher, now| match &in_use {
            InUse::All(all) => dispatcher.set_back_ends(now, all),
            InUse::Changed { changed, gone } => dispatcher.update_back_ends(now, changed, gone),
        });
        for address in left {
            self.pool.forget(address);
        }
        self.readiness.listed();
        self.send(Event::BackEndsChanged);
    }

    fn tell(&self, learned: Vec<Learned>) {
        if !learned.is_empty() {
            self.changed.notify();
        }
        let registered = learned.iter().filter(|each| is_registration(each)).count();
        let singly = registered <= MOST_TOLD_SINGLY;
        if !singly {
            emit!(EventId::BackEndsRegistered, back_ends = registered);
        }
        for each in learned {
            match each {
                Learned::Registered(_) if !singly => {}
                Learned::Configuration(configuration) => self.configuration(configuration),
                Learned::Record(service, found) => {
                    let view = OwnershipView::of(&found.value);
                    self.dispatch.with(|dispatcher, now| {
                        dispatcher.set_ownership(now, service.clone(), view);
                    });
                    self.send(Event::RecordObserved(service, found));
                }
                Learned::Registered(back_end) => emit!(
                    EventId::BackEndRegistered,
                    back_end = %back_end.name,
                    service = %back_end.service,
                    address = %back_end.address,
                    zone = %back_end.zone,
                    draining = back_end.draining,
                ),
                Learned::Leaving(back_end) => emit!(
                    EventId::BackEndLeaving,
                    back_end = %back_end.name,
                    service = %back_end.service,
                ),
                Learned::Lapsed(back_end) => emit!(
                    EventId::RegistrationLapsed,
                    back_end = %back_end.name,
                    service = %back_end.service,
                ),
                Learned::Gone(back_end) => emit!(
                    EventId::BackEndGone,
                    back_end = %back_end.name,
                    service = %back_end.service,
                ),
                Learned::ZoneDrained(zone) => emit!(EventId::ZoneDrained, zone = %zone),
                Learned::ZoneRestored(zone) => emit!(EventId::ZoneRestored, zone = %zone),
                Learned::Malformed(malformed) => {
                    emit!(EventId::ObjectMalformed, problem = malformed.problem);
                }
            }
        }
    }

    fn configuration(&self, configuration: Arc<Configuration>) {
        let keys = self
            .dispatch
            .with(|dispatcher, now| dispatcher.set_configuration(now, configuration.clone()));
        self.limits.configure(&configuration);
        self.readiness.configured();
        emit!(
            EventId::ConfigurationInForce,
            version = configuration.version.0,
            routes = configuration.routes.len(),
            services = configuration.services.len(),
        );
        if let Some(changes) = keys.filter(|changes| *changes != KeyChanges::default()) {
            emit!(
                EventId::TenantKeysChanged,
                version = configuration.version.0,
                tenants = configuration.tenants.len(),
                taken = changes.removed,
                added = changes.added,
            );
        }
        self.send(Event::Configuration(configuration));
    }

    fn send(&self, event: Event) {
        // The channel is unbounded and closes only when the process ends.
        let _ = self.events.try_send(event);
    }
}
