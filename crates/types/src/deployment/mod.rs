//! What operators and back ends tell a gateway: routes, services, limits and
//! back ends, in the product's own terms.
//!
//! Adapters translate the form in which a platform keeps these into the types
//! here; everything else of the product sees these types only.

mod back_end;
mod configuration;
mod key;
mod zone;

pub use back_end::{BackEnd, BackEndName};
pub use configuration::{
    CallerLimits, Configuration, ConfigurationVersion, Destination, Route, RouteName, Service,
    ServiceName,
};
pub use key::{KeyRange, ShardKey};
pub use zone::DrainedZone;
