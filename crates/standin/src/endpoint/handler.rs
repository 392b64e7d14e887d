//! Handles the requests to one endpoint.

use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::{Frame, Incoming};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::{Semaphore, watch};
use wagtail_types::Reason;

use super::faults::{Fault, Faults};
use super::load::Load;
use super::log::{Entry, Log, Outcome};
use super::settings::Settings;
use super::{answer, header};

pub(crate) type Body = UnsyncBoxBody<Bytes, io::Error>;

/// State shared by all connections of one endpoint.
///
/// No two of its mutexes are held at the same time.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) settings: Settings,
    pub(crate) log: Log,
    pub(crate) faults: watch::Sender<Faults>,
    pub(crate) peak: AtomicUsize,
    pub(crate) peak_connections: AtomicUsize,
    pub(crate) started: Instant,
    slots: Semaphore,
    running_count: AtomicUsize,
    load: Mutex<Load>,
    rng: Mutex<SmallRng>,
    last_answer: Mutex<Option<(String, Bytes)>>,
}

/// An admitted request. Dropping it removes the request from the load and logs its outcome.
struct RequestGuard {
    state: Arc<State>,
    index: Option<usize>,
    outcome: Outcome,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let ended = self.state.started.elapsed();
        lock(&self.state.load).release(Instant::now());
        self.state.log.update(self.index, |entry| {
            entry.ended = Some(ended);
            entry.outcome = self.outcome;
        });
    }
}

impl State {
    pub(crate) fn new(settings: Settings) -> Self {
        Self {
            log: Log::new(settings.log_limit),
            faults: watch::Sender::new(Faults::default()),
            peak: AtomicUsize::new(0),
            peak_connections: AtomicUsize::new(0),
            started: Instant::now(),
            slots: Semaphore::new(settings.slots),
            running_count: AtomicUsize::new(0),
            load: Mutex::default(),
            rng: Mutex::new(SmallRng::seed_from_u64(settings.seed)),
            last_answer: Mutex::default(),
            settings,
        }
    }

    /// Answers a request; `None` closes the connection without an answer.
    pub(crate) async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Option<Response<Body>> {
        match request.uri().path() {
            "/.health" => Some(self.health_response()),
            "/.faults" => Some(self.faults_response(request).await),
            "/.log" => Some(self.log_response()),
            _ => self.serve(request).await,
        }
    }

    fn health_response(&self) -> Response<Body> {
        let faults = self.faults.borrow().clone();
        let status = if faults.sick {
            StatusCode::SERVICE_UNAVAILABLE
        } else {
            StatusCode::OK
        };
        let state = if faults.leaving { "leaving" } else { "serving" };
        let load = self.load_report(&faults);
        let body = serde_json::json!({ "state": state, "load": load });
        self.reply(status, body.to_string())
    }

    async fn faults_response(&self, request: Request<Incoming>) -> Response<Body> {
        if request.method() == Method::GET {
            let text = serde_json::to_string(&*self.faults.borrow()).unwrap_or_default();
            return self.reply(StatusCode::OK, text);
        }
        if request.method() != Method::PUT {
            return self.reply(StatusCode::METHOD_NOT_ALLOWED, "only GET and PUT are known");
        }
        let Ok(body) = self.read_body(request.into_body()).await else {
            return self.reply(
                StatusCode::BAD_REQUEST,
                "the body is too large or was cut short",
            );
        };
        match serde_json::from_slice(&body) {
            Ok(faults) => {
                self.faults.send_replace(faults);
                self.reply(StatusCode::NO_CONTENT, "")
            }
            Err(error) => self.reply(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }

    fn log_response(&self) -> Response<Body> {
        let entries = self.log.entries();
        self.reply(
            StatusCode::OK,
            serde_json::to_string(&entries).unwrap_or_default(),
        )
    }

    async fn serve(self: Arc<Self>, request: Request<Incoming>) -> Option<Response<Body>> {
        let deadline = parse_deadline(request.headers());
        let fault = self.draw_fault(request.uri().path());
        let limit = self.settings.slots + self.settings.backlog;
        let entry = self.log_entry(&request);
        let id = entry.id.clone().unwrap_or_default();
        let index = self.log.push(entry);
        if fault == Some(Fault::Refuse) {
            return Some(self.refuse(index, Outcome::Refused));
        }
        if !lock(&self.load).try_acquire(limit, Instant::now()) {
            return Some(self.refuse(index, Outcome::Shed));
        }
        let mut guard = RequestGuard {
            state: self.clone(),
            index,
            outcome: Outcome::Cancelled,
        };
        if deadline.is_some_and(|d| d <= Instant::now()) {
            guard.outcome = Outcome::Refused;
            return Some(self.not_run(Reason::DeadlinePassed));
        }
        let Ok(body) = self.read_body(request.into_body()).await else {
            guard.outcome = Outcome::Refused;
            return Some(self.not_run(Reason::BadRequest));
        };
        let digest = answer::digest(&body);
        self.log
            .update(index, |entry| entry.digest.clone_from(&digest));
        let _slot = self.slots.acquire().await.ok()?;
        if fault == Some(Fault::CloseBefore) {
            guard.outcome = Outcome::Refused;
            return None;
        }
        self.log.update(index, |entry| entry.ran = true);
        if !self.run(deadline).await {
            guard.outcome = Outcome::DeadlinePassed;
            return Some(self.may_have_run());
        }
        guard.outcome = Outcome::Done;
        let body = answer::body(&id, &digest, self.settings.answer_bytes);
        self.build_answer(guard, fault, id, body).await
    }

    /// Waits for the service time and returns whether it ended before the deadline.
    async fn run(&self, deadline: Option<Instant>) -> bool {
        let count = self.running_count.fetch_add(1, Ordering::Relaxed) + 1;
        self.peak.fetch_max(count, Ordering::Relaxed);
        let _running = RunningGuard(&self.running_count);
        let mut faults = self.faults.subscribe();
        let work = async {
            let _ = faults.wait_for(|f| !f.hold).await;
            let service_time = self.draw_service_time();
            if !service_time.is_zero() {
                tokio::time::sleep(service_time).await;
            }
        };
        if let Some(at) = deadline {
            return tokio::time::timeout_at(at.into(), work).await.is_ok();
        }
        work.await;
        true
    }

    /// Builds the answer to a request that has run, changed by the fault drawn for it; `None` closes the
    /// connection.
    async fn build_answer(
        &self,
        mut guard: RequestGuard,
        fault: Option<Fault>,
        id: String,
        body: Bytes,
    ) -> Option<Response<Body>> {
        let last_answer = lock(&self.last_answer).replace((id.clone(), body.clone()));
        let (mut id, mut body) = (id, body);
        match fault {
            Some(Fault::Late { ms }) => {
                guard.outcome = Outcome::Unread;
                tokio::time::sleep(Duration::from_millis(ms)).await;
                guard.outcome = Outcome::Done;
            }
            Some(Fault::FailAfterRun) => {
                return Some(self.reply(StatusCode::INTERNAL_SERVER_ERROR, "failed after it ran"));
            }
            Some(Fault::CloseAfter) => return None,
            Some(Fault::Crossed) => {
                let other = || ("another".to_owned(), answer::body("another", "", 32));
                (id, body) = last_answer
                    .filter(|(other, _)| *other != id)
                    .unwrap_or_else(other);
            }
            _ => {}
        }
        let mut response = self.reply(StatusCode::OK, "");
        let headers = response.headers_mut();
        set_header(headers, header::REQUEST_ID, &id);
        set_header(headers, header::DIGEST, &answer::digest(&body));
        *response.body_mut() = match fault {
            Some(Fault::CutLength) => {
                set_header(headers, "content-length", &body.len().to_string());
                truncated_body(&body)
            }
            Some(Fault::CutChunked) => truncated_body(&body),
            _ => full_body(body),
        };
        Some(response)
    }

    fn refuse(&self, index: Option<usize>, outcome: Outcome) -> Response<Body> {
        let ended = self.started.elapsed();
        self.log.update(index, |entry| {
            entry.ended = Some(ended);
            entry.outcome = outcome;
        });
        self.not_run(Reason::EndpointRefused)
    }

    fn not_run(&self, reason: Reason) -> Response<Body> {
        let mut response = self.reply(StatusCode::SERVICE_UNAVAILABLE, reason.as_str());
        set_header(response.headers_mut(), header::VERDICT, "not-run");
        response
    }

    fn may_have_run(&self) -> Response<Body> {
        let mut response = self.reply(StatusCode::GATEWAY_TIMEOUT, "the deadline passed");
        set_header(response.headers_mut(), header::VERDICT, "may-have-run");
        response
    }

    fn reply(&self, status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
        let mut response = Response::new(full_body(body.into()));
        *response.status_mut() = status;
        let faults = self.faults.borrow().clone();
        let headers = response.headers_mut();
        if faults.leaving {
            set_header(headers, header::LEAVING, "1");
        }
        if let Some(load) = self.load_report(&faults) {
            set_header(headers, header::LOAD, &load);
        }
        response
    }

    fn load_report(&self, faults: &Faults) -> Option<String> {
        let inflight = lock(&self.load).reported(faults.report, Instant::now())?;
        Some(format!("{inflight}/{}", self.settings.slots))
    }

    /// Returns the fault of the first rule that matches the path and whose draw hits.
    fn draw_fault(&self, path: &str) -> Option<Fault> {
        let faults = self.faults.borrow();
        let mut rng = lock(&self.rng);
        let path_matches =
            |prefix: &Option<String>| prefix.as_ref().is_none_or(|p| path.starts_with(p));
        let mut rules = faults.rules.iter().filter(|r| path_matches(&r.path));
        let rule = rules.find(|r| rng.random_range(0..100) < r.percent);
        rule.map(|r| r.fault)
    }

    /// Draws a log-normal service time, scaled by the slowdown fault and by the cold start.
    fn draw_service_time(&self) -> Duration {
        let settings = &self.settings;
        let slowdown = match self.faults.borrow().slow_percent {
            0 => 1.0,
            percent => f64::from(percent) / 100.0,
        };
        let uptime = self.started.elapsed();
        let cold_factor = if uptime < settings.cold {
            let left = 1.0 - uptime.as_secs_f64() / settings.cold.as_secs_f64();
            1.0 + (settings.cold_factor - 1.0).max(0.0) * left
        } else {
            1.0
        };
        let spread = (settings.sigma * standard_normal(&mut *lock(&self.rng))).exp();
        settings.median.mul_f64(slowdown * cold_factor * spread)
    }

    async fn read_body(&self, body: Incoming) -> Result<Bytes, ()> {
        let limited = Limited::new(body, self.settings.body_limit);
        let whole = limited.collect().await.map_err(|_| ())?;
        Ok(whole.to_bytes())
    }

    fn log_entry(&self, request: &Request<Incoming>) -> Entry {
        let text = |name: &str| {
            let value = request.headers().get(name)?;
            Some(String::from_utf8_lossy(value.as_bytes()).into_owned())
        };
        let mut headers = Vec::new();
        for (name, value) in request.headers() {
            headers.extend_from_slice(name.as_str().as_bytes());
            headers.extend_from_slice(b": ");
            headers.extend_from_slice(value.as_bytes());
            headers.push(b'\n');
        }
        Entry {
            method: request.method().to_string(),
            path: request.uri().to_string(),
            team: text(header::TEAM),
            id: text(header::REQUEST_ID),
            digest: String::new(),
            headers,
            started: self.started.elapsed(),
            ended: None,
            ran: false,
            outcome: Outcome::Running,
        }
    }
}

/// Decrements the number of running requests when dropped.
struct RunningGuard<'a>(&'a AtomicUsize);

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn parse_deadline(headers: &HeaderMap) -> Option<Instant> {
    let ms = headers.get(header::DEADLINE)?.to_str().ok()?.parse().ok()?;
    Instant::now().checked_add(Duration::from_millis(ms))
}

fn set_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        headers.insert(name, value);
    }
}

fn full_body(body: Bytes) -> Body {
    Full::new(body)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns a body that sends the first half and then fails, which closes the connection.
fn truncated_body(body: &Bytes) -> Body {
    let half = body.slice(..body.len() / 2);
    let first = stream::iter([Ok(Frame::data(half))]);
    let second = stream::once(async {
        // Yielding lets the connection flush the first half before the error closes it.
        tokio::task::yield_now().await;
        Err(io::Error::other("body truncated by the fault table"))
    });
    StreamBody::new(first.chain(second)).boxed_unsync()
}

/// Draws from the standard normal distribution by the Box-Muller transform.
fn standard_normal(rng: &mut impl Rng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}
