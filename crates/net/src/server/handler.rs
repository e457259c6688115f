//! What answers requests.

use std::future::Future;

use http_types::{Request, Response};

use super::report::ConnectionInfo;

/// Answers the requests of a server. Closures are handlers whose requests run
/// one at a time on each connection.
pub trait Handler: Clone + Send + 'static {
    /// The work on one request.
    type ResponseFuture: Future<Output = Response> + Send + 'static;

    /// Begins to answer a request.
    fn handle(&self, request: Request, connection: ConnectionInfo) -> Self::ResponseFuture;

    /// Whether the request may run beside others of its connection that also
    /// may, by its head alone: it changes nothing, so that the order in which
    /// they run does not matter.
    fn may_run_concurrently(&self, _request: &Request) -> bool {
        false
    }
}

impl<H, F> Handler for H
where
    H: Fn(Request, ConnectionInfo) -> F + Clone + Send + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    type ResponseFuture = F;

    fn handle(&self, request: Request, connection: ConnectionInfo) -> F {
        self(request, connection)
    }
}

/// A handler with a rule which requests may run side by side.
#[derive(Clone, Debug)]
pub struct ConcurrentHandler<H, R> {
    /// Answers each request.
    pub handler: H,
    /// Says of a head whether it [runs beside](Handler::may_run_concurrently) others.
    pub may_run_concurrently: R,
}

impl<H, R> Handler for ConcurrentHandler<H, R>
where
    H: Handler,
    R: Fn(&Request) -> bool + Clone + Send + 'static,
{
    type ResponseFuture = H::ResponseFuture;

    fn handle(&self, request: Request, connection: ConnectionInfo) -> Self::ResponseFuture {
        self.handler.handle(request, connection)
    }

    fn may_run_concurrently(&self, request: &Request) -> bool {
        (self.may_run_concurrently)(request)
    }
}
