#!/usr/bin/env bash
# Runs the case; TROUBLE=0 leaves the disruption out. Exit status: 0 the rule held, 1 it was
# broken, 2 the case could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
for program in target/zinnialock target/review-tool; do
	[ -x "$program" ] || { echo "$program is not built"; exit 2; }
done
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
target/review-tool -case evacuation -trouble="$trouble" -dir review/1
status=$?
case $status in
0 | 1) exit $status ;;
*) exit 2 ;;
esac
