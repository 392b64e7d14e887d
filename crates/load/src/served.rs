//! Counts of the regions in which the requests of each region's callers ran.

use std::collections::HashMap;

use serde::Serialize;

use crate::deployment::Layout;
use crate::measure::Sample;
use crate::promises::Evidence;

/// The requests of one class from the callers of one region, by the region in which they ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Served {
    /// The name of the class.
    pub class: String,
    /// The region of the callers.
    pub home: String,
    /// Each region with its count, in the deployment's order.
    pub regions: Vec<(String, u64)>,
}

/// Counts requests by class, region of the caller and region in which they ran.
pub fn served(layout: &Layout, samples: &[Sample], evidence: &Evidence) -> Vec<Served> {
    let zones: HashMap<String, String> = layout
        .services
        .iter()
        .flat_map(|s| (0..s.endpoints).map(move |n| layout.endpoint(s, n)))
        .collect();
    let region = |endpoint: &str| {
        let (region, _) = zones.get(endpoint)?.rsplit_once('-')?;
        layout.regions.iter().position(|r| *r == region)
    };
    let homes: HashMap<&str, usize> = samples
        .iter()
        .map(|s| (s.id.as_str(), layout.teams[s.team].home_region))
        .collect();
    let mut counts =
        vec![vec![vec![0; layout.regions.len()]; layout.regions.len()]; layout.services.len()];
    for seen in evidence.requests.iter().filter(|s| s.entry.ran) {
        let home = seen.entry.id.as_deref().and_then(|id| homes.get(id));
        if let (Some(home), Some(region)) = (home, region(&seen.endpoint)) {
            counts[seen.service][*home][region] += 1;
        }
    }
    let line = |class: &str, home: usize, counts: Vec<u64>| Served {
        class: class.to_owned(),
        home: layout.regions[home].to_owned(),
        regions: layout
            .regions
            .iter()
            .map(ToString::to_string)
            .zip(counts)
            .collect(),
    };
    let classes = layout.services.iter().zip(counts);
    classes
        .flat_map(|(s, homes)| {
            homes
                .into_iter()
                .enumerate()
                .map(move |(home, c)| (s.class, home, c))
        })
        .map(|(class, home, counts)| line(class, home, counts))
        .collect()
}
