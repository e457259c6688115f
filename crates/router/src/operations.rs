//! The operators' HTTP service and the client of it.
//!
//! The service is defined over [`RouterView`], which the running router
//! implements; nothing here knows how a router is put together.

pub mod client;
pub mod report;
pub mod service;
pub mod signals;
mod text;
pub mod view;

pub use client::{ClientError, OperatorClient};
pub use report::{
    ExplainRequest, Explanation, GroupStatus, MatchedRoute, MemberState, MemberStatus,
    NotReadyReason, Readiness, SelectedBackEnd, ServiceStatus, SessionStatus, SliceOwner,
    StatusReport,
};
pub use service::{OperatorService, ProblemBody, serve};
pub use signals::stop_on_signal;
pub use text::{explanation_text, status_text};
pub use view::{ExplainError, RouterView};
