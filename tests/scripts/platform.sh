#!/bin/bash
# Runs the platform stand-in and compares its answers with expected output.
# Guards against a stand-in that differs from the wire format of the adapters,
# and against faults that are injected differently from what tests assume.
set -u
cd "$(dirname "$0")/../.." || exit 2
bin=build/${VARIANT:-release}/pb-platform
[ -x "$bin" ] || { echo "$bin is not built"; exit 2; }
work=$(mktemp -d)
pid=
stop() {
	[ -n "$pid" ] && kill "$pid" 2>/dev/null && wait "$pid"
	pid=
	rm -rf "$work"
}
trap stop EXIT

cat >"$work/load.json" <<'JSON'
{"instances":[{"id":"r1","role":"router","state":"live","address":"127.0.0.1:1"}],
 "rows":[{"key":"settings/head","value":{"revision":7}}]}
JSON

# Starts the stand-in on two free loopback ports.
start() {
	local try
	for try in 1 2 3 4 5; do
		port=$((20000 + (RANDOM * 3 + try) % 20000))
		: >"$work/out"
		"$bin" -p "$port" -p $((port + 1)) --load="$work/load.json" \
		    --writes=400 >"$work/out" 2>"$work/err" &
		pid=$!
		for _ in $(seq 50); do
			grep -q '^ready$' "$work/out" && return 0
			kill -0 "$pid" 2>/dev/null || break
			sleep 0.05
		done
		kill "$pid" 2>/dev/null
		wait "$pid" 2>/dev/null
		pid=
	done
	return 1
}

start || { echo "no start: $(cat "$work/err")"; exit 1; }
a=http://127.0.0.1:$port
b=http://127.0.0.1:$((port + 1))

# Prints status and body of one call in one line.
call() {
	curl -s -m 5 -w ' %{http_code}' "$@" | tr -d '\n'
	echo
}
commit() {
	call -d "$1" "$a/table/v1/commit"
}

run() {
	echo "# loaded state shows on both ports"
	call "$a/table/v1/row?key=settings%2Fhead"
	call "$b/instances/v1"
	echo "# commit: insert, check fails as a whole, delete"
	commit '{"checks":[{"key":"k/1","version":0}],"puts":[{"key":"k/1","value":{"n":1}},{"key":"k/2","value":[2]}]}'
	commit '{"checks":[{"key":"k/2","version":2},{"key":"k/1","version":0}],"puts":[{"key":"k/3","value":3}]}'
	call "$a/table/v1/row?key=k/3"
	call "$a/table/v1/rows?prefix=k/&limit=1&after="
	call "$a/table/v1/rows?prefix=k/&limit=10&after=k/1"
	commit '{"checks":[{"key":"k/2","version":2}],"deletes":["k/2"]}'
	commit '{"puts":[{"key":"k/2"}]}'
	echo "# a lost answer: the write took effect"
	call -d '{"lose_answers":1}' "$a/control/faults"
	commit '{"puts":[{"key":"k/4","value":4}]}'
	call "$a/table/v1/row?key=k/4"
	echo "# refused: nothing takes effect"
	call -d '{"refuse":true,"surface":"table"}' "$a/control/faults"
	commit '{"puts":[{"key":"k/5","value":5}]}'
	call -o /dev/null "$a/instances/v1"
	call -d '{"refuse":false}' "$a/control/faults"
	call "$a/table/v1/row?key=k/5"
	echo "# slow answers"
	call -d '{"slow_ms":300}' "$a/control/faults"
	curl -s -m 5 -o /dev/null -w '%{time_total}\n' "$a/table/v1/row?key=k/4" |
	    awk '{print ($1 >= 0.3 ? "slow" : "fast")}'
	call -d '{"slow_ms":0,"lag_ms":400}' "$a/control/faults"
	echo "# an edit of the list shows after the lag"
	call -X PUT -d '{"id":"e1","role":"upstream","state":"live","address":"127.0.0.1:2"}' "$a/instances/v1/e1"
	call -X PUT -d '{"id":"e2","role":"upstream"}' "$a/instances/v1/e2"
	curl -s "$a/instances/v1" | jq -c '[.instances[].id]'
	sleep 0.5
	curl -s "$a/instances/v1" | jq -c '[.instances[].id]'
	call -X DELETE "$a/instances/v1/r1"
	sleep 0.5
	curl -s "$a/instances/v1" | jq -c '[.instances[].id]'
	echo "# objects"
	call -T "$work/load.json" "$a/objects/v1/x/y" -o /dev/null
	curl -s "$a/objects/v1/x/y" | cmp - "$work/load.json" && echo same
	call "$a/objects/v1/x/z"
	echo "# limit: a commit with more rows than one second allows"
	jq -nc '{puts:[range(401)|{key:"big/\(.)",value:1}]}' >"$work/big.json"
	call -o /dev/null -d @"$work/big.json" "$a/table/v1/commit"
	curl -s "$a/control/stats" | jq -c .
}

run >"$work/got" 2>&1
kill "$pid"
wait "$pid"
echo "# exit status $?" >>"$work/got"
pid=
diff -u tests/scripts/platform.expected "$work/got" && echo "platform: as expected"
