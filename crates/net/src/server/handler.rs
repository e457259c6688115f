//! What answers requests.

use std::future::Future;

use http_types::{Request, Response};

use super::report::ConnectionInfo;

/// Answers the requests of a server. Closures are handlers whose requests run
/// one at a time on each connection.
pub trait Handler: Clone + Send + 'static {
    /// The work on one request.
    type Answering: Future<Output = Response> + Send + 'static;

    /// Begins to answer a request.
    fn answer(&self, request: Request, connection: ConnectionInfo) -> Self::Answering;

    /// Whether the request may run beside others of its connection that also
    /// may, by its head alone: it changes nothing, so that the order in which
    /// they run does not matter.
    fn runs_beside(&self, _request: &Request) -> bool {
        false
    }
}

impl<H, F> Handler for H
where
    H: Fn(Request, ConnectionInfo) -> F + Clone + Send + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    type Answering = F;

    fn answer(&self, request: Request, connection: ConnectionInfo) -> F {
        self(request, connection)
    }
}

/// A handler with a rule which requests may run side by side.
#[derive(Clone, Debug)]
pub struct SideBySide<H, R> {
    /// Answers each request.
    pub handler: H,
    /// Says of a head whether it [runs beside](Handler::runs_beside) others.
    pub rule: R,
}

impl<H, R> Handler for SideBySide<H, R>
where
    H: Handler,
    R: Fn(&Request) -> bool + Clone + Send + 'static,
{
    type Answering = H::Answering;

    fn answer(&self, request: Request, connection: ConnectionInfo) -> Self::Answering {
        self.handler.answer(request, connection)
    }

    fn runs_beside(&self, request: &Request) -> bool {
        (self.rule)(request)
    }
}
