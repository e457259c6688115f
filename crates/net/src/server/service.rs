//! State shared by the requests of one connection.

use std::sync::Arc;

use http_types::Request;

use super::handler::Handler;
use super::limits::ServerLimits;
use super::report::{ConnectionGuard, ConnectionInfo, CounterKind};
use crate::Instant;
use crate::stop::StopSignal;

/// Handler, limits and signals of the server, together with the data of one
/// connection.
pub(super) struct Service<H> {
    pub(super) handler: H,
    pub(super) info: ConnectionInfo,
    pub(super) limits: Arc<ServerLimits>,
    pub(super) stop: StopSignal,
    pub(super) guard: ConnectionGuard,
}

impl<H: Handler> Service<H> {
    /// Starts handling a request that arrived at `read_at`, with
    /// `unanswered_before` earlier requests of the connection unanswered.
    pub(super) fn handle(
        &self,
        request: Request,
        read_at: Instant,
        unanswered_before: usize,
    ) -> H::ResponseFuture {
        self.guard.count(CounterKind::Request, 1);
        let connection = ConnectionInfo {
            read_at,
            unanswered_before,
            ..self.info
        };
        self.handler.handle(request, connection)
    }
}
