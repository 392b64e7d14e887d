//! Property tests of routing decisions against simple oracles, and tables of fault cases.

mod blocks;
mod cases;
mod ejection;
mod fleet;
mod lookup;
mod moves;
mod plan;
mod queue;
mod relay;
mod slots;
mod support;
