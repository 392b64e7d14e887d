//! The protocol between entry hosts, carried by Cap'n Proto RPC.
