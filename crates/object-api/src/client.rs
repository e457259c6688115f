//! Lists, watches, reads and writes objects.

use std::net::SocketAddr;

use kube_core::Request;
use kube_core::params::{DeleteParams, GetParams, ListParams, PostParams, WatchParams};
use serde::Deserialize;
use serde_json::Value;

use crate::error::{PlatformError, PlatformErrorKind};
use crate::resource::{ApiObject, ObjectKey, Scope, StoredObject, parse_version};
use crate::transport::{Operation, Transport, TransportSettings};
use crate::watch::EventStream;

/// Number of objects per page of a list.
const PAGE_SIZE: u32 = 500;
/// Maximum number of pages of a list: a store that never ends a list must not
/// occupy a reader forever.
const MAX_PAGES: usize = 1_000;
/// Seconds after which the store ends a watch, so that a dead connection is
/// noticed in bounded time.
const WATCH_SECONDS: u32 = 290;
const STATUS: &str = "status";

/// All objects of a scope at one version of the store.
#[derive(Clone, Debug)]
pub struct ObjectList<K> {
    /// The objects, in the order of the store.
    pub items: Vec<StoredObject<K>>,
    /// Version of the store at which the list was taken.
    pub resource_version: u64,
}

/// Client of the object API.
#[derive(Clone, Debug)]
pub struct ObjectClient {
    transport: Transport,
}

/// Fields of a list page that are read here. Each item is parsed separately.
#[derive(Deserialize)]
struct Page {
    metadata: PageMetadata,
    #[serde(default)]
    items: Vec<Value>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct PageMetadata {
    resource_version: String,
    #[serde(default, rename = "continue")]
    continue_token: Option<String>,
}

impl ObjectClient {
    /// Creates a client of the object API at `address`.
    pub fn new(address: SocketAddr, settings: TransportSettings) -> Self {
        ObjectClient {
            transport: Transport::new(address, settings),
        }
    }

    /// Lists all objects of a scope, page by page.
    ///
    /// # Errors
    ///
    /// [`PlatformErrorKind::Gone`] if the store compacted the version between
    /// two pages: list again.
    pub async fn list<K: ApiObject>(&self, scope: &Scope) -> Result<ObjectList<K>, PlatformError> {
        let request = Request::new(scope.path::<K>());
        let mut items = Vec::new();
        let mut token: Option<String> = None;
        for _ in 0..MAX_PAGES {
            let mut params = ListParams::default().limit(PAGE_SIZE);
            params.continue_token = token.take();
            let request = build(request.list(&params))?;
            let operation = Operation::of(&request);
            let body = self.transport.exchange(request).await?;
            let page: Page = read_json(&operation, &body)?;
            for value in &page.items {
                let item =
                    StoredObject::read(value).map_err(|text| bad_response(&operation, text))?;
                items.push(item);
            }
            token = page
                .metadata
                .continue_token
                .filter(|token| !token.is_empty());
            if token.is_none() {
                let resource_version = parse_version(&page.metadata.resource_version)
                    .map_err(|text| bad_response(&operation, text))?;
                return Ok(ObjectList {
                    items,
                    resource_version,
                });
            }
        }
        let kind =
            PlatformErrorKind::BadAnswer(format!("the list has more than {MAX_PAGES} pages"));
        Err(PlatformError::without_effect("list", kind))
    }

    /// Watches a scope for changes after a version.
    ///
    /// # Errors
    ///
    /// [`PlatformErrorKind::Gone`] if the store no longer has the version; this
    /// may also be reported as an event of the stream.
    pub async fn watch<K: ApiObject>(
        &self,
        scope: &Scope,
        from_version: u64,
    ) -> Result<EventStream<K>, PlatformError> {
        let params = WatchParams::default().timeout(WATCH_SECONDS);
        let request = Request::new(scope.path::<K>());
        let request = build(request.watch(&params, &from_version.to_string()))?;
        let response = self.transport.open(request).await?;
        let max_line_bytes = self.transport.settings().max_response_bytes;
        Ok(EventStream::new(response, max_line_bytes))
    }

    /// Reads one object.
    ///
    /// # Errors
    ///
    /// [`PlatformErrorKind::NotFound`] if it does not exist.
    pub async fn get<K: ApiObject>(
        &self,
        key: &ObjectKey,
    ) -> Result<StoredObject<K>, PlatformError> {
        let request = collection::<K>(key).get(&key.name, &GetParams::default());
        self.exchange_object(build(request)?).await
    }

    /// Creates an object.
    ///
    /// # Errors
    ///
    /// [`PlatformErrorKind::AlreadyExists`] if the name is taken.
    pub async fn create<K: ApiObject>(&self, object: &K) -> Result<StoredObject<K>, PlatformError> {
        let key = ObjectKey::of(object.metadata());
        let body = write_json(object)?;
        let request = collection::<K>(&key).create(&PostParams::default(), body);
        self.exchange_object(build(request)?).await
    }

    /// Replaces an object if it still has the version that `object` carries.
    /// Without a version the write is unconditional, which routers never use.
    ///
    /// # Errors
    ///
    /// [`PlatformErrorKind::Conflict`] if it has another version.
    pub async fn replace<K: ApiObject>(
        &self,
        object: &K,
    ) -> Result<StoredObject<K>, PlatformError> {
        let key = ObjectKey::of(object.metadata());
        let body = write_json(object)?;
        let request = collection::<K>(&key).replace(&key.name, &PostParams::default(), body);
        self.exchange_object(build(request)?).await
    }

    /// Replaces the status of an object, under the same condition.
    ///
    /// # Errors
    ///
    /// [`PlatformErrorKind::Conflict`] if it has another version.
    pub async fn replace_status<K: ApiObject>(
        &self,
        object: &K,
    ) -> Result<StoredObject<K>, PlatformError> {
        let key = ObjectKey::of(object.metadata());
        let body = write_json(object)?;
        let params = PostParams::default();
        let request = collection::<K>(&key).replace_subresource(STATUS, &key.name, &params, body);
        self.exchange_object(build(request)?).await
    }

    /// Deletes an object.
    ///
    /// # Errors
    ///
    /// [`PlatformErrorKind::NotFound`] if it does not exist.
    pub async fn delete<K: ApiObject>(&self, key: &ObjectKey) -> Result<(), PlatformError> {
        let request = collection::<K>(key).delete(&key.name, &DeleteParams::default());
        self.transport.exchange(build(request)?).await?;
        Ok(())
    }

    async fn exchange_object<K: ApiObject>(
        &self,
        request: http::Request<Vec<u8>>,
    ) -> Result<StoredObject<K>, PlatformError> {
        let operation = Operation::of(&request);
        let body = self.transport.exchange(request).await?;
        let value: Value = read_json(&operation, &body)?;
        StoredObject::read(&value).map_err(|text| bad_response(&operation, text))
    }
}

fn collection<K: ApiObject>(key: &ObjectKey) -> Request {
    let scope = Scope::Namespace(key.namespace.clone());
    Request::new(scope.path::<K>())
}

fn build(
    request: Result<http::Request<Vec<u8>>, kube_core::request::Error>,
) -> Result<http::Request<Vec<u8>>, PlatformError> {
    request.map_err(|error| {
        let kind = PlatformErrorKind::BadRequest(error.to_string());
        PlatformError::without_effect("build request", kind)
    })
}

fn write_json<K: ApiObject>(object: &K) -> Result<Vec<u8>, PlatformError> {
    serde_json::to_vec(object).map_err(|error| {
        let kind = PlatformErrorKind::BadRequest(error.to_string());
        PlatformError::without_effect("write object", kind)
    })
}

fn read_json<T: serde::de::DeserializeOwned>(
    operation: &Operation,
    body: &[u8],
) -> Result<T, PlatformError> {
    serde_json::from_slice(body).map_err(|error| bad_response(operation, error.to_string()))
}

/// Builds the error for an invalid response, which says nothing about the
/// effect of a write.
fn bad_response(operation: &Operation, text: String) -> PlatformError {
    operation.unknown_effect(PlatformErrorKind::BadAnswer(text))
}
