//! What the platform's store says, as this gateway knows it.

use std::collections::BTreeMap;
use std::sync::Arc;

use threadledge_coordination::action::Versioned;
use threadledge_coordination::{OwnershipRecord, OwnershipView};
use threadledge_net::Pool;
use threadledge_ports::{Change, Entry, Malformed};
use threadledge_types::deployment::{BackEnd, Configuration, ServiceName};

use super::coordination::Event;
use super::dispatch::Dispatch;
use super::follow::Update;
use super::readiness::Readiness;
use crate::events::{EventId, emit};

/// Passes what followers tell to the request path and to coordination.
#[derive(Clone)]
pub(super) struct Sink {
    pub(super) dispatch: Arc<Dispatch>,
    pub(super) pool: Pool,
    pub(super) readiness: Arc<Readiness>,
    pub(super) events: async_channel::Sender<Event>,
}

impl Sink {
    fn send(&self, event: Event) {
        // The channel is unbounded and closes only when the process ends.
        let _ = self.events.try_send(event);
    }

    /// Takes configurations; the newest that can be understood counts.
    pub(super) fn configurations(&self, update: Update<Configuration>) {
        for entry in put_entries(update) {
            match entry.value {
                Ok(configuration) => self.configuration(Arc::new(configuration)),
                Err(malformed) => tell_malformed(&malformed),
            }
        }
    }

    fn configuration(&self, configuration: Arc<Configuration>) {
        let taken = self
            .dispatch
            .with(|dispatcher, now| dispatcher.set_configuration(now, configuration.clone()));
        if !taken {
            return;
        }
        self.readiness.configured();
        emit!(
            EventId::ConfigurationInForce,
            version = configuration.version.0,
            routes = configuration.routes.len(),
            services = configuration.services.len(),
        );
        self.send(Event::Configuration(configuration));
    }

    /// Takes the owners of keys.
    pub(super) fn ownership(&self, update: Update<OwnershipRecord>) {
        for entry in put_entries(update) {
            match entry.value {
                Ok(record) => self.record(entry.name.as_str(), entry.revision, record),
                Err(malformed) => tell_malformed(&malformed),
            }
        }
    }

    fn record(&self, name: &str, revision: u64, record: OwnershipRecord) {
        if record.check().is_err() {
            emit!(
                EventId::ObjectMalformed,
                problem = "ownership record with gaps"
            );
            return;
        }
        let service = ServiceName::from(name);
        let view = OwnershipView::of(&record);
        self.dispatch.with(|dispatcher, now| {
            dispatcher.set_ownership(now, service.clone(), view);
        });
        let found = Versioned {
            value: record,
            revision,
        };
        self.send(Event::RecordObserved(service, found));
    }
}

/// The back ends that are registered.
pub(super) struct BackEndDirectory {
    sink: Sink,
    known: BTreeMap<String, BackEnd>,
}

impl BackEndDirectory {
    pub(super) fn new(sink: Sink) -> Self {
        BackEndDirectory {
            sink,
            known: BTreeMap::new(),
        }
    }

    pub(super) fn apply(&mut self, update: Update<BackEnd>) {
        match update {
            Update::Listed(listing) => self.replace(listing.entries),
            Update::Changed(changes) => {
                for change in changes.changes {
                    match change {
                        Change::Put(entry) => self.put(entry),
                        Change::Gone(name) => self.remove(&name),
                    }
                }
            }
        }
        self.publish();
    }

    fn replace(&mut self, entries: Vec<Entry<BackEnd>>) {
        let names: Vec<&str> = entries.iter().map(|entry| entry.name.as_str()).collect();
        let gone: Vec<String> = self
            .known
            .keys()
            .filter(|name| !names.contains(&name.as_str()))
            .cloned()
            .collect();
        for name in gone {
            self.remove(&name);
        }
        for entry in entries {
            self.put(entry);
        }
    }

    /// A registration that cannot be understood leaves the last one in force.
    fn put(&mut self, entry: Entry<BackEnd>) {
        let back_end = match entry.value {
            Ok(back_end) => back_end,
            Err(malformed) => return tell_malformed(&malformed),
        };
        let before = self.known.insert(entry.name, back_end.clone());
        let was_draining = before.as_ref().is_some_and(|before| before.draining);
        if before.is_none() {
            emit!(
                EventId::BackEndRegistered,
                back_end = %back_end.name,
                service = %back_end.service,
                address = %back_end.address,
                zone = %back_end.zone,
                draining = back_end.draining,
            );
        } else if back_end.draining && !was_draining {
            emit!(EventId::BackEndLeaving, back_end = %back_end.name, service = %back_end.service);
        }
    }

    fn remove(&mut self, name: &str) {
        if let Some(gone) = self.known.remove(name) {
            emit!(EventId::BackEndGone, back_end = %gone.name, service = %gone.service);
        }
    }

    fn publish(&self) {
        let back_ends: Arc<[BackEnd]> = self.known.values().cloned().collect();
        let left = self
            .sink
            .dispatch
            .with(|dispatcher, now| dispatcher.set_back_ends(now, &back_ends));
        for address in left {
            self.sink.pool.forget(address);
        }
        self.sink.readiness.listed();
        self.sink.send(Event::BackEnds(back_ends));
    }
}

/// Objects of an update that are there.
fn put_entries<T>(update: Update<T>) -> Vec<Entry<T>> {
    match update {
        Update::Listed(listing) => listing.entries,
        Update::Changed(changes) => changes
            .changes
            .into_iter()
            .filter_map(|change| match change {
                Change::Put(entry) => Some(entry),
                Change::Gone(_) => None,
            })
            .collect(),
    }
}

fn tell_malformed(malformed: &Malformed) {
    emit!(EventId::ObjectMalformed, problem = malformed.problem);
}
