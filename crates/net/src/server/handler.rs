//! Request handlers.

use std::future::Future;

use http_types::{Request, Response};

use super::report::ConnectionInfo;

/// Handles the requests of a server. Closures are handlers whose requests run
/// one at a time on each connection.
pub trait Handler: Clone + Send + 'static {
    /// Future that resolves to the response.
    type ResponseFuture: Future<Output = Response> + Send + 'static;

    /// Starts handling a request.
    fn handle(&self, request: Request, connection: ConnectionInfo) -> Self::ResponseFuture;

    /// Whether the request may run concurrently with other such requests of its
    /// connection. Decided from its head alone: true only if it changes
    /// nothing, so that the order of execution does not matter.
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

/// Handler combined with a predicate that selects the requests that may run
/// concurrently.
#[derive(Clone, Debug)]
pub struct ConcurrentHandler<H, R> {
    /// Handles each request.
    pub handler: H,
    /// Implements [`Handler::may_run_concurrently`].
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
