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

echo "-- load on the first daemon; the third is ended by SIGKILL, the second is stopped by SIGTERM"
"$z" load -targets "${targets[0]}" -platform "127.0.0.1:$base" -rate 100 -time 12s -format json >"$work/load.json" &
load=$!
# A second load goes to the daemon that is stopped: no request may be cut.
"$z" load -targets "${targets[1]}" -platform "127.0.0.1:$base" -rate 50 -time 7s -seed 2 -format json >"$work/load2.json" &
load2=$!
sleep 2
kill -9 "${daemons[2]}"
sleep 4
kill -TERM "${daemons[1]}"
stopped=0
wait "${daemons[1]}" || stopped=$?
ok=0
wait "$load" || ok=1
wait "$load2" || ok=1
cat "$work/load.json" "$work/load2.json"
grep -q '"failed": 0' "$work/load.json" || ok=1
grep -q '"failed": 0' "$work/load2.json" || ok=1
echo "SIGTERM exit code $stopped, checks $([ $ok = 0 ] && echo passed || echo failed)"
[ "$stopped" = 0 ] && [ "$ok" = 0 ]
