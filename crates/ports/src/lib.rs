//! Interfaces between a gateway and the platform that it runs on, in the
//! product's own terms: collections that can be listed and watched, records
//! with conditional writes, orders to back ends, and headers.
//!
//! An adapter implements these traits for one platform. It only translates: it
//! makes no decisions, keeps no state and does not retry.

pub mod grants;
pub mod header_codec;
pub mod store;

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use threadledge_coordination::{CoordinatorLease, OwnershipRecord};
use threadledge_limits::HolderRecord;
use threadledge_relay::RelayRecord;
use threadledge_suspects::HeldRecord;
use threadledge_types::deployment::{BackEnd, Configuration, DrainedZone};

pub use grants::GrantTransport;
pub use header_codec::{HeaderCodec, RequestMetadata, ResponseMetadata};
pub use store::{
    Change, Changes, Collection, Entry, Listing, Malformed, Page, PartialListing, RecordStore,
    StoreError,
};

/// Boxed future of a call to the platform.
pub type PortFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// All interfaces of a gateway to its platform.
#[derive(Clone)]
pub struct Ports {
    /// Configurations written by operators; the newest version applies.
    pub configurations: Arc<dyn Collection<Configuration>>,
    /// Registered back ends.
    pub back_ends: Arc<dyn Collection<BackEnd>>,
    /// Zones drained by operators.
    pub drained_zones: Arc<dyn Collection<DrainedZone>>,
    /// Leases of the coordinators, one per service.
    pub leases: Arc<dyn RecordStore<CoordinatorLease>>,
    /// Ownership of keys, one record per service.
    pub ownership: Arc<dyn RecordStore<OwnershipRecord>>,
    /// Relays that watch the store for the other gateways, one record per zone
    /// or region.
    pub relays: Arc<dyn RecordStore<RelayRecord>>,
    /// Machines that may hold shares of the tenants' limits, in one record.
    pub limit_holders: Arc<dyn RecordStore<HolderRecord>>,
    /// Requests that are not sent to any back end, in one record.
    pub held_requests: Arc<dyn RecordStore<HeldRecord>>,
    /// Transport of orders to back ends.
    pub grants: Arc<dyn GrantTransport>,
    /// Codec of the platform's headers.
    pub header_codec: Arc<dyn HeaderCodec>,
}
