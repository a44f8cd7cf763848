#!/bin/sh
# Builds the stand-ins of review/6 to review/10, after the build of the deploy file, without a network.
set -eu
cd "$(dirname "$0")/standin-2"
exec cargo build --release --offline --locked --target-dir ../../target/review-2
