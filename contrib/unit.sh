#!/usr/bin/env bash
# Runs all tests with the race detector, the crowds of clients by themselves, and the large fleets also without it. A
# package that failed passes only if each of its tests that failed is named by a line "test: NAME" of KNOWN-RED.txt, and
# these are printed. Packages that ended by the crash named by a line "runtime:" run again, whole and up to six times,
# under the same rule.
set -uo pipefail
cd "$(dirname "$0")/.."
out=$(mktemp)
trap 'rm -f "$out"' EXIT

is_known() {
	grep -qx "   $1" KNOWN-RED.txt
}

# packages prints a line for each package of the output that failed: its name, "bad" if that isn't a test's own failure,
# "crash" if the race detector crashed or else "tests", and the tests that failed.
packages() {
	awk -F '\t' '
		/^--- FAIL: / { split($0, part, " "); failed = failed " " part[3] }
		/^panic:|WARNING: DATA RACE|goleak:|\[build failed\]|\[setup failed\]/ { bad = 1 }
		/^(SIGSEGV: segmentation violation|ThreadSanitizer: CHECK failed)/ { crash = 1 }
		/^FAIL\t/ { print $2 " " (bad ? "bad" : crash ? "crash" : "tests") failed; seen = 1 }
		/^(FAIL|ok|\?  )\t/ { failed = ""; bad = 0; crash = 0 }
		END { if (!seen) print "- bad" }' "$out"
}

# run_tests tests packages with a flag, and sets again to those that have to run again. It fails if a failure isn't known.
run_tests() {
	again=()
	go test ${race:+"$race"} -count=1 -p "$jobs" -timeout "$limit" "$@" 2>&1 | tee "$out"
	[ "${PIPESTATUS[0]}" -eq 0 ] && return 0
	local name kind failed test
	while read -r name kind failed; do
		for test in $failed; do
			is_known "test: $test" || return 1
			echo "passed over, see KNOWN-RED.txt: $test"
		done
		case "$kind" in
		crash) again+=("$name") ;;
		tests) [ -n "$failed" ] || return 1 ;;
		*) return 1 ;;
		esac
	done < <(packages)
}

# check runs tests, and those packages again that have to, whole each time.
check() {
	run_tests "$@" || exit 1
	local repeat
	for ((repeat = 0; ${#again[@]} > 0; repeat++)); do
		[ -n "$race" ] && is_known "runtime: crash of the race detector" || exit 1
		[ "$repeat" -lt "$max_repeats" ] || exit 1
		echo "run again, see KNOWN-RED.txt: crash of the race detector: ${again[*]}"
		run_tests "$1" "${again[@]}" || exit 1
	done
}

# max_repeats bounds the repeats after crashes, each of which takes seconds.
max_repeats=6
race=-race
limit=8m
if [ $# -gt 0 ]; then
	jobs=$(nproc) check -run=. "$@"
	exit 0
fi
race='' limit=2m jobs=1 check -run=. ./core/version/zlpoller
# The crowds measure memory: one at a time, and nothing beside them.
crowds='^Test(Crowd|OpeningPackets)'
jobs=1 check "-run=$crowds" ./platform ./io/standin/zltestbed
jobs=$(nproc) check "-skip=$crowds" ./...
