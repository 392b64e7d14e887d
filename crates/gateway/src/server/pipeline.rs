//! Concurrent handling of pipelined requests: requests behind a slow one run concurrently with it,
//! and the responses are sent in order.
//!
//! The HTTP library serves the requests of a connection one after the other. Each request is
//! therefore served on its own in-memory connection, which ends with it.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Buf, BytesMut};
use http::{HeaderValue, Response, header};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, ReadHalf, WriteHalf, duplex, split};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::{JoinHandle, spawn_local};
use wagtail_steer::{HostStage, Intake};

use super::bounds;
use super::framing::{BodyState, RequestFrame};
use crate::host::RequestContext;
use crate::request::serve;
use crate::tracker::Tracked;
use crate::work::{Work, contain};

/// The capacity of the queue of requests on a connection that run or wait until their response is
/// sent.
pub(crate) const PIPELINE_MAX: usize = 32;
/// The buffer size in bytes, in each direction, of the in-memory connection of a request.
const DUPLEX_BYTES: usize = 16 * 1_024;
/// The largest remainder in bytes of an already answered request's body that is read and discarded
/// so that the connection can be reused.
const SKIP_MAX_BYTES: u64 = 64 * 1_024;

/// The limits of a connection.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Bounds {
    /// The maximum size of a request head in bytes.
    pub(crate) head: usize,
    /// The maximum time from the first byte of a head to its last.
    pub(crate) head_time: Duration,
    /// The maximum time that the connection may stay idle.
    pub(crate) idle: Duration,
}

/// The state that the reader and the writer of a connection share.
#[derive(Debug)]
pub(crate) struct ConnectionState {
    /// The number of requests that were started.
    accepted: Cell<u64>,
    /// The number of requests whose responses were sent completely.
    answered: Cell<u64>,
    /// Whether the request in progress must not run concurrently with others.
    exclusive: Cell<bool>,
    intake: Cell<Intake>,
    /// Whether more of the last request's body is to come than would be skipped.
    long_body: Cell<bool>,
    idle_since: Cell<Instant>,
    /// Notified after each response that was sent completely.
    response_sent: Notify,
}

impl ConnectionState {
    pub(crate) fn new(stage: HostStage, now: Instant) -> Rc<Self> {
        Rc::new(Self {
            accepted: Cell::new(0),
            answered: Cell::new(0),
            exclusive: Cell::new(false),
            intake: Cell::new(Intake::new(stage)),
            long_body: Cell::new(false),
            idle_since: Cell::new(now),
            response_sent: Notify::new(),
        })
    }

    fn is_idle(&self) -> bool {
        self.accepted.get() == self.answered.get()
    }

    /// Reads no further request from the connection.
    fn close(&self) {
        self.intake.set(Intake::Done);
    }

    fn is_closing(&self) -> bool {
        self.intake.get() == Intake::Done
    }

    /// Returns whether the response to request `number` must announce that the connection closes
    /// after it. No further request is read then, because the caller sends them elsewhere.
    fn announces_close(&self, number: u64, leaving: bool) -> bool {
        let last = self.accepted.get() == number;
        let closes = last && (leaving || self.intake.get() != Intake::Open || self.long_body.get());
        if closes {
            self.close();
        }
        closes
    }
}

/// A request whose response is still to be sent.
#[derive(Debug)]
pub(crate) struct PendingResponse {
    answer: ReadHalf<DuplexStream>,
    /// Ends with the response, or with the connection.
    _tracked: Rc<Tracked>,
    /// Ends with `None` if it panicked.
    task: JoinHandle<Option<hyper::Result<()>>>,
}

impl Drop for PendingResponse {
    fn drop(&mut self) {
        // When the caller has left, its running requests are cancelled.
        self.task.abort();
    }
}

/// The error for a connection that the caller has closed or reset.
#[derive(Debug)]
pub(crate) struct CallerLeft;

/// Reads the requests of a connection and starts them.
pub(crate) struct RequestReader {
    pub(crate) context: Rc<RequestContext>,
    pub(crate) connection: Rc<ConnectionState>,
    pub(crate) bounds: Bounds,
    pub(crate) read: OwnedReadHalf,
    pub(crate) buffer: BytesMut,
}

impl RequestReader {
    /// Reads requests until the caller leaves. Drops `pending` as soon as no further request will
    /// be read.
    pub(crate) async fn run(
        &mut self,
        pending: mpsc::Sender<PendingResponse>,
        mut stages: watch::Receiver<HostStage>,
    ) -> CallerLeft {
        let end = self.read_requests(&pending, &mut stages).await;
        drop(pending);
        if let Err(left) = end {
            return left;
        }
        // Further bytes are discarded; only the end of the connection matters.
        loop {
            self.buffer.clear();
            if let Err(left) = self.read_more().await {
                return left;
            }
        }
    }

    async fn read_requests(
        &mut self,
        pending: &mpsc::Sender<PendingResponse>,
        stages: &mut watch::Receiver<HostStage>,
    ) -> Result<(), CallerLeft> {
        while let Some(frame) = self.next_frame(stages).await? {
            let connection = self.connection.clone();
            while !connection.is_idle() && (connection.exclusive.get() || !frame.safe) {
                self.while_connected(connection.response_sent.notified())
                    .await?;
            }
            let Ok(permit) = self.while_connected(pending.reserve()).await? else {
                return Ok(());
            };
            if connection.is_closing() {
                return Ok(());
            }
            connection.exclusive.set(!frame.safe);
            connection.accepted.set(connection.accepted.get() + 1);
            connection
                .intake
                .set(connection.intake.get().take(frame.last));
            let (local, remote) = duplex(DUPLEX_BYTES);
            let (answer, request) = split(local);
            let core = &self.context.core;
            let tracked = Rc::new(core.tracker.track(core.now()));
            let task = spawn_local(self.serve_one(remote, frame.error, tracked.clone()));
            permit.send(PendingResponse {
                answer,
                _tracked: tracked,
                task,
            });
            self.forward(frame, request).await?;
            if connection.is_closing() {
                break;
            }
        }
        Ok(())
    }

    /// Reads the head of the next request. Returns `None` if no further request will be read.
    async fn next_frame(
        &mut self,
        stages: &mut watch::Receiver<HostStage>,
    ) -> Result<Option<RequestFrame>, CallerLeft> {
        let mut head_started = None;
        while !self.connection.is_closing() {
            // A configuration may have changed them since the last request.
            self.bounds = bounds(&self.context.core);
            match RequestFrame::parse(&self.buffer) {
                Ok(Some(frame)) => return Ok(Some(frame)),
                Ok(None) if self.buffer.len() <= self.bounds.head => {}
                Ok(None) | Err(_) => return Ok(Some(RequestFrame::unparsable(self.buffer.len()))),
            }
            let now = self.context.core.now();
            let wait = if self.buffer.is_empty() {
                let since = self.connection.idle_since.get();
                self.bounds.idle.saturating_sub(now.duration_since(since))
            } else {
                let since = *head_started.get_or_insert(now);
                self.bounds
                    .head_time
                    .saturating_sub(now.duration_since(since))
            };
            let connection = self.connection.clone();
            let busy = self.buffer.is_empty() && !connection.is_idle();
            tokio::select! {
                more = self.read_more() => more?,
                () = connection.response_sent.notified(), if busy => {}
                () = tokio::time::sleep(wait), if !busy => connection.close(),
                // The sender lives as long as the host.
                _ = stages.changed() => {
                    let begun = !self.buffer.is_empty();
                    let intake = connection.intake.get();
                    connection.intake.set(intake.enter(*stages.borrow(), begun));
                }
            }
        }
        Ok(None)
    }

    /// Reads more bytes into the buffer.
    async fn read_more(&mut self) -> Result<(), CallerLeft> {
        match self.read.read_buf(&mut self.buffer).await {
            Ok(size) if size > 0 => Ok(()),
            // The end of the stream and an error such as a reset are treated alike.
            Ok(_) | Err(_) => Err(CallerLeft),
        }
    }

    /// Waits for an event while it reads ahead, so that a disconnect is noticed.
    async fn while_connected<T>(
        &mut self,
        event: impl Future<Output = T>,
    ) -> Result<T, CallerLeft> {
        let mut event = std::pin::pin!(event);
        loop {
            let has_space = self.buffer.len() < self.bounds.head;
            tokio::select! {
                done = &mut event => return Ok(done),
                more = self.read_more(), if has_space => more?,
            }
        }
    }

    /// Forwards the bytes of a request to its in-memory connection as they arrive.
    async fn forward(
        &mut self,
        frame: RequestFrame,
        mut to: WriteHalf<DuplexStream>,
    ) -> Result<(), CallerLeft> {
        let mut body = frame.body;
        let is_long = |body| match body {
            BodyState::Done => false,
            BodyState::Length(..=SKIP_MAX_BYTES) => frame.expects_continue,
            _ => true,
        };
        self.connection.long_body.set(is_long(body));
        let mut open = to.write_all(&self.buffer[..frame.head]).await.is_ok();
        self.buffer.advance(frame.head);
        while body != BodyState::Done {
            let Ok(size) = body.take(&self.buffer) else {
                // The HTTP library finds the same error and reports it to the caller.
                open = open && to.write_all(&self.buffer).await.is_ok();
                self.connection.close();
                break;
            };
            open = open && to.write_all(&self.buffer[..size]).await.is_ok();
            self.buffer.advance(size);
            self.connection.long_body.set(is_long(body));
            if !open && is_long(body) {
                // The request is already answered, and whether the next bytes from the caller are
                // its body is unknown.
                self.connection.close();
                return Ok(());
            }
            if size > 0 {
                continue;
            }
            let (core, idle) = (self.context.core.clone(), self.bounds.idle);
            tokio::select! {
                more = self.read_more() => more?,
                () = tokio::time::sleep(idle) => {
                    self.connection.close();
                    break;
                }
                // The request is answered now, so that the rest of its body is not needed.
                () = core.stop.entered(HostStage::Ending) => {
                    self.connection.close();
                    return Ok(());
                }
            }
        }
        if open {
            // The request may already have ended.
            let _ = to.shutdown().await;
        }
        Ok(())
    }

    /// Serves one request on an in-memory connection.
    fn serve_one(
        &self,
        remote: DuplexStream,
        framing_error: Option<&'static str>,
        tracked: Rc<Tracked>,
    ) -> impl Future<Output = Option<hyper::Result<()>>> + 'static {
        let (context, connection) = (self.context.clone(), self.connection.clone());
        let core = context.core.clone();
        let number = connection.accepted.get();
        let service = service_fn(move |request: http::Request<Incoming>| {
            let answer = serve(context.clone(), request, framing_error, tracked.clone());
            let (core, connection) = (context.core.clone(), connection.clone());
            Box::pin(async move {
                let mut answer = answer.await;
                if connection.announces_close(number, core.is_leaving()) {
                    let close = HeaderValue::from_static("close");
                    answer.headers_mut().insert(header::CONNECTION, close);
                }
                Ok::<Response<_>, Infallible>(answer)
            })
        });
        let serving = http1::Builder::new()
            .half_close(true)
            .max_buf_size(self.bounds.head)
            .serve_connection(TokioIo::new(remote), service);
        async move { contain(&core, Work::Request, serving).await }
    }
}

/// Sends the responses in the order of their requests. Returns `false` if one is incomplete or
/// cannot be sent.
pub(crate) async fn write_responses(
    context: &RequestContext,
    connection: &ConnectionState,
    mut pending: mpsc::Receiver<PendingResponse>,
    write: &mut OwnedWriteHalf,
) -> bool {
    let mut bytes = BytesMut::with_capacity(DUPLEX_BYTES);
    while let Some(mut response) = pending.recv().await {
        loop {
            bytes.clear();
            match response.answer.read_buf(&mut bytes).await {
                Ok(0) => break,
                Ok(_) => {}
                Err(_) => return false,
            }
            if write.write_all(&bytes).await.is_err() {
                return false;
            }
        }
        match (&mut response.task).await {
            Ok(Some(Ok(()))) => {}
            // The HTTP library has sent an error response to the caller.
            Ok(Some(Err(e))) if e.is_parse() => {}
            // No response may follow one that ended early, because the caller would take it for the
            // missing part.
            Ok(Some(Err(_)) | None) | Err(_) => return false,
        }
        connection.answered.set(connection.answered.get() + 1);
        if context.core.is_leaving() {
            let delivered = &context.core.tracker.delivered;
            delivered.set(delivered.get() + 1);
        }
        connection.idle_since.set(context.core.now());
        connection.response_sent.notify_one();
    }
    true
}
