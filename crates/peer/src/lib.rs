//! The host-to-host protocol, carried over Cap'n Proto RPC.
//!
//! A [`Peer`] owns the connections to all other entry hosts and runs on a thread of its own. It
//! sends [`Control`] messages, which may be lost, and relays requests, whose bodies stream in both
//! directions. Incoming messages and requests are passed to a [`Handler`].

mod accept;
mod backoff;
mod body;
mod client;
mod codec;
mod control;
mod counts;
mod handshake;
mod link;
mod manager;
mod message;
mod peer;
#[rustfmt::skip]
#[allow(warnings, clippy::all, clippy::pedantic, reason = "generated code")]
mod peer_capnp;
mod relay;
mod secret;
mod serve;
mod settings;
mod worker;

pub use body::{Aborted, Body, empty_body, full_body};
pub use counts::Counts;
pub use message::{BoxFuture, Control, Handler, RelayAnswer, RelayHead, RelayRole};
pub use peer::Peer;
pub use secret::{FleetSecret, SecretError};
pub use settings::{Limits, LinkEmulation, LinkState, Settings};

/// Encodes and decodes control messages, for tests and measurements of the wire format.
pub mod wire {
    pub use crate::codec::{Malformed, decode, encode};
}
