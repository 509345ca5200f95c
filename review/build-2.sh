#!/bin/sh
# Builds the stand-ins of the cases review/6 to review/10, without a network: the libraries are
# those that the build of the deploy file has fetched.
set -eu
cd "$(dirname "$0")/.."
if ! command -v cargo >/dev/null 2>&1; then
  export PATH="$HOME/.cargo/bin:$PATH"
fi
cargo build --release --offline --manifest-path review/standin-2/Cargo.toml \
  --target-dir target/review-2
