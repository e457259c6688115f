//! Probes processes at which an attempt broke. A process that has ended does
//! not answer; one whose connection was reset, whose response was lost or that
//! is full answers this probe or a later one.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use http_types::headers::{CONNECTION, HOST};
use http_types::{Method, Request, Response, Url};
use threadledge_dispatch::dispatcher::ProcessCheck;
use threadledge_dispatch::outcome::{Fault, Rejection};
use threadledge_net::{Instant, status, timer};
use threadledge_paths::Search;
use threadledge_ports::HeaderCodec;
use threadledge_types::Timestamp;

use super::super::links::{BackEndLinks, Target};
use super::{Finding, SuspectService};
use crate::events::{EventId, emit};

/// Delays before the probes of a process whose connection broke. The kernel
/// closes the sockets of an ended process one after the other: one connection
/// may break while another can still be opened.
const DELAYS_AFTER_BREAK: [Duration; 2] = [Duration::from_millis(5), Duration::from_millis(150)];
/// Delays before the probes of a process that did not answer. Most are only
/// slow, and answer some request during the first delay.
const DELAYS_AFTER_TIMEOUT: [Duration; 2] =
    [Duration::from_millis(200), Duration::from_millis(150)];
/// Response timeout. A probe queues in the back end as a request does; a back
/// end that needs longer is cleared by its next response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time without a response after which the path to the process is checked.
const PATH_PATIENCE: Duration = Duration::from_millis(150);

/// Task that starts a probe for each suspected process.
pub(super) struct ProcessProber {
    pub(super) service: SuspectService,
    pub(super) header_codec: Arc<dyn HeaderCodec>,
    pub(super) links: BackEndLinks,
    pub(super) findings: async_channel::Receiver<Finding>,
}

/// Result of one probe.
enum ProbeResult {
    /// The process answers.
    Running,
    /// Another process runs at its address, or the address accepts no
    /// connections from a gateway that reaches other back ends.
    Ended,
    /// The connection was closed without a response: the process is full, or a
    /// proxy in front of it accepts connections although it has ended.
    Closed,
    /// There is no way to the process.
    NoWay,
    /// The process did not answer in time.
    Silent,
}

impl ProcessProber {
    /// Handles findings until their channel is closed.
    pub(super) async fn run(self) {
        while let Ok(finding) = self.findings.recv().await {
            match finding {
                Finding::Crashes => self.service.record_crashes(),
                Finding::BrokenAttempt(check) => {
                    let probe = Probe {
                        service: self.service.clone(),
                        header_codec: self.header_codec.clone(),
                        links: self.links.clone(),
                        check,
                    };
                    task::spawn(probe.run());
                }
            }
        }
    }
}

/// The series of probes of one process.
struct Probe {
    service: SuspectService,
    header_codec: Arc<dyn HeaderCodec>,
    links: BackEndLinks,
    check: ProcessCheck,
}

impl Probe {
    async fn run(self) {
        let delays = match self.check.silent {
            true => DELAYS_AFTER_TIMEOUT,
            false => DELAYS_AFTER_BREAK,
        };
        let mut result = ProbeResult::NoWay;
        for delay in delays {
            timer::sleep(delay).await;
            if !self.is_unconfirmed() {
                return;
            }
            let sent = self.service.dispatch.clock().now();
            result = self.send().await;
            match result {
                ProbeResult::Ended => break,
                ProbeResult::Running => return self.record_running(sent),
                ProbeResult::Closed | ProbeResult::NoWay | ProbeResult::Silent => {}
            }
        }
        match result {
            ProbeResult::Ended => self.record_ended(),
            // An open connection may be silent because its path is cut.
            ProbeResult::Silent if self.links.can_connect(self.check.address).await => {
                self.record_ended();
            }
            ProbeResult::Closed => self.record_closed(),
            ProbeResult::Silent | ProbeResult::NoWay | ProbeResult::Running => {}
        }
    }

    fn is_unconfirmed(&self) -> bool {
        let process = &self.check.process;
        let dispatch = &self.service.dispatch;
        dispatch.with(|dispatcher, _now| dispatcher.is_unconfirmed(process))
    }

    fn record_running(&self, sent: Timestamp) {
        let process = &self.check.process;
        self.service.dispatch.with(|dispatcher, _now| {
            dispatcher.process_answered(sent, process);
        });
    }

    /// A registration decides later. Invariant: until then others are told, since
    /// this gateway may end before it knows for certain.
    fn record_closed(&self) {
        let process = &self.check.process;
        self.service
            .dispatch
            .with(|dispatcher, _now| dispatcher.presume_ended(process));
    }

    fn record_ended(&self) {
        let process = &self.check.process;
        self.service
            .dispatch
            .with(|dispatcher, _now| dispatcher.process_ended(process));
    }

    async fn send(&self) -> ProbeResult {
        let deadline = Instant::now() + RESPONSE_TIMEOUT;
        let response = match self.exchange(deadline).await {
            Ok(response) => response,
            Err(Fault::Unreachable) => return ProbeResult::Ended,
            Err(Fault::TimedOut) => return ProbeResult::Silent,
            Err(Fault::Broken | Fault::NothingSent | Fault::BadAnswer) => {
                return ProbeResult::Closed;
            }
            Err(_) => return ProbeResult::NoWay,
        };
        let status = status::code(&response);
        let head = self
            .header_codec
            .read_response(status, response.as_ref(), &self.check.process);
        match head.not_run {
            Some(Rejection::OtherInstance) => ProbeResult::Ended,
            _ => ProbeResult::Running,
        }
    }

    /// Sends the probe. Invariant: while the own path is lost, all other gateways
    /// are asked before the process counts as ended.
    async fn exchange(&self, deadline: Instant) -> Result<Response, Fault> {
        let service = self.links.service_of(&self.check.process);
        let distance = self.links.distance_of(self.check.address);
        let target = Target {
            name: self.check.process.clone(),
            service: service.ok_or(Fault::CutOff)?,
            address: self.check.address,
            distance: distance.ok_or(Fault::CutOff)?,
            connection_limit: None,
            request: None,
        };
        while Instant::now() < deadline {
            let request = self.request().ok_or(Fault::CutOff)?;
            let link = self
                .links
                .open(target.clone(), deadline, Search::Exhaustive)
                .await?;
            match link.exchange(request, deadline, PATH_PATIENCE).await {
                Err(Fault::PathFailed) => continue,
                ended => return ended,
            }
        }
        Err(Fault::PathFailed)
    }

    fn request(&self) -> Option<Request> {
        let ProcessCheck {
            process,
            address,
            health_path,
            ..
        } = &self.check;
        let url = Url::parse(&format!("http://{address}{health_path}")).ok()?;
        let mut request = Request::new(Method::Get, url);
        request.insert_header(HOST, address.to_string());
        request.insert_header(CONNECTION, "close");
        self.header_codec
            .set_target(&mut request, RESPONSE_TIMEOUT, process);
        Some(request)
    }
}

impl SuspectService {
    /// Records the crashes that this gateway found, and logs those that are
    /// certain.
    pub(super) fn record_crashes(&self) {
        let (crashes, known) = self.dispatch.with(|dispatcher, _now| {
            let known = dispatcher.suspects().requests();
            (dispatcher.take_crashes(), known)
        });
        let mut own = self.own_findings.lock();
        own.retain(|request| known.contains(request));
        own.extend(crashes.iter().map(|crash| crash.identity.request));
        drop(own);
        for crash in crashes.iter().filter(|crash| !crash.presumed) {
            emit!(
                EventId::CrashedUnderRequest,
                back_end = %crash.process,
                identity = %crash.identity.request,
                request = crash.label,
            );
        }
        self.log.log_changes(&self.dispatch, "own");
    }
}
