#!/bin/sh
# The journal service answers each call after 1.5 s.
# Writes what was sent, answered and run to record.txt beside this file.
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
program=target/review/release/standin
if [ ! -x "$program" ] || [ ! -x target/release/elderpick ]; then
    echo "build first: the deploy file's build, then review/build.sh" >&2
    exit 2
fi
"$program" drain-slow "$PWD" "$PWD/review/5/record.txt"
case $? in
0) exit 0 ;;
1) exit 1 ;;
*) exit 2 ;;
esac
