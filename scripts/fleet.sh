# Shell functions that start and end a small fleet on loopback: the platform
# stand-in, engines, applications and routers. Sourced by bash. Only processes
# that these functions started are ended, each by its process id.

FLEET_BIN=${FLEET_BIN:-build/release}

FLEET_SPAN=${FLEET_SPAN:-300} # number of ports reserved for a fleet

# Prints the first of FLEET_SPAN unused ports below the ephemeral range.
free_ports() {
	local base span=$FLEET_SPAN
	while :; do
		base=$((15000 + RANDOM % (15000 / span) * span))
		ss -Hltun | awk -v b=$base -v s="$span" '{n = $5
		    sub(/.*:/, "", n)
		    if (n >= b && n < b + s) used = 1} END {exit used}' && break
	done
	echo $base
}

FLEET_PORT=${FLEET_PORT:-$(free_ports)}
FLEET_DIR=$(mktemp -d)
FLEET_PIDS=
FLEET_REGION=${FLEET_REGION:-north}

platform_url="http://127.0.0.1:$FLEET_PORT"

engine_port() { echo $((FLEET_PORT + 10 + $1)); }
app_port() { echo $((FLEET_PORT + 60 + $1)); }
caller_port() { echo $((FLEET_PORT + 100 + 10 * $1)); }
peer_port() { echo $((FLEET_PORT + 101 + 10 * $1)); }
rpc_port() { echo $((FLEET_PORT + 102 + 10 * $1)); }
admin_port() { echo $((FLEET_PORT + 103 + 10 * $1)); }

# The address of the platform for router N, and the addresses of router N for
# other routers. Scripts redefine these functions to put a proxy in between.
platform_address() { echo "$platform_url"; }
peer_address() { echo "127.0.0.1:$(peer_port "$1")"; }
rpc_address() { echo "127.0.0.1:$(rpc_port "$1")"; }

pid_of() { cat "$FLEET_DIR/$1.pid" 2>/dev/null; }

# launch NAME COMMAND...: starts a process in the background and stores its
# process id.
launch() {
	local name=$1
	shift
	"$@" >"$FLEET_DIR/$name.out" 2>"$FLEET_DIR/$name.log" </dev/null &
	echo $! >"$FLEET_DIR/$name.pid"
	FLEET_PIDS="$FLEET_PIDS $!"
	disown
}

# await SECONDS COMMAND...: repeats the command until it succeeds; fails when
# the time is over.
await() {
	local tries=$(($1 * 20))
	shift
	while ! "$@" >/dev/null 2>&1; do
		tries=$((tries - 1))
		[ $tries -le 0 ] && {
			echo "timed out waiting for: $*" >&2
			return 1
		}
		sleep 0.05
	done
}

url_responds() { curl -sf -m 2 -o /dev/null "$1"; }

# register ID JSON: adds an instance to the platform's list.
register() {
	curl -sf -m 5 -o /dev/null -X PUT -d "$2" \
	    "$platform_url/instances/v1/$1"
}

unregister() {
	curl -sf -m 5 -o /dev/null -X DELETE "$platform_url/instances/v1/$1"
}

start_platform() {
	launch platform "$FLEET_BIN/pb-platform" --threads 128 \
	    --port "$FLEET_PORT" "$@"
	await 10 url_responds "$platform_url/instances/v1"
}

# upstream_entry ID SERVICE PORT STATE: prints an entry for the platform's
# list.
upstream_entry() {
	printf '{"id":"%s","role":"upstream","service":"%s","region":"%s",' \
	    "$1" "$2" "$FLEET_REGION"
	printf '"domain":"a","address":"127.0.0.1:%s","state":"%s",' "$3" "$4"
	printf '"incarnation":%s}' "$(date +%s%N | cut -c1-16)"
}

# start_upstream PROGRAM ID SERVICE PORT [OPTION...]: starts a stand-in and
# adds it to the platform's list once it answers.
start_upstream() {
	local program=$1 id=$2 service=$3 port=$4
	shift 4
	launch "$id" "$FLEET_BIN/$program" --id "$id" \
	    --listen "127.0.0.1:$port" "$@"
	await 10 url_responds "http://127.0.0.1:$port/v1/load"
	register "$id" "$(upstream_entry "$id" "$service" "$port" live)"
}

# start_engine N SERVICE [OPTION...]
start_engine() {
	local n=$1 service=$2
	shift 2
	start_upstream pb-engine "e$n" "$service" "$(engine_port "$n")" "$@"
}

# start_app N SERVICE [OPTION...]
start_app() {
	local n=$1 service=$2
	shift 2
	start_upstream pb-app "a$n" "$service" "$(app_port "$n")" "$@"
}

# write_router_file N: writes the settings file of router N's process.
write_router_file() {
	cat >"$FLEET_DIR/r$1.yaml" <<END
instance: r$1
fleet: demo
region: $FLEET_REGION
domain: $(echo "a b c" | cut -d' ' -f$((($1 - 1) % 3 + 1)))
caller: 127.0.0.1:$(caller_port "$1")
peer: 127.0.0.1:$(peer_port "$1")
rpc: 127.0.0.1:$(rpc_port "$1")
admin: 127.0.0.1:$(admin_port "$1")
table: $(platform_address "$1")
objects: $(platform_address "$1")
instances: $(platform_address "$1")
caller_threads: ${FLEET_THREADS:-64}
peer_threads: ${FLEET_THREADS:-64}
END
}

register_router() {
	register "r$1" "$(printf \
	    '{"id":"r%s","role":"router","region":"%s","domain":"%s",' \
	    "$1" "$FLEET_REGION" \
	    "$(echo "a b c" | cut -d' ' -f$((($1 - 1) % 3 + 1)))"
	printf '"address":"127.0.0.1:%s","peer":"%s",' \
	    "$(caller_port "$1")" "$(peer_address "$1")"
	printf '"rpc":"%s","admin":"127.0.0.1:%s",' \
	    "$(rpc_address "$1")" "$(admin_port "$1")"
	printf '"state":"live","incarnation":%s}' "$(date +%s%N | cut -c1-16)")"
}

start_router() {
	write_router_file "$1"
	launch "r$1" "$FLEET_BIN/poplarbeamd" "$FLEET_DIR/r$1.yaml"
	await 10 url_responds "http://127.0.0.1:$(admin_port "$1")/healthz"
	register_router "$1"
}

# apply_settings TEAM FILE: stores a document through router 1.
apply_settings() {
	"$FLEET_BIN/poplarbeam" apply \
	    --router "127.0.0.1:$(admin_port 1)" --team "$1" --expect 0 "$2"
}

router_ready() { url_responds "http://127.0.0.1:$(admin_port "$1")/readyz"; }

# sees_routers N COUNT: true when router N sees COUNT live routers.
sees_routers() {
	[ "$(curl -sf -m 2 "http://127.0.0.1:$(admin_port "$1")/admin/v1/status" |
	    jq '[.routers[]|select(.health=="live")]|length')" = "$2" ]
}

# send_signal NAME [SIGNAL]: sends a signal, SIGTERM by default, to a process
# that launch started.
send_signal() {
	kill "-${2:-TERM}" "$(pid_of "$1")" 2>/dev/null
}

has_exited() { ! kill -0 "$(pid_of "$1")" 2>/dev/null; }

stop_fleet() {
	local pid
	# kill fails for a process that has already exited, which is no error.
	set +e
	for pid in $FLEET_PIDS; do
		kill -CONT "$pid" 2>/dev/null
		kill -KILL "$pid" 2>/dev/null
	done
	FLEET_PIDS=
	[ -n "${FLEET_KEEP:-}" ] || rm -rf "$FLEET_DIR"
}
trap stop_fleet EXIT
