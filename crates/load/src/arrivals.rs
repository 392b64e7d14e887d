//! Open-loop arrivals: the time, team and class of each request.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::mix::Mix;

/// The load profile of a run.
#[derive(Debug, Clone)]
pub struct Profile {
    /// The factor on full load.
    pub load: f64,
    /// The time during which requests arrive.
    pub duration: Duration,
    /// The share of a team's calls that goes to the first host of its list.
    pub skew: f64,
    /// The index of a team that sends more, with the factor on its rate.
    pub surge: Option<(usize, f64)>,
    /// The share of non-idempotent requests that carry an idempotency key.
    pub keyed: f64,
    /// The share of requests with an idempotency key that are sent a second time.
    pub repeated: f64,
}

impl Profile {
    /// Returns a steady half load.
    pub fn steady(duration: Duration) -> Self {
        Self {
            load: 0.5,
            duration,
            skew: 0.6,
            surge: None,
            keyed: 0.5,
            repeated: 0.1,
        }
    }
}

/// A request that is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// The time at which it is due, since the start.
    pub at: Duration,
    /// The index of the team.
    pub team: usize,
    /// The index of the class.
    pub class: usize,
    /// Whether it goes to the first host of the team's list.
    pub first_host: bool,
    /// A random number that selects one of the other hosts otherwise.
    pub host_draw: u32,
    /// Whether it carries an idempotency key.
    pub keyed: bool,
    /// Whether it is sent a second time.
    pub repeated: bool,
}

/// Draws Poisson arrivals for every team and returns them in order of time.
pub fn arrivals(mix: &Mix, profile: &Profile, seed: u64) -> Vec<Arrival> {
    let mut all = Vec::new();
    for (team, spec) in mix.teams.iter().enumerate() {
        let mut rng = StdRng::seed_from_u64(seed ^ (team as u64 + 1) << 32);
        let factor = match profile.surge {
            Some((surging, factor)) if surging == team => factor,
            _ => 1.0,
        };
        let rate = mix.load() * spec.share * profile.load * factor;
        let mut at = 0.0;
        loop {
            at += -(1.0 - rng.random::<f64>()).ln() / rate;
            // Without a share the rate is zero, and the next arrival is infinite or not a number.
            if at.is_nan() || at >= profile.duration.as_secs_f64() {
                break;
            }
            all.push(draw_arrival(mix, profile, &mut rng, team, at));
        }
    }
    all.sort_by_key(|a| a.at);
    all
}

fn draw_arrival(mix: &Mix, profile: &Profile, rng: &mut StdRng, team: usize, at: f64) -> Arrival {
    let mut point = rng.random::<f64>() * mix.load();
    let mut class = 0;
    while class + 1 < mix.classes.len() && point >= mix.classes[class].load {
        point -= mix.classes[class].load;
        class += 1;
    }
    let keyed = !mix.classes[class].idempotent && rng.random_bool(profile.keyed);
    Arrival {
        at: Duration::from_secs_f64(at),
        team,
        class,
        first_host: rng.random_bool(profile.skew),
        host_draw: rng.random(),
        keyed,
        repeated: keyed && rng.random_bool(profile.repeated),
    }
}
