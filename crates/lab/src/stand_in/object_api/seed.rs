//! Loads the initial objects from a directory of JSON files.

use std::io;
use std::path::{Path, PathBuf};

use serde_json::Value;
use threadledge_types::validation::split_document;

use super::operation::{Write, metadata_text};
use super::path::{Collection, Resource};
use super::store::ObjectStore;

/// Loading the initial objects failed.
#[derive(Debug, thiserror::Error)]
pub enum SeedError {
    /// A file cannot be read.
    #[error("{path}: cannot be read ({source}); check the path and its permissions")]
    Io {
        /// The file or directory.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A file is not valid JSON.
    #[error("{path}: is not JSON ({source}); correct the file")]
    Json {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: serde_json::Error,
    },
    /// An object is invalid.
    #[error("{path}: {message}; correct the object")]
    Object {
        /// The file.
        path: PathBuf,
        /// Description of the problem.
        message: String,
    },
}

/// Reads every `.json` file of a directory, in the order of their names. A
/// file holds one object or a list with `items`.
///
/// # Errors
///
/// Fails if a file cannot be read or is not valid JSON.
pub fn read_objects(directory: &Path) -> Result<Vec<(PathBuf, Value)>, SeedError> {
    let mut objects = Vec::new();
    for path in json_files(directory)? {
        let text = std::fs::read(&path).map_err(|source| io_error(&path, source))?;
        let value: Value = serde_json::from_slice(&text).map_err(|source| SeedError::Json {
            path: path.clone(),
            source,
        })?;
        let of_file = |object| (path.clone(), object);
        objects.extend(split_document(value).into_iter().map(of_file));
    }
    Ok(objects)
}

/// Creates objects in a store.
///
/// # Errors
///
/// Fails if an object is invalid or already exists.
pub fn create_objects(
    store: &mut ObjectStore,
    objects: impl IntoIterator<Item = (PathBuf, Value)>,
    time: &str,
) -> Result<(), SeedError> {
    for (path, object) in objects {
        create(store, object, time).map_err(|message| SeedError::Object { path, message })?;
    }
    Ok(())
}

fn create(store: &mut ObjectStore, object: Value, time: &str) -> Result<(), String> {
    let kind = object["kind"].as_str().unwrap_or_default();
    let resource = Resource::from_kind(kind).ok_or_else(|| format!("kind '{kind}' is unknown"))?;
    let collection = Collection {
        resource,
        namespace: metadata_text(&object, "namespace").map(str::to_owned),
    };
    let created =
        Write::create(&collection, object, time.to_owned()).and_then(|write| store.write(&write));
    created.map(|_| ()).map_err(|error| error.message)
}

fn json_files(directory: &Path) -> Result<Vec<PathBuf>, SeedError> {
    let entries = std::fs::read_dir(directory).map_err(|source| io_error(directory, source))?;
    let mut files = Vec::new();
    for entry in entries {
        let path = entry.map_err(|source| io_error(directory, source))?.path();
        if path
            .extension()
            .is_some_and(|extension| extension == "json")
        {
            files.push(path);
        }
    }
    files.sort();
    Ok(files)
}

fn io_error(path: &Path, source: io::Error) -> SeedError {
    SeedError::Io {
        path: path.to_owned(),
        source,
    }
}
