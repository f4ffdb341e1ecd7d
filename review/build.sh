#!/usr/bin/env bash
# Builds the stand-ins of the review's cases, after the build of the deploy file. Needs no network: they use the
# standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standins/Cargo.toml --target-dir target/review
