//! Control connections: packed frames in one direction, one acknowledgement byte per frame in the
//! other.

use std::rc::Rc;

use futures_util::FutureExt as _;
use futures_util::future::LocalBoxFuture;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout};

use crate::client::{Channel, Connection};
use crate::codec;
use crate::handshake::{Identity, Purpose};
use crate::link::Link;
use crate::message::Control;
use crate::settings::Limits;
use crate::worker::{Remote, Shared};

const BATCH_MESSAGES: usize = 64;
const QUEUED_FRAMES: usize = 16;
const ACK: u8 = 1;

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

/// Writes frames until the connection breaks or the receiver acknowledges none of those in flight
/// for the stall timeout.
async fn write_frames(
    link: Link,
    mut queued: mpsc::Receiver<Vec<u8>>,
    stall_timeout: std::time::Duration,
) {
    const ACKS_PER_READ: usize = 64;
    let (mut read, mut write) = tokio::io::split(link);
    let (mut in_flight, mut last_progress) = (0_usize, Instant::now());
    let mut acks = [0; ACKS_PER_READ];
    loop {
        tokio::select! {
            frame = queued.recv() => {
                let Some(frame) = frame else { return };
                if in_flight == 0 {
                    last_progress = Instant::now();
                }
                in_flight += 1;
                if !matches!(timeout(stall_timeout, write.write_all(&frame)).await, Ok(Ok(()))) {
                    return;
                }
            }
            count = read.read(&mut acks) => {
                let Ok(count @ 1..) = count else { return };
                in_flight = in_flight.saturating_sub(count);
                last_progress = Instant::now();
            }
            () = sleep_until(last_progress + stall_timeout), if in_flight > 0 => return,
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
        if read.read_exact(&mut bytes).await.is_err() {
            return;
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
