//! Intervals of periodic messages and platform calls, scaled by the size of the fleet.

use std::time::Duration;

/// Number of shards of every team's limit in each zone.
pub const SHARDS_PER_ZONE: u32 = 2;
/// Number of hosts that each advert is sent to; in a larger fleet, a random part of it.
pub const ADVERT_FANOUT: usize = 6;
/// Interval between rebuilds of the look-up answers.
pub const PLAN: Duration = Duration::from_secs(2);

const ADVERT: Duration = Duration::from_millis(500);
const ADVERT_LONGEST: Duration = Duration::from_secs(2);
/// Number of intervals after which an advert expires.
const ADVERT_LIFE: u32 = 4;
const LIST: Duration = Duration::from_secs(2);
/// Greatest number of hosts for which the unscaled intervals apply.
const SMALL_FLEET: u32 = 24;

/// Returns the interval between adverts of free slots.
pub fn advert(fleet: u32) -> Duration {
    stretched(ADVERT, fleet).min(ADVERT_LONGEST)
}

/// Returns the age at which an advert expires.
pub fn advert_life(fleet: u32) -> Duration {
    advert(fleet) * ADVERT_LIFE
}

/// Returns the interval between reads of the platform's host list.
pub fn list(fleet: u32) -> Duration {
    stretched(LIST, fleet)
}

fn stretched(period: Duration, fleet: u32) -> Duration {
    period * fleet.div_ceil(SMALL_FLEET)
}
