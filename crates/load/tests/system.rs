//! System tests: entry hosts on loopback sockets, against stand-ins with injected faults.

#[path = "system/bad_input.rs"]
mod bad_input;
#[path = "system/duties.rs"]
mod duties;
#[path = "system/faults.rs"]
mod faults;
#[path = "system/fixture.rs"]
mod fixture;
#[path = "system/keys.rs"]
mod keys;
#[path = "system/members.rs"]
mod members;
#[path = "system/outdated.rs"]
mod outdated;
#[path = "system/slow_link.rs"]
mod slow_link;
#[path = "system/stop.rs"]
mod stop;
#[path = "system/visibility.rs"]
mod visibility;
