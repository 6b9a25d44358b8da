# Shell functions for the scripts of review/: the programs of the deploy file
# with settings as its template makes them, the project's stand-in of the store,
# and the stand-ins engine.c and client.c beside this file. All on loopback.
# Sourced by bash in a case's folder; needs bash, coreutils and awk.

case_dir=$(cd "$(dirname "$0")" && pwd)
top=$(cd "$case_dir/../.." && pwd)
trouble=${trouble:-${TROUBLE:-1}}
record="$case_dir/record.txt"
dir=$(mktemp -d)
pids=
client="$top/build/review/review-client"
engine="$top/build/review/review-engine"
gateway="$top/target/poplarbeam-gateway"
host=ficu95.example
key=n2ctnfzs989anu6wsjnb

cleanup() {
	local p
	for p in $pids; do kill -CONT "$p" 2>/dev/null; kill -KILL "$p" 2>/dev/null; done
	wait 2>/dev/null
	[ -n "${KEEP:-}" ] && cp "$dir"/gateway*.out "$KEEP"
	rm -rf "$dir"
}
trap cleanup EXIT
trap 'exit 2' INT TERM

# skip TEXT: ends the script because the case could not run.
skip() { echo "could not run: $*" | tee -a "$record"; exit 2; }
say() { echo "$(date +%s%3N) script $*" >>"$record"; }

for f in "$client" "$engine" "$gateway" "$top/build/release/pb-rows"; do
	[ -x "$f" ] || { echo "missing: ${f#"$top"/}"; exit 2; }
done
: >"$record"
say "trouble $trouble"
base=$("$client" ports 140)
store_port=$base
engine_port() { echo $((base + 2 + $1)); }
caller_port() { echo $((base + 20 + 4 * $1)); }
ready_port() { echo $((base + 21 + 4 * $1)); }
metrics_port() { echo $((base + 22 + 4 * $1)); }
peer_port() { echo $((base + 23 + 4 * $1)); }

# launch NAME COMMAND...: starts a process and keeps its id in pid_NAME.
launch() {
	local name=$1
	shift
	"$@" >"$dir/$name.out" 2>&1 &
	disown $!
	pids="$pids $!"
	eval "pid_$name=$!"
}

# await SECONDS COMMAND...
await() {
	local until=$(($(date +%s) + $1))
	shift
	until "$@"; do
		[ "$(date +%s)" -lt "$until" ] || return 1
		sleep 0.05
	done
}

put() { "$client" call "$store_port" PUT "/control/row/$1/$2" "$3"; }

start_store() {
	launch store "$top/build/release/pb-rows" "$store_port" $((base + 1))
	await 5 "$client" call "$store_port" GET /control/calls || skip "the store did not start"
}

# write_entry N SERVICE ZONE SLOTS
write_entry() {
	printf '{"service":"%s","address":"127.0.0.1:%s","zone":"%s","version":"v1","slots":%s,"state":"ready","cold-left-ms":0,"sequence":1,"born":1700000000000}' \
	    "$2" "$(engine_port "$1")" "$3" "$4" >"$dir/entry"
	put servers "i-$1" "$dir/entry" || skip "no entry for engine $1"
}

# start_engine N SERVICE ZONE SLOTS WORK-MS
start_engine() {
	launch "engine$1" "$engine" "$(engine_port "$1")" "i-$1" "$4" "$5" "$record"
	await 5 "$client" call "$(engine_port "$1")" GET /health || skip "engine $1 did not start"
	write_entry "$1" "$2" "$3" "$4"
}

# route NAME PREFIX KIND LIMIT-MS TARGET-MS ATTEMPTS RESUMABLE SERVICE
route() {
	printf '{"name":"%s","host":"%s","prefix":"%s","kind":"%s","timeout-ms":%s,"target-latency-ms":%s,"priority":0,"service":"%s","max-attempts":%s,"public":false,"sticky":false,"resumable":%s,"gap-aim-ms":300}' \
	    "$1" "$host" "$2" "$3" "$4" "$5" "$8" "$6" "$7"
}

# put_config VERSION ROUTES: the limits are those of the users' site files.
put_config() {
	printf '{"version":%s,"routes":[%s],"services":[{"name":"hiram-app","health-path":"/health","max-conns":110},{"name":"hilot-llm","health-path":"/health","max-conns":370}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"hule930","api-keys":["%s"],"priority":1}]}' \
	    "$1" "$2" "$key" >"$dir/config"
	put op config "$dir/config" || skip "no config"
}

# start_gateway N ZONE: the settings are what deploy/gateway.yaml.tmpl makes of
# the platform's fields for kpkb-hilot.
start_gateway() {
	cat >"$dir/g$1.yaml" <<-END
		instance: edge-$2-$1
		domain: $2
		caller: 127.0.0.1:$(caller_port "$1")
		ready: 127.0.0.1:$(ready_port "$1")
		metrics: 127.0.0.1:$(metrics_port "$1")
		peer: 127.0.0.1:$(peer_port "$1")
		store: 127.0.0.1:$store_port
		stop_ms: 8000
		memory_mb: 260
		revoke_ms: 5000
		strict_revoke: 1
		retry_ratio: 0.2
		retry_slack: 56
		retry_window_s: 10
	END
	POPLARBEAM_BOOT="$dir/g$1.yaml" launch "gateway$1" "$gateway"
}

is_ready() { [ "$("$client" status "$(ready_port "$1")" /poplarbeam/ready)" = 200 ]; }
wait_gateway() {
	await 15 is_ready "$1" || skip "router $1 did not become ready"
	eval "kill -0 \$pid_gateway$1" 2>/dev/null || skip "router $1 has ended"
}

# play PLAN-FILE
play() { "$client" play "$record" "$host" "$key" <"$1"; }

# finish BROKEN TEXT: BROKEN is 1 if the rule was broken.
finish() {
	say "result: $2"
	echo "$2"
	sort -n -k1,1 -s -o "$record" "$record"
	exit "$1"
}
