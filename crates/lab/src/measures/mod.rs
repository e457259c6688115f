//! Measures of a run: latency, outcomes, goodput, imbalance, churn, ownership,
//! unavailable time and the time until configuration takes effect.

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
pub use ownership::{OwnershipInterval, ownership};
pub use timeline::{TimelinePoint, back_end_requests, timeline};
pub use unavailable::{Unavailable, unavailable};

/// Namespace of the lab's own services, such as those for direct calls. They
/// are excluded from the measures of the system.
pub const LAB_NAMESPACE: &str = "lab";
