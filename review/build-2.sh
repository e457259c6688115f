#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8. They use the standard library only,
# so that nothing is fetched.
set -euo pipefail
cd "$(dirname "$0")/stand-ins-2"
cargo build --release --locked --offline
