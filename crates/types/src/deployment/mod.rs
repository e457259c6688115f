//! Routes, services, tenants, limits and back ends of a gateway deployment.
//!
//! These types are independent of the platform that stores them. Adapters
//! convert the platform's representation to these types; all other crates use
//! only these.

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
