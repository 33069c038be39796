#!/usr/bin/env bash
# Makes the measurements of docs/CAPACITY.md again and prints its tables.
# Arguments go to curranthook-capacity: --quick for a short run, or the names of measurements.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --quiet --release --workspace --bins --locked
exec target/release/curranthook-capacity "$@"
