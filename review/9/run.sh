#!/bin/sh
# Runs the case `withdrawn`: exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/release/review-standin-2
[ -x "$program" ] && [ -x target/release/hibiscusbarrow ] || exit 2
"$program" withdrawn review/9/record.txt
code=$?
# Any other end of the program means that the case could not run.
[ "$code" -le 1 ] || code=2
exit "$code"
