//! The protocol between entry hosts, carried by Cap'n Proto RPC.
//!
//! A [`Peer`] runs on its own thread. It sends [`Control`] messages, which may be lost, and relays
//! requests, whose bodies stream both ways. What arrives goes to a [`Handler`].

mod accept;
mod backoff;
mod body;
mod client;
mod codec;
mod control;
mod counts;
mod handshake;
mod lane;
mod link;
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
pub use message::{BoxFuture, Control, Handler, RelayAnswer, RelayHead, Step};
pub use peer::Peer;
pub use secret::{FleetSecret, SecretError};
pub use settings::{Limits, Line, Lines, Settings};

/// Conversions between messages and their form on the wire, for tests of the format.
pub mod wire {
    pub use crate::codec::{Malformed, decode, encode};
}
