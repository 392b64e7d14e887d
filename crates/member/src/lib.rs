//! Membership, failure detection and contact state of entry hosts.
//!
//! [`Member`] is the state machine of one host, similar to SWIM. It probes other hosts, gossips
//! what it learns in messages of bounded size, and determines whether the host is in contact with
//! the table service. It does no I/O: outgoing messages are [`Effect`]s, incoming ones are
//! [`Input`]s.
//!
//! # Example
//!
//! ```
//! use std::time::Instant;
//! use wagtail_member::{Effect, HostInfo, Input, Member, Mode, Settings, State};
//! use wagtail_types::{Epoch, Incarnation};
//!
//! let host = |name: &str, zone: &str| -> Result<HostInfo, wagtail_types::ParseError> {
//!     Ok(HostInfo::new(name.parse()?, zone.parse()?, "cymru".parse()?))
//! };
//! let now = Instant::now();
//! let hosts = vec![host("h1", "z1")?, host("h2", "z2")?];
//! let mut first = Member::new(Settings::new(hosts[0].clone(), Incarnation(1)), 1, now);
//! let mut second = Member::new(Settings::new(hosts[1].clone(), Incarnation(1)), 2, now);
//! for member in [&mut first, &mut second] {
//!     member.handle(now, Input::Hosts(hosts.clone()));
//! }
//! second.handle(now, Input::TableContact { at: now, head: Epoch(0) });
//!
//! let later = first.next_wake().expect("a probe is due");
//! first.tick(later);
//! while let Some(effect) = first.poll_effect() {
//!     if let Effect::Send { message, .. } = effect {
//!         let from = "h1".parse()?;
//!         second.handle(later, Input::Received { from, message });
//!     }
//! }
//! assert_eq!(second.state(&"h1".parse()?), Some(State::Alive));
//! assert_eq!(second.mode(), Mode::Current);
//! # Ok::<(), wagtail_types::ParseError>(())
//! ```

mod adoption;
mod contact;
mod exchange;
mod gossip;
mod host;
mod input;
mod member;
mod merge;
mod message;
mod probe;
mod roster;
mod settings;
mod zone;

pub use adoption::Confirmation;
pub use contact::Mode;
pub use host::{HostInfo, HostView, State};
pub use input::{Effect, Input, MemberChange};
pub use member::Member;
pub use message::{Adoption, Body, Cursor, Delta, Freshness, Message, Sender, Summary};
#[cfg(feature = "mutants")]
pub use settings::Mutant;
pub use settings::Settings;
pub use zone::ZoneView;
