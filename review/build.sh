#!/bin/sh
# Builds the stand-ins that the cases start: one program of the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/stand-ins review/stand-ins/main.rs
