//! How long requests run, learned from answers.

use std::collections::HashMap;
use std::time::Duration;

use crate::config::RouteId;

/// The weight of a new measurement of a route.
const GAIN: f64 = 0.05;
/// Guess of the time of an unknown route on an endpoint that has not handled the object, as a
/// part of the route's aim.
const COLD_GUESS: f64 = 1.5;
/// The same guess for an endpoint that has handled the object.
const WARM_GUESS: f64 = 0.55;

#[derive(Debug, Clone, Copy)]
struct Times {
    plain: f64,
    warm: f64,
}

/// The running time of each route, with and without a warm object.
#[derive(Debug, Default)]
pub struct Estimates {
    routes: HashMap<RouteId, Times>,
}

impl Estimates {
    fn times(&self, route: &RouteId, aim: Duration) -> Times {
        let aim = aim.as_secs_f64();
        let guess = Times { plain: aim * COLD_GUESS, warm: aim * WARM_GUESS };
        self.routes.get(route).copied().unwrap_or(guess)
    }

    /// The expected running time in seconds.
    pub fn running(&self, route: &RouteId, aim: Duration, warm: bool) -> f64 {
        let times = self.times(route, aim);
        if warm { times.warm } else { times.plain }
    }

    /// Whether a running time looks like that of a warm object.
    pub fn looks_warm(&self, route: &RouteId, aim: Duration, taken: f64) -> bool {
        let times = self.times(route, aim);
        taken < f64::midpoint(times.warm, times.plain)
    }

    /// Learns from an answer that met no queue.
    pub fn learn(&mut self, route: &RouteId, aim: Duration, warm: bool, taken: f64) {
        let mut times = self.times(route, aim);
        let slot = if warm { &mut times.warm } else { &mut times.plain };
        // A single endpoint in trouble must not spoil the estimate of all.
        let bounded = taken.clamp(*slot * 0.5, *slot * 2.0);
        *slot += GAIN * (bounded - *slot);
        self.routes.insert(route.clone(), times);
    }
}
