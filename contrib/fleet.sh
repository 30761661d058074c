#!/usr/bin/env bash
# Faults of the fleet, with separate processes on loopback: a daemon paused past
# its lease while an upstream turns cold, all daemons of a data centre ended by
# SIGKILL, a minute without the platform, and a rolling replacement, all under
# load. Prints a table; exits with 1 if a bound was violated.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
base=${BASE_PORT:-18000}
outage=${OUTAGE:-60}
declare -A pid
cleanup() {
	for p in "${pid[@]}"; do kill -CONT "$p" 2>/dev/null || true; kill -9 "$p" 2>/dev/null || true; done
	wait 2>/dev/null || true
	rm -rf "$work"
}
trap cleanup EXIT
go build -o "$work/zinnialock" .
z="$work/zinnialock"
platform="127.0.0.1:$base"
dcs=(nashua lowell worcester)
names=()
for dc in "${dcs[@]}"; do names+=("$dc-1" "$dc-2"); done
"$z" standin keys -dir "$work" -names "$(IFS=,; echo "${names[*]}")"
"$z" standin platform -listen "$platform" >"$work/platform.log" 2>&1 &
pid[platform]=$!

upstreams="" shards="" ports=()
for shard in 0 1 2 3; do
	list=""
	for r in 0 1 2; do
		name="finder-$shard-$r" port=$((base + 100 + shard * 10 + r))
		ports+=("$port")
		cat >"$work/$name.json" <<END
{"name": "$name", "service": "finder", "slots": 3, "connections": 30, "coldLimit": 1, "coldWork": 20,
 "connectMs": 6, "serviceMs": 2, "straggleTimes": 20, "queueLimit": 64, "shards": {"1": [$shard]}}
END
		"$z" standin upstream -listen "127.0.0.1:$port" -settings "$work/$name.json" >"$work/$name.log" 2>&1 &
		pid[$name]=$!
		upstreams+="{\"name\": \"$name\", \"dataCentre\": \"${dcs[$r]}\", \"address\": \"127.0.0.1:$port\", \"slots\": 3, \"connections\": 30, \"coldLimit\": 1},"
		list+="\"$name\","
	done
	shards+="[${list%,}],"
done
sleep 0.5
curl -sf -X PUT "http://$platform/objects/catalog/finder?ifVersion=0" -d "{\"service\": \"finder\", \"upstreams\": [${upstreams%,}],
 \"versions\": [{\"number\": 1, \"shards\": [${shards%,}]}]}" >/dev/null

start() { # start INDEX
	local i=$1 name=${names[$1]} port=$((base + 200 + $1 * 10))
	cat >"$work/$name.toml" <<END
[daemon]
name = "$name"
dataCentre = "${dcs[$((i / 2))]}"
deployment = "guild"
[listen]
caller = "127.0.0.1:$port"
admin = "127.0.0.1:$((port + 1))"
peer = "127.0.0.1:$((port + 2))"
[platform]
address = "$platform"
[keys]
certificate = "$work/$name.crt"
key = "$work/$name.key"
authority = "$work/authority.crt"
END
	"$z" serve -config "$work/$name.toml" >>"$work/$name.log" 2>&1 &
	pid[$name]=$!
}
admin() { echo "127.0.0.1:$((base + 201 + $1 * 10))"; }
target() { echo "127.0.0.1:$((base + 200 + $1 * 10))"; }
ready() { for _ in $(seq 200); do curl -sf "http://$(admin "$1")/readyz" >/dev/null && return; sleep 0.1; done; echo "${names[$1]} is not ready"; return 1; }
now() { date +%s%N; }
since() { echo "$((($(now) - $1) / 1000000))"; }
# held prints how many upstreams the daemons given by index may use whole.
held() { for i in "$@"; do curl -sf -m 2 "http://$(admin "$i")/status" || true; done | { grep -o '"why":"held","usable":true' || true; } | wc -l; }
until_held() { # until_held WANTED INDEX...
	local wanted=$1 began; shift; began=$(now)
	for _ in $(seq 600); do [ "$(held "$@")" -ge "$wanted" ] && { since "$began"; return; }; sleep 0.05; done
	echo never
}
peak() { for p in "${ports[@]}"; do curl -sf "http://127.0.0.1:$p/control/counts" | grep -o '"coldPeak":[0-9]*' | cut -d: -f2; done | sort -n | tail -1; }
refused() { local n=0 x; for p in "${ports[@]}"; do x=$(curl -sf "http://127.0.0.1:$p/control/counts" | grep -o '"refusedConnections":[0-9]*' | cut -d: -f2); n=$((n + x)); done; echo "$n"; }
sum() { grep -o "\"$2\": [0-9]*" "$1" | head -1 | tr -dc 0-9; }
load() { # load FILE SECONDS INDEX...
	local file=$1 time=$2 list=""; shift 2
	for i in "$@"; do list+="$(target "$i"),"; done
	"$z" load -targets "${list%,}" -platform "$platform" -rate 100 -time "${time}s" -format json >"$file" 2>"$file.err" &
	pid[load]=$!
}
row() { printf '%-44s %s\n' "$1" "$2"; }
bad=0
check() { [ "$1" "$2" "$3" ] || { bad=1; echo "BOUND BROKEN: $1 $2 $3 ($4)"; }; }

for i in 0 1 2 3 4 5; do start "$i"; done
for i in 0 1 2 3 4 5; do ready "$i"; done
row "start of 6 daemons: all 12 held after" "$(until_held 12 0 1 2 3 4 5) ms"

calls() { curl -sf "http://$platform/control/counts" | tr ',' '\n' | grep -E 'reads|writes' | tr -dc '0-9\n' | paste -sd+ | bc; }
bytes() { curl -sf "http://$(admin 0)/cost" | tr ',{' '\n\n' | grep -E 'sentBytes|receivedBytes' | tail -2 | tr -dc '0-9\n' | paste -sd+ | bc; }
c0=$(calls) b0=$(bytes); sleep 10; c1=$(calls) b1=$(bytes)
row "steady: platform calls/s, all daemons" "$(echo "scale=1; ($c1 - $c0) / 10" | bc)"
row "steady: QUIC bytes/s of ${names[0]}" "$(((b1 - b0) / 10))"

load "$work/pause.json" 40 1 2 3 4 5
sleep 3
kill -STOP "${pid[${names[0]}]}"
sleep 2
for p in "${ports[@]}"; do curl -sf -X POST "http://127.0.0.1:$p/control/cold?restart=true" >/dev/null || true; done
sleep 20
row "paused 22 s: others may use whole" "$(held 1 2 3 4 5) of 12"
for p in "${ports[@]}"; do curl -sf -X POST "http://127.0.0.1:$p/control/cold?restart=true" >/dev/null || true; done
kill -CONT "${pid[${names[0]}]}"
row "continued: all 12 held after" "$(until_held 12 0 1 2 3 4 5) ms"
wait "${pid[load]}" || true
row "  cold peak, limit 1" "$(peak)"
row "  failed, refused of $(sum "$work/pause.json" sent)" "$(sum "$work/pause.json" failed), $(sum "$work/pause.json" refused)"
check "$(peak)" -le 1 "cold peak"

load "$work/kill.json" 20 2 3 4 5
sleep 2
kill -9 "${pid[${names[0]}]}" "${pid[${names[1]}]}"
wait "${pid[${names[0]}]}" "${pid[${names[1]}]}" 2>/dev/null || true
sleep 1
began=$(now)
start 0; start 1
x=$(until_held 12 0 1 2 3 4 5)
row "data centre killed, started anew: 12 held after" "$x ms"
wait "${pid[load]}" || true
row "  failed, refused of $(sum "$work/kill.json" sent)" "$(sum "$work/kill.json" failed), $(sum "$work/kill.json" refused)"
row "  cold peak, limit 1" "$(peak)"
check "$(peak)" -le 1 "cold peak"
ready 0; ready 1

load "$work/one.json" 15 1 2 3 4 5
sleep 2
kill -9 "${pid[${names[0]}]}"
wait "${pid[${names[0]}]}" 2>/dev/null || true
row "one killed: its peer holds all 12 after" "$(until_held 12 1 2 3 4 5) ms"
wait "${pid[load]}" || true
row "  failed, refused of $(sum "$work/one.json" sent)" "$(sum "$work/one.json" failed), $(sum "$work/one.json" refused)"
start 0; ready 0; until_held 12 0 1 2 3 4 5 >/dev/null

load "$work/down.json" $((outage + 6)) 0 1 2 3 4 5
sleep 2
curl -sf -X PUT "http://$platform/control/faults" -d '{"down": true}' >/dev/null
sleep "$outage"
row "platform down for $outage s: held at its end" "$(held 0 1 2 3 4 5) of 12"
check "$(held 0 1 2 3 4 5)" -eq 12 "held without the platform"
curl -sf -X PUT "http://$platform/control/faults" -d '{}' >/dev/null
wait "${pid[load]}" || true
row "  failed, refused of $(sum "$work/down.json" sent)" "$(sum "$work/down.json" failed), $(sum "$work/down.json" refused)"

# The balancer keeps a daemon in its list for a second after it says leaving:
# each load runs against the daemon that is stopped until then.
cut=0 refusals=0 codes=""
for i in 0 1 2 3 4 5; do
	load "$work/roll.json" 3 "$i"
	sleep 2
	kill -TERM "${pid[${names[$i]}]}"
	wait "${pid[load]}" || true
	code=0; wait "${pid[${names[$i]}]}" || code=$?
	codes+="$code "
	cut=$((cut + $(sum "$work/roll.json" failed)))
	refusals=$((refusals + $(sum "$work/roll.json" refused)))
	grep -A8 '"reasons": {$' "$work/roll.json" | grep -E '"[a-zA-Z]+": [0-9]+' || true
	start "$i"; ready "$i"
done
row "rolling replacement: exit codes" "$codes"
row "  failed, refused" "$cut, $refusals"
row "  all 12 held after" "$(until_held 12 0 1 2 3 4 5) ms"
check "$cut" -eq 0 "cut by a planned stop"
check "$refusals" -eq 0 "refused during a planned stop"
row "cold peak over all, limit 1" "$(peak)"
row "connections refused by upstreams" "$(refused)"
check "$(peak)" -le 1 "cold peak"
check "$(refused)" -eq 0 "connections"
"$z" events -admin "$(admin 1)" -kind upstreamTaken | tail -3
[ "$bad" = 0 ] && echo "all bounds held"
exit "$bad"
