#!/usr/bin/env bash
# Builds the stand-ins of the second review. They need nothing but the standard library.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/world-2 review/world-2.rs
