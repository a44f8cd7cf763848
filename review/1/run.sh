#!/bin/sh
# Bad clients: ids that no media host knows, then hundreds of requests at once.
# Writes what was sent, answered and run to record.txt beside this file.
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
program=target/review/release/standin
if [ ! -x "$program" ] || [ ! -x target/release/elderpick ]; then
    echo "build first: the deploy file's build, then review/build.sh" >&2
    exit 2
fi
"$program" hang "$PWD" "$PWD/review/1/record.txt"
case $? in
0) exit 0 ;;
1) exit 1 ;;
*) exit 2 ;;
esac
