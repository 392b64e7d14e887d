//! The byte stream under a connection: counted, and delayed where an experiment asks for it.

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
use wagtail_types::HostId;

use crate::counts::{Counter, Counters};
use crate::handshake::Purpose;
use crate::settings::{Line, Lines};

const DELAY_BUFFER_BYTES: usize = 1024 * 1024;
const DELAY_WRITES: usize = 1024;
const DOWN_POLL: Duration = Duration::from_millis(5);

/// A stream whose bytes are counted.
pub(crate) struct Link {
    read: OwnedReadHalf,
    write: Sink,
    counters: Arc<Counters>,
    purpose: Option<Purpose>,
}

enum Sink {
    Direct(OwnedWriteHalf),
    Delayed(DuplexStream),
}

impl Link {
    pub(crate) fn new(stream: TcpStream, counters: Arc<Counters>) -> Self {
        let _ = stream.set_nodelay(true);
        let (read, write) = stream.into_split();
        Self {
            read,
            write: Sink::Direct(write),
            counters,
            purpose: None,
        }
    }

    /// Counts the bytes that follow under a purpose.
    pub(crate) fn set_purpose(&mut self, purpose: Purpose) {
        self.purpose = Some(purpose);
    }

    /// Writes that follow behave as the line to `host` does.
    pub(crate) fn set_line(mut self, host: HostId, lines: Lines) -> Self {
        if let Sink::Direct(write) = self.write {
            let (near, far) = duplex(DELAY_BUFFER_BYTES);
            let (queue, queued) = mpsc::channel(DELAY_WRITES);
            let stamps = lines.clone();
            tokio::task::spawn_local(stamp(far, queue, stamps, host.clone()));
            tokio::task::spawn_local(deliver(write, queued, lines, host));
            self.write = Sink::Delayed(near);
        }
        self
    }

    fn count(&self, read: usize, written: usize) {
        let (inward, outward): (&Counter, &Counter) = match self.purpose {
            Some(Purpose::Relay) => (&self.counters.relay_in, &self.counters.relay_out),
            _ => (&self.counters.control_in, &self.counters.control_out),
        };
        inward.add(read as u64);
        outward.add(written as u64);
    }
}

async fn stamp(
    mut far: DuplexStream,
    queue: mpsc::Sender<(Instant, BytesMut)>,
    lines: Lines,
    host: HostId,
) {
    const WRITE_BYTES: usize = 64 * 1024;
    loop {
        let mut data = BytesMut::with_capacity(WRITE_BYTES);
        if !matches!(far.read_buf(&mut data).await, Ok(1..)) {
            return;
        }
        let delay = match lines.state(&host) {
            Line::Up(delay) => delay,
            Line::Down => Duration::ZERO,
        };
        if queue.send((Instant::now() + delay, data)).await.is_err() {
            return;
        }
    }
}

async fn deliver(
    mut write: OwnedWriteHalf,
    mut queued: mpsc::Receiver<(Instant, BytesMut)>,
    lines: Lines,
    host: HostId,
) {
    while let Some((at, data)) = queued.recv().await {
        sleep_until(at).await;
        while lines.state(&host) == Line::Down {
            sleep(DOWN_POLL).await;
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
        self.count(buf.filled().len() - before, 0);
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
            Sink::Direct(write) => Pin::new(write).poll_write(cx, data),
            Sink::Delayed(write) => Pin::new(write).poll_write(cx, data),
        };
        if let Poll::Ready(Ok(written)) = polled {
            self.count(0, written);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match &mut self.write {
            Sink::Direct(write) => Pin::new(write).poll_flush(cx),
            Sink::Delayed(write) => Pin::new(write).poll_flush(cx),
        }
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match &mut self.write {
            Sink::Direct(write) => Pin::new(write).poll_shutdown(cx),
            Sink::Delayed(write) => Pin::new(write).poll_shutdown(cx),
        }
    }
}
