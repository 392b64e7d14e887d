//! Deterministic weighted selection among the services of a split route.

use wagtail_types::ServiceId;

use crate::config::WeightedService;

/// Selects services in proportion to their weights by smooth weighted round robin, so that shares
/// do not fluctuate as with random draws.
#[derive(Debug, Default)]
pub struct WeightedSplit {
    credit: Vec<(ServiceId, f64)>,
}

impl WeightedSplit {
    /// Returns the next service, or `None` if no weight is positive. Weights may differ between
    /// calls.
    pub fn next(&mut self, services: &[WeightedService]) -> Option<ServiceId> {
        let total: f64 = services.iter().map(|w| f64::from(w.weight)).sum();
        if total <= 0.0 {
            return None;
        }
        self.credit
            .retain(|(s, _)| services.iter().any(|w| w.service == *s));
        for candidate in services {
            let share = f64::from(candidate.weight) / total;
            match self
                .credit
                .iter_mut()
                .find(|(s, _)| *s == candidate.service)
            {
                Some((_, credit)) => *credit += share,
                None => self.credit.push((candidate.service.clone(), share)),
            }
        }
        let best = self.credit.iter_mut().max_by(|a, b| a.1.total_cmp(&b.1))?;
        best.1 -= 1.0;
        Some(best.0.clone())
    }
}
