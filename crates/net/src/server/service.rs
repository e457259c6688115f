//! What the requests of one connection have in common.

use std::sync::Arc;

use http_types::Request;

use super::handler::Handler;
use super::limits::ServerLimits;
use super::report::{ConnectionGuard, ConnectionInfo, CounterKind};
use crate::Instant;
use crate::stop::StopSignal;

/// The server as one connection sees it.
pub(super) struct Service<H> {
    pub(super) handler: H,
    pub(super) info: ConnectionInfo,
    pub(super) limits: Arc<ServerLimits>,
    pub(super) stop: StopSignal,
    pub(super) guard: ConnectionGuard,
}

impl<H: Handler> Service<H> {
    /// Begins to answer a request that came at `read_at` behind others.
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
