#!/bin/sh
# Builds the stand-ins of the review; needs no network. Run after the build of the deploy file.
set -e
cd "$(dirname "$0")/standin"
cargo build --release --offline --locked --target-dir ../../target/review
