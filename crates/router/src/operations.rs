//! The operators' HTTP service and its client.
//!
//! The service uses the trait [`RouterView`], which the running router
//! implements, and does not depend on how a router is composed.

pub mod client;
pub mod report;
pub mod service;
pub mod signals;
mod text;
pub mod view;

pub use client::{ClientError, OperatorClient};
pub use report::{
    ExplainRequest, ExplainedRoute, Explanation, GroupStatus, MemberState, MemberStatus,
    NotReadyReason, Readiness, SelectedBackEnd, ServiceStatus, SessionStatus, SliceOwner,
    StatusReport,
};
pub use service::{OperatorService, ProblemBody, serve};
pub use signals::stop_on_signal;
pub use text::{explanation_text, status_text};
pub use view::{ExplainError, RouterView};
