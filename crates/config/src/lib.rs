//! Steering records, their schema versions and the epoch-ordered view of them.
