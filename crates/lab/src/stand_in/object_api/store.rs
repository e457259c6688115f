//! The versioned object store.
//!
//! It does no I/O and reads no clock: times come with the writes and uids from
//! a counter, so that a run can be repeated exactly.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::ops::Bound;

use serde_json::{Value, json};

use super::error::ApiError;
use super::merge::{check_conditions, format_uid, with_new_spec, with_new_status};
use super::operation::{Write, WriteTarget, metadata_text};
use super::path::{Collection, ObjectPath};

/// Maximum number of changes kept; beyond it the older half is compacted.
const MAX_CHANGES: usize = 50_000;

/// Type of a change, as reported in watch events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeKind {
    /// The object was created.
    Added,
    /// The object was changed.
    Modified,
    /// The object was deleted.
    Deleted,
}

impl ChangeKind {
    /// Returns the event type used in watch events.
    pub const fn as_str(self) -> &'static str {
        match self {
            ChangeKind::Added => "ADDED",
            ChangeKind::Modified => "MODIFIED",
            ChangeKind::Deleted => "DELETED",
        }
    }
}

/// One change of the store.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreChange {
    /// Version that the change created.
    pub version: u64,
    /// Path of the object.
    pub path: ObjectPath,
    /// Type of the change.
    pub kind: ChangeKind,
    /// The object after the change; for a deletion, the last object with the
    /// version of the deletion.
    pub object: Value,
}

/// One page of a list.
#[derive(Clone, Debug, PartialEq)]
pub struct Page {
    /// Objects ordered by namespace and name.
    pub items: Vec<Value>,
    /// Version of the store that all pages of this list are read from.
    pub version: u64,
    /// Continue token of the next page, if there is one.
    pub continue_token: Option<String>,
}

type Objects = BTreeMap<ObjectPath, Value>;

/// An in-memory store that keeps the current objects and recent changes.
#[derive(Clone, Debug, Default)]
pub struct ObjectStore {
    version: u64,
    objects: Objects,
    /// Objects as they were at `compacted`.
    base: Objects,
    /// Highest compacted version; changes up to it are no longer kept.
    compacted: u64,
    /// Changes above `compacted`, ordered by version.
    changes: Vec<StoreChange>,
    next_uid: u64,
}

impl ObjectStore {
    /// Creates an empty store at version 1, because 0 means "any" in requests.
    pub fn new() -> Self {
        ObjectStore {
            version: 1,
            compacted: 1,
            ..ObjectStore::default()
        }
    }

    /// Returns the version of the last change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Reads one object.
    ///
    /// # Errors
    ///
    /// 404 if the object does not exist.
    pub fn get(&self, path: &ObjectPath) -> Result<&Value, ApiError> {
        self.objects
            .get(path)
            .ok_or_else(|| ApiError::not_found(path))
    }

    /// Lists a page of at most `limit` objects.
    ///
    /// # Errors
    ///
    /// The token cannot be read, or its version was compacted.
    pub fn list(
        &self,
        collection: &Collection,
        limit: Option<usize>,
        continue_token: Option<&str>,
    ) -> Result<Page, ApiError> {
        let (version, after) = match continue_token {
            Some(token) => parse_token(collection, token)?,
            None => (self.version, None),
        };
        let objects = self.objects_at(version)?;
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut matching = objects
            .range((start, Bound::Unbounded))
            .filter(|(path, _)| collection.contains(path));
        let limit = limit.unwrap_or(usize::MAX).max(1);
        let page: Vec<(&ObjectPath, &Value)> = matching.by_ref().take(limit).collect();
        let last = page.last().map(|(path, _)| *path);
        let continue_token = match (matching.next(), last) {
            (Some(_), Some(last)) => Some(format!("{version}:{}/{}", last.namespace, last.name)),
            _ => None,
        };
        Ok(Page {
            items: page.into_iter().map(|(_, object)| object.clone()).collect(),
            version,
            continue_token,
        })
    }

    /// Returns the changes of a collection above a version.
    ///
    /// # Errors
    ///
    /// Fails if the version was compacted or is newer than the store.
    pub fn changes_after(
        &self,
        collection: &Collection,
        version: u64,
    ) -> Result<Vec<&StoreChange>, ApiError> {
        if version < self.compacted {
            return Err(ApiError::gone(version, self.compacted));
        }
        if version > self.version {
            return Err(ApiError::too_large_version(version, self.version));
        }
        let start = self
            .changes
            .partition_point(|change| change.version <= version);
        let of_collection = |change: &&StoreChange| collection.contains(&change.path);
        Ok(self.changes[start..].iter().filter(of_collection).collect())
    }

    /// Applies a write and returns the resulting object.
    ///
    /// # Errors
    ///
    /// Fails if a precondition of the write does not hold; the store is then
    /// unchanged.
    pub fn write(&mut self, write: &Write) -> Result<Value, ApiError> {
        match &write.target {
            WriteTarget::Create => self.create(write),
            WriteTarget::Spec => self.replace(write, with_new_spec),
            WriteTarget::Status => self.replace(write, with_new_status),
            WriteTarget::Delete => self.delete(write),
        }
    }

    fn create(&mut self, write: &Write) -> Result<Value, ApiError> {
        if self.objects.contains_key(&write.path) {
            return Err(ApiError::already_exists(&write.path));
        }
        if metadata_text(&write.object, "resourceVersion").is_some() {
            let message = "resourceVersion must not be set on a new object";
            return Err(ApiError::bad_request(message));
        }
        let mut object = write.object.clone();
        if let Some(fields) = object.as_object_mut() {
            // The status is only written through the status subresource.
            fields.remove("status");
        }
        self.next_uid += 1;
        object["metadata"]["uid"] = json!(format_uid(self.next_uid));
        object["metadata"]["generation"] = json!(1);
        object["metadata"]["creationTimestamp"] = json!(write.time);
        Ok(self.commit(write.path.clone(), ChangeKind::Added, object))
    }

    fn replace(
        &mut self,
        write: &Write,
        merge: fn(&Value, &Value) -> Value,
    ) -> Result<Value, ApiError> {
        let current = self.get(&write.path)?;
        check_conditions(&write.path, current, &write.object)?;
        let next = merge(current, &write.object);
        // A write that changes nothing creates no version, as in Kubernetes.
        if next == *current {
            return Ok(next);
        }
        Ok(self.commit(write.path.clone(), ChangeKind::Modified, next))
    }

    fn delete(&mut self, write: &Write) -> Result<Value, ApiError> {
        let current = self.get(&write.path)?;
        check_conditions(&write.path, current, &write.object)?;
        let last = current.clone();
        Ok(self.commit(write.path.clone(), ChangeKind::Deleted, last))
    }

    /// Assigns the next version to a change, stores it and returns the object.
    fn commit(&mut self, path: ObjectPath, kind: ChangeKind, mut object: Value) -> Value {
        self.version += 1;
        object["metadata"]["resourceVersion"] = json!(self.version.to_string());
        match kind {
            ChangeKind::Deleted => self.objects.remove(&path),
            ChangeKind::Added | ChangeKind::Modified => {
                self.objects.insert(path.clone(), object.clone())
            }
        };
        self.changes.push(StoreChange {
            version: self.version,
            path,
            kind,
            object: object.clone(),
        });
        self.limit_changes();
        object
    }

    /// Compacts the older half of the changes if there are too many.
    fn limit_changes(&mut self) {
        if self.changes.len() > MAX_CHANGES {
            let middle = self.changes[MAX_CHANGES / 2].version;
            self.compact(middle);
        }
    }

    /// Drops the changes up to a version; watches that start before it end
    /// with 410.
    pub fn compact(&mut self, version: u64) {
        let version = version.min(self.version);
        if version <= self.compacted {
            return;
        }
        let kept = self
            .changes
            .partition_point(|change| change.version <= version);
        for change in self.changes.drain(..kept) {
            apply(&mut self.base, &change);
        }
        self.compacted = version;
    }

    /// Restores the state of an earlier version, like a restore from backup.
    /// With `bump`, numbering continues that much above the highest version so
    /// far and older watches end with 410; without it, version numbers are
    /// reused.
    ///
    /// # Errors
    ///
    /// Fails if the version was compacted or is newer than the store.
    pub fn restore(&mut self, version: u64, bump: Option<u64>) -> Result<(), ApiError> {
        let objects = self.objects_at(version)?.into_owned();
        let highest = self.version;
        self.changes.retain(|change| change.version <= version);
        self.objects = objects;
        self.version = version;
        if let Some(bump) = bump {
            self.version = highest + bump;
            self.compact(self.version);
        }
        Ok(())
    }

    /// Returns the objects as of an earlier version, by replaying the changes.
    fn objects_at(&self, version: u64) -> Result<Cow<'_, Objects>, ApiError> {
        if version < self.compacted {
            return Err(ApiError::gone(version, self.compacted));
        }
        if version > self.version {
            return Err(ApiError::too_large_version(version, self.version));
        }
        if version == self.version {
            return Ok(Cow::Borrowed(&self.objects));
        }
        let mut objects = self.base.clone();
        let up_to = |change: &&StoreChange| change.version <= version;
        for change in self.changes.iter().take_while(up_to) {
            apply(&mut objects, change);
        }
        Ok(Cow::Owned(objects))
    }
}

fn apply(objects: &mut Objects, change: &StoreChange) {
    match change.kind {
        ChangeKind::Deleted => objects.remove(&change.path),
        ChangeKind::Added | ChangeKind::Modified => {
            objects.insert(change.path.clone(), change.object.clone())
        }
    };
}

/// Parses a continue token into the version of the list and the last object
/// of the previous page.
fn parse_token(
    collection: &Collection,
    token: &str,
) -> Result<(u64, Option<ObjectPath>), ApiError> {
    let parts = token.split_once(':').and_then(|(version, rest)| {
        let (namespace, name) = rest.split_once('/')?;
        let last = ObjectPath {
            resource: collection.resource,
            namespace: namespace.to_owned(),
            name: name.to_owned(),
        };
        Some((version.parse().ok()?, Some(last)))
    });
    parts.ok_or_else(|| ApiError::bad_request(format!("continue: '{token}' is not a token")))
}
