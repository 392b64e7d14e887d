//! Central token bucket per team that checks every admission against real time.

use std::collections::BTreeMap;

use wagtail_types::TeamId;

use super::simulation::{SECOND, Simulation};

/// Tolerance for rounding of clock readings and tokens, in 10⁻⁹ requests.
const TOLERANCE: i128 = 10_000;
const NANO: i128 = 1_000_000_000;
/// How long loans made under an earlier limit can last.
const LOAN_GRACE: u64 = 5 * SECOND;

/// Checks admissions against the largest limit that any host used recently, per team.
#[derive(Debug, Default)]
pub(crate) struct Oracle {
    /// For each team and (rate, burst), when any host last used that limit.
    used: BTreeMap<TeamId, BTreeMap<(u64, u64), u64>>,
    levels: BTreeMap<TeamId, (i128, u64)>,
    checked: usize,
}

impl Oracle {
    /// Checks the decisions made since the last call.
    ///
    /// Must be called right after the simulation has run, before any host's limits change.
    ///
    /// # Errors
    ///
    /// Names the team that exceeded its limit.
    pub(crate) fn check(&mut self, sim: &Simulation) -> Result<(), String> {
        let mut granted: Vec<_> = sim.decisions[self.checked..]
            .iter()
            .filter(|d| d.granted)
            .collect();
        granted.sort_by_key(|d| d.at);
        self.checked = sim.decisions.len();
        for (index, team) in sim.teams.iter().enumerate() {
            let (rate, burst) = self.limit(sim, team);
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
                        "{team} exceeds its limit by {over} requests at {} ns",
                        decision.at
                    ));
                }
            }
            fill(sim.now, level);
        }
        Ok(())
    }

    fn limit(&mut self, sim: &Simulation, team: &TeamId) -> (u64, u64) {
        const MICRO: u64 = 1_000_000;
        let used = self.used.entry(team.clone()).or_default();
        for host in sim.hosts.iter().filter(|h| h.quota.is_some()) {
            if let Some(limit) = host.limits.get(team) {
                let key = (limit.rate.micros() / MICRO, limit.burst.micros() / MICRO);
                used.insert(key, sim.now);
            }
        }
        used.retain(|_, last| *last + LOAN_GRACE >= sim.now);
        let rate = used.keys().map(|(rate, _)| *rate).max().unwrap_or(0);
        let burst = used.keys().map(|(_, burst)| *burst).max().unwrap_or(0);
        (rate, burst)
    }
}
