//! Control connections: packed frames in one direction, one acknowledgement byte per frame in the
//! other, and further bytes while a large frame arrives.

use std::cell::Cell;
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt as _;
use futures_util::future::LocalBoxFuture;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::sync::mpsc;
use wagtail_progress::Progress;

use crate::client::{Channel, Connection};
use crate::codec;
use crate::handshake::{Identity, Purpose};
use crate::link::Link;
use crate::message::Control;
use crate::settings::Limits;
use crate::worker::{Remote, Shared};

const BATCH_MESSAGES: usize = 64;
const QUEUED_FRAMES: usize = 16;
/// Acknowledges a whole frame.
const ACK: u8 = 1;
/// Acknowledges `PARTIAL_BYTES` of a frame. Earlier builds take it for an [`ACK`], and then only
/// notice a stall later.
const PARTIAL_ACK: u8 = 2;
const PARTIAL_BYTES: usize = 16 * 1024;

/// Queues frames for a connection.
pub(crate) struct FrameSender(mpsc::Sender<Vec<u8>>);

impl Channel for FrameSender {
    const PURPOSE: Purpose = Purpose::Control;

    fn start(link: Link, limits: &Limits) -> (Self, LocalBoxFuture<'static, ()>) {
        let (frames, queued) = mpsc::channel(QUEUED_FRAMES);
        (
            Self(frames),
            write_frames(link, queued, limits.stall_timeout).boxed_local(),
        )
    }
}

/// Writes frames until the connection breaks or nothing of those in flight is acknowledged for the
/// stall timeout.
async fn write_frames(link: Link, mut queued: mpsc::Receiver<Vec<u8>>, stall_timeout: Duration) {
    let (mut read, mut write) = tokio::io::split(link);
    let in_flight = InFlight::default();
    let write_all = async {
        while let Some(frame) = queued.recv().await {
            in_flight.add();
            if write.write_all(&frame).await.is_err() {
                return;
            }
        }
    };
    tokio::select! {
        () = write_all => {}
        () = in_flight.read_acks(&mut read) => {}
        () = in_flight.detect_stall(stall_timeout) => {}
    }
}

/// Counts the frames that were sent and not acknowledged.
#[derive(Default)]
struct InFlight {
    frames: Cell<usize>,
    acknowledged: Progress,
}

impl InFlight {
    fn add(&self) {
        if self.frames.get() == 0 {
            self.acknowledged.record();
        }
        self.frames.set(self.frames.get() + 1);
    }

    /// Reads acknowledgements until the connection ends.
    async fn read_acks(&self, read: &mut (impl AsyncRead + Unpin)) {
        const ACKS_PER_READ: usize = 64;
        let mut acks = [0; ACKS_PER_READ];
        while let Ok(count @ 1..) = read.read(&mut acks).await {
            let whole = acks[..count].iter().filter(|ack| **ack != PARTIAL_ACK);
            self.frames
                .set(self.frames.get().saturating_sub(whole.count()));
            self.acknowledged.record();
        }
    }

    /// Returns once frames are in flight and no acknowledgement arrives for `limit`.
    async fn detect_stall(&self, limit: Duration) {
        loop {
            let stalled = self.acknowledged.until_stalled(limit, pending::<()>());
            if stalled.await.is_err() && self.frames.get() > 0 {
                return;
            }
        }
    }
}

/// Sends queued messages until the queue closes, which happens when the host is no longer known.
pub(crate) async fn send_all(
    shared: Rc<Shared>,
    remote: Rc<Remote>,
    mut queue: mpsc::Receiver<Control>,
) {
    let mut batch = Vec::with_capacity(BATCH_MESSAGES);
    while queue.recv_many(&mut batch, BATCH_MESSAGES).await > 0 {
        match remote.control.get(&shared, &remote).await {
            Ok(connection) => send_batch(&shared, &connection, &batch).await,
            Err(_) => shared.counters.messages_dropped.add(batch.len() as u64),
        }
        batch.clear();
    }
}

/// Sends a batch in as many frames as the size limit requires. A message over the limit is dropped.
async fn send_batch(shared: &Shared, connection: &Connection<FrameSender>, batch: &[Control]) {
    let limit = shared.settings.limits.message_size;
    let mut parts = vec![batch];
    while let Some(part) = parts.pop() {
        let count = part.len() as u64;
        if let Some(frame) = codec::encode_frame(part, limit) {
            match connection.channel.0.send(frame).await {
                Ok(()) => shared.counters.messages_out.add(count),
                Err(_) => shared.counters.messages_dropped.add(count),
            }
        } else if count == 1 {
            shared.counters.messages_dropped.increment();
        } else {
            let (first, second) = part.split_at(part.len() / 2);
            parts.extend([second, first]);
        }
    }
}

/// Receives frames from another host, and acknowledges each, until the connection ends.
pub(crate) async fn receive_all(shared: &Shared, link: Link, from: &Identity) {
    let (mut read, mut write) = tokio::io::split(link);
    let limit = shared.settings.limits.message_size;
    while let Ok(length) = read.read_u32_le().await {
        if u64::from(length) > limit.0 {
            shared.counters.malformed.increment();
            return;
        }
        let mut bytes = vec![0; length as usize];
        let mut parts = bytes.chunks_mut(PARTIAL_BYTES).peekable();
        while let Some(part) = parts.next() {
            if read.read_exact(part).await.is_err() {
                return;
            }
            if parts.peek().is_some() {
                shared.handler.receiving(&from.host);
                if write.write_u8(PARTIAL_ACK).await.is_err() {
                    return;
                }
            }
        }
        let unpacked = codec::unpack(&bytes, limit, |message| match message {
            Ok(message) => {
                shared.counters.messages_in.increment();
                shared
                    .handler
                    .control(&from.host, from.incarnation, message);
            }
            Err(_) => shared.counters.malformed.increment(),
        });
        if unpacked.is_err() {
            shared.counters.malformed.increment();
            return;
        }
        if write.write_u8(ACK).await.is_err() {
            return;
        }
    }
}
