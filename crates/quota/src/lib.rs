//! Fleet-wide rate and burst limits per team as leased, transferable token buckets.
//!
//! Each team's limit is split over shards. A host leases shards through rows of a shared table,
//! holds the matching part of every team's bucket while the lease lasts, and lends tokens and rate
//! to peers that run short.
//!
//! [`Quota`] is a state machine without I/O: the caller hands it messages, table answers and clock
//! readings, and carries out the [`Effect`]s that it returns. Over all hosts and any interval `t`,
//! a team is admitted at most `burst + rate * t` times.
//!
//! # Example
//!
//! ```
//! use std::time::{Duration, Instant};
//! use wagtail_quota::{
//!     Admission, Effect, Input, Quota, ReadOutcome, Settings, ShardMap, TeamLimit, WriteOutcome,
//! };
//! use wagtail_types::{Epoch, Incarnation, Rate, Tokens};
//!
//! let now = Instant::now();
//! let settings = Settings::new("entry-1".parse()?, "cymru-a".parse()?, Incarnation(1));
//! let mut quota = Quota::new(settings, 7, now);
//! quota.handle(now, Input::Config {
//!     epoch: Epoch(1),
//!     teams: vec![TeamLimit {
//!         team: "lead".parse()?,
//!         rate: Rate::per_second(20),
//!         burst: Tokens::whole(20),
//!         since: Epoch(1),
//!     }],
//!     shards: ShardMap::new(vec![("cymru-a".parse()?, 1)]),
//! });
//! quota.tick(now);
//! while let Some(effect) = quota.poll_effect() {
//!     match effect {
//!         Effect::Read { shard } => {
//!             quota.handle(now, Input::Row { shard, outcome: ReadOutcome::Absent });
//!         }
//!         Effect::Write { shard, row, .. } => {
//!             let attempt = row.attempt;
//!             let outcome = WriteOutcome::Applied { version: 1 };
//!             quota.handle(now, Input::WriteDone { shard, attempt, outcome });
//!         }
//!         _ => {}
//!     }
//! }
//! let deadline = now + Duration::from_millis(100);
//! assert_eq!(quota.admit(now, &"lead".parse()?, deadline), Admission::Granted);
//! # Ok::<(), wagtail_types::ParseError>(())
//! ```

mod bucket;
mod demand;
mod drift;
mod hints;
mod io;
mod lease;
mod level;
mod message;
mod quota;
mod settings;
mod shard;

pub use crate::io::{
    Admission, Counters, Effect, Input, PeerInfo, ReadOutcome, Resolution, TeamLimit, TeamView,
    Ticket, WriteOutcome,
};
pub use crate::message::{
    Hint, LoanId, Member, Message, Row, ShardNote, TeamHint, TeamSpread, TeamTokens,
};
pub use crate::quota::Quota;
#[cfg(feature = "mutants")]
pub use crate::settings::Mutant;
pub use crate::settings::Settings;
pub use crate::shard::{ShardId, ShardMap};
