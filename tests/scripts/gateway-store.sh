# Tests the gateway with failures of the platform's store. Guards against keys
# that stay valid while the store cannot confirm them, a return to an older
# configuration, requests to an instance that has left, instances that are
# dropped while the store is unavailable, and changes that are missed when the
# store has lost its history.
cd "$(dirname "$0")/../.." || exit 2
. tests/lib/gateway-lib.sh
begin_report

request_status() { send_request 1 "$1" /safe/ok | sed 's/.* //'; }
served() { [ "$(request_status p)" = 200 ]; }
refused() { [ "$(request_status p)" = "$1" ]; }
logged() { gateway_log 1 | grep -q "$1"; }

start_store
start_backend 1 app
start_gateway 1 "revoke_ms: 3000"
await 5 url_responds "http://127.0.0.1:$(metrics_port 1)/metrics"
echo "without a configuration: $(request_status q1)"
apply_config 5
await 2 served && echo "configuration in force"

apply_config 4 other-key
sleep 1
echo "an older version: $(request_status q2)"
apply_config 6 other-key
await 2 refused 401 && echo "key taken away: 401"
apply_config 7
await 2 served && echo "key given again"

set_store_mode forget
apply_config 8 other-key
await 3 refused 401 && echo "change over a lost history: 401"
apply_config 9
await 2 served && echo "and back"

set_store_mode down
echo "store away, at once: $(request_status q3)"
await 4 refused 503 && echo "store away, keys not confirmed: 503"
# Guards against a router that retries the store with all its watches at the
# same time.
before=$(count_store_calls)
sleep 4
check_range 4 13 $(($(count_store_calls) - before)) "calls in 4 s"
set_store_mode ok
await 2 served && echo "store back"

# Entries that expire while the store is unavailable are kept until the store
# has been back for about two seconds.
set_store_mode silent
sleep 3
delete_row servers b1
set_store_mode ok
await 2 served && echo "lapsed entry: instance still used"
await 4 refused 503 && echo "entry did not come back: gone"
announce_backend 1 app ready 2
await 2 served && echo "entry is back"

announce_backend 1 app draining 3
await 2 refused 503 && echo "draining: no request"
printf 'not JSON' | put_row servers b1
sleep 1
echo "unreadable entry: $(request_status q4)"
announce_backend 1 app ready 4
await 2 served && echo "readable again"

# Guards against keys that expire between two answers of a slow but available
# store, at the router that reads it and at the router that follows.
start_gateway 2 "revoke_ms: 3000"
wait_gateway 2
set_store_mode "slow 300"
sleep 1
for n in $(seq 40); do
	send_request $((n % 2 + 1)) "s$n" /safe/ok | sed 's/.* //'
	sleep 0.1
done | sort | uniq -c >"$FLEET_DIR/slow"
note "slow store: $(tr -s ' \n' ' ' <"$FLEET_DIR/slow")"
echo "slow store: $(awk '{print $2}' "$FLEET_DIR/slow" | xargs)"
stop_gateway 2
stop_gateway 1
end_report gateway-store
