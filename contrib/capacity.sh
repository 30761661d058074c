#!/usr/bin/env bash
# Measures the slopes of the capacity page with stand-ins and daemons as
# separate processes on loopback, then fits, plots and rewrites the page.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
out=docs/capacity/points.json
pids=()
stop_all() {
	for pid in "${pids[@]:-}"; do [ -n "$pid" ] && kill -9 "$pid" 2>/dev/null || true; done
	for pid in "${pids[@]:-}"; do [ -n "$pid" ] && wait "$pid" 2>/dev/null || true; done
	pids=()
}
trap 'stop_all; rm -rf "$work"' EXIT
go build -o "$work/zinnialock" .
z="$work/zinnialock"

# stage DAEMONS UPSTREAMS SHARDS SLOTS SERVICE_MS NODES starts one set-up.
stage() {
	dir=$(mktemp -d -p "$work")
	"$z" capacity stage -dir "$dir" -daemons "$1" -upstreams "$2" -shards "$3" -slots "$4" -service-ms "$5" -nodes "$6" &
	pids+=($!)
	for _ in $(seq 200); do [ -s "$dir/stage.json" ] && break; sleep 0.05; done
	for config in $(grep -o '"config": "[^"]*"' "$dir/stage.json" | cut -d'"' -f4); do
		GOGC=100 "$z" serve -config "$config" >>"$dir/daemons.log" 2>&1 &
		pids+=($!)
	done
	last=${pids[-1]}
}

# point SERIES X WHAT [flags] stores one point and ends the set-up.
point() {
	series=$1; x=$2; what=$3; shift 3
	"$z" capacity measure -dir "$dir" -out "$out" -series "$series" -x "$x" -what "$what" "$@"
	stop_all
}

# wanted SERIES tells whether a series is asked for; all are by default.
wanted() { [[ " ${SERIES:-daemons upstreams nodes shards inFlight} " == *" $1 "* ]]; }

mkdir -p docs/capacity
if wanted daemons; then
	for n in 8 16 24 32 48; do stage "$n" 96 24 8 2 10; point daemons "$n" fleet -pid "$last"; done
fi
if wanted upstreams; then
	for n in 100 200 400 800; do stage 4 "$n" 25 8 2 10; point upstreams "$n" idle; done
fi
if wanted nodes; then
	for n in 10 500 1500 3000; do stage 4 96 24 8 2 "$n"; point nodes "$n" edits; done
fi
if wanted shards; then
	for n in 10 20 40 80 160; do stage 4 $((n * 2)) "$n" 8 2 10; point shards "$n" queries -rate $((2000 / n)); done
fi
if wanted inFlight; then
	for n in 25 50 100 200; do stage 4 64 16 400 15000 10; point inFlight "$n" inflight; done
fi
"$z" capacity report
