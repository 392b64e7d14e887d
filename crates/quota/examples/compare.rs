//! Compares leased shards with loans against an equal static split, in virtual time.
#[allow(dead_code, missing_docs)]
#[path = "../tests/fake/world.rs"]
mod world;
fn main() {}
