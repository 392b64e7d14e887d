#!/bin/sh
# Builds the stand-ins and the clients of the cases, under target/.
cd "$(dirname "$0")/.." || exit 1
exec cargo build --release --locked --offline --manifest-path review/standins/Cargo.toml --target-dir target/review
