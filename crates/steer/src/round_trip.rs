//! Round-trip times to endpoints, learned from how long connections take to open.

use std::time::Duration;

use crate::endpoint::{Distance, Location};

/// The weight of a new sample.
const GAIN: f64 = 0.1;
/// The value at which samples are capped, as a multiple of the estimate; an endpoint may accept a
/// connection late.
const MAX_SAMPLE_RATIO: f64 = 2.0;
/// The values assumed before the first sample, in seconds: within a zone, between zones of a region and
/// between regions.
const GUESSES: [f64; 3] = [0.001, 0.004, 0.045];

/// The estimated round-trip times from the local host, in seconds.
#[derive(Debug, Default)]
pub(crate) struct RoundTrips {
    same_zone: Option<f64>,
    same_region: Option<f64>,
    /// By region index.
    other_regions: Vec<Option<f64>>,
}

impl RoundTrips {
    fn estimate(&mut self, location: Location) -> &mut Option<f64> {
        match location.distance {
            Distance::SameZone => &mut self.same_zone,
            Distance::SameRegion => &mut self.same_region,
            Distance::OtherRegion => {
                if self.other_regions.len() <= location.region {
                    self.other_regions.resize(location.region + 1, None);
                }
                &mut self.other_regions[location.region]
            }
        }
    }

    /// Records the time in which a connection was opened.
    pub(crate) fn learn(&mut self, location: Location, time: Duration) {
        let sample = time.as_secs_f64();
        let estimate = self.estimate(location);
        let known = estimate.unwrap_or(sample);
        *estimate = Some(known + GAIN * (sample.min(known * MAX_SAMPLE_RATIO) - known));
    }

    /// Returns the time to an endpoint in seconds, as far as it is known.
    pub(crate) fn learned(&self, location: Location) -> Option<f64> {
        match location.distance {
            Distance::SameZone => self.same_zone,
            Distance::SameRegion => self.same_region,
            Distance::OtherRegion => *self.other_regions.get(location.region)?,
        }
    }

    /// Returns the estimate for an endpoint, in seconds.
    pub(crate) fn get(&self, location: Location) -> f64 {
        let guess = match location.distance {
            Distance::SameZone => GUESSES[0],
            Distance::SameRegion => GUESSES[1],
            Distance::OtherRegion => GUESSES[2],
        };
        self.learned(location).unwrap_or(guess)
    }
}
