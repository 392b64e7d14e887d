//! How often a host speaks to others and to the platform, by the size of the fleet.

use std::time::Duration;

/// Shards that each zone holds of every team's limit.
pub const SHARDS_PER_ZONE: u32 = 2;
/// Adverts sent each period; a larger fleet gets them from a random part of its hosts.
pub const ADVERT_FANOUT: usize = 6;
/// Between two builds of the look-up answers.
pub const PLAN: Duration = Duration::from_secs(2);

const ADVERT: Duration = Duration::from_millis(500);
const ADVERT_LONGEST: Duration = Duration::from_secs(2);
/// An advert counts for so many periods.
const ADVERT_LIFE: u32 = 4;
const LIST: Duration = Duration::from_secs(2);
/// The fleet up to which the shortest periods apply.
const SMALL_FLEET: u32 = 24;

/// The time between adverts of free slots.
pub fn advert(fleet: u32) -> Duration {
    stretched(ADVERT, fleet).min(ADVERT_LONGEST)
}

/// How long an advert counts.
pub fn advert_life(fleet: u32) -> Duration {
    advert(fleet) * ADVERT_LIFE
}

/// The time between reads of the platform's host list.
pub fn list(fleet: u32) -> Duration {
    stretched(LIST, fleet)
}

fn stretched(period: Duration, fleet: u32) -> Duration {
    period * fleet.div_ceil(SMALL_FLEET)
}
