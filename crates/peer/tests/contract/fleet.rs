//! Test fixture: two peers on the loopback interface, the second with a handler chosen by the test.

use std::collections::HashMap;
use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use http_body_util::BodyExt;
use tokio::runtime::Handle;
use tokio::sync::{Notify, watch};
use wagtail_peer::{
    Aborted, Body, BoxFuture, Control, Handler, Limits, Peer, RelayAnswer, RelayHead, RelayRole,
    Settings, full_body,
};
use wagtail_types::{AttemptId, Cause, HostId, Incarnation, Verdict};

pub(crate) const SECRET: &str = "a secret of the fleet";

type Work = dyn Fn(RelayHead, Body) -> BoxFuture<Result<RelayAnswer, Verdict>> + Send + Sync;

/// A handler that records its calls and runs requests with a function of the test.
pub(crate) struct FakeHandler {
    work: Box<Work>,
    heads: Mutex<Vec<RelayHead>>,
    started: watch::Sender<usize>,
    dropped: watch::Sender<usize>,
    controls: watch::Sender<Vec<(HostId, Incarnation, Control)>>,
    parts: AtomicUsize,
}

impl FakeHandler {
    pub(crate) fn new<F, W>(work: W) -> Self
    where
        W: Fn(RelayHead, Body) -> F + Send + Sync + 'static,
        F: Future<Output = Result<RelayAnswer, Verdict>> + Send + 'static,
    {
        Self {
            work: Box::new(move |head, body| Box::pin(work(head, body))),
            heads: Mutex::default(),
            started: watch::Sender::default(),
            dropped: watch::Sender::default(),
            controls: watch::Sender::default(),
            parts: AtomicUsize::new(0),
        }
    }

    /// Answers each request with the request's body.
    pub(crate) fn echo() -> Self {
        Self::new(|_, body| async {
            Ok(RelayAnswer {
                status: StatusCode::OK,
                headers: HeaderMap::new(),
                body,
            })
        })
    }

    /// Returns the heads of all received requests.
    pub(crate) fn heads(&self) -> Vec<RelayHead> {
        self.heads.lock().expect("heads").clone()
    }

    /// Returns how many parts of large control messages have been announced.
    pub(crate) fn parts(&self) -> usize {
        self.parts.load(Ordering::Relaxed)
    }

    /// Waits until `count` requests have started.
    pub(crate) async fn started(&self, count: usize) {
        let mut started = self.started.subscribe();
        started.wait_for(|n| *n >= count).await.expect("started");
    }

    /// Waits until `count` requests have finished or been cancelled.
    pub(crate) async fn dropped(&self, count: usize) {
        let mut dropped = self.dropped.subscribe();
        dropped.wait_for(|n| *n >= count).await.expect("dropped");
    }

    /// Waits until `count` control messages have arrived and returns all that have.
    pub(crate) async fn controls(&self, count: usize) -> Vec<(HostId, Incarnation, Control)> {
        let mut controls = self.controls.subscribe();
        let enough = controls.wait_for(|list| list.len() >= count).await;
        enough.expect("controls").clone()
    }
}

/// Counts the requests whose future has been dropped.
struct DropCounter(watch::Sender<usize>);

impl Drop for DropCounter {
    fn drop(&mut self) {
        self.0.send_modify(|n| *n += 1);
    }
}

impl Handler for FakeHandler {
    fn control(&self, from: &HostId, incarnation: Incarnation, message: Control) {
        let received = (from.clone(), incarnation, message);
        self.controls.send_modify(|list| list.push(received));
    }

    fn receiving(&self, _: &HostId) {
        self.parts.fetch_add(1, Ordering::Relaxed);
    }

    fn relay(
        &self,
        _: HostId,
        head: RelayHead,
        body: Body,
    ) -> BoxFuture<Result<RelayAnswer, Verdict>> {
        self.heads.lock().expect("heads").push(head.clone());
        self.started.send_modify(|n| *n += 1);
        let drop_counter = DropCounter(self.dropped.clone());
        let work = (self.work)(head, body);
        Box::pin(async move {
            let _drop_counter = drop_counter;
            work.await
        })
    }
}

/// Notifies a test when a value that holds it is dropped.
#[derive(Clone, Default)]
pub(crate) struct DropSignal {
    dropped: Arc<Notify>,
    armed: bool,
}

impl DropSignal {
    pub(crate) fn notify(&self) -> Arc<Notify> {
        self.dropped.clone()
    }

    /// Returns a copy that notifies when it is dropped.
    pub(crate) fn armed(&self) -> Self {
        Self {
            dropped: self.dropped.clone(),
            armed: true,
        }
    }
}

impl Drop for DropSignal {
    fn drop(&mut self) {
        if self.armed {
            self.dropped.notify_one();
        }
    }
}

/// A host that relays requests (`entry`) and the host that runs them (`owner`).
pub(crate) struct Fleet {
    pub(crate) entry: Peer,
    pub(crate) owner: Peer,
    pub(crate) handler: Arc<FakeHandler>,
}

impl Fleet {
    pub(crate) fn start(handler: FakeHandler, limits: Limits) -> Self {
        let handler = Arc::new(handler);
        let entry = peer(
            "entry",
            SECRET,
            limits.clone(),
            Arc::new(FakeHandler::echo()),
        );
        let owner = peer("owner", SECRET, limits, handler.clone());
        entry.set_addresses(HashMap::from([(host("owner"), owner.addr())]));
        Self {
            entry,
            owner,
            handler,
        }
    }

    pub(crate) async fn relay(&self, head: RelayHead, body: Body) -> Result<RelayAnswer, Verdict> {
        self.entry.relay(&host("owner"), head, body).await
    }
}

pub(crate) fn host(name: &str) -> HostId {
    name.parse().expect("host name")
}

pub(crate) fn settings(name: &str, secret: &str, limits: Limits) -> Settings {
    let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let secret = secret.parse().expect("secret");
    Settings {
        limits,
        ..Settings::new(host(name), Incarnation(7), listen, secret)
    }
}

pub(crate) fn peer(name: &str, secret: &str, limits: Limits, handler: Arc<FakeHandler>) -> Peer {
    let settings = settings(name, secret, limits);
    Peer::start(settings, handler, Handle::current()).expect("starts")
}

pub(crate) fn head() -> RelayHead {
    RelayHead {
        attempt: AttemptId(42),
        role: RelayRole::Owner,
        method: Method::POST,
        path: "/dossier?part=2".to_owned(),
        headers: HeaderMap::new(),
        service: "submit".parse().expect("service"),
        team: Some("lead".parse().expect("team")),
        deadline: None,
        idempotent: false,
        key: Some("wt1-key".to_owned()),
        fingerprint: Some(u128::MAX - 3),
        tried: vec!["cymru-1".parse().expect("zone")],
    }
}

/// Reads the whole body of an answer.
pub(crate) async fn read_body(answer: RelayAnswer) -> Result<Bytes, Aborted> {
    Ok(answer.body.collect().await?.to_bytes())
}

/// Reads the whole body of a request and answers with it.
pub(crate) async fn echo_whole(body: Body) -> Result<RelayAnswer, Verdict> {
    let aborted = |_| Verdict::may_have_run(Cause::BadAnswer);
    let body = body.collect().await.map_err(aborted)?.to_bytes();
    Ok(RelayAnswer {
        status: StatusCode::OK,
        headers: HeaderMap::new(),
        body: full_body(body),
    })
}
