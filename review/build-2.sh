#!/bin/sh
# Builds the stand-ins of the second review. They use the standard library alone.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --target-dir target/review-2 --manifest-path review/standins-2/Cargo.toml
