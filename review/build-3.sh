#!/bin/sh
# Builds the stand-ins of the cases from 11 on. They use the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/cases review/standin-3/main.rs
