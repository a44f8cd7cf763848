#!/bin/sh
# One in five good answers tells a length that does not fit.
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
program=review/target/release/standin
if [ ! -x "$program" ] || [ ! -x target/release/elderpick ]; then
    echo "build first: the deploy file's build, then review/build.sh" >&2
    exit 2
fi
"$program" wrong-data "$PWD" "$PWD/review/4"
case $? in
0) exit 0 ;;
1) exit 1 ;;
*) exit 2 ;;
esac
