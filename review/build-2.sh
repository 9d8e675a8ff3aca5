#!/bin/bash
# Builds the stand-ins that the cases 6 to 10 start. They need the compiler alone: no package, no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/rig review/6/main.rs
