#!/usr/bin/env bash
# Runs the whole path as separate processes on loopback: a platform stand-in,
# six upstream stand-ins, three daemons and a load. One daemon is ended by
# SIGKILL in mid-load and one is stopped by SIGTERM.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
pids=()
cleanup() {
	for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
	wait 2>/dev/null || true
	rm -rf "$work"
}
trap cleanup EXIT
go build -o "$work/zinnialock" .
z="$work/zinnialock"
base=${BASE_PORT:-17000}

"$z" standin keys -dir "$work" -names nashua-1,lowell-1,worcester-1
"$z" standin platform -listen "127.0.0.1:$base" >"$work/platform.log" 2>&1 &
pids+=($!)

dcs=(nashua lowell worcester)
upstreams=""
for shard in 0 1; do
	for r in 0 1 2; do
		name="finder-$shard-$r"
		port=$((base + 100 + shard * 10 + r))
		cat >"$work/$name.json" <<EOF
{"name": "$name", "service": "finder", "slots": 3, "connections": 30, "coldLimit": 1, "coldWork": 20,
 "connectMs": 6, "serviceMs": 2, "straggleTimes": 20, "queueLimit": 64, "shards": {"1": [$shard]}}
EOF
		"$z" standin upstream -listen "127.0.0.1:$port" -settings "$work/$name.json" >"$work/$name.log" 2>&1 &
		pids+=($!)
		upstreams+="{\"name\": \"$name\", \"dataCentre\": \"${dcs[$r]}\", \"address\": \"127.0.0.1:$port\", \"slots\": 3, \"connections\": 30, \"coldLimit\": 1},"
	done
done
sleep 0.5
curl -sf -X PUT "http://127.0.0.1:$base/objects/catalog/finder?ifVersion=0" -d "{\"service\": \"finder\", \"upstreams\": [${upstreams%,}],
 \"versions\": [{\"number\": 1, \"shards\": [[\"finder-0-0\", \"finder-0-1\", \"finder-0-2\"], [\"finder-1-0\", \"finder-1-1\", \"finder-1-2\"]]}]}" >/dev/null

daemons=()
targets=()
i=0
for dc in "${dcs[@]}"; do
	port=$((base + 200 + i * 10))
	cat >"$work/$dc.toml" <<EOF
[daemon]
name = "$dc-1"
dataCentre = "$dc"
deployment = "guild"
[listen]
caller = "127.0.0.1:$port"
admin = "127.0.0.1:$((port + 1))"
peer = "127.0.0.1:$((port + 2))"
[platform]
address = "127.0.0.1:$base"
[keys]
certificate = "$work/$dc-1.crt"
key = "$work/$dc-1.key"
authority = "$work/authority.crt"
EOF
	"$z" check -config "$work/$dc.toml" >/dev/null
	"$z" serve -config "$work/$dc.toml" >"$work/$dc.log" 2>&1 &
	pids+=($!)
	daemons+=($!)
	targets+=("127.0.0.1:$port")
	i=$((i + 1))
done
for t in "${targets[@]}"; do
	admin="${t%:*}:$((${t##*:} + 1))"
	for _ in $(seq 100); do curl -sf "http://$admin/readyz" >/dev/null && break; sleep 0.1; done
done
sleep 1.5
"$z" query -target "${targets[0]}" -service finder -text "maker mark" -v

# value FILE KEY prints a number of a load's JSON.
value() { sed -n "s/^ *\"$2\": \([-0-9.e]*\),*$/\1/p" "$1" | head -1; }

# row NAME FILE prints a line of the table.
row() {
	printf '%-22s' "$1"
	for key in sent once answered refused failed cut again p50Ms p99Ms coverageMin; do
		printf ' %9s' "$(value "$2" "$key")"
	done
	printf ' %10s\n' "$(grep -q '"violations": \[\]' "$2" && echo none || echo SOME)"
}

# must CONDITION... notes a failed check.
failures=()
must() {
	local what=$1
	shift
	"$@" || failures+=("$what")
}

echo "-- two loads; daemon 3 is ended by SIGKILL, daemon 2 is stopped by SIGTERM"
"$z" load -targets "${targets[0]}" -platform "127.0.0.1:$base" -rate 100 -time 12s -once 0.1 -impatient 0.25 -format json >"$work/steady.json" 2>"$work/steady.err" &
steady=$!
# Callers of the second load move to daemon 1 once daemon 2 takes none, as a
# balancer makes them: no request may be cut.
"$z" load -targets "${targets[1]},${targets[0]}" -platform "127.0.0.1:$base" -rate 50 -time 12s -seed 2 -once 0.1 -impatient 0.25 -format json >"$work/stopped.json" 2>"$work/stopped.err" &
stopping=$!
sleep 3
kill -9 "${daemons[2]}"
wait "${daemons[2]}" 2>/dev/null || true
sleep 4
kill -TERM "${daemons[1]}"
stopcode=0
wait "${daemons[1]}" || stopcode=$?
steadycode=0
wait "$steady" || steadycode=$?
stoppingcode=0
wait "$stopping" || stoppingcode=$?

printf '%-22s' load
printf ' %9s' sent once answered refused failed cut again "p50 ms" "p99 ms" "cov. min"
printf ' %10s\n' violations
row "through daemon 1" "$work/steady.json"
row "through daemons 2, 1" "$work/stopped.json"

must "the load through daemon 1 ended with code $steadycode" [ "$steadycode" = 0 ]
must "the load through daemons 2, 1 ended with code $stoppingcode" [ "$stoppingcode" = 0 ]
must "SIGTERM ended daemon 2 with code $stopcode" [ "$stopcode" = 0 ]
for load in steady stopped; do
	must "$load: requests were cut" [ "$(value "$work/$load.json" cut)" = 0 ]
	must "$load: requests failed" [ "$(value "$work/$load.json" failed)" = 0 ]
	must "$load: violations" grep -q '"violations": \[\]' "$work/$load.json"
done
if [ ${#failures[@]} -gt 0 ]; then
	printf 'FAILED: %s\n' "${failures[@]}"
	cat "$work/steady.err" "$work/stopped.err"
	sed -n '/"violations": \[$/,/\]/p' "$work/steady.json" "$work/stopped.json"
	exit 1
fi
echo "all checks passed"
