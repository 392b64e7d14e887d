//! Reconstructs what happened to one request from the logs of hosts.

use std::fmt::Write;
use std::io::BufRead;

use serde::Deserialize;
use serde_json::{Map, Value};

use crate::CtlError;

/// Seconds before a request's arrival in which a change of the host's state may explain the outcome.
/// This is well above the time within which configuration changes are in force.
const CONTEXT_BEFORE_S: f64 = 30.0;
/// Seconds after a request's arrival in which its host may have detected the cause of the outcome.
const CONTEXT_AFTER_S: f64 = 5.0;
/// Messages about the state of the whole host, which may concern every request.
const GENERAL_MESSAGES: [&str; 21] = [
    "configuration in force",
    "configuration refused",
    "part of the configuration cannot be used; rejecting its requests",
    "evacuation",
    "endpoint says that it leaves; sending it no further requests",
    "endpoint asks for a pause; sending it no requests meanwhile",
    "endpoint names a limit on its requests",
    "endpoint names no limit on its requests any more",
    "endpoint says something that this host does not know; ignoring it",
    "endpoint ended while requests ran there",
    "claimed a trial of a rejected request",
    "request ended well; endpoints that ended under equal ones no longer count",
    "registry does not answer",
    "registry answers again",
    "registry history gone",
    // Written by earlier builds, whose logs are read as well.
    "host silent",
    "no digest from host within the failure-detection timeout",
    "duty ended",
    "work panicked and was given up",
    "stopping",
    "lines dropped",
];

/// A line of a host's log, parsed from JSON.
#[derive(Debug, Clone, Deserialize)]
struct LogLine {
    msg: String,
    #[serde(default)]
    ts: f64,
    #[serde(flatten)]
    fields: Map<String, Value>,
}

impl LogLine {
    fn text(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or("")
    }

    fn integer(&self, name: &str) -> u64 {
        self.fields.get(name).and_then(Value::as_u64).unwrap_or(0)
    }

    fn is_request(&self) -> bool {
        self.msg == "request"
    }

    /// Returns when the request arrived, in seconds on the clock of `ts`, since `ts` is when it ended.
    fn arrival(&self) -> f64 {
        self.ts - self.integer("ms") as f64 / 1_000.0
    }
}

/// The parsed lines of one log file.
#[derive(Debug)]
struct HostLog {
    name: String,
    lines: Vec<LogLine>,
    /// Count of lines that are not host log lines, since other programs may write to the same file.
    unrecognized: usize,
}

/// Holds the logs that requests are looked up in.
#[derive(Debug, Default)]
pub struct Logs {
    logs: Vec<HostLog>,
}

impl Logs {
    /// Reads a host's log. Text before the first `{` of a line is ignored as a prefix that a log
    /// collector added.
    ///
    /// # Errors
    ///
    /// Returns [`CtlError::Input`] if reading fails.
    pub fn read(&mut self, name: &str, log: impl BufRead) -> Result<(), CtlError> {
        let (mut lines, mut unrecognized) = (Vec::new(), 0);
        for line in log.split(b'\n') {
            let line = line.map_err(|e| CtlError::Input {
                name: name.to_owned(),
                reason: e.to_string(),
            })?;
            let json_start = line.iter().position(|b| *b == b'{');
            match json_start.map(|start| serde_json::from_slice(&line[start..])) {
                Some(Ok(line)) => lines.push(line),
                Some(Err(_)) => unrecognized += 1,
                None => unrecognized += usize::from(!line.trim_ascii().is_empty()),
            }
        }
        self.logs.push(HostLog {
            name: name.to_owned(),
            lines,
            unrecognized,
        });
        Ok(())
    }

    /// Returns a report of a request: its outcome, its attempts, and what its host logged around that
    /// time about the endpoints involved or about itself.
    ///
    /// # Errors
    ///
    /// Returns [`CtlError::Missing`] if no log line describes the request.
    pub fn explain(&self, id: &str) -> Result<String, CtlError> {
        let mut text = String::new();
        for log in &self.logs {
            let lines = log.lines.iter();
            for request in lines.filter(|l| l.is_request() && l.text("request") == id) {
                log.write_request(request, &mut text);
            }
        }
        if text.is_empty() {
            return Err(CtlError::Missing(self.not_found_message(id)));
        }
        Ok(text)
    }

    fn not_found_message(&self, id: &str) -> String {
        let lines = self.logs.iter().flat_map(|l| &l.lines);
        let skipped: u64 = lines.map(|l| l.integer("skipped")).sum();
        let unrecognized: usize = self.logs.iter().map(|l| l.unrecognized).sum();
        let unrecognized = match unrecognized {
            0 => String::new(),
            count => format!("; {count} lines are not host log lines"),
        };
        format!(
            "no log line for request {id}; {skipped} requests were not logged because log lines are \
             rate-limited{unrecognized}"
        )
    }
}

impl HostLog {
    fn write_request(&self, request: &LogLine, text: &mut String) {
        let may_have_run = match request.fields.get("ran") {
            Some(Value::Bool(true)) => "maybe",
            _ => "no",
        };
        let attempts: Vec<&str> = request.text("attempts").split("; ").collect();
        let attempts: Vec<&str> = attempts.into_iter().filter(|a| !a.is_empty()).collect();
        let mut push_line = |line: String| {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "{line}");
        };
        push_line(format!(
            "request {} in {}: {} after {} ms ({}), ran: {may_have_run}",
            request.text("request"),
            self.name,
            request.integer("status"),
            request.integer("ms"),
            request.text("reason"),
        ));
        let fingerprint = request.text("fingerprint");
        push_line(format!(
            "  route {}, team {}, object {}, configuration {}{}",
            request.text("route"),
            request.text("team"),
            Some(request.text("object"))
                .filter(|o| !o.is_empty())
                .unwrap_or("none"),
            request.integer("config"),
            if fingerprint.is_empty() {
                String::new()
            } else {
                format!(", fingerprint {fingerprint}")
            },
        ));
        for (index, attempt) in attempts.iter().enumerate() {
            push_line(format!("  attempt {}: {attempt}", index + 1));
        }
        if let Some(miss) = Some(request.text("miss")).filter(|m| !m.is_empty()) {
            push_line(format!("  no further endpoint: {miss}"));
        }
        let endpoints: Vec<&str> = attempts
            .iter()
            .filter_map(|a| a.split(' ').next())
            .collect();
        let related = self.lines.iter().filter(|line| {
            let offset = line.ts - request.arrival();
            let same_endpoint = endpoints.contains(&line.text("endpoint"));
            let in_window = (-CONTEXT_BEFORE_S..=CONTEXT_AFTER_S).contains(&offset);
            let in_force = line.msg == "configuration in force"
                && line.fields.get("config") == request.fields.get("config");
            let is_equal =
                !fingerprint.is_empty() && line.text("fingerprints").contains(fingerprint);
            !line.is_request()
                && (in_force
                    || is_equal
                    || in_window && (same_endpoint || GENERAL_MESSAGES.contains(&&*line.msg)))
        });
        for line in related {
            let mut fields = String::new();
            for (name, value) in line.fields.iter().filter(|(name, _)| *name != "level") {
                let _ = write!(fields, " {name}={value}");
            }
            let offset = line.ts - request.arrival();
            push_line(format!("  {offset:+.3} s: {}{fields}", line.msg));
        }
    }
}
