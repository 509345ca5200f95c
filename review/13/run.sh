#!/bin/sh
# Runs the case; needs the build of the deploy file and of review/build-3.sh.
# TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/review-3/cases ] && [ -x target/release/hibiscusbarrow ] || exit 2
target/review-3/cases trial "$folder/record.txt"
code=$?
# Any other end of the program means that the case could not run.
[ "$code" -le 1 ] || code=2
exit "$code"
