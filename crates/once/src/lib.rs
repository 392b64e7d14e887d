//! Idempotency keys and duplicate suppression.
//!
//! [`Once`] decides, for one host, whether a request with an idempotency key may run here now, must
//! wait for an attempt in flight, gets the stored answer of an earlier attempt, or must be relayed
//! to the host that owns its key. It does no I/O: calls to the table service are returned as
//! [`Effect`]s, and their results are passed in as [`Input`]s.
//!
//! # Example
//!
//! ```
//! use std::time::Instant;
//! use wagtail_once::{Answer, Begin, Fingerprint, Key, Once, Outcome, Request, Settings};
//! use wagtail_types::Incarnation;
//!
//! let now = Instant::now();
//! let mut once = Once::new(Settings::default(), "h1".parse()?, Incarnation(1), 7, now);
//! let key = once.issue(now, 1).remove(0);
//! let request = Request {
//!     team: "lead".parse()?,
//!     service: "submit".parse()?,
//!     key: Key::Issued(key),
//!     print: Fingerprint::of("POST", "/dossier", b"update"),
//!     repeat: false,
//! };
//! let Begin::Run(permit) = once.begin(now, &request) else {
//!     panic!("an unused key runs");
//! };
//! once.finish(now, permit, Outcome::Answer(Answer::new(200, vec![], "done")));
//! let Begin::Replay(answer) = once.begin(now, &request) else {
//!     panic!("a duplicate gets the stored answer");
//! };
//! assert_eq!(answer.status, 200);
//! # Ok::<(), wagtail_types::ParseError>(())
//! ```

mod begin;
mod claim;
mod entry;
mod fingerprint;
mod finish;
mod issue;
mod key;
mod memory;
mod once;
mod permit;

mod relay;
mod request;
mod settings;

pub use claim::{ClaimResult, ClaimRow};
pub use fingerprint::Fingerprint;
pub use key::{ChosenKey, IssuedKey, Key};
pub use once::{Effect, Input, Once};
pub use permit::Permit;
pub use relay::{PendingRelays, ReplyStatus};
pub use request::{Answer, Begin, Outcome, Request, Resolution, Ticket};
#[cfg(feature = "mutants")]
pub use settings::Mutant;
pub use settings::Settings;
