//! Tests the log of the host.

use std::fmt::{self, Display};

use slog::info;

/// A value that cannot be formatted.
struct Unprintable;

impl Display for Unprintable {
    fn fmt(&self, _: &mut fmt::Formatter<'_>) -> fmt::Result {
        panic!("it cannot be formatted")
    }
}

/// A panic while a line was formatted left the lock of the log poisoned, so that every later line, and with
/// it every request, panicked too.
#[test]
fn a_value_that_panics_costs_one_line() {
    let (log, _flusher) = wagtail_gateway::stdout_logger().expect("a thread can be started");
    let broken = wagtail_task::catch_sync(|| info!(log, "broken"; "value" => %Unprintable));
    assert!(broken.is_err());
    info!(log, "whole"; "value" => 1);
}
