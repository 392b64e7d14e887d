#!/usr/bin/env bash
# Writes src/peer_capnp.rs from peer.capnp. Needs `capnp` (Debian: capnproto) and `capnpc-rust`
# (`cargo install capnpc --version 0.27.0`) on the path; the build itself needs neither.
set -euo pipefail
cd "$(dirname "$0")"
capnp compile -orust:../src peer.capnp
