//! Limits of the deployment and tuning parameters of the decisions.

use std::time::Duration;

/// Limits that the deployment prescribes, and tuning parameters of membership and placement.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Retries per request that a service may receive; set by the deployment.
    pub retry_ratio: f64,
    /// Retries beyond that ratio in one window, across all hosts; set by the deployment.
    pub retry_slack: f64,
    /// The window of the retry budget; set by the deployment.
    pub retry_window: Duration,
    /// The window over which teams' rate limits are enforced; set by the deployment.
    pub quota_window: Duration,
    /// The fraction by which a team may exceed its limit in one window; set by the deployment.
    pub quota_overage: f64,
    /// Further requests by which a team may exceed its limit in one window; set by the deployment.
    pub quota_slack: f64,
    /// The share of a region's requests that may move between regions in one window; set by the
    /// deployment.
    pub max_shift: f64,
    /// The window of `max_shift`; given by the deployment's rules.
    pub shift_window: Duration,
    /// The digest period within the region; a few run times of a short request.
    pub near_period: Duration,
    /// The digest period to other regions, where bytes are expensive.
    pub far_period: Duration,
    /// The largest number of hosts of the region, and as many in other regions, that receive one
    /// digest; bounds the traffic of a host in a large fleet.
    pub fan_out: usize,
    /// The shortest failure-detection timeout, after which a silent host counts as failed; twice
    /// the digest period between regions plus one lost datagram.
    pub failure_timeout: Duration,
    /// How long a silent host still counts as sharing the limits before it is removed, because it
    /// may only be cut off; longer than most network partitions.
    pub forget_after: Duration,
    /// The utility of an answer after the target latency, relative to one within it; lies between
    /// the deployments' credit for a late answer alone and that credit plus the weight of being
    /// served at all.
    pub late_utility: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            retry_ratio: 0.2,
            retry_slack: 50.0,
            retry_window: Duration::from_secs(10),
            quota_window: Duration::from_secs(5),
            quota_overage: 0.0,
            quota_slack: 0.0,
            max_shift: 0.15,
            shift_window: Duration::from_secs(2),
            near_period: Duration::from_millis(400),
            far_period: Duration::from_secs(1),
            fan_out: 8,
            failure_timeout: Duration::from_millis(2_600),
            forget_after: Duration::from_secs(20),
            late_utility: 0.3,
        }
    }
}
