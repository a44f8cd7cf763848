#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/review-2/release/review-2 ] || { echo "build first: review/build-2.sh"; exit 2; }
exec ../../target/review-2/release/review-2 cut "$(cd ../.. && pwd)" record.txt
