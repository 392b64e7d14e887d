//! Control messages: packed frames one way, and a byte back for each frame.

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

const BATCH: usize = 64;
const FRAMES: usize = 16;
const TAKEN: u8 = 1;

/// Frames on their way into a connection.
pub(crate) struct Frames(mpsc::Sender<Vec<u8>>);

impl Channel for Frames {
    const PURPOSE: Purpose = Purpose::Control;

    fn start(link: Link, limits: &Limits) -> (Self, LocalBoxFuture<'static, ()>) {
        let (frames, queued) = mpsc::channel(FRAMES);
        (Self(frames), pump(link, queued, limits.stall).boxed_local())
    }
}

/// Writes frames until the connection breaks or its other end takes none for the stall time.
async fn pump(link: Link, mut queued: mpsc::Receiver<Vec<u8>>, stall: std::time::Duration) {
    const BYTES_AT_ONCE: usize = 64;
    let (mut read, mut write) = tokio::io::split(link);
    let (mut waiting, mut since) = (0_usize, Instant::now());
    let mut taken = [0; BYTES_AT_ONCE];
    loop {
        tokio::select! {
            frame = queued.recv() => {
                let Some(frame) = frame else { return };
                if waiting == 0 {
                    since = Instant::now();
                }
                waiting += 1;
                if !matches!(timeout(stall, write.write_all(&frame)).await, Ok(Ok(()))) {
                    return;
                }
            }
            count = read.read(&mut taken) => {
                let Ok(count @ 1..) = count else { return };
                waiting = waiting.saturating_sub(count);
                since = Instant::now();
            }
            () = sleep_until(since + stall), if waiting > 0 => return,
        }
    }
}

/// Sends what arrives in the queue, for as long as the host is known.
pub(crate) async fn send_all(
    shared: Rc<Shared>,
    remote: Rc<Remote>,
    mut queue: mpsc::Receiver<Control>,
) {
    let mut batch = Vec::with_capacity(BATCH);
    while queue.recv_many(&mut batch, BATCH).await > 0 {
        match remote.control.get(&shared, &remote).await {
            Ok(connection) => send(&shared, &connection, &batch).await,
            Err(_) => shared.counters.messages_dropped.add(batch.len() as u64),
        }
        batch.clear();
    }
}

/// Sends a batch in as many frames as it needs. A message that is too large for one is dropped.
async fn send(shared: &Shared, connection: &Connection<Frames>, batch: &[Control]) {
    let limit = shared.settings.limits.message;
    let mut parts = vec![batch];
    while let Some(part) = parts.pop() {
        let count = part.len() as u64;
        if let Some(frame) = codec::frame(part, limit) {
            match connection.channel.0.send(frame).await {
                Ok(()) => shared.counters.messages_out.add(count),
                Err(_) => shared.counters.messages_dropped.add(count),
            }
        } else if count == 1 {
            shared.counters.messages_dropped.up();
        } else {
            let (first, second) = part.split_at(part.len() / 2);
            parts.extend([second, first]);
        }
    }
}

/// Takes frames from another host until the connection ends.
pub(crate) async fn receive_all(shared: &Shared, link: Link, from: &Identity) {
    let (mut read, mut write) = tokio::io::split(link);
    let limit = shared.settings.limits.message;
    while let Ok(length) = read.read_u32_le().await {
        if u64::from(length) > limit.0 {
            shared.counters.malformed.up();
            return;
        }
        let mut bytes = vec![0; length as usize];
        if read.read_exact(&mut bytes).await.is_err() {
            return;
        }
        let taken = codec::unpack(&bytes, limit, |message| match message {
            Ok(message) => {
                shared.counters.messages_in.up();
                shared
                    .handler
                    .control(&from.host, from.incarnation, message);
            }
            Err(_) => shared.counters.malformed.up(),
        });
        if taken.is_err() {
            shared.counters.malformed.up();
            return;
        }
        if write.write_u8(TAKEN).await.is_err() {
            return;
        }
    }
}
