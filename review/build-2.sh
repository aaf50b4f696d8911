#!/bin/sh
# Builds the stand-ins and scripts of the second review into target/review-2.
set -e
cd "$(dirname "$0")/stand-2"
CARGO_TARGET_DIR=../../target/review-2 cargo build --release --locked
