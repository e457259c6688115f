//! Logs requests: every failure, and a sample of the successes.

use std::fmt::Write;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use http_types::Request;
use threadledge_dispatch::{AttemptEnd, Outcome, StartedExchange};
use threadledge_net::{Instant, target};
use threadledge_ports::RequestMetadata;
use threadledge_suspects::RequestHash;
use threadledge_types::deployment::{BackEndName, RouteName, ServiceName, TenantName};

use super::exchange::PastAttempt;
use crate::events::{EventId, emit};

/// Maximum attempts listed in the log line of one request.
const MAX_LOGGED_ATTEMPTS: usize = 6;

/// One in this many plain successes is logged.
const SUCCESS_SAMPLE_INTERVAL: u64 = 64;
/// Maximum request lines per second.
const MAX_LINES_PER_SECOND: u64 = 50;

/// Content of the log line of one request.
pub(super) struct RequestLine {
    started: Instant,
    id: Option<String>,
    /// Address from which the caller connected.
    from: IpAddr,
    key: Option<u16>,
    path: String,
    /// Tenant of the caller.
    pub(super) tenant: Option<TenantName>,
    /// Identity of the request, which stays the same when the caller sends it
    /// again.
    pub(super) identity: Option<RequestHash>,
    pub(super) route: Option<RouteName>,
    pub(super) service: Option<ServiceName>,
    pub(super) outcome: &'static str,
    pub(super) status: u16,
    pub(super) back_end: Option<BackEndName>,
    /// The gateway that forwarded the request, unless it was sent directly.
    pub(super) forwarder: Option<SocketAddr>,
    pub(super) attempts: Vec<PastAttempt>,
}

impl RequestLine {
    pub(super) fn new(
        request: &Request,
        caller: &RequestMetadata,
        from: IpAddr,
        started: Instant,
    ) -> Self {
        RequestLine {
            started,
            id: caller.request_id.clone(),
            from,
            key: caller.key.map(|key| key.0),
            path: target::path(request).to_owned(),
            tenant: None,
            identity: None,
            route: None,
            service: None,
            outcome: "unfinished",
            status: 0,
            back_end: None,
            forwarder: None,
            attempts: Vec::new(),
        }
    }

    pub(super) fn record_start(&mut self, exchange: &StartedExchange) {
        self.route = Some(exchange.route.name.clone());
        self.service = Some(exchange.service.clone());
        if exchange.in_transit {
            self.forget_content();
        }
    }

    /// Removes everything that tells what was requested.
    pub(super) fn forget_content(&mut self) {
        self.path.clear();
        self.identity = None;
        self.key = None;
    }

    pub(super) fn record_own_outcome(&mut self, outcome: &Outcome) {
        self.outcome = match outcome {
            Outcome::Refused(refusal) => refusal.reason.as_str(),
            Outcome::Unknown(reason) => reason.as_str(),
        };
    }

    pub(super) fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    fn is_plain_success(&self) -> bool {
        self.outcome == "answered" && self.attempts.is_empty() && self.status < 500
    }

    /// Lists the attempts that did not provide the response: back end, result,
    /// and time in milliseconds after the request head.
    fn attempts_text(&self) -> String {
        let mut text = String::new();
        for attempt in self.attempts.iter().take(MAX_LOGGED_ATTEMPTS) {
            let at = attempt.at.saturating_duration_since(self.started);
            let end = end_text(&attempt.end);
            let separator = if text.is_empty() { "" } else { "; " };
            // Writing to a string cannot fail.
            let _ = write!(
                text,
                "{separator}{} {end}{} at {} ms",
                attempt.back_end,
                through_text(attempt.forwarder),
                at.as_millis()
            );
        }
        let more = self.attempts.len().saturating_sub(MAX_LOGGED_ATTEMPTS);
        if more > 0 {
            let _ = write!(text, "; {more} more");
        }
        text
    }
}

fn through_text(forwarder: Option<SocketAddr>) -> String {
    forwarder.map_or_else(String::new, |forwarder| format!(" through {forwarder}"))
}

fn end_text(end: &AttemptEnd) -> String {
    match end {
        AttemptEnd::Answered { .. } => "failed".to_owned(),
        AttemptEnd::NotRun { reason, .. } => format!("not run ({reason:?})"),
        AttemptEnd::Failed(fault) => format!("{fault:?}"),
        AttemptEnd::Abandoned => "abandoned".to_owned(),
    }
}

/// Writes request lines to the log, sampled and rate-limited.
#[derive(Debug)]
pub(super) struct RequestLogger {
    origin: Instant,
    second: AtomicU64,
    written: AtomicU64,
    plain_successes: AtomicU64,
    pub(super) dropped: AtomicU64,
}

impl RequestLogger {
    pub(super) fn new() -> Self {
        RequestLogger {
            origin: Instant::now(),
            second: AtomicU64::new(0),
            written: AtomicU64::new(0),
            plain_successes: AtomicU64::new(0),
            dropped: AtomicU64::new(0),
        }
    }

    pub(super) fn write(&self, line: &RequestLine) {
        if line.is_plain_success()
            && !self
                .plain_successes
                .fetch_add(1, Ordering::Relaxed)
                .is_multiple_of(SUCCESS_SAMPLE_INTERVAL)
        {
            return;
        }
        if !self.has_room() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let text = |name: Option<&str>| name.unwrap_or_default().to_owned();
        emit!(
            EventId::RequestEnded,
            request = text(line.id.as_deref()),
            from = %line.from,
            route = text(line.route.as_ref().map(RouteName::as_str)),
            service = text(line.service.as_ref().map(ServiceName::as_str)),
            tenant = line.tenant.as_ref().map(TenantName::as_str),
            path = line.path,
            identity = line.identity.map(|identity| identity.to_string()),
            key = line.key,
            outcome = line.outcome,
            status = line.status,
            back_end = text(line.back_end.as_ref().map(BackEndName::as_str)),
            through = line.forwarder.map(|forwarder| forwarder.to_string()),
            ms = line.elapsed().as_millis() as u64,
            attempts = line.attempts_text(),
        );
    }

    fn has_room(&self) -> bool {
        let second = self.origin.elapsed().as_secs();
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.written.store(0, Ordering::Relaxed);
        }
        self.written.fetch_add(1, Ordering::Relaxed) < MAX_LINES_PER_SECOND
    }
}
