//! The byte stream of a connection. It counts bytes and can emulate a network link in experiments.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{
    AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, DuplexStream, ReadBuf, duplex,
};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, sleep_until};
use wagtail_progress::Progress;
use wagtail_types::HostId;

use crate::counts::{Counter, Counters};
use crate::handshake::Purpose;
use crate::settings::{LinkEmulation, LinkState};

const DELAY_BUFFER_BYTES: usize = 1024 * 1024;
const DELAY_QUEUE_WRITES: usize = 1024;
const DOWN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A stream that counts its bytes by purpose.
pub(crate) struct Link {
    read: OwnedReadHalf,
    received: Progress,
    write: Writer,
    counters: Arc<Counters>,
    purpose: Option<Purpose>,
}

enum Writer {
    Direct(OwnedWriteHalf),
    Delayed(DuplexStream),
}

impl Link {
    pub(crate) fn new(stream: TcpStream, counters: Arc<Counters>) -> Self {
        let _ = stream.set_nodelay(true);
        let (read, write) = stream.into_split();
        Self {
            read,
            received: Progress::default(),
            write: Writer::Direct(write),
            counters,
            purpose: None,
        }
    }

    /// Returns the record of when bytes were last received.
    pub(crate) fn received(&self) -> &Progress {
        &self.received
    }

    /// Sets the purpose under which the following bytes are counted.
    pub(crate) fn set_purpose(&mut self, purpose: Purpose) {
        self.purpose = Some(purpose);
    }

    /// Delays or blocks the following writes as the emulated link to `host` requires.
    pub(crate) fn with_emulation(mut self, host: HostId, emulation: LinkEmulation) -> Self {
        if let Writer::Direct(write) = self.write {
            let (local, remote) = duplex(DELAY_BUFFER_BYTES);
            let (queue, queued) = mpsc::channel(DELAY_QUEUE_WRITES);
            let scheduled = emulation.clone();
            tokio::task::spawn_local(schedule_writes(remote, queue, scheduled, host.clone()));
            tokio::task::spawn_local(deliver_writes(write, queued, emulation, host));
            self.write = Writer::Delayed(local);
        }
        self
    }

    fn count(&self, read: usize, written: usize) {
        let (received, sent): (&Counter, &Counter) = match self.purpose {
            Some(Purpose::Relay) => (&self.counters.relay_in, &self.counters.relay_out),
            _ => (&self.counters.control_in, &self.counters.control_out),
        };
        received.add(read as u64);
        sent.add(written as u64);
    }
}

/// Queues written bytes with the time at which they are due.
async fn schedule_writes(
    mut buffered: DuplexStream,
    queue: mpsc::Sender<(Instant, BytesMut)>,
    emulation: LinkEmulation,
    host: HostId,
) {
    const WRITE_BYTES: usize = 64 * 1024;
    loop {
        let mut data = BytesMut::with_capacity(WRITE_BYTES);
        if !matches!(buffered.read_buf(&mut data).await, Ok(1..)) {
            return;
        }
        let delay = match emulation.state(&host) {
            LinkState::Up(delay) => delay,
            LinkState::Down => Duration::ZERO,
        };
        if queue.send((Instant::now() + delay, data)).await.is_err() {
            return;
        }
    }
}

/// Sends each queued write when it is due and its link is up.
async fn deliver_writes(
    mut write: OwnedWriteHalf,
    mut queued: mpsc::Receiver<(Instant, BytesMut)>,
    emulation: LinkEmulation,
    host: HostId,
) {
    while let Some((due, data)) = queued.recv().await {
        sleep_until(due).await;
        while emulation.state(&host) == LinkState::Down {
            sleep(DOWN_POLL_INTERVAL).await;
        }
        if write.write_all(&data).await.is_err() {
            return;
        }
    }
}

impl AsyncRead for Link {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.read).poll_read(cx, buf);
        let count = buf.filled().len() - before;
        if count > 0 {
            self.received.record();
        }
        self.count(count, 0);
        polled
    }
}

impl AsyncWrite for Link {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = match &mut self.write {
            Writer::Direct(write) => Pin::new(write).poll_write(cx, data),
            Writer::Delayed(write) => Pin::new(write).poll_write(cx, data),
        };
        if let Poll::Ready(Ok(written)) = polled {
            self.count(0, written);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match &mut self.write {
            Writer::Direct(write) => Pin::new(write).poll_flush(cx),
            Writer::Delayed(write) => Pin::new(write).poll_flush(cx),
        }
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match &mut self.write {
            Writer::Direct(write) => Pin::new(write).poll_shutdown(cx),
            Writer::Delayed(write) => Pin::new(write).poll_shutdown(cx),
        }
    }
}
