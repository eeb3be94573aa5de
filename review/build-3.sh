#!/usr/bin/env bash
# Builds the stand-ins of the third review. They depend on the standard library alone, so this needs no
# network.
set -euo pipefail
cd "$(dirname "$0")/stand_ins_3"
cargo build --release
