#!/bin/sh
# Plays this case: a daemon alone is stopped while its upstream goes on making calls.
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/ivytraild ] && [ -x target/review-3/stand-in ] || {
    echo "build the deploy file and review/build-3.sh first" >&2
    exit 2
}
target/review-3/stand-in late-calls review/14
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
