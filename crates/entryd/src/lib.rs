//! The daemon on each entry host.
