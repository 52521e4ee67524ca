#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases 9 to 13, with the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2021 -O -o target/review-3/cases review/9/main.rs
