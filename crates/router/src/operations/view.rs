//! Interface of a running router to the operators' service.

use thiserror::Error;
use threadledge_types::NotRunReason;

use super::report::{ExplainRequest, Explanation, Readiness, StatusReport};

/// Reason why a request cannot be explained.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ExplainError {
    /// No accepted service has the host.
    #[error("no service answers to host '{host}'; add the host to a service's 'hosts'")]
    UnknownHost {
        /// The requested host.
        host: String,
    },
    /// The service has no route for the path and method.
    #[error("no route of {service} matches {method} {path}; add a route or check the request")]
    NoRoute {
        /// The service.
        service: String,
        /// The requested method.
        method: String,
        /// The requested path.
        path: String,
    },
    /// The request lacks the key of the route.
    #[error("the request lacks the key of route '{route}' ({source_of_key}); add it")]
    MissingKey {
        /// The route.
        route: String,
        /// Part of the request that should contain the key.
        source_of_key: String,
    },
    /// The router has no configuration yet.
    #[error("this router has no confirmed configuration yet; ask again or ask another router")]
    NotReady,
}

impl ExplainError {
    /// Returns the reason that a caller would receive.
    pub const fn reason(&self) -> NotRunReason {
        match self {
            ExplainError::UnknownHost { .. } | ExplainError::NoRoute { .. } => {
                NotRunReason::NoRoute
            }
            ExplainError::MissingKey { .. } => NotRunReason::MissingKey,
            ExplainError::NotReady => NotRunReason::NotReady,
        }
    }
}

/// State and controls of a running router that are available to operators.
pub trait RouterView: Send + Sync + 'static {
    /// Returns the current state of the router.
    fn status(&self) -> StatusReport;

    /// Explains how a request would be routed.
    ///
    /// # Errors
    ///
    /// Fails if the request would not reach a slice.
    fn explain(&self, request: &ExplainRequest) -> Result<Explanation, ExplainError>;

    /// Returns whether the router accepts new requests.
    fn readiness(&self) -> Readiness;

    /// Starts a planned stop and logs the event. Further calls have no effect.
    fn start_drain(&self);
}
