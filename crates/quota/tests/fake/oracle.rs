//! One central bucket that sees every admission, by the true time.

use std::collections::BTreeMap;

use wagtail_types::TeamId;

use super::world::{SECOND, World};

/// Rounding of clock readings and token parts, in 10⁻⁹ requests.
const TOLERANCE: i128 = 10_000;
const NANO: i128 = 1_000_000_000;
/// How long loans made under an earlier limit can last.
const GRACE: u64 = 5 * SECOND;

/// The largest limit that was in use at any host lately, per team.
#[derive(Debug, Default)]
pub(crate) struct Oracle {
    /// For each team, when which (rate, burst) was last in use anywhere.
    used: BTreeMap<TeamId, BTreeMap<(u64, u64), u64>>,
    levels: BTreeMap<TeamId, (i128, u64)>,
    checked: usize,
}

impl Oracle {
    /// Takes in the decisions since the last call, or names the team that got too much.
    ///
    /// It must be called right after the world has run, before limits change at any host.
    pub(crate) fn check(&mut self, world: &World) -> Result<(), String> {
        let mut granted: Vec<_> = world.decisions[self.checked..]
            .iter()
            .filter(|d| d.granted)
            .collect();
        granted.sort_by_key(|d| d.at);
        self.checked = world.decisions.len();
        for (index, team) in world.teams.iter().enumerate() {
            let (rate, burst) = self.limit(world, team);
            let (level, at) = self
                .levels
                .entry(team.clone())
                .or_insert((i128::from(burst) * NANO, 0));
            let mut fill = |to: u64, level: &mut i128| {
                let time = i128::from(to - *at);
                *level = (*level + i128::from(rate) * time).min(i128::from(burst) * NANO);
                *at = to;
            };
            for decision in granted.iter().filter(|d| d.team == index) {
                fill(decision.at, level);
                *level -= NANO;
                if *level < -TOLERANCE {
                    let over = -*level as f64 / NANO as f64;
                    return Err(format!(
                        "{team} is {over} over its limit at {}",
                        decision.at
                    ));
                }
            }
            fill(world.now, level);
        }
        Ok(())
    }

    fn limit(&mut self, world: &World, team: &TeamId) -> (u64, u64) {
        const MICRO: u64 = 1_000_000;
        let used = self.used.entry(team.clone()).or_default();
        for host in world.hosts.iter().filter(|h| h.quota.is_some()) {
            if let Some(limit) = host.limits.get(team) {
                let key = (limit.rate.micros() / MICRO, limit.burst.micros() / MICRO);
                used.insert(key, world.now);
            }
        }
        used.retain(|_, last| *last + GRACE >= world.now);
        let rate = used.keys().map(|(rate, _)| *rate).max().unwrap_or(0);
        let burst = used.keys().map(|(_, burst)| *burst).max().unwrap_or(0);
        (rate, burst)
    }
}
