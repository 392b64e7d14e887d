//! The daemon on loopback sockets, against stand-ins with faults.

#[path = "system/faults.rs"]
mod faults;
#[path = "system/intake.rs"]
mod intake;
#[path = "system/keys.rs"]
mod keys;
#[path = "system/stop.rs"]
mod stop;
#[path = "system/world.rs"]
mod world;
