//! Reads deployments: directories of the objects that operators write.

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
    /// Locations of the routers, one in each zone.
    pub routers: Vec<RouterLocation>,
    /// Services with their selectors.
    pub services: BTreeMap<ServiceId, KeyedServiceObject>,
    /// Back ends with their labels.
    pub back_ends: BTreeMap<BackEndId, BackEndObject>,
}

/// Location of one router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouterLocation {
    /// Zone of its machine.
    pub zone: ZoneName,
}

/// A deployment cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum DeploymentError {
    /// Its files cannot be read.
    #[error(transparent)]
    Seed(#[from] SeedError),
    /// An object does not match its schema.
    #[error("{path}: {cause}; run 'threadledge check' for details")]
    Object {
        /// The file.
        path: PathBuf,
        /// The parse error.
        cause: serde_json::Error,
    },
    /// A kind of object that a run needs is missing.
    #[error("{path}: no {what}; add one")]
    Missing {
        /// The directory.
        path: PathBuf,
        /// The missing kind.
        what: &'static str,
    },
}

impl Deployment {
    /// Reads directories of JSON objects. With several, the region and zones of
    /// the others are mapped to those of the first, zones in the order of their
    /// names, so that the partners share its routers.
    ///
    /// # Errors
    ///
    /// Fails if a directory cannot be read, or holds no service or no back end.
    pub fn read(directories: &[PathBuf]) -> Result<Deployment, DeploymentError> {
        let mut combined = Deployment::default();
        for directory in directories {
            let mut deployment = read_one(directory)?;
            if combined.routers.is_empty() {
                combined.region = deployment.region.clone();
                combined.routers = deployment.routers.clone();
            }
            deployment.map_to_region(&combined.region, &combined.routers);
            combined.names.extend(deployment.names);
            combined.services.extend(deployment.services);
            combined.back_ends.extend(deployment.back_ends);
        }
        Ok(combined)
    }

    /// Returns the service whose selector matches a back end.
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

    /// Returns the number of back ends of each service.
    pub fn member_counts(&self) -> BTreeMap<ServiceId, usize> {
        let mut counts = BTreeMap::new();
        for back_end in self.back_ends.values() {
            if let Some(service) = self.service_of(back_end) {
                *counts.entry(service.clone()).or_default() += 1;
            }
        }
        counts
    }

    /// Moves all services to `region` and all back ends to the zones of
    /// `routers`.
    fn map_to_region(&mut self, region: &RegionName, routers: &[RouterLocation]) {
        for service in self.services.values_mut() {
            service.spec.region = region.clone();
        }
        let own: Vec<ZoneName> = self
            .routers
            .iter()
            .map(|location| location.zone.clone())
            .collect();
        for back_end in self.back_ends.values_mut() {
            let number = own.iter().position(|zone| *zone == back_end.spec.zone);
            let number = number.unwrap_or(0) % routers.len();
            back_end.spec.zone = routers[number].zone.clone();
        }
    }
}

/// Reads one directory, with one router for each zone of its back ends.
fn read_one(directory: &Path) -> Result<Deployment, DeploymentError> {
    let mut deployment = Deployment::default();
    let name = directory.file_name().unwrap_or(directory.as_os_str());
    deployment.names.push(name.to_string_lossy().into_owned());
    for (path, value) in read_objects(directory)? {
        add_object(&mut deployment, value)
            .map_err(|cause| DeploymentError::Object { path, cause })?;
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
    deployment.routers = zones
        .into_iter()
        .map(|zone| RouterLocation { zone })
        .collect();
    Ok(deployment)
}

fn add_object(deployment: &mut Deployment, value: Value) -> Result<(), serde_json::Error> {
    let kind = value["kind"].as_str().unwrap_or_default().to_owned();
    match kind.as_str() {
        BACK_END_KIND => {
            let object: BackEndObject = serde_json::from_value(value)?;
            let (namespace, name) = namespace_and_name(&object.metadata);
            let id = BackEndId::new(namespace, name);
            deployment.back_ends.insert(id, object);
        }
        KEYED_SERVICE_KIND => {
            let object: KeyedServiceObject = serde_json::from_value(value)?;
            let (namespace, name) = namespace_and_name(&object.metadata);
            let id = ServiceId::new(namespace, name);
            deployment.services.insert(id, object);
        }
        // Other kinds of objects are created by the routers themselves.
        _ => {}
    }
    Ok(())
}

fn namespace_and_name(
    metadata: &k8s_openapi::apimachinery::pkg::apis::meta::v1::ObjectMeta,
) -> (String, String) {
    let namespace = metadata.namespace.clone().unwrap_or_default();
    (namespace, metadata.name.clone().unwrap_or_default())
}
