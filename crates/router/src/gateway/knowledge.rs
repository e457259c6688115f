//! What a gateway knows of configuration, back ends and owners, with the
//! revisions that tell older from newer, whoever told it.
//!
//! The store tells it by lists and watches, other gateways when the store does
//! not answer. Nothing that is older than what is known is ever taken.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use threadledge_coordination::OwnershipRecord;
use threadledge_coordination::action::{StoreRevision, Versioned};
use threadledge_ports::{Change, Entry, Malformed};
use threadledge_types::deployment::{BackEnd, Configuration, ConfigurationVersion, ServiceName};

use super::follow::Update;

/// How far one gateway's knowledge goes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Marks {
    /// Configuration in force.
    pub configuration: Option<ConfigurationVersion>,
    /// Revision up to which the back ends are known.
    pub back_ends: StoreRevision,
    /// Revision of each ownership record.
    pub ownership: BTreeMap<ServiceName, StoreRevision>,
}

/// Parts of one gateway's knowledge that another does not have.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct News {
    /// A later configuration.
    pub configuration: Option<Configuration>,
    /// Every back end, as of a later revision.
    pub back_ends: Option<KnownBackEnds>,
    /// Later ownership records.
    pub ownership: Vec<KnownRecord>,
}

/// Every back end as of one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct KnownBackEnds {
    /// The revision.
    pub at: StoreRevision,
    /// The back ends.
    pub back_ends: Vec<BackEnd>,
}

/// One ownership record with its revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct KnownRecord {
    /// The service.
    pub service: ServiceName,
    /// Revision of the record's last change.
    pub revision: StoreRevision,
    /// The record.
    pub record: OwnershipRecord,
}

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
    back_ends_at: StoreRevision,
    back_ends: BTreeMap<String, BackEnd>,
    records: BTreeMap<ServiceName, Versioned<OwnershipRecord>>,
}

impl Knowledge {
    /// How far it goes.
    pub fn marks(&self) -> Marks {
        let records = self.records.iter();
        Marks {
            configuration: self.configuration.as_ref().map(|each| each.version),
            back_ends: self.back_ends_at,
            ownership: records
                .map(|(service, record)| (service.clone(), record.revision))
                .collect(),
        }
    }

    /// Every back end.
    pub fn back_ends(&self) -> Arc<[BackEnd]> {
        self.back_ends.values().cloned().collect()
    }

    /// What it holds beyond `marks`.
    pub fn news_since(&self, marks: &Marks) -> News {
        let configuration = self
            .configuration
            .as_ref()
            .filter(|known| Some(known.version) > marks.configuration)
            .map(|known| known.as_ref().clone());
        let back_ends = (self.back_ends_at > marks.back_ends).then(|| KnownBackEnds {
            at: self.back_ends_at,
            back_ends: self.back_ends.values().cloned().collect(),
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
            && known.at > self.back_ends_at
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
        self.configuration = Some(configuration.clone());
        Some(Learned::Configuration(configuration))
    }

    /// Takes ownership records from the store.
    pub fn take_records(&mut self, update: Update<OwnershipRecord>) -> Vec<Learned> {
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
        self.records.insert(service.clone(), found.clone());
        Some(Learned::Record(service, found))
    }

    /// Takes back ends from the store.
    pub fn take_back_ends(&mut self, update: Update<BackEnd>) -> Vec<Learned> {
        match update {
            Update::Listed(listing) if listing.at < self.back_ends_at => Vec::new(),
            Update::Listed(listing) => self.replace_back_ends(listing.at, listing.entries),
            Update::Changed(changes) => {
                let known_at = self.back_ends_at;
                let mut learned = Vec::new();
                for change in changes.changes {
                    match change {
                        Change::Put(entry) if entry.revision > known_at => {
                            learned.extend(self.put_back_end(entry));
                        }
                        Change::Gone(name) if changes.at > known_at => {
                            learned.extend(self.remove_back_end(&name));
                        }
                        Change::Put(_) | Change::Gone(_) => {}
                    }
                }
                self.back_ends_at = known_at.max(changes.at);
                learned
            }
        }
    }

    fn replace_back_ends(
        &mut self,
        at: StoreRevision,
        entries: Vec<Entry<BackEnd>>,
    ) -> Vec<Learned> {
        self.back_ends_at = at;
        let names: Vec<&str> = entries.iter().map(|entry| entry.name.as_str()).collect();
        let gone: Vec<String> = self
            .back_ends
            .keys()
            .filter(|name| !names.contains(&name.as_str()))
            .cloned()
            .collect();
        let mut learned: Vec<Learned> = gone
            .iter()
            .filter_map(|name| self.remove_back_end(name))
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
        let before = self.back_ends.insert(entry.name, back_end.clone());
        match before {
            None => Some(Learned::Registered(back_end)),
            Some(before) if back_end.draining && !before.draining => {
                Some(Learned::Leaving(back_end))
            }
            Some(_) => None,
        }
    }

    fn remove_back_end(&mut self, name: &str) -> Option<Learned> {
        self.back_ends.remove(name).map(Learned::Gone)
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
