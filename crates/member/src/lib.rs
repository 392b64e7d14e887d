//! Membership, failure detection and contact state of entry hosts.
