#!/usr/bin/env bash
# Generates src/peer_capnp.rs from peer.capnp. Requires `capnp` (Debian package capnproto) and
# `capnpc-rust` (`cargo install capnpc --version 0.27.0`) on the path; the build needs neither.
set -euo pipefail
cd "$(dirname "$0")"
capnp compile -orust:../src peer.capnp
