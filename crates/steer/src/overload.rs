//! Detects regions whose endpoints have had more requests than slots for some time.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use wagtail_types::ServiceId;

/// The load per slot above which the excess adds up.
const MAX_UTILIZATION: f64 = 0.95;
/// The greatest excess that counts at a time, in load per slot, so that a short burst is no overload.
const MAX_EXCESS: f64 = 1.0;
/// The excess from which a region counts as overloaded: so much work for all its slots.
const OVERLOAD: Duration = Duration::from_millis(300);
/// The greatest excess that is remembered.
const MAX_BACKLOG: Duration = Duration::from_secs(3);

/// The work of one service in one region beyond its slots.
#[derive(Debug)]
struct Backlog {
    /// The integral of the excess load per slot over time, in seconds.
    seconds: f64,
    updated_at: Instant,
}

/// The regions of each service, by region index.
#[derive(Debug, Default)]
pub(crate) struct OverloadMeter {
    backlogs: HashMap<ServiceId, Vec<Option<Backlog>>>,
}

impl OverloadMeter {
    /// Returns whether a region has been overloaded.
    pub(crate) fn is_overloaded(&self, service: &ServiceId, region: usize) -> bool {
        let backlogs = self.backlogs.get(service);
        let backlog = backlogs.and_then(|b| b.get(region)?.as_ref());
        backlog.is_some_and(|b| b.seconds >= OVERLOAD.as_secs_f64())
    }

    /// Records the load of a region: requests at its endpoints per slot.
    pub(crate) fn record(
        &mut self,
        service: &ServiceId,
        region: usize,
        utilization: f64,
        now: Instant,
    ) {
        let backlogs = self.backlogs.entry(service.clone()).or_default();
        if backlogs.len() <= region {
            backlogs.resize_with(region + 1, || None);
        }
        let backlog = backlogs[region].get_or_insert(Backlog {
            seconds: 0.0,
            updated_at: now,
        });
        let elapsed = now.duration_since(backlog.updated_at).as_secs_f64();
        let excess = (utilization - MAX_UTILIZATION).min(MAX_EXCESS);
        backlog.seconds =
            (backlog.seconds + excess * elapsed).clamp(0.0, MAX_BACKLOG.as_secs_f64());
        backlog.updated_at = now;
    }
}
