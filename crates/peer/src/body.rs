//! Bodies of relayed requests and answers.
//!
//! The sender of a body serves reads ([`Source`]); its receiver keeps a few reads on their way
//! ([`receive`]) and passes chunks on as fast as they are taken.

use std::cell::Cell;
use std::rc::Rc;
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

use crate::client::Closed;
use crate::peer_capnp::chunk::State;
use crate::peer_capnp::{body, chunk};

const CHUNK_BYTES: usize = 64 * 1024;
const READS: usize = 4;
const FIRST_WAIT: Duration = Duration::from_millis(1);

/// The body ended before it was whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("the body was cut short")]
pub struct Aborted;

/// A body of a relayed request or answer.
pub type Body = UnsyncBoxBody<Bytes, Aborted>;

/// A body without bytes.
pub fn empty_body() -> Body {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// A body of these bytes.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// A piece of a body.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Piece {
    data: Bytes,
    state: State,
}

impl Piece {
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

    /// Whether nothing follows.
    pub(crate) fn is_last(&self) -> bool {
        self.state != State::More
    }
}

/// Cuts a body into pieces.
pub(crate) struct Pieces {
    body: Body,
    rest: Bytes,
}

impl Pieces {
    pub(crate) fn new(body: Body) -> Self {
        Self {
            body,
            rest: Bytes::new(),
        }
    }

    /// The first piece: what there is within a short wait, gathered up to a chunk.
    pub(crate) async fn first(&mut self) -> Piece {
        let until = Instant::now() + FIRST_WAIT;
        let mut data = Vec::new();
        while data.len() < CHUNK_BYTES {
            let Ok(piece) = timeout_at(until, self.next()).await else {
                break;
            };
            if data.is_empty() && piece.is_last() {
                return piece;
            }
            data.extend_from_slice(&piece.data);
            if piece.is_last() {
                return Piece::new(data.into(), piece.state);
            }
        }
        let state = if data.is_empty() && hyper::body::Body::is_end_stream(&self.body) {
            State::End
        } else {
            State::More
        };
        Piece::new(data.into(), state)
    }

    /// The next piece; dropping the future loses nothing.
    pub(crate) async fn next(&mut self) -> Piece {
        while self.rest.is_empty() {
            match self.body.frame().await {
                None => return Piece::new(Bytes::new(), State::End),
                Some(Err(Aborted)) => return Piece::new(Bytes::new(), State::Aborted),
                Some(Ok(frame)) => self.rest = frame.into_data().unwrap_or_default(),
            }
        }
        let data = self.rest.split_to(self.rest.len().min(CHUNK_BYTES));
        Piece::new(data, State::More)
    }
}

/// Serves reads of a body, in order.
pub(crate) struct Source {
    pieces: Mutex<Pieces>,
    ended: Cell<Option<State>>,
}

impl Source {
    /// A capability for what follows the first piece.
    pub(crate) fn client(pieces: Pieces) -> body::Client {
        capnp_rpc::new_client(Self {
            pieces: Mutex::new(pieces),
            ended: Cell::new(None),
        })
    }

    async fn piece(&self) -> Piece {
        let mut pieces = self.pieces.lock().await;
        if let Some(state) = self.ended.get() {
            return Piece::new(Bytes::new(), state);
        }
        let piece = pieces.next().await;
        if piece.is_last() {
            self.ended.set(Some(piece.state));
        }
        piece
    }
}

impl body::Server for Source {
    async fn read(
        self: CapRc<Self>,
        _: body::ReadParams,
        mut results: body::ReadResults,
    ) -> capnp::Result<()> {
        let piece = self.piece().await;
        piece.write(results.get().init_chunk());
        Ok(())
    }
}

enum Part {
    Data(Bytes),
    End,
}

/// The body that starts with `first` and goes on with what `more` gives. `hold` is kept until its
/// end.
pub(crate) fn receive(
    first: Piece,
    more: Option<body::Client>,
    closed: Closed,
    hold: Rc<dyn std::any::Any>,
) -> Body {
    match first.state {
        State::End if first.data.is_empty() => return empty_body(),
        State::End => return full_body(first.data),
        State::More | State::Aborted => {}
    }
    let (parts, receiver) = mpsc::channel(READS);
    tokio::task::spawn_local(async move {
        let _hold = hold;
        if !first.data.is_empty() && parts.send(Part::Data(first.data)).await.is_err() {
            return;
        }
        if let (State::More, Some(more)) = (first.state, more) {
            tokio::select! {
                () = pull(more, &parts) => {}
                () = closed.wait() => {}
                () = parts.closed() => {}
            }
        }
    });
    from_parts(receiver)
}

async fn pull(more: body::Client, parts: &mpsc::Sender<Part>) {
    let read = || more.read_request().send().promise;
    let mut reads: FuturesOrdered<_> = (0..READS).map(|_| read()).collect();
    while let Some(Ok(response)) = reads.next().await {
        let piece = response.get().and_then(|r| Piece::read(r.get_chunk()?));
        let Ok(piece) = piece else { return };
        let part = match piece.state {
            State::More => Part::Data(piece.data),
            State::End => Part::End,
            State::Aborted => return,
        };
        if parts.send(part).await.is_err() || piece.state == State::End {
            return;
        }
        reads.push_back(read());
    }
}

fn from_parts(parts: mpsc::Receiver<Part>) -> Body {
    let frames = stream::unfold(Some(parts), |parts| async {
        let mut parts = parts?;
        match parts.recv().await {
            Some(Part::Data(data)) => Some((Ok(hyper::body::Frame::data(data)), Some(parts))),
            Some(Part::End) => None,
            None => Some((Err(Aborted), None)),
        }
    });
    StreamBody::new(frames.fuse()).boxed_unsync()
}
