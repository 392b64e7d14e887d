//! Open-loop arrivals: when each request is due, whose it is and what it asks for.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::mix::Mix;

/// The load of an experiment.
#[derive(Debug, Clone)]
pub struct Profile {
    /// The share of full load.
    pub load: f64,
    /// How long requests arrive.
    pub time: Duration,
    /// The share of a team's calls that goes to one host.
    pub skew: f64,
    /// A team that sends more, by number, with its factor.
    pub surge: Option<(usize, f64)>,
    /// The share of non-idempotent requests under an idempotency key.
    pub keyed: f64,
    /// The share of keyed requests that are sent a second time.
    pub repeated: f64,
}

impl Profile {
    /// A steady load.
    pub fn steady(time: Duration) -> Self {
        Self {
            load: 0.5,
            time,
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
    /// When it is due, from the start.
    pub at: Duration,
    /// The team, by number.
    pub team: usize,
    /// The class, by number.
    pub class: usize,
    /// Whether it goes to the team's first host.
    pub first: bool,
    /// Which of the other hosts it goes to otherwise.
    pub draw: u32,
    /// Whether it carries an idempotency key.
    pub keyed: bool,
    /// Whether it is sent a second time.
    pub repeated: bool,
}

/// Draws Poisson arrivals of every team, in order.
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
            // A team without a share has an infinite or undefined next arrival.
            if at.is_nan() || at >= profile.time.as_secs_f64() {
                break;
            }
            all.push(draw(mix, profile, &mut rng, team, at));
        }
    }
    all.sort_by_key(|a| a.at);
    all
}

fn draw(mix: &Mix, profile: &Profile, rng: &mut StdRng, team: usize, at: f64) -> Arrival {
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
        first: rng.random_bool(profile.skew),
        draw: rng.random(),
        keyed,
        repeated: keyed && rng.random_bool(profile.repeated),
    }
}
