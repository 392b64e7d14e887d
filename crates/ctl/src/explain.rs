//! The story of one request from the logs of hosts.

use std::fmt::Write;
use std::io::BufRead;

use serde::Deserialize;
use serde_json::{Map, Value};

use crate::CtlError;

/// Seconds before a request in which a change of what its host believed may explain its end: well
/// above the time within which changes are in force.
const BEFORE_S: f64 = 30.0;
/// Seconds after it in which the host may have noticed what was wrong.
const AFTER_S: f64 = 5.0;
/// Lines on the host's beliefs that concern every request.
const GENERAL: [&str; 10] = [
    "configuration in force",
    "configuration refused",
    "evacuation",
    "registry does not answer",
    "registry answers again",
    "registry history gone",
    // Earlier builds wrote "host silent"; their logs are read as well.
    "host silent",
    "no digest from host within the failure-detection timeout",
    "stopping",
    "lines dropped",
];

/// One line of a host's log.
#[derive(Debug, Clone, Deserialize)]
struct Line {
    msg: String,
    #[serde(default)]
    ts: f64,
    #[serde(flatten)]
    fields: Map<String, Value>,
}

impl Line {
    fn text(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or("")
    }

    fn number(&self, name: &str) -> u64 {
        self.fields.get(name).and_then(Value::as_u64).unwrap_or(0)
    }

    fn is_request(&self) -> bool {
        self.msg == "request"
    }

    /// The time at which a request arrived.
    fn arrival(&self) -> f64 {
        self.ts - self.number("ms") as f64 / 1_000.0
    }
}

/// A host's log.
#[derive(Debug)]
struct Log {
    name: String,
    lines: Vec<Line>,
    /// Lines that are not a host's; other programs may write to the same file.
    strange: usize,
}

/// The logs in which requests are looked up.
#[derive(Debug, Default)]
pub struct Logs {
    logs: Vec<Log>,
}

impl Logs {
    /// Reads a host's log. What stands before the first `{` of a line is taken for a collector's own.
    ///
    /// # Errors
    ///
    /// [`CtlError::Input`] if it cannot be read.
    pub fn read(&mut self, name: &str, log: impl BufRead) -> Result<(), CtlError> {
        let (mut lines, mut strange) = (Vec::new(), 0);
        for line in log.split(b'\n') {
            let line = line.map_err(|e| CtlError::Input {
                name: name.to_owned(),
                reason: e.to_string(),
            })?;
            let start = line.iter().position(|b| *b == b'{');
            match start.map(|at| serde_json::from_slice(&line[at..])) {
                Some(Ok(line)) => lines.push(line),
                Some(Err(_)) => strange += 1,
                None => strange += usize::from(!line.trim_ascii().is_empty()),
            }
        }
        self.logs.push(Log {
            name: name.to_owned(),
            lines,
            strange,
        });
        Ok(())
    }

    /// Tells what happened to a request, and what its host learned around it.
    ///
    /// # Errors
    ///
    /// [`CtlError::Missing`] if no line is on the request.
    pub fn explain(&self, id: &str) -> Result<String, CtlError> {
        let mut text = String::new();
        for log in &self.logs {
            let found = log.lines.iter();
            for request in found.filter(|l| l.is_request() && l.text("request") == id) {
                log.tell(request, &mut text);
            }
        }
        if text.is_empty() {
            return Err(CtlError::Missing(self.missing(id)));
        }
        Ok(text)
    }

    fn missing(&self, id: &str) -> String {
        let lines = self.logs.iter().flat_map(|l| &l.lines);
        let skipped: u64 = lines.map(|l| l.number("skipped")).sum();
        let strange: usize = self.logs.iter().map(|l| l.strange).sum();
        let strange = match strange {
            0 => String::new(),
            count => format!("; {count} lines are not a host's"),
        };
        format!(
            "no line is on request {id}; {skipped} requests got none, as lines are bounded{strange}"
        )
    }
}

impl Log {
    fn tell(&self, request: &Line, text: &mut String) {
        let ran = match request.fields.get("ran") {
            Some(Value::Bool(true)) => "maybe",
            _ => "no",
        };
        let attempts: Vec<&str> = request.text("attempts").split("; ").collect();
        let attempts: Vec<&str> = attempts.into_iter().filter(|a| !a.is_empty()).collect();
        let mut say = |line: String| {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "{line}");
        };
        say(format!(
            "request {} in {}: {} after {} ms ({}), ran: {ran}",
            request.text("request"),
            self.name,
            request.number("status"),
            request.number("ms"),
            request.text("reason"),
        ));
        say(format!(
            "  route {}, team {}, object {}, configuration {}",
            request.text("route"),
            request.text("team"),
            Some(request.text("object"))
                .filter(|o| !o.is_empty())
                .unwrap_or("none"),
            request.number("config"),
        ));
        for (i, attempt) in attempts.iter().enumerate() {
            say(format!("  attempt {}: {attempt}", i + 1));
        }
        if let Some(miss) = Some(request.text("miss")).filter(|m| !m.is_empty()) {
            say(format!("  no further endpoint: {miss}"));
        }
        let endpoints: Vec<&str> = attempts
            .iter()
            .filter_map(|a| a.split(' ').next())
            .collect();
        let around = self.lines.iter().filter(|line| {
            let gap = line.ts - request.arrival();
            let of_these = endpoints.contains(&line.text("endpoint"));
            let near = (-BEFORE_S..=AFTER_S).contains(&gap);
            let in_force = line.msg == "configuration in force"
                && line.fields.get("config") == request.fields.get("config");
            !line.is_request() && (in_force || near && (of_these || GENERAL.contains(&&*line.msg)))
        });
        for line in around {
            let mut fields = String::new();
            for (name, value) in line.fields.iter().filter(|(name, _)| *name != "level") {
                let _ = write!(fields, " {name}={value}");
            }
            let gap = line.ts - request.arrival();
            say(format!("  {gap:+.3} s: {}{fields}", line.msg));
        }
    }
}
