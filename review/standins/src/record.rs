//! The record of a case: what was sent, answered and run.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Lines with their time since the start of the case.
#[derive(Debug, Clone)]
pub struct Record {
    began: Instant,
    lines: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            began: Instant::now(),
            lines: Arc::default(),
        }
    }

    /// Returns the seconds since the start of the case.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.began).as_secs_f64()
    }

    pub fn note(&self, text: impl Into<String>) {
        self.note_at(Instant::now(), text);
    }

    pub fn note_at(&self, at: Instant, text: impl Into<String>) {
        let mut lines = self.lines.lock().expect("no thread panics with the lock");
        lines.push((at, text.into()));
    }

    /// Prints a line as well.
    pub fn say(&self, text: impl Into<String>) {
        let text = text.into();
        println!("{text}");
        self.note(text);
    }

    /// Writes all lines in the order of their times.
    pub fn write(&self, path: &Path) -> std::io::Result<()> {
        let mut lines = self.lines.lock().expect("no thread panics with the lock");
        lines.sort_by_key(|(at, _)| *at);
        let mut file = BufWriter::new(File::create(path)?);
        for (at, text) in &*lines {
            writeln!(file, "{:9.3} {text}", self.seconds(*at))?;
        }
        file.flush()
    }
}
