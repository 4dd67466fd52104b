#!/bin/sh
# Builds the stand-ins that the scripts of the cases start: one package without dependencies, so
# no network is needed. The system itself is built by the command of deploy/system.toml.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --locked --offline \
    --manifest-path review/harness/Cargo.toml --target-dir target/review
