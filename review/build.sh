#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start, the project's own included. Uses the
# registry's crates that are there already, and fetches them otherwise.
set -euo pipefail
cd "$(dirname "$0")/.."
build=(cargo build --locked --manifest-path review/standins/Cargo.toml --target-dir target/review)
"${build[@]}" --offline || "${build[@]}"
