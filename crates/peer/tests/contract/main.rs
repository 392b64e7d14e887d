//! Contract tests of the host-to-host protocol over real sockets.

mod control;
mod fleet;
mod handshake;
mod relay;
mod slow_link;
