# Shell functions of the scripts review/6 to review/10. Sourced by bash in the
# root of the repository, with CASE set to the folder of the case.

TROUBLE=${TROUBLE:-1}
BIN=build/review-2
STORE=build/release/pb-rows
GATEWAY=target/poplarbeam-gateway
RECORD=$CASE/record.txt
route_host=shop.example
key=key-of-a

for program in $BIN/engine-2 $BIN/client-2 $BIN/ports-2 $STORE $GATEWAY; do
	[ -x "$program" ] || {
		echo "$program is missing: run the build of deploy/system.toml" \
		    "and review/build-2.sh"
		exit 2
	}
done
DIR=$(mktemp -d) || exit 2
: >"$RECORD"
pids=()

note() { echo "$*" | tee -a "$RECORD"; }

# cannot_run TEXT: ends the script if the case could not be brought about.
cannot_run() {
	note "the case could not run: $*"
	exit 2
}

clean_up() {
	local p
	for p in "${pids[@]}"; do
		kill -CONT "$p" 2>/dev/null
		kill -KILL "$p" 2>/dev/null
	done
	wait 2>/dev/null
	[ -n "${KEEP:-}" ] || rm -rf "$DIR"
}
trap clean_up EXIT

# launch NAME COMMAND...: starts a process in the background; its output goes
# to a file of this name, its process id to the variable pid_NAME.
launch() {
	local name=$1
	shift
	"$@" >"$DIR/$name.log" 2>&1 &
	pids+=($!)
	printf -v "pid_$name" %s $!
}

# await SECONDS COMMAND...: waits until the command succeeds.
await() {
	local tries=$(($1 * 20))
	shift
	while ! "$@"; do
		tries=$((tries - 1))
		[ $tries -gt 0 ] || return 1
		sleep 0.05
	done
}

call() { "$BIN/client-2" "$@"; }
is_ready() { call "$1" GET "${2:-/ready}" -t 2000 | grep -q 'status=200'; }

# put_row TABLE KEY FILE
put_row() {
	call "$store_port" PUT "/control/row/$1/$2" -f "$3" -t 5000 |
	    grep -q 'status=20' || cannot_run "the store took no row $1/$2"
}
delete_row() { call "$store_port" DELETE "/control/row/$1/$2" -t 5000 >/dev/null; }

start_store() {
	store_port=$1
	launch store "$STORE" "$store_port"
	await 5 is_ready "$store_port" /control/calls ||
	    cannot_run "the store did not start"
}

# start_engine N PORT [NAME=VALUE]...
start_engine() {
	local n=$1 port=$2
	shift 2
	launch "e$n" "$BIN/engine-2" "$port" "e$n" "$RECORD" "$@"
	await 5 is_ready "$port" /up || cannot_run "engine e$n did not start"
}

# announce N PORT SERVICE [STATE]: the entry that the engine writes of itself.
announce() {
	printf '{"service":"%s","address":"127.0.0.1:%s","zone":"a","version":"v1",' \
	    "$3" "$2" >"$DIR/entry"
	printf '"slots":%s,"state":"%s","cold-left-ms":0,"sequence":1,"born":%s}' \
	    "${SLOTS:-16}" "${4:-ready}" "${BORN:-1700000000000}" >>"$DIR/entry"
	put_row servers "e$1" "$DIR/entry"
}

# route NAME PREFIX KIND ATTEMPTS RESUMABLE SERVICE TIMEOUT-MS AIM-MS
route() {
	printf '{"name":"%s","host":"%s","prefix":"%s","kind":"%s",' "$1" \
	    "$route_host" "$2" "$3"
	printf '"max-attempts":%s,"resumable":%s,"service":"%s",' "$4" "$5" "$6"
	printf '"timeout-ms":%s,"target-latency-ms":%s,"gap-aim-ms":300,' "$7" "$8"
	printf '"priority":1,"public":false,"sticky":false}'
}

# apply_config VERSION: the routes of a small deployment.
apply_config() {
	{
		printf '{"version":%s,"routes":[' "$1"
		route draft /draft/ streaming 2 true llm 15000 800
		printf ,
		route care /care/ streaming 1 false llm 12000 800
		printf ,
		route pay /pay/ non_idempotent 1 false app 1200 150
		printf ,
		route look /look/ idempotent 2 false app "${LOOK_MS:-1200}" 150
		printf '],"services":[{"name":"llm","health-path":"/health",'
		printf '"max-conns":370},{"name":"app","health-path":"/health",'
		printf '"max-conns":110}],"limits":{"max-header-bytes":16384,'
		printf '"max-body-bytes":4194304,"header-timeout-ms":2000,'
		printf '"idle-timeout-ms":%s},' "${IDLE_MS:-15000}"
		printf '"tenants":[{"name":"a","api-keys":["%s"]}]}' "$key"
	} >"$DIR/config"
	put_row op config "$DIR/config"
}

# start_gateway N FRONT READY METRICS PEER: with the settings that
# deploy/gateway.yaml.tmpl makes for a machine of the smallest deployment.
start_gateway() {
	local n=$1
	{
		echo "instance: g$n"
		echo "domain: ${DOMAIN:-a}"
		echo "caller: 127.0.0.1:$2"
		echo "ready: 127.0.0.1:$3"
		echo "metrics: 127.0.0.1:$4"
		echo "peer: 127.0.0.1:$5"
		echo "store: 127.0.0.1:$store_port"
		echo "stop_ms: 8000"
		echo "memory_mb: 260"
		echo "revoke_ms: 5000"
		echo "strict_revoke: 1"
		echo "retry_ratio: 0.2"
		echo "retry_slack: 56"
		echo "retry_window_s: 10"
	} >"$DIR/g$n.yaml"
	POPLARBEAM_BOOT=$DIR/g$n.yaml launch "g$n" "$GATEWAY"
	await 15 is_ready "$3" || cannot_run "router g$n did not get ready"
}

# request PORT ID METHOD PATH DEADLINE-MS [CLIENT-OPTION]...: sends a request of
# a client and records it with its answer.
request() {
	local port=$1 id=$2 method=$3 path=$4 deadline=$5 answer
	shift 5
	answer=$(call "$port" "$method" "$path" -H "Host: $route_host" \
	    -H "X-Poplarbeam-Attempt-Id: $id" \
	    -H "X-Poplarbeam-Deadline-Ms: $deadline" \
	    -H "Authorization: Bearer $key" -t "$deadline" "$@")
	echo "client $id $method $path $answer" >>"$RECORD"
}

# verdict COUNT TEXT: ends the script; COUNT is how often the rule was broken.
verdict() {
	note "$1 $2"
	[ "$1" -eq 0 ] || exit 1
	exit 0
}
