#!/bin/sh
# Builds the stand-ins that the scripts start. The product's binary comes from the deploy file's build.
set -e
cd "$(dirname "$0")/.."
build="cargo build --release --locked --manifest-path review/stand_ins/Cargo.toml --target-dir target/review"
$build --offline || $build
