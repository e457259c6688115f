//! What operators and back ends tell a gateway: routes, services, tenants,
//! limits and back ends, in the product's own terms.
//!
//! Adapters translate the form in which a platform keeps these into the types
//! here; everything else of the product sees these types only.

mod back_end;
mod configuration;
mod key;
mod name;
mod tenant;
mod topology;
mod zone;

pub use back_end::{BackEnd, BackEndName};
pub use configuration::{
    CallerLimits, Configuration, ConfigurationVersion, Destination, Route, Service,
};
pub use key::{KeyRange, ShardKey};
pub use name::{RouteName, ServiceName, TenantName};
pub use tenant::{KeyDigest, RateLimit, Tenant};
pub use topology::{Distance, Topology};
pub use zone::DrainedZone;
