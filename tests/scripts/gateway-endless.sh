# Tests answers that never end. Guards against instances that exhaust a
# router's memory or time with endless headers, bodies, events, interim
# responses, chunk extensions, trailers or bytes that are not HTTP, against streams that send single bytes and are kept open until the
# request times out, and against valid answers that are cut because they are
# long or slow.
cd "$(dirname "$0")/../.." || exit 2
. tests/lib/gateway-lib.sh
begin_report

# Memory of the smallest machine in the users' deployments.
memory_mb=160
callers=100
start_store
start_backend 1 app
apply_config 1
start_gateway 1 "memory_mb: $memory_mb"
wait_gateway 1

peak_mb() { awk '/VmHWM/ {print int($2 / 1024)}' "/proc/$(pid_of g1)/status"; }

# flood ACTION PATH: sends $callers concurrent requests for endless answers and
# three ordinary requests beside them.
flood() {
	local n clients="" others="" begin
	begin=$(now_ms)
	for n in $(seq $callers); do
		send_quietly "$1-$n" "$2/$1" &
		clients="$clients $!"
	done
	for n in 1 2 3; do
		others="$others$(send_request 1 "ok-$1-$n" /safe/ok | sed 's/.* //')"
	done
	wait $clients
	echo "$1: others $others," \
	    "all ended $(check_range 0 4000 $(($(now_ms) - begin)) ms)"
	[ "$(peak_mb)" -lt $memory_mb ] || echo "peak memory $(peak_mb) MB"
	note "$1: peak memory $(peak_mb) MB"
}
send_quietly() {
	curl -s -m 10 -o /dev/null -H "Host: $route_host" \
	    -H "X-Poplarbeam-Attempt-Id: $1" \
	    -H "Authorization: Bearer $account_key" "$(gateway_url 1)$2"
}
flood endless-noise /once
flood endless-head /once
flood endless-body /once
flood endless-body /safe
flood endless-event /tale
flood endless-event /flow
begin=$(now_ms)
flood endless-interim /once
# Interim responses are limited, so it ends long before the route's timeout.
echo "limited: $(check_range 0 2500 $(($(now_ms) - begin)) ms)"
flood endless-extension /once
flood endless-trailer /once
flood endless-other /once

# Large request bodies that the instance never answers, $callers at a time.
BODY_LIMIT=4194304 apply_config 2
head -c 3000000 /dev/zero >"$FLEET_DIR/large"
sleep 1
clients=""
for n in $(seq $callers); do
	curl -s -m 3 -o /dev/null -H "Host: $route_host" \
	    -H "X-Poplarbeam-Attempt-Id: large-$n" -H "Expect:" \
	    -H "Authorization: Bearer $account_key" \
	    --data-binary "@$FLEET_DIR/large" "$(gateway_url 1)/once/hang" &
	clients="$clients $!"
done
wait $clients
[ "$(peak_mb)" -lt $memory_mb ] || echo "peak memory $(peak_mb) MB"
note "large requests: peak memory $(peak_mb) MB"

# Single bytes do not count as progress: the router ends the stream long before
# the request times out.
begin=$(now_ms)
send_request 1 dribble "/tale/dribble?work=300" >/dev/null
echo "dribbling stream ended $(check_range 1000 6000 $(($(now_ms) - begin)) ms)"
# A stream with slow but complete events is valid and must not be ended.
send_request 1 slow "/flow/stream?work=700" | grep -o 'id: [0-9]*' | tail -1
send_request 1 slow-tale "/tale/stream?work=250" | grep -o 'id: [0-9]*' | tail -1
send_request 1 large /safe/large | wc -c
# A caller that reads slowly still receives the complete body.
curl -s -m 20 --limit-rate 1M -H "Host: $route_host" \
    -H "X-Poplarbeam-Attempt-Id: unhurried" \
    -H "Authorization: Bearer $account_key" \
    "$(gateway_url 1)/safe/large" | wc -c
send_request 1 after /safe/ok
gateway_ended 1 && echo "the router ended"
end_report gateway-endless
