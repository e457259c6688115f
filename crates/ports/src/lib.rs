//! What a gateway needs of the platform that it runs on, in the product's own
//! terms: collections that can be read and watched, records that can be
//! written on a condition, orders to back ends, and the wording of headers.
//!
//! An adapter implements these traits for one platform. It translates and
//! nothing else: it decides nothing, keeps nothing and repeats nothing.

pub mod grants;
pub mod store;
pub mod header_codec;

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use threadledge_coordination::{CoordinatorLease, OwnershipRecord};
use threadledge_limits::HolderRecord;
use threadledge_relay::RelayRecord;
use threadledge_suspects::HeldRecord;
use threadledge_types::deployment::{BackEnd, Configuration, DrainedZone};

pub use grants::GrantTransport;
pub use store::{
    Change, Changes, Collection, Entry, Listing, Malformed, Page, RecordStore, StoreError,
};
pub use header_codec::{ResponseMetadata, RequestMetadata, HeaderCodec};

/// A call under way.
pub type PortFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Everything that a gateway needs of its platform.
#[derive(Clone)]
pub struct Ports {
    /// What operators want; the newest version counts.
    pub configurations: Arc<dyn Collection<Configuration>>,
    /// Back ends that are registered.
    pub back_ends: Arc<dyn Collection<BackEnd>>,
    /// Zones that the operator drained.
    pub drained_zones: Arc<dyn Collection<DrainedZone>>,
    /// Who coordinates each service.
    pub leases: Arc<dyn RecordStore<CoordinatorLease>>,
    /// Who owns the keys of each service.
    pub ownership: Arc<dyn RecordStore<OwnershipRecord>>,
    /// Who watches the store for each zone.
    pub relays: Arc<dyn RecordStore<RelayRecord>>,
    /// Which machines may hold shares of tenants' limits, in one object.
    pub limit_holders: Arc<dyn RecordStore<HolderRecord>>,
    /// Requests that are sent to no back end, in one object.
    pub held_requests: Arc<dyn RecordStore<HeldRecord>>,
    /// Orders to back ends.
    pub grants: Arc<dyn GrantTransport>,
    /// The wording of headers.
    pub header_codec: Arc<dyn HeaderCodec>,
}
