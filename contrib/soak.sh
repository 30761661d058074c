#!/usr/bin/env bash
# The short soak of CI. Violated invariants fail; a run whose counts could not be read
# passes only while KNOWN-RED.txt says so, and is printed then.
set -uo pipefail
cd "$(dirname "$0")/.."
out=$(mktemp)
dir=$(mktemp -d)
trap 'rm -rf "$out" "$dir"' EXIT
bin/zinnialock soak -seed 1 -time 16s -dir "$dir" 2>&1 | tee "$out"
status=${PIPESTATUS[0]}
[ "$status" -eq 0 ] && exit 0
# Daemons that did not end their planned stop say in their logs what they did.
grep -h -A 400 '^SIGQUIT' "$dir"/*/log
if grep -q '^soak: seed 1: soak: audit: .*context deadline exceeded' "$out" &&
	grep -qx '   soak: counts that cannot be read' KNOWN-RED.txt; then
	echo "passed over, see KNOWN-RED.txt: counts that cannot be read"
	exit 0
fi
exit "$status"
