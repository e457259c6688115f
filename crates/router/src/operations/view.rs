//! What the operators' service asks of a running router.

use thiserror::Error;
use threadledge_types::NotRunReason;

use super::report::{ExplainRequest, Explanation, Readiness, StatusReport};

/// Why a request cannot be explained further.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ExplainError {
    /// No accepted service claims the host.
    #[error("no service answers to host '{host}'; add the host to a service's 'hosts'")]
    UnknownHost {
        /// The host asked for.
        host: String,
    },
    /// The service has no route for the path and method.
    #[error("no route of {service} matches {method} {path}; add a route or check the request")]
    NoRoute {
        /// The service.
        service: String,
        /// The method asked for.
        method: String,
        /// The path asked for.
        path: String,
    },
    /// The route's key is not in the request.
    #[error("the request lacks the key of route '{route}' ({source_of_key}); add it")]
    MissingKey {
        /// The route.
        route: String,
        /// Where the key should stand.
        source_of_key: String,
    },
    /// The router holds no configuration yet.
    #[error("this router has no confirmed configuration yet; ask again or ask another router")]
    NotReady,
}

impl ExplainError {
    /// The reason a caller would be told.
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

/// The running router, as its operators may see and command it.
pub trait RouterView: Send + Sync + 'static {
    /// The router's state now.
    fn status(&self) -> StatusReport;

    /// What would become of a request.
    ///
    /// # Errors
    ///
    /// The request would not reach a slice.
    fn explain(&self, request: &ExplainRequest) -> Result<Explanation, ExplainError>;

    /// Whether the router takes new work.
    fn readiness(&self) -> Readiness;

    /// Starts a planned stop and writes the event; a second call changes
    /// nothing.
    fn start_drain(&self);
}
