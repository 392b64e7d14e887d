//! Property tests of routing decisions against simple oracles, and table tests of fault cases.

mod blocks;
mod caps;
mod ejection;
mod faults;
mod fleet;
mod lookup;
mod plan;
mod queue;
mod relay;
mod slots;
mod support;
