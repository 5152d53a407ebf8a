#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/6 and above start. Needs no network: they use the standard
# library of Rust alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O review/standin-2/main.rs -o target/review-2/standin
