//! Intervals of periodic messages and platform calls, scaled by the size of the fleet.

use std::time::Duration;

/// Number of shards of every team's limit in each zone.
pub const SHARDS_PER_ZONE: u32 = 2;
/// Number of hosts that each advert is sent to; in a larger fleet, a random part of it.
pub const ADVERT_FANOUT: usize = 6;
/// Interval between rebuilds of the look-up answers.
pub const LOOKUP_REBUILD_INTERVAL: Duration = Duration::from_secs(2);

const ADVERT_INTERVAL: Duration = Duration::from_millis(500);
const MAX_ADVERT_INTERVAL: Duration = Duration::from_secs(2);
/// Number of intervals after which an advert expires.
const ADVERT_TTL_INTERVALS: u32 = 4;
const LIST_INTERVAL: Duration = Duration::from_secs(2);
/// Greatest number of hosts for which the unscaled intervals apply.
const BASE_FLEET: u32 = 24;

/// Returns the interval between adverts of free slots.
pub fn advert_interval(fleet: u32) -> Duration {
    scaled(ADVERT_INTERVAL, fleet).min(MAX_ADVERT_INTERVAL)
}

/// Returns the age at which an advert expires.
pub fn advert_ttl(fleet: u32) -> Duration {
    advert_interval(fleet) * ADVERT_TTL_INTERVALS
}

/// Returns the interval between reads of the platform's host list.
pub fn list_interval(fleet: u32) -> Duration {
    scaled(LIST_INTERVAL, fleet)
}

fn scaled(interval: Duration, fleet: u32) -> Duration {
    interval * fleet.div_ceil(BASE_FLEET)
}
