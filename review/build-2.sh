#!/usr/bin/env bash
# Builds the stand-ins and scripts of the second review, offline, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standins-2/Cargo.toml \
    --target-dir target/review
