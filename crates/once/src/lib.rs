//! Idempotency keys and duplicate suppression.
//!
//! [`Deduplicator`] decides, for one host, whether a request with an idempotency key may run here
//! now, must wait for an attempt in flight, gets the stored answer of an earlier attempt, or must be
//! relayed to the host that owns its key. It does no I/O: calls to the table service are returned as
//! [`Effect`]s, and their results are passed in as [`Input`]s.
//!
//! # Example
//!
//! ```
//! use std::time::Instant;
//! use wagtail_once::{Answer, Decision, Deduplicator, Fingerprint, Key, Outcome, Request, Settings};
//! use wagtail_types::Incarnation;
//!
//! let now = Instant::now();
//! let mut dedup = Deduplicator::new(Settings::default(), "h1".parse()?, Incarnation(1), 7, now);
//! let key = dedup.issue(now, 1).remove(0);
//! let request = Request {
//!     team: "lead".parse()?,
//!     service: "submit".parse()?,
//!     key: Key::Issued(key),
//!     fingerprint: Fingerprint::of("POST", "/dossier", b"update"),
//!     repeat: false,
//! };
//! let Decision::Run(permit) = dedup.begin(now, &request) else {
//!     panic!("an unused key runs");
//! };
//! dedup.finish(now, permit, Outcome::Answer(Answer::new(200, vec![], "done")));
//! let Decision::Replay(answer) = dedup.begin(now, &request) else {
//!     panic!("a duplicate gets the stored answer");
//! };
//! assert_eq!(answer.status, 200);
//! # Ok::<(), wagtail_types::ParseError>(())
//! ```

mod begin;
mod claim;
mod dedup;
mod entry;
mod fingerprint;
mod finish;
mod issue;
mod key;
mod memory;
mod permit;
mod relay;
mod request;
mod settings;

pub use claim::{ClaimResult, ClaimRow};
pub use dedup::{Deduplicator, Effect, Input};
pub use fingerprint::Fingerprint;
pub use key::{ChosenKey, IssuedKey, Key};
pub use permit::Permit;
pub use relay::{PendingRelays, ReplyStatus};
pub use request::{Answer, Decision, Outcome, Request, Resolution, Ticket};
#[cfg(feature = "mutants")]
pub use settings::Mutant;
pub use settings::Settings;
