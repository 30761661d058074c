#!/usr/bin/env bash
# Tries the settings and marks as separate processes on loopback: a paused
# daemon, a platform that is down, and a daemon that starts meanwhile and asks
# its seed. Exits 0 if all went as it should.
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
base=${BASE_PORT:-23000}
platform="127.0.0.1:$base"
failed=0
expect() {
	local want=$1 got=0
	shift
	echo "\$ zinnialock ${*//$work\//}"
	"$z" "$@" || got=$?
	if [ "$got" != "$want" ]; then
		echo "^^ exit code $got, wanted $want"
		failed=1
	fi
}
start() { # name dataCentre number
	local port=$((base + 200 + $3 * 10))
	cat >"$work/$1.toml" <<END
[daemon]
name = "$1"
dataCentre = "$2"
deployment = "guild"
[listen]
caller = "127.0.0.1:$port"
admin = "127.0.0.1:$((port + 1))"
peer = "127.0.0.1:$((port + 2))"
[platform]
address = "$platform"
[peers]
seeds = ["127.0.0.1:$((base + 202))"]
[keys]
certificate = "$work/$1.crt"
key = "$work/$1.key"
authority = "$work/authority.crt"
END
	"$z" serve -config "$work/$1.toml" >"$work/$1.log" 2>&1 &
	pids+=($!)
}
ready() {
	for _ in $(seq 100); do curl -sf "http://$1/readyz" >/dev/null && return; sleep 0.1; done
	echo "^^ $1 is not ready"
	failed=1
}
admin="127.0.0.1:$((base + 201))"
who=(-platform "$platform" -by ann)

"$z" standin keys -dir "$work" -names nashua-1,lowell-1,worcester-1,nashua-2
"$z" standin platform -listen "$platform" >"$work/platform.log" 2>&1 &
pids+=($!)
sleep 0.5
kill -0 "${pids[0]}" || { cat "$work/platform.log"; exit 1; }
start nashua-1 nashua 0
start lowell-1 lowell 1
paused=${pids[-1]}
start worcester-1 worcester 2
for i in 0 1 2; do ready "127.0.0.1:$((base + 201 + i * 10))"; done
sleep 1
expect 0 config set "${who[@]}" -path guild -key deadline -value 2s -reason "school holidays"
sleep 1
expect 0 config status -admin "$admin"
echo "-- lowell-1 is paused"
kill -STOP "$paused"
expect 0 config set "${who[@]}" -path guild -key deadline -value 3s -reason "rolls are slow"
expect 0 mark dc lowell out "${who[@]}" -reason "its daemon is silent"
expect 1 config status -admin "$admin"
kill -CONT "$paused"
sleep 2
echo "-- it goes on"
expect 0 config status -admin "$admin"
echo "-- the platform is down, and nashua-2 starts"
curl -sf -X PUT "http://$platform/control/faults" -d '{"down": true}'
expect 1 config set "${who[@]}" -path guild -key deadline -value 4s -reason "too late" -wait 1s
start nashua-2 nashua 3
ready "127.0.0.1:$((base + 231))"
sleep 2
expect 0 config status -admin "127.0.0.1:$((base + 231))"
echo "-- the platform is back"
curl -sf -X PUT "http://$platform/control/faults" -d '{"down": false}'
sleep 5
expect 0 mark dc lowell in "${who[@]}" -reason "it is back"
sleep 1
expect 0 config status -admin "$admin"
expect 0 config history -platform "$platform" -of marks
echo "checks $([ $failed = 0 ] && echo passed || echo failed)"
exit $failed
