# Shell functions shared by the measurements with real processes. Sourced by
# bash from the repository's root.

. tests/lib/fleet-lib.sh

# write_settings FILE CAPACITY ACCOUNTS: writes settings of a team with one
# chat service, one plain service and accounts k1, k2 and so on, whose keys are
# "measure-key-N".
write_settings() {
	local i
	cat >"$1" <<END
services:
  - {name: layout, upstreams: ${ENGINES:-12}, capacity: $2, floor_work: $(($2 / 2)), timeout: 5min}
  - {name: orders, kind: plain, prefix: /orders, upstreams: 3, capacity: 65536}
accounts:
END
	for i in $(seq "$3"); do
		echo "  - {name: k$i, key: measure-key-$i, best_rank: urgent}"
	done >>"$1"
}

# start_measured_fleet ROUTERS ENGINES APPS CAPACITY ACCOUNTS [OPTION...]: starts
# a fleet, with further options for its engines, and waits until every router
# sees all others.
start_measured_fleet() {
	local routers=$1 engines=$2 apps=$3 capacity=$4 accounts=$5 n
	shift 5
	ROUTERS=$routers ENGINES=$engines
	start_platform
	for n in $(seq "$engines"); do start_engine "$n" layout "$@"; done
	for n in $(seq "$apps"); do start_app "$n" orders; done
	for n in $(seq "$routers"); do start_router "$n"; done
	write_settings "$FLEET_DIR/shop.yaml" "$capacity" "$accounts"
	apply_settings fleet examples/demo/fleet.yaml >/dev/null
	apply_settings shop "$FLEET_DIR/shop.yaml" >/dev/null
	for n in $(seq "$routers"); do
		await 30 router_ready "$n"
		await 30 sees_routers "$n" "$routers"
	done
	# A cell is created by its first request.
	load warm-up --model layout --rank urgent --account measure-key-1 \
	    --words 1 --rate 10 --duration 2 --plain /orders \
	    --plain-share 0.5 --key-share 0 $(routers $(seq "$routers"))
	end_loads
	sleep 2 # until the routers have received load reports
}

# end_measured_fleet: ends the fleet and chooses ports and a directory for the
# next one, which may reuse the same ports.
end_measured_fleet() {
	stop_fleet
	FLEET_DIR=$(mktemp -d)
	FLEET_PORT=$(free_ports)
	platform_url="http://127.0.0.1:$FLEET_PORT"
}

# load NAME OPTION...: runs pb-load in the background and writes its JSON
# result to NAME.json. Each load has its own seed, because the stand-in counts
# how often it ran each body.
load() {
	local name=$1
	shift
	LOAD_SEED=$((${LOAD_SEED:-0} + 1))
	"$FLEET_BIN/pb-load" --json --seed $LOAD_SEED "$@" >"$FLEET_DIR/$name.json" \
	    2>"$FLEET_DIR/$name.err" &
	LOADS="${LOADS:-} $!"
}

# end_loads: waits for all loads; fails when an answer was wrong.
end_loads() {
	local pid
	for pid in $LOADS; do wait "$pid"; done
	LOADS=
}

# routers N...: prints pb-load's options for these routers.
routers() {
	local n
	for n in "$@"; do echo "--router 127.0.0.1:$(caller_port "$n")"; done
}

# field NAME PATH: prints a value of a load's JSON result, or 0.
field() { jq -r "$2 // 0" "$FLEET_DIR/$1.json"; }

# other_routers N: prints the numbers of all routers except N.
other_routers() { seq "$ROUTERS" | grep -vx "$1"; }

# cpu_ms NAME: prints the processor time of a process in ms, user and system.
cpu_ms() {
	awk -v hz="$(getconf CLK_TCK)" '{sub(/.*\) /, "")
	    print int(($12 + $13) * 1000 / hz)}' "/proc/$(pid_of "$1")/stat"
}

# rss_kb NAME: prints the resident set size of a process in KB.
rss_kb() { awk '/VmRSS/ {print $2}' "/proc/$(pid_of "$1")/status"; }

platform_stat() {
	curl -sf -m 2 "$platform_url/control/stats" | jq ".$1"
}

# exchange_bytes PATH: prints the bytes of a request, of the answer's head and
# of its body, without TCP and IP headers.
exchange_bytes() {
	curl -s -o /dev/null -w '%{size_request} %{size_header} %{size_download}' \
	    "$platform_url$1"
}

calc() { awk "BEGIN {printf \"%.${2:-2}f\", $1}"; }

# row CELL...: prints a row of a Markdown table.
row() {
	printf '|'
	printf ' %s |' "$@"
	printf '\n'
}

# heading CELL...: prints the first two rows of a Markdown table.
heading() {
	row "$@"
	printf '|'
	printf ' --- |%.0s' "$@"
	printf '\n'
}
