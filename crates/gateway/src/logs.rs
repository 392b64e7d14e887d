//! Logging to standard output through a buffer and a writer thread, so that no request waits for
//! the output.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

use slog::{Drain, Logger, Never, OwnedKVList, Record, error, o};
use wagtail_task::panic_message;

/// The size in bytes of the buffer; lines that do not fit are dropped and counted.
const BUFFER_MAX_BYTES: usize = 256 << 10;
/// The pause between two writes, during which lines collect to be written with one call.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);

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
        let was_empty = buffer.bytes.is_empty();
        buffer.bytes.extend_from_slice(line);
        drop(buffer);
        if was_empty {
            self.filled.notify_one();
        }
    }

    /// Counts a line that cannot be written.
    fn drop_line(&self) {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        buffer.dropped += 1;
    }

    fn wait_and_take(&self) -> Buffer {
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

/// Formats each record on its own, so that a value whose formatting panics leaves neither a lock nor a
/// part of a line behind.
struct LineDrain(Arc<Queue>);

impl Drain for LineDrain {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        let mut line = Vec::new();
        let json = slog_json::Json::new(&mut line)
            .add_key_value(o!(
                "ts" => slog::FnValue(|_| wall_seconds()),
                "level" => slog::FnValue(|r| r.level().as_short_str()),
                "msg" => slog::PushFnValue(|r, ser| ser.emit(r.msg())),
            ))
            .build();
        let formatted = json.log(record, values);
        drop(json);
        match formatted {
            Ok(()) => self.0.push(&line),
            Err(_) => self.0.drop_line(),
        }
        Ok(())
    }
}

/// Writes out the buffered lines when it is dropped at the end of a process.
#[derive(Debug)]
pub struct LogFlusher(Arc<Queue>);

impl Drop for LogFlusher {
    fn drop(&mut self) {
        let buffer = {
            let mut waiting = self.0.buffer.lock().unwrap_or_else(PoisonError::into_inner);
            std::mem::take(&mut *waiting)
        };
        write(&buffer);
    }
}

fn write(buffer: &Buffer) {
    let mut out = io::stdout().lock();
    // If standard output fails, there is nowhere to report it.
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

/// Creates a logger that writes JSON lines to standard output, and a handle that flushes its
/// buffer when it is dropped.
///
/// # Errors
///
/// Returns an error if the writer thread cannot be started.
pub fn stdout_logger() -> io::Result<(Logger, LogFlusher)> {
    const STACK_BYTES: usize = 64 << 10;
    let queue = Arc::new(Queue::default());
    let writer = queue.clone();
    std::thread::Builder::new()
        .name("log".into())
        .stack_size(STACK_BYTES)
        .spawn(move || {
            loop {
                let buffer = writer.wait_and_take();
                write(&buffer);
                std::thread::sleep(WRITE_INTERVAL);
            }
        })?;
    let logger = Logger::root(LineDrain(queue.clone()), o!());
    Ok((logger, LogFlusher(queue)))
}

/// Logs each panic of the process with its place, instead of a report on standard error.
pub fn log_panics(log: &Logger) {
    let log = log.clone();
    std::panic::set_hook(Box::new(move |panic| {
        let thread = std::thread::current();
        let at = panic.location().map(ToString::to_string);
        error!(log, "the program panicked"; "cause" => panic_message(panic.payload()), "at" => at,
            "thread" => thread.name());
    }));
}

/// Returns the wall-clock time in seconds, to the millisecond; only for readers of the log.
fn wall_seconds() -> f64 {
    use wagtail_types::{Clock, SystemClock};
    let wall = SystemClock
        .wall()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    (wall.as_millis() as f64) / 1_000.0
}
