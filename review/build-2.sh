#!/bin/bash
# Builds the stand-ins of the review's cases 4 to 8. They have no dependencies, so no network is needed.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/stand-in-2/Cargo.toml --target-dir target/review-2
cargo build --release --locked --offline --manifest-path review/lab/Cargo.toml --target-dir target/review-lab
