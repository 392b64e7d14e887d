//! Log lines on standard output, gathered and written by a thread so that no request waits.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

use slog::{Drain, Logger, o};

/// Lines waiting to be written; more are dropped and counted.
const BUFFER_MAX_BYTES: usize = 256 << 10;
/// The time over which lines gather, to write them with one call.
const GATHER: Duration = Duration::from_millis(200);

#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    dropped: u64,
}

#[derive(Debug, Default)]
struct Queue {
    buffer: Mutex<Buffer>,
    filled: Condvar,
}

impl Queue {
    fn push(&self, line: &[u8]) {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.bytes.len() + line.len() > BUFFER_MAX_BYTES {
            buffer.dropped += 1;
            return;
        }
        let first = buffer.bytes.is_empty();
        buffer.bytes.extend_from_slice(line);
        drop(buffer);
        if first {
            self.filled.notify_one();
        }
    }

    fn pull(&self) -> Buffer {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        while buffer.bytes.is_empty() {
            buffer = self
                .filled
                .wait(buffer)
                .unwrap_or_else(PoisonError::into_inner);
        }
        std::mem::take(&mut *buffer)
    }
}

/// Collects the parts of a line until its end.
struct Lines {
    queue: Arc<Queue>,
    line: Vec<u8>,
}

impl Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.ends_with(b"\n") {
            self.queue.push(&self.line);
            self.line.clear();
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes what is waiting, at the end of a process.
#[derive(Debug, Clone)]
pub struct Flush(Arc<Queue>);

impl Flush {
    /// Writes all lines that wait.
    pub fn flush(&self) {
        let buffer = {
            let mut waiting = self.0.buffer.lock().unwrap_or_else(PoisonError::into_inner);
            std::mem::take(&mut *waiting)
        };
        write(&buffer);
    }
}

fn write(buffer: &Buffer) {
    let mut out = io::stdout().lock();
    // With standard output gone there is nowhere to say so.
    let _ = out.write_all(&buffer.bytes);
    if buffer.dropped > 0 {
        let _ = writeln!(
            out,
            r#"{{"msg":"lines dropped","count":{}}}"#,
            buffer.dropped
        );
    }
    let _ = out.flush();
}

/// A logger of JSON lines on standard output, and a handle to write out what waits.
///
/// # Errors
///
/// If the thread that writes cannot be started.
pub fn stdout_logger() -> io::Result<(Logger, Flush)> {
    const STACK_BYTES: usize = 64 << 10;
    let queue = Arc::new(Queue::default());
    let writer = queue.clone();
    std::thread::Builder::new()
        .name("log".into())
        .stack_size(STACK_BYTES)
        .spawn(move || {
            loop {
                let first = writer.pull();
                write(&first);
                std::thread::sleep(GATHER);
            }
        })?;
    let lines = Lines {
        queue: queue.clone(),
        line: Vec::new(),
    };
    let json = slog_json::Json::new(lines)
        .add_key_value(o!(
            "ts" => slog::FnValue(|_| wall_seconds()),
            "level" => slog::FnValue(|r| r.level().as_short_str()),
            "msg" => slog::PushFnValue(|r, ser| ser.emit(r.msg())),
        ))
        .build();
    let logger = Logger::root(Mutex::new(json).fuse(), o!());
    Ok((logger, Flush(queue)))
}

/// Wall-clock time in seconds, to the millisecond; only for the reader of a log.
fn wall_seconds() -> f64 {
    use wagtail_types::{Clock, SystemClock};
    let wall = SystemClock
        .wall()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    (wall.as_millis() as f64) / 1_000.0
}
