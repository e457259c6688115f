//! Deployments: directories with the objects that operators wrote.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

use kube_core::SelectorExt;
use serde_json::Value;
use threadledge_types::objects::{
    BACK_END_KIND, BackEndObject, KEYED_SERVICE_KIND, KeyedServiceObject,
};
use threadledge_types::validation::compile_selector;
use threadledge_types::{BackEndId, RegionName, ServiceId, ZoneName};

use crate::stand_in::object_api::seed::{SeedError, read_objects};

/// Objects of one or several partners that share a pool of routers.
#[derive(Clone, Debug, Default)]
pub struct Deployment {
    /// Names of the directories.
    pub names: Vec<String>,
    /// Region of the routers and of every service.
    pub region: RegionName,
    /// Where routers stand, one in each zone.
    pub routers: Vec<RouterPlace>,
    /// Services with their selectors.
    pub services: BTreeMap<ServiceId, KeyedServiceObject>,
    /// Back ends with their labels.
    pub back_ends: BTreeMap<BackEndId, BackEndObject>,
}

/// Where one router stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouterPlace {
    /// Zone of its machine.
    pub zone: ZoneName,
}

/// A deployment cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum DeploymentError {
    /// Its files cannot be read.
    #[error(transparent)]
    Seed(#[from] SeedError),
    /// An object has another form.
    #[error("{path}: {cause}; 'threadledge check' tells more")]
    Object {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        cause: serde_json::Error,
    },
    /// Something is missing that a run needs.
    #[error("{path}: no {what}; add one")]
    Missing {
        /// The directory.
        path: PathBuf,
        /// What is missing.
        what: &'static str,
    },
}

impl Deployment {
    /// Reads directories of JSON objects. With several, the region and the
    /// zones of the first one stand for those of the others, in the order of
    /// their names: the partners then share its routers.
    ///
    /// # Errors
    ///
    /// A directory that cannot be read, or holds no service or no back end.
    pub fn read(directories: &[PathBuf]) -> Result<Deployment, DeploymentError> {
        let mut whole = Deployment::default();
        for directory in directories {
            let mut part = read_one(directory)?;
            if whole.routers.is_empty() {
                whole.region = part.region.clone();
                whole.routers = part.routers.clone();
            }
            part.move_to(&whole.region, &whole.routers);
            whole.names.extend(part.names);
            whole.services.extend(part.services);
            whole.back_ends.extend(part.back_ends);
        }
        Ok(whole)
    }

    /// Service that may be served by a back end, by its selector.
    pub fn service_of(&self, back_end: &BackEndObject) -> Option<&ServiceId> {
        let namespace = back_end.metadata.namespace.as_deref()?;
        let labels = back_end.metadata.labels.clone().unwrap_or_default();
        let mut services = self.services.iter();
        let selects = |object: &KeyedServiceObject| {
            compile_selector(&object.spec.back_end_selector)
                .is_ok_and(|selector| selector.matches(&labels))
        };
        services
            .find(|(id, object)| id.namespace == namespace && selects(object))
            .map(|(id, _)| id)
    }

    /// Number of back ends that may serve each service.
    pub fn member_counts(&self) -> BTreeMap<ServiceId, usize> {
        let mut counts = BTreeMap::new();
        for back_end in self.back_ends.values() {
            if let Some(service) = self.service_of(back_end) {
                *counts.entry(service.clone()).or_default() += 1;
            }
        }
        counts
    }

    fn move_to(&mut self, region: &RegionName, routers: &[RouterPlace]) {
        for service in self.services.values_mut() {
            service.spec.region = region.clone();
        }
        let own: Vec<ZoneName> = self
            .routers
            .iter()
            .map(|place| place.zone.clone())
            .collect();
        for back_end in self.back_ends.values_mut() {
            let number = own.iter().position(|zone| *zone == back_end.spec.zone);
            let number = number.unwrap_or(0) % routers.len();
            back_end.spec.zone = routers[number].zone.clone();
        }
    }
}

fn read_one(directory: &Path) -> Result<Deployment, DeploymentError> {
    let mut deployment = Deployment::default();
    let name = directory.file_name().unwrap_or(directory.as_os_str());
    deployment.names.push(name.to_string_lossy().into_owned());
    for (path, value) in read_objects(directory)? {
        take(&mut deployment, value).map_err(|cause| DeploymentError::Object { path, cause })?;
    }
    let missing = |what| DeploymentError::Missing {
        path: directory.to_owned(),
        what,
    };
    let first = deployment.services.values().next();
    let first = first.ok_or_else(|| missing(KEYED_SERVICE_KIND))?;
    deployment.region = first.spec.region.clone();
    let zones: BTreeSet<ZoneName> = deployment
        .back_ends
        .values()
        .map(|back_end| back_end.spec.zone.clone())
        .collect();
    if zones.is_empty() {
        return Err(missing(BACK_END_KIND));
    }
    deployment.routers = zones.into_iter().map(|zone| RouterPlace { zone }).collect();
    Ok(deployment)
}

fn take(deployment: &mut Deployment, value: Value) -> Result<(), serde_json::Error> {
    let kind = value["kind"].as_str().unwrap_or_default().to_owned();
    match kind.as_str() {
        BACK_END_KIND => {
            let object: BackEndObject = serde_json::from_value(value)?;
            let (namespace, name) = name_of(&object.metadata);
            let id = BackEndId::new(namespace, name);
            deployment.back_ends.insert(id, object);
        }
        KEYED_SERVICE_KIND => {
            let object: KeyedServiceObject = serde_json::from_value(value)?;
            let (namespace, name) = name_of(&object.metadata);
            let id = ServiceId::new(namespace, name);
            deployment.services.insert(id, object);
        }
        // Other objects are the routers' own and are founded by them.
        _ => {}
    }
    Ok(())
}

fn name_of(
    metadata: &k8s_openapi::apimachinery::pkg::apis::meta::v1::ObjectMeta,
) -> (String, String) {
    let namespace = metadata.namespace.clone().unwrap_or_default();
    (namespace, metadata.name.clone().unwrap_or_default())
}
