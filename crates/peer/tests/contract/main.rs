//! Contract tests of the host-to-host protocol on real sockets.

mod control;
mod fleet;
mod handshake;
mod relay;
