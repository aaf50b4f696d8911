#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start.
set -eu
cd "$(dirname "$0")/stand"
CARGO_TARGET_DIR=target cargo build --release --locked --offline
