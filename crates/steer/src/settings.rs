//! Bounds and weights of the decisions.

use std::time::Duration;

/// Bounds that a deployment gives, and weights of the placement.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Further attempts a service may get for each request to it; from the deployment.
    pub retry_ratio: f64,
    /// Further attempts beyond the ratio in one window, over all hosts; from the deployment.
    pub retry_slack: f64,
    /// The window of the retry budget; from the deployment.
    pub retry_window: Duration,
    /// The window over which teams' limits are promised; from the deployment.
    pub quota_window: Duration,
    /// What teams may use beyond their limits in a window, as a part; from the deployment.
    pub quota_overage: f64,
    /// Requests that teams may use beyond that in a window; from the deployment.
    pub quota_slack: f64,
    /// The share of a region's requests that may change their region in a window; from the
    /// deployment.
    pub max_shift: f64,
    /// The window of `max_shift`; from the deployment's rules.
    pub shift_window: Duration,
    /// The period of digests within the region; a few service times of a short request.
    pub near_period: Duration,
    /// The period of digests to other regions, whose bytes are dear.
    pub far_period: Duration,
    /// The most hosts of the region, and as many of the others, that get one digest; bounds what a
    /// host of a large fleet sends.
    pub fan_out: usize,
    /// The least time after which a host that is not heard is taken as lost; twice the period
    /// between regions and a lost datagram.
    pub host_silence: Duration,
    /// The longest time that a lost host's demand counts against limits; longer than most cuts.
    pub lost_demand: Duration,
    /// The worth of an answer past its aim against one within it; between the deployments' late
    /// credit alone and that with the weight of being served at all.
    pub late_worth: f64,
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
            host_silence: Duration::from_millis(2_600),
            lost_demand: Duration::from_secs(20),
            late_worth: 0.3,
        }
    }
}
