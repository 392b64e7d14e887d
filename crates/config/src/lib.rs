//! Steering records, their schema versions and views of them by epoch.
//!
//! The table and the peers carry a record as a [`Row`], which is validated into a [`Record`]. A
//! [`View`] is the whole configuration at one [`Epoch`](wagtail_types::Epoch), and a
//! [`ConfigSync`] keeps a host's view up to date.
//!
//! # Example
//!
//! ```
//! use wagtail_config::{Raw, Row, View};
//! use wagtail_types::Epoch;
//!
//! let raw: Raw = serde_json::from_str(
//!     r#"{"kind": "region", "name": "cymru", "schema": 1, "body": {"delay_ms": {"eire": 10}}}"#,
//! )?;
//! let row = Row::put(&raw, Epoch(1))?;
//! let view = View::empty().apply(Epoch(1), [row]);
//!
//! assert_eq!(view.regions().len(), 1);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod accept;
mod error;
mod head;
mod key;
mod raw;
mod record;
mod row;
mod snapshot;
mod status;
mod sync;
mod view;

pub use accept::{Acceptance, Confirmation, acceptance};
pub use error::{Category, ConfigError, Position};
pub use head::{Head, SnapshotRef};
pub use key::{Kind, RecordKey};
pub use raw::Raw;
pub use record::{
    Block, Blocks, Class, CutOff, Drain, DrainTarget, Endpoint, Host, Move, Record, Region, Scope,
    Service, Site, Team, Unknown, Zone,
};
pub use row::{Cursor, Page, Row};
pub use snapshot::Snapshot;
pub use status::{HostStatus, MemberState, MemberStatus, Mode};
#[doc(hidden)]
pub use sync::Mutant;
pub use sync::{ConfigSync, Message, SyncEffect, SyncInput, SyncSettings};
pub use view::View;
