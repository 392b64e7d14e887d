//! How long requests run, learned from answers.

use std::collections::HashMap;
use std::time::Duration;

use wagtail_types::ServiceId;

use crate::config::RouteId;

/// The least weight of a new measurement; the first ones weigh more.
const GAIN: f64 = 0.05;
/// The weight of a measurement that contradicts what was expected of its endpoint, in the estimate
/// that it was expected to meet; many of them in a row still move it.
const DOUBT_GAIN: f64 = 0.01;
/// Samples after which an estimate is steady.
const STEADY: u32 = 5;
/// The most that one sample counts, as a multiple of a steady estimate.
const OUTLIER: f64 = 2.0;
/// Guess of the time of an unknown route on an endpoint that has not handled the object, as a
/// part of the route's aim.
pub(crate) const COLD_GUESS: f64 = 1.5;
/// The same guess for an endpoint that has handled the object.
pub(crate) const WARM_GUESS: f64 = 0.55;

/// A mean that follows its samples.
#[derive(Debug, Clone, Copy)]
struct Mean {
    value: f64,
    samples: u32,
}

impl Mean {
    fn guess(value: f64) -> Self {
        Self { value, samples: 0 }
    }

    fn doubt(&mut self, sample: f64) {
        self.value += DOUBT_GAIN * (sample - self.value);
    }

    fn learn(&mut self, sample: f64) {
        self.samples = self.samples.saturating_add(1);
        let gain = (1.0 / f64::from(self.samples)).max(GAIN);
        self.value += gain * (sample - self.value);
    }
}

#[derive(Debug, Clone, Copy)]
struct Times {
    plain: Mean,
    warm: Mean,
}

impl Times {
    /// Whether a running time is nearer to that of a warm object, by its ratio to both.
    fn looks_warm(&self, taken: f64) -> bool {
        taken * taken < self.warm.value * self.plain.value
    }
}

/// What was expected of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Run {
    /// It concerns no object, so that there is one running time only.
    Single,
    /// The endpoint was taken to know the object.
    Warm,
    /// It was not.
    Plain,
}

/// Running times of a route and of its service, in seconds.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Expected {
    /// Whether answers of the route have been seen.
    pub(crate) known: bool,
    /// Where the endpoint does not know the object.
    pub(crate) plain: f64,
    /// Where it does.
    pub(crate) warm: f64,
    /// The mean of all that the service runs.
    pub(crate) each: f64,
}

/// The running time of each route, with and without a warm object, and of each service.
#[derive(Debug, Default)]
pub(crate) struct Estimates {
    routes: HashMap<RouteId, Times>,
    services: HashMap<ServiceId, Mean>,
    /// As `services`, of runs at endpoints that know the object or need not.
    settled: HashMap<ServiceId, Mean>,
}

impl Estimates {
    fn times(&self, route: &RouteId, aim: Duration) -> Times {
        let aim = aim.as_secs_f64();
        let guess = Times {
            plain: Mean::guess(aim * COLD_GUESS),
            warm: Mean::guess(aim * WARM_GUESS),
        };
        self.routes.get(route).copied().unwrap_or(guess)
    }

    /// What placement needs to know of a route and a service.
    pub(crate) fn of(&self, route: &RouteId, aim: Duration, service: &ServiceId) -> Expected {
        let times = self.times(route, aim);
        Expected {
            known: self.routes.contains_key(route),
            plain: times.plain.value,
            warm: times.warm.value,
            each: self.service(service).unwrap_or(times.warm.value),
        }
    }

    /// The expected running time in seconds.
    pub(crate) fn running(&self, route: &RouteId, aim: Duration, warm: bool) -> f64 {
        let times = self.times(route, aim);
        if warm {
            times.warm.value
        } else {
            times.plain.value
        }
    }

    /// Whether a running time is nearer to that of a warm object; `None` before both are known.
    pub(crate) fn looks_warm(&self, route: &RouteId, aim: Duration, taken: f64) -> Option<bool> {
        let times = self.times(route, aim);
        let known = times.warm.samples >= STEADY && times.plain.samples >= STEADY;
        known.then(|| times.looks_warm(taken))
    }

    /// The mean running time of what a service runs, in seconds.
    pub(crate) fn service(&self, service: &ServiceId) -> Option<f64> {
        self.services.get(service).map(|m| m.value)
    }

    /// The mean running time of a service where endpoints know the objects, in seconds; what its
    /// demand comes to once requests have found their places.
    pub(crate) fn settled(&self, service: &ServiceId) -> Option<f64> {
        self.settled.get(service).map(|m| m.value)
    }

    /// Learns from an answer that met no queue. What a run was is seen from its time, not from what
    /// was expected: hosts that have just started take no endpoint to know an object.
    pub(crate) fn learn(
        &mut self,
        route: &RouteId,
        service: &ServiceId,
        aim: Duration,
        run: Run,
        taken: f64,
    ) {
        let mut times = self.times(route, aim);
        let warm = run != Run::Plain || times.looks_warm(taken);
        let Times { plain, warm: known } = &mut times;
        let (mean, other) = if warm { (known, plain) } else { (plain, known) };
        // A single endpoint in trouble must not spoil the estimate of all.
        let most = if mean.samples < STEADY {
            f64::INFINITY
        } else {
            mean.value * OUTLIER
        };
        mean.learn(taken.min(most));
        if run == if warm { Run::Plain } else { Run::Warm } {
            other.doubt(taken.min(other.value * OUTLIER));
        }
        self.routes.insert(route.clone(), times);
        let all = self
            .services
            .entry(service.clone())
            .or_insert(Mean::guess(taken));
        all.learn(taken.min(most));
        if warm {
            let settled = self
                .settled
                .entry(service.clone())
                .or_insert(Mean::guess(taken));
            settled.learn(taken.min(most));
        }
    }
}
