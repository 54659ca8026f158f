#!/bin/sh
# Runs the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/bilberry-node ] || exit 2
[ -x target/review-2/case-6 ] || exit 2
exec target/review-2/case-6 review/6/record.txt
