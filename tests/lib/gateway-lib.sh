# Shell functions for test scripts of the gateway: a stand-in of the platform's
# store, misbehaving back ends and gateways, all on loopback. Sourced by bash.

. tests/lib/fleet-lib.sh

store_port=$FLEET_PORT
second_store_port=$((FLEET_PORT + 1)) # refuses calls in the mode "refuse"
store_url="http://127.0.0.1:$store_port"
route_host=shop.example
account_key=key-of-a

backend_port() { echo $((FLEET_PORT + 10 + $1)); }
# announced_port N: prints the port in the entry of back end N. Scripts
# redefine it to put a proxy between gateways and back ends.
announced_port() { backend_port "$1"; }
gateway_port() { echo $((FLEET_PORT + 100 + 10 * $1)); }
ready_port() { echo $((FLEET_PORT + 101 + 10 * $1)); }
metrics_port() { echo $((FLEET_PORT + 102 + 10 * $1)); }
gateway_peer_port() { echo $((FLEET_PORT + 103 + 10 * $1)); }
gateway_url() { echo "http://127.0.0.1:$(gateway_port "$1")"; }

start_store() {
	launch store "$FLEET_BIN/pb-rows" "$store_port" "$second_store_port"
	await 5 url_responds "$store_url/control/calls"
}

set_store_mode() { curl -sf -m 5 -X PUT -d "$1" "$store_url/control/mode"; }
count_store_calls() { curl -sf -m 5 "$store_url/control/calls"; }

# put_row TABLE KEY: stores standard input as the value of a row.
put_row() {
	curl -sf -m 5 -X PUT --data-binary @- "$store_url/control/row/$1/$2"
}

delete_row() { curl -sf -m 5 -X DELETE "$store_url/control/row/$1/$2"; }

# backend_zone N: prints the failure domain in the entry of back end N. Scripts
# redefine it to use several.
backend_zone() { echo a; }

# backend_entry N SERVICE [STATE] [SEQUENCE]: BORN is the Unix millisecond of
# the back end's start, COLD_LEFT_MS the rest of its cold time.
backend_entry() {
	printf '{"service":"%s","address":"127.0.0.1:%s","zone":"%s",' "$2" \
	    "$(announced_port "$1")" "$(backend_zone "$1")"
	printf '"version":"v1","slots":8,"state":"%s","cold-left-ms":%s,' \
	    "${3:-ready}" "${COLD_LEFT_MS:-0}"
	printf '"sequence":%s,"born":%s}' "${4:-1}" "${BORN:-1700000000000}"
}

# announce_backend N SERVICE [STATE] [SEQUENCE]
announce_backend() {
	backend_entry "$@" >"$FLEET_DIR/entry"
	put_row servers "b$1" <"$FLEET_DIR/entry"
}

# announce_many FIRST LAST SERVICE [STATE] [SEQUENCE]: stores the entries of
# back ends FIRST to LAST in one call.
announce_many() {
	local n first=$1 last=$2
	shift 2
	for n in $(seq "$first" "$last"); do
		printf 'b%s ' "$n"
		backend_entry "$n" "$@"
		echo
	done >"$FLEET_DIR/entries"
	curl -sf -m 5 -X PUT --data-binary @"$FLEET_DIR/entries" \
	    "$store_url/control/rows/servers"
}

# start_backend N SERVICE [ACTION]
start_backend() {
	launch "b$1" "$FLEET_BIN/pb-backend" "$(backend_port "$1")" "b$1" ${3:-}
	announce_backend "$1" "$2"
}

# route NAME PREFIX KIND ATTEMPTS RESUMABLE [TIMEOUT-MS]: TARGET_MS is the latency
# objective.
route() {
	printf '{"name":"%s","host":"%s","prefix":"%s","kind":"%s",' "$1" \
	    "$route_host" "$2" "$3"
	printf '"timeout-ms":%s,"target-latency-ms":%s,"priority":%s,' \
	    "${6:-3000}" "${TARGET_MS:-150}" "${PRIORITY:-1}"
	printf '"service":"app","max-attempts":%s,"public":false,' "$4"
	printf '"sticky":false,"resumable":%s}' "$5"
}

# cold_limits: prints the members of a service for COLD_START_S and COLD_PER_S,
# as far as they are set.
cold_limits() {
	[ -n "${COLD_START_S:-}" ] && printf ',"cold-start-s":%s' "$COLD_START_S"
	[ -n "${COLD_PER_S:-}" ] && printf ',"cold-per-s":%s' "$COLD_PER_S"
}

# config_text VERSION [KEY[","KEY]]: prints a configuration with the routes
# that the scripts use and EXTRA_ROUTES further ones. BODY_LIMIT is the largest
# request body in bytes.
config_text() {
	local n
	printf '{"version":%s,"routes":[' "$1"
	for n in $(seq "${EXTRA_ROUTES:-0}"); do
		route "extra-$n" "/extra-$n/" idempotent 2 false
		printf ,
	done
	route safe /safe/ idempotent 2 false
	printf ,
	route once /once/ non_idempotent 2 false
	printf ,
	route flow /flow/ streaming 2 true 8000
	printf ,
	route tale /tale/ streaming 2 false
	printf '],"services":[{"name":"app","health-path":"/health",'
	printf '"max-conns":100%s}],"limits":{"max-header-bytes":4096,' \
	    "$(cold_limits)"
	printf '"max-body-bytes":%s,' "${BODY_LIMIT:-65536}"
	printf '"header-timeout-ms":1000,'
	printf '"idle-timeout-ms":15000},"tenants":[{"name":"a",'
	printf '"api-keys":["%s"]}]}' "${2:-$account_key}"
}

# apply_config VERSION [KEY[","KEY]]
apply_config() { config_text "$@" | put_row op config; }

# evacuate ZONE, end_evacuation ZONE: add and delete the operator's row.
evacuate() { printf '{}' | put_row op "evacuate/$1"; }
end_evacuation() { delete_row op "evacuate/$1"; }

# start_gateway N [LINE...]: starts gateway N in the failure domain DOMAIN
# (default a), with further lines in its settings file.
start_gateway() {
	local n=$1
	shift
	{
		echo "instance: g$n"
		echo "domain: ${DOMAIN:-a}"
		echo "caller: 127.0.0.1:$(gateway_port "$n")"
		echo "ready: 127.0.0.1:$(ready_port "$n")"
		echo "metrics: 127.0.0.1:$(metrics_port "$n")"
		echo "peer: 127.0.0.1:$(gateway_peer_port "$n")"
		echo "store: 127.0.0.1:${STORE_PORT:-$store_port}"
		printf '%s\n' "$@"
	} >"$FLEET_DIR/g$n.yaml"
	launch "g$n" "$FLEET_BIN/poplarbeam-gateway" "$FLEET_DIR/g$n.yaml"
}

gateway_ready() { url_responds "http://127.0.0.1:$(ready_port "$1")/ready"; }

# wait_gateway N: waits until gateway N is ready and has read the back ends.
wait_gateway() { await 10 gateway_ready "$1"; }

# send_request N ID PATH [CURL-OPTION...]: sends one request to gateway N and
# prints the body and the status in one line.
send_request() {
	local n=$1 id=$2 path=$3
	shift 3
	curl -s -m 10 -H "Host: $route_host" \
	    -H "X-Poplarbeam-Attempt-Id: $id" \
	    -H "Authorization: Bearer $account_key" -w ' %{http_code}' "$@" \
	    "$(gateway_url "$n")$path" >"$FLEET_DIR/answer" ||
	    printf ' (broken off)' >>"$FLEET_DIR/answer"
	tr '\n' '|' <"$FLEET_DIR/answer"
	echo
}

# gateway_metric N NAME: prints the value of a gauge of gateway N.
gateway_metric() {
	curl -sf -m 5 "http://127.0.0.1:$(metrics_port "$1")/" |
	    awk -v n="poplarbeam_$2" '$1 == n {print $2}'
}

# metric_is NAME VALUE N...: true if the gauge has this value at each gateway.
metric_is() {
	local name=$1 value=$2 n
	shift 2
	for n in "$@"; do
		[ "$(gateway_metric "$n" "$name")" = "$value" ] || return 1
	done
}

# arrivals_between N FROM TO: prints the requests that reached back end N
# between these Unix milliseconds, one in a line.
arrivals_between() {
	curl -sf -m 5 "http://127.0.0.1:$(backend_port "$1")/arrivals" |
	    awk -v from="$2" -v to="$3" '$2 >= from && $2 < to'
}

# max_arrivals_per_s N FROM TO: prints the largest number of requests that
# reached back end N within any second between these times.
max_arrivals_per_s() {
	arrivals_between "$@" | awk '{
		t[NR] = $2
		while (t[NR] - t[first + 1] >= 1000)
			first++
		if (NR - first > most)
			most = NR - first
	} END {print most + 0}'
}

# request_list NAME COUNT ROUTERS PATH...: prints options by which curl sends so
# many requests to the routers ("1 2 3") and paths in turn and prints the id, the
# path, the status with the exit code, and the time of each. Every fifth request
# has a prompt prefix. No two bodies are equal and torn streams have no prefix, so
# that the routers do not refuse them as requests that crash instances.
request_list() {
	local name=$1 count=$2 urls="" n
	for n in $3; do urls="$urls $(gateway_url "$n")"; done
	shift 3
	awk -v name="$name" -v count="$count" -v urls="$urls" -v paths="$*" \
	    -v host="$route_host" -v key="$account_key" 'BEGIN {
		nurls = split(urls, url)
		npaths = split(paths, path)
		lane = name
		gsub(/[^0-9]/, "", lane)
		for (i = 0; i < count; i++) {
			id = name "-" i
			p = path[i % npaths + 1]
			if (i > 0)
				print "next"
			printf "url = \"%s%s\"\n", url[i % nurls + 1], p
			printf "header = \"Host: %s\"\n", host
			printf "header = \"X-Poplarbeam-Attempt-Id: %s\"\n", id
			printf "header = \"Authorization: Bearer %s\"\n", key
			if (i % 5 == 0 && p !~ /torn/)
				printf "header = \"X-Poplarbeam-Prompt-Prefix: " \
				    "p%d:2000,%s:100\"\n", (i / 5 + lane) % 16, id
			printf "data = \"%s\"\n", id
			print "output = /dev/null\nmax-time = 12"
			printf "write-out = \"%s %s %%{http_code}%%{exitcode} " \
			    "%%{time_total}\\n\"\n", id, p
		}
	}'
}

# pace_requests NAME SECONDS RATE ROUTERS PATH...: for this time, sends RATE
# requests a second on each of three connections to each router, one after the
# other on a connection. Writes their outcomes to outcomes-NAME* and waits for
# all. One process for each connection sends the requests, because a process for
# each request is too slow on a busy machine. The connections begin at different
# times and with different prefixes.
pace_requests() {
	local name=$1 seconds=$2 rate=$3 routers=$4 n lane pids=""
	shift 4
	for n in $routers; do
		for lane in 1 2 3; do
			request_list "$name-$n$lane" $((seconds * rate)) "$n" "$@" |
			    send_paced "0.0$n$lane" "$rate" \
				>"$FLEET_DIR/outcomes-$name-$n$lane" &
			pids="$pids $!"
		done
	done
	wait $pids
}

send_paced() {
	sleep "$(awk -v part="$1" -v rate="$2" 'BEGIN {print part * 13 / rate}')"
	curl -s --rate "$2/s" -K -
}

# send_burst NAME COUNT ROUTERS PATH...: sends so many requests at once and
# writes their outcomes to outcomes-NAME.
send_burst() {
	request_list "$@" | curl -s -Z --parallel-immediate --parallel-max 300 \
	    -K - >"$FLEET_DIR/outcomes-$1" 2>/dev/null
}

# run_ids: prints the ids of all requests that the back ends have run.
run_ids() {
	local n
	for n in $(seq "${BACKENDS:-2}"); do
		curl -sf -m 5 "http://127.0.0.1:$(backend_port "$n")/all-runs"
	done | awk '{print $1}'
}

# judge_outcomes FILE...: prints how the requests ended: the statuses other than
# 200 and 503, and 503 for a request that has run, which are failures.
judge_outcomes() {
	run_ids >"$FLEET_DIR/run-ids"
	note "outcomes: $(cat "$@" | awk '{print $3}' | sort | uniq -c | xargs)"
	cat "$@" | awk -v ids="$FLEET_DIR/run-ids" '
	    BEGIN {while ((getline id < ids) > 0) ran[id] = 1}
	    $3 == "2000" {served++; next}
	    $3 == "5030" && !ran[$1] {refused++; next}
	    {print "failed: " $0}
	    END {if (served == 0) print "none served"
		print "others served, or refused and not run"}'
}

# count_runs ID: prints how often all back ends together ran the request.
count_runs() {
	local n sum=0 one
	for n in $(seq "${BACKENDS:-2}"); do
		one=$(curl -sf -m 5 \
		    "http://127.0.0.1:$(backend_port "$n")/runs/$1")
		sum=$((sum + one))
	done
	echo "$sum"
}

# stop_gateway N: sends SIGTERM and prints "ended" once the gateway has exited.
stop_gateway() {
	kill -TERM "$(pid_of "g$1")"
	await 15 gateway_ended "$1" && echo ended
}

gateway_ended() { ! kill -0 "$(pid_of "g$1")" 2>/dev/null; }

gateway_log() { cat "$FLEET_DIR/g$1.out"; }

# followed: prints the log lines of routers that begin to follow another
# router.
followed() { grep -h 'followed instead' "$FLEET_DIR"/g?.out; }
two_follow() { [ "$(followed | wc -l)" -ge 2 ]; }
