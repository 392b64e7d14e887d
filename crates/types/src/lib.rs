//! Identifiers, sizes, rates, clocks and the verdict type shared by every wagtailthread crate.
//!
//! # Example
//!
//! ```
//! use wagtail_types::{Rate, TeamId, Tokens};
//!
//! let team: TeamId = "lead-team".parse()?;
//! let rate: Rate = "20/s".parse()?;
//! let after = std::time::Duration::from_millis(500);
//!
//! assert_eq!(rate.over(after), Tokens::whole(10));
//! assert_eq!(team.to_string(), "lead-team");
//! # Ok::<(), wagtail_types::ParseError>(())
//! ```

mod clock;
mod error;
mod id;
mod rate;
mod size;
mod verdict;

pub use clock::{Clock, ManualClock, SystemClock, millis};
pub use error::ParseError;
pub use id::{
    AttemptId, EndpointId, Epoch, HostId, Incarnation, KeyDigest, RecordId, RegionId, ServiceId,
    SiteId, TeamId, ZoneId,
};
pub use rate::{Rate, Tokens};
pub use size::{ByteRate, Bytes, Share};
pub use verdict::{Cause, Reason, Verdict};
