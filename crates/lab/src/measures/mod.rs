//! What a run is measured by: latency and outcomes, imbalance, churn,
//! unavailable time and how fast configuration comes into force.

mod churn;
mod configuration;
mod goodput;
mod imbalance;
mod latency;
mod outcomes;
mod ownership;
mod timeline;
mod unavailable;

pub use churn::{Churn, churn};
pub use configuration::configuration_in_force_ms;
pub use goodput::{Goodput, goodput, goodput_share};
pub use imbalance::{Imbalance, imbalance};
pub use latency::{Latencies, LatencySummary, latencies};
pub use outcomes::{Outcomes, outcomes};
pub use ownership::{OwnershipStretch, ownership};
pub use timeline::{TimelinePoint, back_end_requests, timeline};
pub use unavailable::{Unavailable, unavailable};

/// Namespace of what the lab itself serves, left out of the measures of the
/// system.
pub const LAB_NAMESPACE: &str = "lab";
