#!/bin/sh
# Builds the stand-ins and clients that the scripts start.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/cases review/harness/main.rs
