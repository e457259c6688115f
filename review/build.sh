#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They use the standard library only, so
# that no registry is needed.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/stand-ins/Cargo.toml --target-dir target/review
