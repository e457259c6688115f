//! Looks at processes at which an attempt broke. One that has ended does not
//! answer; one whose link was reset, whose answer was lost or that is full
//! does, on this occasion or later.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task;
use http_types::headers::{CONNECTION, HOST};
use http_types::{Method, Request, Url};
use threadledge_dispatch::dispatcher::Look;
use threadledge_dispatch::outcome::Rejection;
use threadledge_net::{Pool, PoolSettings, timer};
use threadledge_ports::Wording;

use super::{Finding, SuspectService};
use crate::events::{EventId, emit};

/// Waits before each look. The kernel closes what a process leaves behind one
/// after the other: a connection may break while another one still comes up.
const PAUSES: [Duration; 2] = [Duration::from_millis(5), Duration::from_millis(150)];
/// Longest wait for a connection to come up: as long as a request waits for
/// one.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Longest wait for the answer. The fleet has to know within 3 s of a crash;
/// a back end that is only slow is taken back by its next answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);

/// Looks at processes, each in a task of its own.
pub(super) struct Looker {
    pub(super) service: SuspectService,
    pub(super) wording: Arc<dyn Wording>,
    pub(super) findings: async_channel::Receiver<Finding>,
}

/// What a look shows of a process.
enum Seen {
    /// It answers.
    Running,
    /// Another process runs at its address, or nobody takes connections.
    Ended,
    /// It did not answer.
    Silent,
}

impl Looker {
    /// Runs for ever.
    pub(super) async fn run(self) {
        let pool = Pool::new(PoolSettings {
            connect_timeout: CONNECT_TIMEOUT,
            ..PoolSettings::default()
        });
        while let Ok(finding) = self.findings.recv().await {
            match finding {
                Finding::Crashes => self.service.tell_crashes(),
                Finding::Broke(look) => {
                    let glance = Glance {
                        service: self.service.clone(),
                        wording: self.wording.clone(),
                        pool: pool.clone(),
                        look,
                    };
                    task::spawn(glance.run());
                }
            }
        }
    }
}

/// The looks at one process.
struct Glance {
    service: SuspectService,
    wording: Arc<dyn Wording>,
    pool: Pool,
    look: Look,
}

impl Glance {
    async fn run(self) {
        let process = &self.look.process;
        for pause in PAUSES {
            timer::sleep(pause).await;
            let sent = self.service.dispatch.clock().now();
            match self.ask().await {
                Seen::Ended => break,
                Seen::Silent => {}
                Seen::Running => {
                    return self.service.dispatch.with(|dispatcher, _now| {
                        dispatcher.process_answered(sent, process);
                    });
                }
            }
        }
        self.service
            .dispatch
            .with(|dispatcher, _now| dispatcher.process_ended(process));
    }

    async fn ask(&self) -> Seen {
        let Some(request) = self.request() else {
            return Seen::Silent;
        };
        let deadline = Instant::now() + ANSWER_TIMEOUT;
        let asked = self.pool.exchange(self.look.address, request, deadline);
        let answer = match asked.await {
            Ok(answer) => answer,
            Err(error) if error.stage == threadledge_net::Stage::ConnectFailed => {
                return Seen::Ended;
            }
            Err(_) => return Seen::Silent,
        };
        let status = u16::from(answer.status());
        let head = self
            .wording
            .answer(status, answer.as_ref(), &self.look.process);
        match head.not_run {
            Some(Rejection::OtherInstance) => Seen::Ended,
            _ => Seen::Running,
        }
    }

    fn request(&self) -> Option<Request> {
        let Look {
            process,
            address,
            health_path,
        } = &self.look;
        let url = Url::parse(&format!("http://{address}{health_path}")).ok()?;
        let mut request = Request::new(Method::Get, url);
        request.insert_header(HOST, address.to_string());
        request.insert_header(CONNECTION, "close");
        self.wording.address(&mut request, ANSWER_TIMEOUT, process);
        Some(request)
    }
}

impl SuspectService {
    /// Writes the crashes that were confirmed here into the log.
    pub(super) fn tell_crashes(&self) {
        let crashes = self
            .dispatch
            .with(|dispatcher, _now| dispatcher.take_crashes());
        for crash in crashes {
            self.own.lock().insert(crash.identity.request);
            emit!(
                EventId::CrashedUnderRequest,
                back_end = %crash.process,
                identity = %crash.identity.request,
                request = crash.label,
            );
        }
        self.log.tell(&self.dispatch, "own");
    }
}
