#!/bin/sh
# Builds the stand-ins of the review's cases 4 to 8: std only, no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/scene review/stand-ins-2/main.rs
