#!/bin/bash
# Builds the stand-ins that the scripts of the cases start. Run after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked -p bilberry-standin --example store
mkdir -p target/review
for driver in review/[0-9]*/driver.rs; do
    name=$(basename "$(dirname "$driver")")
    rustc --edition 2021 -O -o "target/review/case-$name" "$driver"
done
