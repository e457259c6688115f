//! Validates all objects of a deployment together, as the router's `check`
//! subcommand does for files.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use kube_core::SelectorExt;
use serde_json::Value;

use super::addresses::AddressClaims;
use super::back_end::validate_back_end;
use super::hosts::HostClaims;
use super::parse::{parse_object, reference_of};
use super::problem::{ObjectReference, Problem, ProblemKind, ProblemList};
use super::selector::compile_selector;
use super::service::validate_service;
use crate::ids::{BackEndId, ServiceId};
use crate::objects::{
    API_VERSION, BACK_END_KIND, KEYED_SERVICE_KIND, ROUTER_GROUP_KIND, RouterGroupObject,
};
use crate::records::{BackEndRecord, ServiceRecord};

/// Returns the objects of a JSON document: the `items` if it is a list, the
/// document itself otherwise.
pub fn split_document(document: Value) -> Vec<Value> {
    match document {
        Value::Object(mut fields) => match fields.remove("items") {
            Some(Value::Array(items)) => items,
            Some(other) => {
                fields.insert("items".to_owned(), other);
                vec![Value::Object(fields)]
            }
            None => vec![Value::Object(fields)],
        },
        other => vec![other],
    }
}

/// The valid objects of a deployment. Objects with problems are not added.
#[derive(Clone, Debug, Default)]
pub struct ObjectSet {
    services: BTreeMap<ServiceId, ServiceRecord>,
    back_ends: BTreeMap<BackEndId, BackEndRecord>,
    hosts: HostClaims,
    addresses: AddressClaims,
}

impl ObjectSet {
    /// Returns an empty set.
    pub fn new() -> Self {
        ObjectSet::default()
    }

    /// Validates an object and adds it.
    ///
    /// # Errors
    ///
    /// Returns all problems of the object, including conflicts with objects
    /// added before. The object is not added then.
    pub fn add(&mut self, object: &Value) -> Result<(), Vec<Problem>> {
        let kind = object["kind"].as_str().unwrap_or_default();
        let reference = reference_of(kind, object);
        let mut problems = ProblemList::new(reference);
        if object["apiVersion"].as_str() != Some(API_VERSION) {
            let found = object["apiVersion"].to_string();
            problems.add("apiVersion", ProblemKind::UnknownVersion(found));
        }
        if !matches!(kind, BACK_END_KIND | KEYED_SERVICE_KIND | ROUTER_GROUP_KIND) {
            problems.add("kind", ProblemKind::UnknownKind(kind.to_owned()));
        }
        problems.into_result(())?;
        match kind {
            BACK_END_KIND => self.add_back_end(object),
            KEYED_SERVICE_KIND => self.add_service(object),
            _ => parse_object::<RouterGroupObject>(kind, object)
                .map(|_| ())
                .map_err(|problem| vec![*problem]),
        }
    }

    /// Returns the services of the set.
    pub fn services(&self) -> impl Iterator<Item = &ServiceRecord> {
        self.services.values()
    }

    /// Returns the back ends of the set.
    pub fn back_ends(&self) -> impl Iterator<Item = &BackEndRecord> {
        self.back_ends.values()
    }

    /// Returns the back ends that a service selects in its own namespace.
    pub fn selected<'a>(
        &'a self,
        service: &'a ServiceRecord,
    ) -> impl Iterator<Item = &'a BackEndRecord> {
        let selector = compile_selector(&service.spec.back_end_selector).ok();
        self.back_ends.values().filter(move |back_end| {
            let selects = |selector: &kube_core::Selector| selector.matches(&back_end.labels);
            back_end.id.namespace == service.id.namespace && selector.as_ref().is_some_and(selects)
        })
    }

    /// Returns the problems that can be found only after all objects were
    /// added: services that select no back end.
    pub fn cross_object_problems(&self) -> Vec<Problem> {
        let without = |service: &&ServiceRecord| self.selected(service).next().is_none();
        self.services()
            .filter(without)
            .map(nothing_selected)
            .collect()
    }

    fn add_back_end(&mut self, object: &Value) -> Result<(), Vec<Problem>> {
        let parsed = parse_object(BACK_END_KIND, object).map_err(|problem| vec![*problem])?;
        let record = validate_back_end(&parsed)?;
        match self.back_ends.entry(record.id.clone()) {
            Entry::Occupied(entry) => {
                let id = entry.key();
                Err(duplicate_object(BACK_END_KIND, &id.namespace, &id.name))
            }
            Entry::Vacant(entry) => {
                self.addresses.claim(&record)?;
                entry.insert(record);
                Ok(())
            }
        }
    }

    fn add_service(&mut self, object: &Value) -> Result<(), Vec<Problem>> {
        let parsed = parse_object(KEYED_SERVICE_KIND, object).map_err(|problem| vec![*problem])?;
        let record = validate_service(&parsed)?;
        match self.services.entry(record.id.clone()) {
            Entry::Occupied(entry) => {
                let id = entry.key();
                Err(duplicate_object(
                    KEYED_SERVICE_KIND,
                    &id.namespace,
                    &id.name,
                ))
            }
            Entry::Vacant(entry) => {
                self.hosts.claim(&record)?;
                entry.insert(record);
                Ok(())
            }
        }
    }
}

fn duplicate_object(kind: &str, namespace: &str, name: &str) -> Vec<Problem> {
    vec![Problem {
        object: ObjectReference::new(kind, namespace, name),
        field: "metadata.name".to_owned(),
        kind: ProblemKind::Duplicate(name.to_owned()),
    }]
}

fn nothing_selected(service: &ServiceRecord) -> Problem {
    let id = &service.id;
    Problem {
        object: ObjectReference::new(KEYED_SERVICE_KIND, &id.namespace, &id.name),
        field: "spec.backEndSelector".to_owned(),
        kind: ProblemKind::NothingSelected,
    }
}
