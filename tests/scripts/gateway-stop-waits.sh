# Guards against requests that end without an answer in a planned stop: those
# that wait when it begins or come in it, and those that an instance still runs
# at its end. Guards against callers who are told to wait for this router's
# pauses, although another router may serve them.
cd "$(dirname "$0")/../.." || exit 2
. tests/lib/gateway-lib.sh
begin_report

start_store
start_backend 1 app
apply_config 1
start_gateway 1 "stop_ms: 8000"
wait_gateway 1

say() { curl -sf -m 5 "http://127.0.0.1:$(backend_port 1)/$1" >/dev/null; }
# ask NAME PATH [CURL-OPTION...]: sends a request in the background; its status
# and the time in ms go to a file.
asked=""
ask() {
	local name=$1 path=$2
	shift 2
	curl -s -m 12 -o /dev/null -D "$FLEET_DIR/$name.head" -H "Host: $route_host" -d x "$@" \
	    -H "X-Poplarbeam-Attempt-Id: $name" \
	    -H "Authorization: Bearer $account_key" \
	    -w '%{http_code} %{time_total}\n' "$(gateway_url 1)$path" \
	    >"$FLEET_DIR/$name" &
	asked="$asked $!"
}
# tell NAME MIN MAX: prints the status and whether the time was in the range.
tell() {
	local status time
	read -r status time <"$FLEET_DIR/$1"
	echo "$1: $status $(check_range "$2" "$3" "${time/./}" us)"
}

# tell_return NAME: prints whether the caller may come back within a second.
tell_return() {
	tr -d '\r' <"$FLEET_DIR/$1.head" | awk -v n="$1" -F ': ' \
	    '$1 == "Retry-After" {print n ": " ($2 <= 1 ? "soon" : $2 " s")}'
}

# All instances ask for a pause that ends too late for the stop.
say say-pause/3.5
send_request 1 first /flow/stream -d x >/dev/null
ask before /flow/stream
sleep 0.1
kill -TERM "$(pid_of g1)"
sleep 0.3
ask after /flow/stream
# Until the deadline that it states, this one can be served in the stop.
ask short /flow/stream -H 'X-Poplarbeam-Deadline-Ms: 7000'
say say-pause/
wait $asked
tell before 0 1000000
tell after 0 300000
tell_return before
tell_return after
tell short 2500000 6000000
stop_gateway 1

# What an instance still runs at the end of the stop gets an answer, also if the
# stop is requested twice. The calls may not be repeated.
asked=""
start_gateway 1 "stop_ms: 4000"
wait_gateway 1
kill -TERM "$(pid_of g1)"
sleep 1.5
for n in 1 2 3; do ask "run$n" /once/hang; done
ask stream /tale/stream?work=600
ask quick /once/ok
sleep 0.2
kill -TERM "$(pid_of g1)"
wait $asked
for n in 1 2 3; do tell "run$n" 1800000 2600000; done
tell quick 0 300000
read -r status _ <"$FLEET_DIR/stream"
echo "stream: $status"
await 3 gateway_ended 1 && echo ended
gateway_log 1 | grep -o '[0-9]* requests in progress ended by the end of the stop'
gateway_log 1 | grep -c '"end request".*"text":"stopping; .*may have run: yes'
end_report gateway-stop-waits
