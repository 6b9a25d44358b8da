#!/bin/bash
# Runs the fault-injecting proxy in front of the platform stand-in and compares
# what a client sees with expected output. Guards against faults that are not
# injected, or injected differently from what other tests assume.
set -u
cd "$(dirname "$0")/../.." || exit 2
bin=build/${VARIANT:-release}
work=$(mktemp -d)
pids=()
stop() {
	local p
	for p in "${pids[@]}"; do
		kill "$p" 2>/dev/null && wait "$p"
	done
	pids=()
	rm -rf "$work"
}
trap stop EXIT

# Starts a program and waits until it prints "ready"; fails when a port is in
# use.
launch() {
	local out=$work/out
	: >"$out"
	"$@" >"$out" 2>"$work/err" &
	pids+=($!)
	for _ in $(seq 60); do
		grep -q '^ready$' "$out" && return 0
		kill -0 $! 2>/dev/null || break
		sleep 0.05
	done
	return 1
}

start() {
	local try
	for try in 1 2 3 4 5; do
		port=$((20000 + (RANDOM * 7 + try) % 20000))
		launch $bin/pb-platform -p "$port" &&
		    launch $bin/pb-proxy -c $((port + 1)) --seed=5 \
			-t p=$((port + 2)):127.0.0.1:$port \
			-u u=$((port + 3)):127.0.0.1:$((port + 4)) \
			-u v=$((port + 4)):127.0.0.1:$((port + 5)) && return 0
		for p in "${pids[@]}"; do kill "$p" 2>/dev/null; wait "$p"; done
		pids=()
	done
	return 1
}
start || { echo "no start: $(cat "$work/err")"; exit 1; }
ctl=http://127.0.0.1:$((port + 1))/control
row="http://127.0.0.1:$((port + 2))/table/v1/row?key=k"

set_fault() {
	curl -s -m 5 -o /dev/null -w '%{http_code} ' -d "$2" "$ctl/link/$1"
	# A setting takes effect within one poll of the proxy, 10 ms.
	sleep 0.05
}
# Prints curl's exit code, the status and the bytes that arrived.
fetch() {
	curl -s -m 0.6 -o "$work/body" -w '%{http_code} %{size_download}' "$row"
	echo " exit $?"
}

run() {
	curl -s -o /dev/null -d '{"puts":[{"key":"k","value":"0123456789"}]}' \
	    "http://127.0.0.1:$port/table/v1/commit"
	echo "# pass"; set_fault p '{"mode":"pass"}'; fetch
	echo "# cut: no answer, no error"; set_fault p '{"mode":"cut"}'; fetch
	echo "# cut_up"; set_fault p '{"mode":"cut_up"}'; fetch
	echo "# cut_down"; set_fault p '{"mode":"cut_down"}'; fetch
	echo "# refuse"; set_fault p '{"mode":"refuse"}'; fetch
	echo "# pass again"; set_fault p '{"mode":"pass"}'; fetch
	echo "# truncated inside the body, twice"
	set_fault p '{"mode":"truncate_after_bytes","bytes":100,"count":2}'
	fetch; fetch; fetch
	echo "# reset before the first byte, once"
	set_fault p '{"mode":"reset_after_bytes","bytes":0,"count":1}'
	fetch; fetch
	echo "# delay: 2 x 150 ms"
	set_fault p '{"mode":"delay","delay_ms":150}'
	curl -s -m 2 -o /dev/null -w '%{time_total}\n' "$row" |
	    awk '{print ($1 >= 0.3 && $1 < 1 ? "delayed" : $1)}'
	echo "# unknown mode, unknown link"
	set_fault p '{"mode":"half"}'; set_fault q '{"mode":"pass"}'; echo
	echo "# UDP through two links, faults by seed"
	set_fault u '{"mode":"pass","drop":0.25,"duplicate":0.1,"reorder":0.2}'; echo
	exec 3<>"/dev/udp/127.0.0.1/$((port + 3))"
	for i in $(seq 200); do printf 'd%03d' "$i" >&3; done
	exec 3>&-
	sleep 0.2
	curl -s "$ctl/stats" | jq -c \
	    '.p|{connections,resets,truncations}'
	curl -s "$ctl/stats" | jq -c \
	    '.u|{dropped,duplicated,reordered,bytes_up}'
	curl -s "$ctl/stats" | jq -c '.v|{dropped,bytes_up}'
}

run >"$work/got" 2>&1
kill "${pids[1]}"
wait "${pids[1]}"
echo "# exit status $?" >>"$work/got"
diff -u tests/scripts/proxy.expected "$work/got" && echo "proxy: as expected"
