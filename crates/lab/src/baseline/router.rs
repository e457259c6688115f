//! The router process of a baseline: it polls the health of back ends, looks up
//! the owner of a key and forwards the request once. It does not retry, use
//! leases or contact other routers.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::net::TcpListener;
use async_std::task;
use futures::future::join_all;
use http_types::headers::HOST;
use http_types::{Method, Request, Response, Url};
use parking_lot::Mutex;
use threadledge::operations::stop_on_signal;
use threadledge_net::Instant;
use threadledge_net::error_response::not_run;
use threadledge_net::message::Message;
use threadledge_net::{ExchangeError, Pool, PoolSettings, ServerLimits, StopSignal, serve};
use threadledge_types::outcome::OUTCOME_HEADER;
use threadledge_types::session::{
    EPOCH_HEADER, HEALTH_PATH, POINT_HEADER, REFUSAL_HEADER, SERVICE_HEADER,
};
use threadledge_types::{
    BackEndId, NotRunReason, Outcome, Point, ServiceId, SessionId, Timestamp, hash_key,
};

use super::assignment::Assignment;
use super::failure::Failure;
use super::health::Health;
use super::matching::{RequestParts, match_route};
use super::settings::{BaselineBackEnd, BaselineRouterSettings};
use super::view::{View, ViewChange};
use crate::clock;
use crate::history::{Event, Recorder};

/// Pause between two polls of one back end.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a poll.
const POLL_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of a forwarded request.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(15);

/// Serves until a planned stop has completed.
///
/// # Errors
///
/// Fails if the address cannot be bound or signals cannot be registered.
pub async fn run_process(settings: BaselineRouterSettings, recorder: Recorder) -> io::Result<()> {
    let stop = StopSignal::new();
    stop_on_signal(stop.clone())?;
    let listener = TcpListener::bind(settings.address).await?;
    let router = Arc::new(Router::new(settings, recorder.clone()));
    router.poll_all().await;
    recorder.ready();
    task::spawn(poll_forever(router.clone()));
    serve(
        listener,
        ServerLimits::default(),
        stop,
        move |request, _| {
            let router = router.clone();
            async move { router.answer(request).await }
        },
    )
    .await;
    Ok(())
}

async fn poll_forever(router: Arc<Router>) {
    loop {
        task::sleep(POLL_INTERVAL).await;
        router.poll_all().await;
    }
}

struct Router {
    settings: BaselineRouterSettings,
    back_ends: BTreeMap<BackEndId, BaselineBackEnd>,
    pool: Pool,
    probes: Pool,
    recorder: Recorder,
    state: Mutex<State>,
}

/// Health of the back ends, and the views derived from it.
struct State {
    health: BTreeMap<BackEndId, Health>,
    views: BTreeMap<ServiceId, View>,
}

impl Router {
    fn new(settings: BaselineRouterSettings, recorder: Recorder) -> Self {
        let mut back_ends = BTreeMap::new();
        let mut views = BTreeMap::new();
        for service in &settings.services {
            let members = service.back_ends.iter();
            let members: Vec<BackEndId> = members.map(|one| one.id.clone()).collect();
            let assignment = Assignment::new(settings.kind, &members);
            let view = View::new(service.service.clone(), settings.epoch(), assignment);
            views.insert(service.service.clone(), view);
            for one in &service.back_ends {
                back_ends.insert(one.id.clone(), one.clone());
            }
        }
        Router {
            settings,
            back_ends,
            pool: Pool::new(PoolSettings::default()),
            probes: Pool::new(PoolSettings::default()),
            recorder,
            state: Mutex::new(State {
                health: BTreeMap::new(),
                views,
            }),
        }
    }

    /// Polls every back end once, then updates all owners.
    async fn poll_all(&self) {
        let polls = self.back_ends.values().map(|one| self.poll(one));
        let answers = join_all(polls).await;
        let mut state = self.state.lock();
        let now = clock::now();
        for (id, answer) in self.back_ends.keys().zip(answers) {
            let health = state.health.entry(id.clone()).or_default();
            if let Some(session) = answer.as_ref().filter(|one| health.session() != Some(one)) {
                self.record_new_session(now, session);
            }
            health.record(answer);
        }
        let State { health, views } = &mut *state;
        for view in views.values_mut() {
            self.record_change(now, view.update(health));
        }
    }

    /// Polls the health of one back end. Returns the session that responded, or
    /// `None` if the poll failed.
    async fn poll(&self, back_end: &BaselineBackEnd) -> Option<SessionId> {
        let url = format!("http://{}{HEALTH_PATH}", back_end.control_address);
        let request = Request::new(Method::Get, Url::parse(&url).ok()?);
        let deadline = Instant::now() + POLL_TIMEOUT;
        let answer = self
            .probes
            .exchange(back_end.control_address, request, deadline);
        let mut response = answer.await.ok()?;
        let text = response.body_string().await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        parse_session(&back_end.id, &text)
    }

    /// Records an unlimited lease for a new session, because baselines have no
    /// leases: ownership lasts until the view changes.
    fn record_new_session(&self, at: Timestamp, session: &SessionId) {
        self.recorder.record(Event::LeaseExtended {
            at,
            session: session.clone(),
            until: Timestamp::from_micros(u64::MAX),
        });
    }

    fn record_change(&self, at: Timestamp, change: ViewChange) {
        for (session, grant) in change.released {
            self.recorder
                .record(Event::GrantReleased { at, session, grant });
        }
        for (session, grant) in change.taken {
            self.recorder
                .record(Event::GrantTaken { at, session, grant });
        }
    }

    async fn answer(&self, request: Request) -> Response {
        match self.forward(request).await {
            Ok(response) => add_outcome(response),
            Err(failure) => failure.into_response(),
        }
    }

    /// Forwards a request to the owner of its key.
    async fn forward(&self, mut request: Request) -> Result<Response, Failure> {
        let (service, point) = self.service_and_point(&request)?;
        let (owner, epoch) = {
            let state = self.state.lock();
            let view = state.views.get(&service);
            let owner = view.and_then(|view| view.owner(point)).cloned();
            (owner, self.settings.epoch())
        };
        let owner = owner.and_then(|id| self.back_ends.get(&id));
        let owner =
            owner.ok_or_else(|| Failure::not_run(NotRunReason::NoOwner, "no back end is alive"))?;
        let body = request.take_body_keeping_headers();
        request.remove_header("connection");
        request.insert_header(SERVICE_HEADER, service.to_string());
        request.insert_header(POINT_HEADER, point.to_string());
        request.insert_header(EPOCH_HEADER, epoch.to_string());
        request.replace_body_keeping_headers(body);
        let deadline = Instant::now() + FORWARD_TIMEOUT;
        self.exchange(owner.address, owner.connections, request, deadline)
            .await
            .map_err(|error| Failure::from_exchange_error(&error))
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        connections: usize,
        request: Request,
        deadline: Instant,
    ) -> Result<Response, ExchangeError> {
        let connection = self
            .pool
            .checkout_with_limit(address, connections, deadline)
            .await?;
        connection.exchange(request, deadline).await
    }

    /// Returns the service of a request and the point of its key.
    fn service_and_point(&self, request: &Request) -> Result<(ServiceId, Point), Failure> {
        let header = |name: &str| request.header(name).map(|values| values.as_str());
        let path = match request.url().query() {
            Some(query) => format!("{}?{query}", request.url().path()),
            None => request.url().path().to_owned(),
        };
        let parts = RequestParts {
            host: header(HOST.as_str()).unwrap_or_default(),
            path: &path,
            header: &header,
        };
        match match_route(&self.settings.routes, &parts) {
            Some((service, key)) => Ok((service.clone(), hash_key(key.as_bytes()))),
            None => Err(Failure::not_run(
                NotRunReason::NoRoute,
                "no route with a key",
            )),
        }
    }
}

/// Parses the health response of a stand-in, `ok namespace/name@incarnation`.
fn parse_session(back_end: &BackEndId, text: &str) -> Option<SessionId> {
    let (_, incarnation) = text.trim().rsplit_once('@')?;
    Some(SessionId {
        back_end: back_end.clone(),
        incarnation: threadledge_types::Incarnation(incarnation.parse().ok()?),
    })
}

/// Adds the outcome to a back end's response. A refusal means that the request
/// was not run; any other response is passed on as the answer.
fn add_outcome(mut response: Response) -> Response {
    let refusal = response.header(REFUSAL_HEADER);
    match refusal.map(|values| values.as_str().to_owned()) {
        Some(refusal) => not_run(NotRunReason::Overloaded, &refusal),
        None => {
            response.remove_header("connection");
            response.insert_header(OUTCOME_HEADER, Outcome::Answered.as_str());
            response
        }
    }
}
