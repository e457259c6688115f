//! What a gateway knows of configuration, back ends and owners, with the
//! revisions that tell older from newer, whoever told it.
//!
//! The store tells it by lists and watches, other gateways when the store does
//! not answer. Nothing that is older than what is known is ever taken.

use std::collections::BTreeMap;
use std::sync::Arc;

use threadledge_coordination::OwnershipRecord;
use threadledge_coordination::action::{StoreRevision, Versioned};
use threadledge_ports::{Change, Entry, Malformed};
use threadledge_types::deployment::{BackEnd, Configuration, ServiceName};

use super::changes::{Chain, ConfigurationChange, RecordChange};
use super::follow::Update;
use super::news::{Differences, KnownBackEnds, KnownRecord, Marks, News, Reach, RevisedBackEnd};
use super::removals::Removals;

/// What changed with an update.
#[derive(Clone, Debug, PartialEq)]
pub enum Learned {
    /// A later configuration.
    Configuration(Arc<Configuration>),
    /// A back end registered itself.
    Registered(BackEnd),
    /// A back end says that it is leaving.
    Leaving(BackEnd),
    /// A back end's registration is gone.
    Gone(BackEnd),
    /// A later ownership record.
    Record(ServiceName, Versioned<OwnershipRecord>),
    /// An object cannot be understood; what was known stays.
    Malformed(Malformed),
}

/// The knowledge of one gateway.
#[derive(Clone, Debug, Default)]
pub struct Knowledge {
    configuration: Option<Arc<Configuration>>,
    configuration_changes: Chain<ConfigurationChange>,
    back_ends: BTreeMap<String, RevisedBackEnd>,
    removals: Removals,
    records: BTreeMap<ServiceName, Versioned<OwnershipRecord>>,
    record_changes: BTreeMap<ServiceName, Chain<RecordChange>>,
    reach: Reach,
}

/// Routes of a configuration that is told whole; larger ones are fetched from
/// the store, so that no relay's link carries them for every follower.
const MOST_ROUTES: usize = 40;

impl Knowledge {
    /// How far it goes.
    pub fn marks(&self) -> Marks {
        let records = self.records.iter();
        Marks {
            configuration: self.configuration.as_ref().map(|each| each.version),
            back_ends: self.reach.back_ends,
            ownership: records
                .map(|(service, record)| (service.clone(), record.revision))
                .collect(),
        }
    }

    /// Every back end.
    pub fn back_ends(&self) -> Arc<[BackEnd]> {
        let all = self.back_ends.values();
        all.map(|known| known.back_end.clone()).collect()
    }

    /// Revisions up to which it goes.
    pub fn reach(&self) -> Reach {
        self.reach
    }

    /// What a follower that knows what `marks` say lacks.
    pub fn differences_since(&self, marks: &Marks) -> Differences {
        let mut differences = Differences {
            reach: self.reach,
            ..Differences::default()
        };
        self.configuration_since(marks, &mut differences);
        if self.reach.back_ends > marks.back_ends {
            let later = self.back_ends.values();
            differences.back_ends = later
                .filter(|known| known.revision > marks.back_ends)
                .cloned()
                .collect();
            match self.removals.after(marks.back_ends) {
                Some(gone) => differences.gone = gone,
                None => differences.left = Some(self.back_ends.keys().cloned().collect()),
            }
        }
        self.records_since(marks, &mut differences);
        differences
    }

    fn configuration_since(&self, marks: &Marks, differences: &mut Differences) {
        let known = self.configuration.as_ref().map(|each| each.version);
        if known <= marks.configuration {
            return;
        }
        let changes = marks
            .configuration
            .and_then(|version| self.configuration_changes.after(version));
        match changes {
            Some(changes) => differences.configuration = changes,
            None => match self.configuration.as_deref() {
                Some(known) if known.routes.len() <= MOST_ROUTES => {
                    differences.whole = Some(known.clone());
                }
                _ => differences.fetch_configuration = true,
            },
        }
    }

    fn records_since(&self, marks: &Marks, differences: &mut Differences) {
        for (service, known) in &self.records {
            let mark = marks.ownership.get(service).copied();
            if mark.is_some_and(|mark| mark >= known.revision) {
                continue;
            }
            let chain = self.record_changes.get(service);
            let changes = mark.and_then(|mark| chain?.after(mark));
            let Some(changes) = changes else {
                differences.records.push(KnownRecord {
                    service: service.clone(),
                    revision: known.revision,
                    record: known.value.clone(),
                });
                continue;
            };
            let named = changes.into_iter().map(|each| (service.clone(), each));
            differences.changed_records.extend(named);
        }
    }

    /// Takes what a relay tells beyond what this gateway knows.
    pub fn take_differences(&mut self, told: Differences) -> Vec<Learned> {
        let mut learned = Vec::new();
        for change in told.configuration {
            let known = self.configuration.clone();
            let later = known.and_then(|known| change.apply(&known));
            learned.extend(later.and_then(|later| self.take_configuration(later)));
        }
        let whole = told.whole;
        learned.extend(whole.and_then(|whole| self.take_configuration(whole)));
        if told.reach.back_ends > self.reach.back_ends {
            let at = told.reach.back_ends;
            learned.extend(self.take_told_back_ends(at, told.back_ends, told.gone, told.left));
        }
        for (service, change) in told.changed_records {
            let known = self.records.get(&service);
            if let Some(found) = known.and_then(|known| change.apply(known)) {
                learned.extend(self.take_record(service, found));
            }
        }
        for known in told.records {
            let found = Versioned {
                value: known.record,
                revision: known.revision,
            };
            learned.extend(self.take_record(known.service, found));
        }
        if !told.fetch_configuration {
            self.reach.configurations = self.reach.configurations.max(told.reach.configurations);
        }
        self.reach.records = self.reach.records.max(told.reach.records);
        learned
    }

    fn take_told_back_ends(
        &mut self,
        at: StoreRevision,
        put: Vec<RevisedBackEnd>,
        gone: Vec<String>,
        left: Option<Vec<String>>,
    ) -> Vec<Learned> {
        let mut learned = Vec::new();
        let gone = match left {
            None => gone,
            Some(left) => {
                let all = self.back_ends.keys();
                all.filter(|name| !left.contains(name)).cloned().collect()
            }
        };
        for name in gone {
            learned.extend(self.remove_back_end(at, &name));
        }
        for known in put {
            let name = known.back_end.name.as_str().to_owned();
            let (revision, value) = (known.revision, Ok(known.back_end));
            learned.extend(self.put_back_end(Entry {
                name,
                revision,
                value,
            }));
        }
        self.reach.back_ends = at;
        learned
    }

    /// What it holds beyond `marks`.
    pub fn news_since(&self, marks: &Marks) -> News {
        let configuration = self
            .configuration
            .as_ref()
            .filter(|known| Some(known.version) > marks.configuration)
            .map(|known| known.as_ref().clone());
        let back_ends = (self.reach.back_ends > marks.back_ends).then(|| KnownBackEnds {
            at: self.reach.back_ends,
            back_ends: self.back_ends().to_vec(),
        });
        let later = |service: &ServiceName, revision: StoreRevision| {
            marks
                .ownership
                .get(service)
                .is_none_or(|known| revision > *known)
        };
        let ownership = self
            .records
            .iter()
            .filter(|(service, known)| later(service, known.revision))
            .map(|(service, known)| KnownRecord {
                service: service.clone(),
                revision: known.revision,
                record: known.value.clone(),
            });
        News {
            configuration,
            back_ends,
            ownership: ownership.collect(),
        }
    }

    /// Takes what another gateway knows beyond this one.
    pub fn take_news(&mut self, news: News) -> Vec<Learned> {
        let mut learned = Vec::new();
        if let Some(configuration) = news.configuration {
            learned.extend(self.take_configuration(configuration));
        }
        if let Some(known) = news.back_ends
            && known.at > self.reach.back_ends
        {
            let entries = known.back_ends.into_iter().map(|back_end| Entry {
                name: back_end.name.as_str().to_owned(),
                revision: known.at,
                value: Ok(back_end),
            });
            learned.extend(self.replace_back_ends(known.at, entries.collect()));
        }
        for known in news.ownership {
            let found = Versioned {
                value: known.record,
                revision: known.revision,
            };
            learned.extend(self.take_record(known.service, found));
        }
        learned
    }

    /// Takes configurations from the store; the newest that can be understood
    /// counts.
    pub fn take_configurations(&mut self, update: Update<Configuration>) -> Vec<Learned> {
        let at = update.at();
        self.reach.configurations = self.reach.configurations.max(at);
        let entries = put_entries(update).into_iter();
        entries
            .filter_map(|entry| match entry.value {
                Ok(configuration) => self.take_configuration(configuration),
                Err(malformed) => Some(Learned::Malformed(malformed)),
            })
            .collect()
    }

    fn take_configuration(&mut self, configuration: Configuration) -> Option<Learned> {
        let known = self.configuration.as_ref().map(|each| each.version);
        if Some(configuration.version) <= known {
            return None;
        }
        let configuration = Arc::new(configuration);
        if let Some(before) = &self.configuration {
            let change = ConfigurationChange::between(before, &configuration);
            self.configuration_changes.push(change);
        }
        self.configuration = Some(configuration.clone());
        Some(Learned::Configuration(configuration))
    }

    /// Takes ownership records from the store.
    pub fn take_records(&mut self, update: Update<OwnershipRecord>) -> Vec<Learned> {
        let at = update.at();
        self.reach.records = self.reach.records.max(at);
        let entries = put_entries(update).into_iter();
        entries
            .filter_map(|entry| match entry.value {
                Ok(value) => {
                    let revision = entry.revision;
                    let service = ServiceName::from(entry.name);
                    self.take_record(service, Versioned { value, revision })
                }
                Err(malformed) => Some(Learned::Malformed(malformed)),
            })
            .collect()
    }

    fn take_record(
        &mut self,
        service: ServiceName,
        found: Versioned<OwnershipRecord>,
    ) -> Option<Learned> {
        let known = self.records.get(&service);
        if known.is_some_and(|known| known.revision >= found.revision) {
            return None;
        }
        if found.value.check().is_err() {
            let problem = format!("the ownership record of {service} has gaps or overlaps");
            return Some(Learned::Malformed(Malformed { problem }));
        }
        if let Some(before) = self.records.get(&service) {
            let change = RecordChange::between(before, &found);
            let chain = self.record_changes.entry(service.clone()).or_default();
            chain.push(change);
        }
        self.records.insert(service.clone(), found.clone());
        Some(Learned::Record(service, found))
    }

    /// Takes back ends from the store.
    pub fn take_back_ends(&mut self, update: Update<BackEnd>) -> Vec<Learned> {
        match update {
            Update::Listed(listing) if listing.at < self.reach.back_ends => Vec::new(),
            Update::Listed(listing) => self.replace_back_ends(listing.at, listing.entries),
            Update::Changed(changes) => {
                let known_at = self.reach.back_ends;
                let mut learned = Vec::new();
                for change in changes.changes {
                    match change {
                        Change::Put(entry) if entry.revision > known_at => {
                            learned.extend(self.put_back_end(entry));
                        }
                        Change::Gone(name) if changes.at > known_at => {
                            learned.extend(self.remove_back_end(changes.at, &name));
                        }
                        Change::Put(_) | Change::Gone(_) => {}
                    }
                }
                self.reach.back_ends = known_at.max(changes.at);
                learned
            }
        }
    }

    fn replace_back_ends(
        &mut self,
        at: StoreRevision,
        entries: Vec<Entry<BackEnd>>,
    ) -> Vec<Learned> {
        if self.back_ends.is_empty() {
            self.removals.forget_until(at);
        }
        self.reach.back_ends = at;
        let names: Vec<&str> = entries.iter().map(|entry| entry.name.as_str()).collect();
        let gone: Vec<String> = self
            .back_ends
            .keys()
            .filter(|name| !names.contains(&name.as_str()))
            .cloned()
            .collect();
        let mut learned: Vec<Learned> = gone
            .iter()
            .filter_map(|name| self.remove_back_end(at, name))
            .collect();
        for entry in entries {
            learned.extend(self.put_back_end(entry));
        }
        learned
    }

    /// A registration that cannot be understood leaves the last one in force.
    fn put_back_end(&mut self, entry: Entry<BackEnd>) -> Option<Learned> {
        let back_end = match entry.value {
            Ok(back_end) => back_end,
            Err(malformed) => return Some(Learned::Malformed(malformed)),
        };
        let known = RevisedBackEnd {
            revision: entry.revision,
            back_end: back_end.clone(),
        };
        let before = self.back_ends.insert(entry.name, known);
        match before {
            None => Some(Learned::Registered(back_end)),
            Some(before) if back_end.draining && !before.back_end.draining => {
                Some(Learned::Leaving(back_end))
            }
            Some(_) => None,
        }
    }

    fn remove_back_end(&mut self, at: StoreRevision, name: &str) -> Option<Learned> {
        let known = self.back_ends.remove(name)?;
        self.removals.push(at, name.to_owned());
        Some(Learned::Gone(known.back_end))
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
