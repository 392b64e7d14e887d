//! Estimates of how long requests run, learned from response times.

use std::collections::HashMap;
use std::time::Duration;

use wagtail_types::ServiceId;

use crate::config::RouteId;

/// The smallest weight of a new sample; the first samples weigh more.
const GAIN: f64 = 0.05;
/// The weight of a sample that contradicts the expectation about its endpoint, in the estimate that
/// was expected to apply; many such samples in a row still move it.
const CONTRADICTION_GAIN: f64 = 0.01;
/// The number of samples after which an estimate counts as reliable.
const RELIABLE_SAMPLES: u32 = 5;
/// The value at which samples are capped, as a multiple of the route's estimate.
const MAX_SAMPLE_RATIO: f64 = 2.0;
/// The run time assumed for an unknown route if the object is not warm, as a fraction of the target
/// latency.
pub(crate) const COLD_RUN_GUESS: f64 = 1.5;
/// The same if the object is warm.
pub(crate) const WARM_RUN_GUESS: f64 = 0.55;

/// An exponential moving average whose first samples are averaged equally.
#[derive(Debug, Clone, Copy)]
struct Mean {
    value: f64,
    samples: u32,
}

impl Mean {
    fn guess(value: f64) -> Self {
        Self { value, samples: 0 }
    }

    fn learn_contradiction(&mut self, sample: f64) {
        self.value += CONTRADICTION_GAIN * (sample - self.value);
    }

    fn learn(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        let gain = (1.0 / f64::from(self.samples)).max(GAIN);
        self.value += gain * (sample - self.value);
    }
}

/// The run times of a route with and without a warm object, in seconds.
#[derive(Debug, Clone, Copy)]
struct Times {
    cold: Mean,
    warm: Mean,
}

impl Times {
    /// Returns whether a run time is closer, by ratio, to that with a warm object than to that
    /// without.
    fn looks_warm(&self, run_time: f64) -> bool {
        run_time * run_time < self.warm.value * self.cold.value
    }
}

/// What was expected of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunKind {
    /// The request concerns no object, so that there is only one run time.
    NoObject,
    /// The object was expected to be warm.
    Warm,
    /// The object was not expected to be warm.
    Cold,
}

/// Estimated run times for a route and its service, in seconds.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Expected {
    /// Whether any answer of the route has been observed.
    pub(crate) measured: bool,
    /// The run time if the object is not warm.
    pub(crate) cold_run: f64,
    /// The run time if the object is warm.
    pub(crate) warm_run: f64,
    /// The mean over all runs of the service.
    pub(crate) mean_run: f64,
}

/// Run time estimates of each route, by whether the object is warm, and of each service.
#[derive(Debug, Default)]
pub(crate) struct Estimates {
    routes: HashMap<RouteId, Times>,
    services: HashMap<ServiceId, Mean>,
    /// Like `services`, but only over runs with a warm object or without an object.
    warm_services: HashMap<ServiceId, Mean>,
}

impl Estimates {
    fn times(&self, route: &RouteId, target_latency: Duration) -> Times {
        let target_latency = target_latency.as_secs_f64();
        let guess = Times {
            cold: Mean::guess(target_latency * COLD_RUN_GUESS),
            warm: Mean::guess(target_latency * WARM_RUN_GUESS),
        };
        self.routes.get(route).copied().unwrap_or(guess)
    }

    /// Returns the estimates that placement needs for a route and a service.
    pub(crate) fn expected(
        &self,
        route: &RouteId,
        target_latency: Duration,
        service: &ServiceId,
    ) -> Expected {
        let times = self.times(route, target_latency);
        Expected {
            measured: self.routes.contains_key(route),
            cold_run: times.cold.value,
            warm_run: times.warm.value,
            mean_run: self.service(service).unwrap_or(times.warm.value),
        }
    }

    /// Returns the expected run time of a route in seconds.
    pub(crate) fn expected_run(
        &self,
        route: &RouteId,
        target_latency: Duration,
        warm: bool,
    ) -> f64 {
        let times = self.times(route, target_latency);
        if warm {
            times.warm.value
        } else {
            times.cold.value
        }
    }

    /// Returns whether a run time looks like that with a warm object; `None` until both estimates
    /// are reliable.
    pub(crate) fn looks_warm(
        &self,
        route: &RouteId,
        target_latency: Duration,
        run_time: f64,
    ) -> Option<bool> {
        let times = self.times(route, target_latency);
        let reliable =
            times.warm.samples >= RELIABLE_SAMPLES && times.cold.samples >= RELIABLE_SAMPLES;
        reliable.then(|| times.looks_warm(run_time))
    }

    /// Returns the mean run time of a service, in seconds.
    pub(crate) fn service(&self, service: &ServiceId) -> Option<f64> {
        self.services.get(service).map(|m| m.value)
    }

    /// Returns the mean run time of a service over runs with a warm object, in seconds; its demand
    /// settles at this once requests go to the endpoints where their objects are warm.
    pub(crate) fn warm_service(&self, service: &ServiceId) -> Option<f64> {
        self.warm_services.get(service).map(|m| m.value)
    }

    /// Updates the estimates from a run time. Whether the object was warm is derived from the run
    /// time and not from the expectation, because hosts that have just started expect no object to
    /// be warm.
    pub(crate) fn learn(
        &mut self,
        route: &RouteId,
        service: &ServiceId,
        target_latency: Duration,
        kind: RunKind,
        run_time: f64,
    ) {
        let mut times = self.times(route, target_latency);
        let warm = kind != RunKind::Cold || times.looks_warm(run_time);
        let Times { cold, warm: hot } = &mut times;
        let (mean, other) = if warm { (hot, cold) } else { (cold, hot) };
        // Caps the sample, so that a single troubled endpoint cannot distort the estimate for all.
        let cap = if mean.samples < RELIABLE_SAMPLES {
            f64::INFINITY
        } else {
            mean.value * MAX_SAMPLE_RATIO
        };
        mean.learn(run_time.min(cap));
        if kind == if warm { RunKind::Cold } else { RunKind::Warm } {
            other.learn_contradiction(run_time.min(other.value * MAX_SAMPLE_RATIO));
        }
        self.routes.insert(route.clone(), times);
        let service_mean = self
            .services
            .entry(service.clone())
            .or_insert(Mean::guess(run_time));
        service_mean.learn(run_time.min(cap));
        if warm {
            let warm_mean = self
                .warm_services
                .entry(service.clone())
                .or_insert(Mean::guess(run_time));
            warm_mean.learn(run_time.min(cap));
        }
    }
}
