//! The requests of one connection: those behind a slow one run beside it, and the answers return in
//! order.
//!
//! The HTTP library serves one request of a connection after the other. Each request therefore gets a
//! connection of its own in memory, which ends with it.

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

use super::framing::{Frame, Rest};
use crate::host::Front;
use crate::request::serve;
use crate::stop::Stage;

/// Requests of a connection that run or wait for their turn to be answered.
pub(crate) const AHEAD_MAX: usize = 32;
/// Bytes between a connection and one of its requests, each way.
const BUFFER: usize = 16 * 1_024;
/// The largest rest of a refused request's body that is read so that the connection can go on.
const SKIP_MAX: u64 = 64 * 1_024;

/// Bounds of a connection.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Bounds {
    /// The size of a request's head.
    pub(crate) head: usize,
    /// The time from the first byte of a head to its last.
    pub(crate) head_time: Duration,
    /// The time that the connection may stay idle.
    pub(crate) idle: Duration,
}

/// What the two directions of a connection share.
#[derive(Debug)]
pub(crate) struct Line {
    taken: Cell<u64>,
    answered: Cell<u64>,
    /// Whether a request that must not run beside others is under way.
    alone: Cell<bool>,
    /// Whether no further request is taken.
    closing: Cell<bool>,
    quiet_since: Cell<Instant>,
    ended: Notify,
}

impl Line {
    pub(crate) fn new(closing: bool, now: Instant) -> Rc<Self> {
        Rc::new(Self {
            taken: Cell::new(0),
            answered: Cell::new(0),
            alone: Cell::new(false),
            closing: Cell::new(closing),
            quiet_since: Cell::new(now),
            ended: Notify::new(),
        })
    }

    fn is_quiet(&self) -> bool {
        self.taken.get() == self.answered.get()
    }

    /// Whether the caller must be told that the connection ends with a request's answer.
    fn ends_with(&self, number: u64) -> bool {
        self.closing.get() && self.taken.get() == number
    }
}

/// A request whose answer has its turn.
#[derive(Debug)]
pub(crate) struct Turn {
    answer: ReadHalf<DuplexStream>,
    task: JoinHandle<hyper::Result<()>>,
}

impl Drop for Turn {
    fn drop(&mut self) {
        // A caller that left takes its requests with it.
        self.task.abort();
    }
}

/// The caller has left.
#[derive(Debug)]
pub(crate) struct Left;

/// Takes a connection's requests.
pub(crate) struct Source {
    pub(crate) front: Rc<Front>,
    pub(crate) line: Rc<Line>,
    pub(crate) bounds: Bounds,
    pub(crate) read: OwnedReadHalf,
    pub(crate) ahead: BytesMut,
}

impl Source {
    /// Takes requests until the caller leaves. `turns` is dropped as soon as there will be no more.
    pub(crate) async fn run(
        &mut self,
        turns: mpsc::Sender<Turn>,
        mut stage: watch::Receiver<Stage>,
    ) -> Left {
        let end = self.take_all(&turns, &mut stage).await;
        drop(turns);
        if let Err(left) = end {
            return left;
        }
        // Only the end of the connection is of interest.
        loop {
            self.ahead.clear();
            if let Err(left) = self.more().await {
                return left;
            }
        }
    }

    async fn take_all(
        &mut self,
        turns: &mpsc::Sender<Turn>,
        stage: &mut watch::Receiver<Stage>,
    ) -> Result<(), Left> {
        while let Some(frame) = self.next(stage).await? {
            let line = self.line.clone();
            while !line.is_quiet() && (line.alone.get() || !frame.safe) {
                self.until(line.ended.notified()).await?;
            }
            let Ok(place) = self.until(turns.reserve()).await? else {
                return Ok(());
            };
            line.alone.set(!frame.safe);
            line.taken.set(line.taken.get() + 1);
            if frame.last {
                line.closing.set(true);
            }
            let (near, far) = duplex(BUFFER);
            let (answer, request) = split(near);
            let task = spawn_local(self.answer(far, frame.fault));
            place.send(Turn { answer, task });
            self.forward(frame, request).await?;
            if line.closing.get() {
                break;
            }
        }
        Ok(())
    }

    /// The next request's head; `None` if there will be none.
    async fn next(&mut self, stage: &mut watch::Receiver<Stage>) -> Result<Option<Frame>, Left> {
        let mut begun = None;
        loop {
            match Frame::parse(&self.ahead) {
                Ok(Some(frame)) => return Ok(Some(frame)),
                Ok(None) if self.ahead.len() <= self.bounds.head => {}
                Ok(None) | Err(_) => return Ok(Some(Frame::broken(self.ahead.len()))),
            }
            let now = self.front.core.now();
            let wait = if self.ahead.is_empty() {
                let since = self.line.quiet_since.get();
                self.bounds.idle.saturating_sub(now.duration_since(since))
            } else {
                let since = *begun.get_or_insert(now);
                self.bounds
                    .head_time
                    .saturating_sub(now.duration_since(since))
            };
            let line = self.line.clone();
            let busy = self.ahead.is_empty() && !line.is_quiet();
            let open = !line.closing.get();
            tokio::select! {
                more = self.more() => more?,
                () = line.ended.notified(), if busy => {}
                () = tokio::time::sleep(wait), if !busy => {
                    line.closing.set(true);
                    return Ok(None);
                }
                changed = stage.wait_for(|s| *s != Stage::Open), if open => {
                    drop(changed);
                    line.closing.set(true);
                    if self.ahead.is_empty() {
                        return Ok(None);
                    }
                }
            }
        }
    }

    /// Reads more of what the caller sends.
    async fn more(&mut self) -> Result<(), Left> {
        match self.read.read_buf(&mut self.ahead).await {
            Ok(size) if size > 0 => Ok(()),
            // An end and a reset mean the same here.
            Ok(_) | Err(_) => Err(Left),
        }
    }

    /// Waits for something while the caller stays.
    async fn until<T>(&mut self, event: impl Future<Output = T>) -> Result<T, Left> {
        let mut event = std::pin::pin!(event);
        loop {
            let room = self.ahead.len() < self.bounds.head;
            tokio::select! {
                done = &mut event => return Ok(done),
                more = self.more(), if room => more?,
            }
        }
    }

    /// Passes a request on as it arrives.
    async fn forward(&mut self, frame: Frame, mut to: WriteHalf<DuplexStream>) -> Result<(), Left> {
        let mut open = to.write_all(&self.ahead[..frame.head]).await.is_ok();
        self.ahead.advance(frame.head);
        let mut rest = frame.rest;
        while rest != Rest::Done {
            let Ok(size) = rest.take(&self.ahead) else {
                // The library finds the same fault and tells the caller.
                open = open && to.write_all(&self.ahead).await.is_ok();
                self.line.closing.set(true);
                break;
            };
            open = open && to.write_all(&self.ahead[..size]).await.is_ok();
            self.ahead.advance(size);
            let short = matches!(rest, Rest::Done | Rest::Length(..=SKIP_MAX));
            if !open && (frame.expects || !short) {
                // It is answered, and what the caller sends next may be its body or not.
                self.line.closing.set(true);
                return Ok(());
            }
            if size > 0 {
                continue;
            }
            let idle = self.bounds.idle;
            let Ok(more) = tokio::time::timeout(idle, self.more()).await else {
                self.line.closing.set(true);
                break;
            };
            more?;
        }
        if open {
            // The answer may have ended already.
            let _ = to.shutdown().await;
        }
        Ok(())
    }

    /// Serves one request on a connection in memory.
    fn answer(
        &self,
        far: DuplexStream,
        fault: Option<&'static str>,
    ) -> impl Future<Output = hyper::Result<()>> + 'static {
        let (front, line) = (self.front.clone(), self.line.clone());
        let number = line.taken.get();
        let service = service_fn(move |request: http::Request<Incoming>| {
            let answer = serve(front.clone(), request, fault);
            let line = line.clone();
            Box::pin(async move {
                let mut answer = answer.await;
                if line.ends_with(number) {
                    let close = HeaderValue::from_static("close");
                    answer.headers_mut().insert(header::CONNECTION, close);
                }
                Ok::<Response<_>, Infallible>(answer)
            })
        });
        http1::Builder::new()
            .half_close(true)
            .max_buf_size(self.bounds.head)
            .serve_connection(TokioIo::new(far), service)
    }
}

/// Sends answers in the order of their requests; `false` if one is not whole or cannot be sent.
pub(crate) async fn deliver(
    front: &Front,
    line: &Line,
    mut turns: mpsc::Receiver<Turn>,
    write: &mut OwnedWriteHalf,
) -> bool {
    let mut bytes = BytesMut::with_capacity(BUFFER);
    while let Some(mut turn) = turns.recv().await {
        loop {
            bytes.clear();
            match turn.answer.read_buf(&mut bytes).await {
                Ok(0) => break,
                Ok(_) => {}
                Err(_) => return false,
            }
            if write.write_all(&bytes).await.is_err() {
                return false;
            }
        }
        match (&mut turn.task).await {
            Ok(Ok(())) => {}
            // The library has told the caller.
            Ok(Err(e)) if e.is_parse() => {}
            // An answer that ends early must not be followed by another one.
            Ok(Err(_)) | Err(_) => return false,
        }
        line.answered.set(line.answered.get() + 1);
        line.quiet_since.set(front.core.now());
        line.ended.notify_one();
    }
    true
}
