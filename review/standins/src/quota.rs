//! The check of the rule QUOTA.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::client::Sent;
use crate::config::Tenant;
use crate::upstream::Run;

/// The bounds of the rule in the settings of the hosts.
const WINDOW: Duration = Duration::from_secs(5);
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;

/// The window with the most requests, and the number that the rule allows.
#[derive(Debug, Clone, Copy)]
pub struct Worst {
    pub from: Instant,
    pub count: usize,
    pub allowed: f64,
}

impl Worst {
    pub fn is_broken(&self) -> bool {
        #[expect(clippy::cast_precision_loss)]
        let count = self.count as f64;
        count > self.allowed
    }
}

/// Finds the window in which most requests of a tenant were both sent and run.
pub fn worst_window(tenant: &Tenant, sent: &[Sent], runs: &[Run]) -> Option<Worst> {
    let sent_at: HashMap<&str, Instant> = sent.iter().map(|s| (s.id.as_str(), s.at)).collect();
    let own = runs.iter().filter(|r| r.tenant == tenant.name);
    let times: Vec<(Instant, Instant)> = own
        .filter_map(|r| Some((*sent_at.get(r.id.as_str())?, r.at)))
        .collect();
    let allowed = (f64::from(tenant.rate) * WINDOW.as_secs_f64() + f64::from(tenant.burst))
        * (1.0 + OVERAGE)
        + SLACK;
    let count_from = |from: Instant| {
        let inside = |(sent, run): &&(Instant, Instant)| *sent >= from && *run < from + WINDOW;
        times.iter().filter(inside).count()
    };
    let starts = times.iter().map(|(sent, _)| *sent);
    let counts = starts.map(|from| (count_from(from), from));
    let (count, from) = counts.max_by_key(|(count, _)| *count)?;
    Some(Worst {
        from,
        count,
        allowed,
    })
}
