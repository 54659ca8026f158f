#!/bin/sh
# Builds the programs of the cases 4 to 6, with their stand-ins, into target/review-2. They use the
# standard library only. The nodes are those of the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in 4 5 6; do
    if [ -f "review/$case/driver.rs" ]; then
        rustc --edition 2021 -O -o "target/review-2/case-$case" "review/$case/driver.rs"
    fi
done
