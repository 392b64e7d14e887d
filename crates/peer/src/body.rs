//! Bodies of relayed requests and answers.
//!
//! The sender of a body serves read calls ([`BodyServer`]). The receiver keeps a few read calls in
//! flight ([`receive`]) and passes chunks on as fast as its consumer takes them.

use std::cell::Cell;
use std::time::Duration;

use bytes::Bytes;
use capnp::capability::Rc as CapRc;
use derive_more::{Display, Error};
use futures_util::StreamExt;
use futures_util::stream::{self, FuturesOrdered};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, Full, StreamBody};
use tokio::sync::{Mutex, mpsc};
use tokio::time::{Instant, timeout_at};

use crate::peer_capnp::chunk::State;
use crate::peer_capnp::{body, chunk};

const CHUNK_BYTES: usize = 64 * 1024;
const READS_IN_FLIGHT: usize = 4;
/// How long the first chunk waits for more bytes; a body that fits in it needs no read call.
const FIRST_CHUNK_WAIT: Duration = Duration::from_millis(1);

/// Error of a body that ended before it was complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("the body was cut short")]
pub struct Aborted;

/// A body of a relayed request or answer.
pub type Body = UnsyncBoxBody<Bytes, Aborted>;

/// Returns an empty body.
pub fn empty_body() -> Body {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// Returns a body that holds `bytes`.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Holds consecutive bytes of a body and states whether more follow.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Chunk {
    data: Bytes,
    state: State,
}

impl Chunk {
    fn new(data: Bytes, state: State) -> Self {
        Self { data, state }
    }

    pub(crate) fn read(reader: chunk::Reader<'_>) -> capnp::Result<Self> {
        let data = Bytes::copy_from_slice(reader.get_data()?);
        Ok(Self::new(data, reader.get_state()?))
    }

    pub(crate) fn write(&self, mut builder: chunk::Builder<'_>) {
        builder.set_data(&self.data);
        builder.set_state(self.state);
    }

    /// Returns whether the body ends with this chunk, completely or not.
    pub(crate) fn is_last(&self) -> bool {
        self.state != State::More
    }
}

/// Splits a body into chunks of at most `CHUNK_BYTES`.
pub(crate) struct Chunks {
    body: Body,
    remaining: Bytes,
}

impl Chunks {
    pub(crate) fn new(body: Body) -> Self {
        Self {
            body,
            remaining: Bytes::new(),
        }
    }

    /// Returns the first chunk: the bytes that arrive within `FIRST_CHUNK_WAIT`, joined until they
    /// fill a chunk.
    pub(crate) async fn first(&mut self) -> Chunk {
        let deadline = Instant::now() + FIRST_CHUNK_WAIT;
        let mut data = Vec::new();
        while data.len() < CHUNK_BYTES {
            let Ok(chunk) = timeout_at(deadline, self.next()).await else {
                break;
            };
            if data.is_empty() && chunk.is_last() {
                return chunk;
            }
            data.extend_from_slice(&chunk.data);
            if chunk.is_last() {
                return Chunk::new(data.into(), chunk.state);
            }
        }
        let state = if data.is_empty() && hyper::body::Body::is_end_stream(&self.body) {
            State::End
        } else {
            State::More
        };
        Chunk::new(data.into(), state)
    }

    /// Returns the next chunk. Dropping the future loses no bytes.
    pub(crate) async fn next(&mut self) -> Chunk {
        while self.remaining.is_empty() {
            match self.body.frame().await {
                None => return Chunk::new(Bytes::new(), State::End),
                Some(Err(Aborted)) => return Chunk::new(Bytes::new(), State::Aborted),
                Some(Ok(frame)) => self.remaining = frame.into_data().unwrap_or_default(),
            }
        }
        let data = self
            .remaining
            .split_to(self.remaining.len().min(CHUNK_BYTES));
        Chunk::new(data, State::More)
    }
}

/// Serves the read calls of one body, in the order in which they arrive.
pub(crate) struct BodyServer {
    chunks: Mutex<Chunks>,
    ended: Cell<Option<State>>,
}

impl BodyServer {
    /// Returns a capability that reads the chunks after the first.
    pub(crate) fn client(chunks: Chunks) -> body::Client {
        capnp_rpc::new_client(Self {
            chunks: Mutex::new(chunks),
            ended: Cell::new(None),
        })
    }

    async fn next_chunk(&self) -> Chunk {
        let mut chunks = self.chunks.lock().await;
        if let Some(state) = self.ended.get() {
            return Chunk::new(Bytes::new(), state);
        }
        let chunk = chunks.next().await;
        if chunk.is_last() {
            self.ended.set(Some(chunk.state));
        }
        chunk
    }
}

impl body::Server for BodyServer {
    async fn read(
        self: CapRc<Self>,
        _: body::ReadParams,
        mut results: body::ReadResults,
    ) -> capnp::Result<()> {
        let chunk = self.next_chunk().await;
        chunk.write(results.get().init_chunk());
        Ok(())
    }
}

/// A part of a received body on its way to the consumer. A channel that closes without `End` means
/// that the body was aborted.
enum BodyEvent {
    Data(Bytes),
    End,
}

/// Returns the body that starts with `first` and continues with the chunks read through `more`. The
/// body is aborted when `broken` ends, which is dropped when the body ends.
pub(crate) fn receive(
    first: Chunk,
    more: Option<body::Client>,
    broken: impl Future<Output = ()> + 'static,
) -> Body {
    match first.state {
        State::End if first.data.is_empty() => return empty_body(),
        State::End => return full_body(first.data),
        State::More | State::Aborted => {}
    }
    let (events, receiver) = mpsc::channel(READS_IN_FLIGHT);
    tokio::task::spawn_local(async move {
        if !first.data.is_empty() && events.send(BodyEvent::Data(first.data)).await.is_err() {
            return;
        }
        if let (State::More, Some(more)) = (first.state, more) {
            tokio::select! {
                () = read_chunks(more, &events) => {}
                () = broken => {}
                () = events.closed() => {}
            }
        }
    });
    body_from_events(receiver)
}

async fn read_chunks(more: body::Client, events: &mpsc::Sender<BodyEvent>) {
    let read = || more.read_request().send().promise;
    let mut reads: FuturesOrdered<_> = (0..READS_IN_FLIGHT).map(|_| read()).collect();
    while let Some(Ok(response)) = reads.next().await {
        let chunk = response.get().and_then(|r| Chunk::read(r.get_chunk()?));
        let Ok(chunk) = chunk else { return };
        let event = match chunk.state {
            State::More => BodyEvent::Data(chunk.data),
            State::End => BodyEvent::End,
            State::Aborted => return,
        };
        if events.send(event).await.is_err() || chunk.state == State::End {
            return;
        }
        reads.push_back(read());
    }
}

fn body_from_events(events: mpsc::Receiver<BodyEvent>) -> Body {
    let frames = stream::unfold(Some(events), |events| async {
        let mut events = events?;
        match events.recv().await {
            Some(BodyEvent::Data(data)) => Some((Ok(hyper::body::Frame::data(data)), Some(events))),
            Some(BodyEvent::End) => None,
            None => Some((Err(Aborted), None)),
        }
    });
    StreamBody::new(frames.fuse()).boxed_unsync()
}
