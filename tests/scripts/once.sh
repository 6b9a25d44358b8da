# Tests at-most-once execution. Guards against a second run of a call with an
# idempotency key when repeats race, the answer to a write is lost, the table
# service is down, the application or a router is killed during the call, or
# the owner is frozen.
cd "$(dirname "$0")/../.." || exit 2
TEAM_FILE=tests/scripts/team.yaml
. tests/lib/fleet-lib.sh
exec 3>&1 >"$FLEET_DIR/report"

start_demo_fleet 3 1 0
start_app 1 orders --delay-ms 5
await 10 order_succeeds probe

# Sends the same call through all routers at the same time.
pids=
for i in 1 2 3 4 5 6 7 8 9 10; do
	for n in 1 2 3; do
		curl -s -m 30 -o /dev/null -H "Authorization: Bearer $key" \
		    -H "Idempotency-Key: race$i" -d "race $i" \
		    "http://127.0.0.1:$(caller_port $n)/orders/new" &
		pids="$pids $!"
	done
done
for pid in $pids; do wait "$pid"; done
sum=0
for i in 1 2 3 4 5 6 7 8 9 10; do sum=$((sum + $(runs_of "race $i"))); done
echo "10 calls sent through 3 routers at once: $sum runs"
codes=$(for i in 1 2 3 4 5 6 7 8 9 10; do send_order race$i "race $i" 2; echo; done |
    sort | uniq -c | tr -s ' ')
echo "repeats afterwards:$codes"

echo "same key, other body: $(send_order race1 "another order" 1)"

set_platform_faults '{"lose_answers":1}'
echo "answer of the claim's write lost: $(send_order lost1 "lost 1" 1)," \
    "$(runs_of "lost 1") run"
echo "repeat: $(send_order lost1 "lost 1" 3), $(runs_of "lost 1") run"

set_platform_faults '{"refuse":true}'
echo "table service down: $(send_order down1 "down 1" 1)" \
    "$(jq -r .error.type "$FLEET_DIR/order"), $(runs_of "down 1") runs"
set_platform_faults '{"refuse":false}'
echo "table service back: $(send_order down1 "down 1" 2), $(runs_of "down 1") run"

send_signal a1 KILL
await 5 has_exited a1
echo "application dead: $(send_order dead1 "dead 1" 1)" \
    "$(jq -r .error.type "$FLEET_DIR/order")"
start_app 1 orders --delay-ms 1500
await 20 order_succeeds probe2
echo "application back: $(send_order dead1 "dead 1" 2), $(runs_of "dead 1") run"

# The application dies while it runs the call.
(send_order crash1 "crash 1" 1 >"$FLEET_DIR/code") &
waiter=$!
sleep 0.7
send_signal a1 KILL
wait $waiter
echo "application killed while it runs: $(cat "$FLEET_DIR/code")" \
    "$(jq -r .error.type "$FLEET_DIR/order")"
start_app 1 orders --delay-ms 1500
await 20 order_succeeds probe3
echo "repeat: $(send_order crash1 "crash 1" 2)" \
    "$(jq -r .error.type "$FLEET_DIR/order"), $(runs_of "crash 1") runs"

# An idempotent call is retried, but must not be answered with "not run" after
# an attempt that may have run.
(curl -s -m 30 -H "Authorization: Bearer $key" -o "$FLEET_DIR/get" \
    -w '%{http_code}' "http://127.0.0.1:$(caller_port 1)/orders/1" \
    >"$FLEET_DIR/code") &
waiter=$!
sleep 0.7
send_signal a1 KILL
wait $waiter
echo "application killed while it runs a GET: $(cat "$FLEET_DIR/code")" \
    "$(jq -r .error.type "$FLEET_DIR/get")"
start_app 1 orders --delay-ms 1500
await 20 order_succeeds probe4

# The entry router dies while the call runs.
owner=$(owner_of orders)
entry=$((owner % 3 + 1))
other=$((entry % 3 + 1))
(send_order entry1 "entry 1" $entry >/dev/null) &
waiter=$!
sleep 0.7
send_signal "r$entry" KILL
wait $waiter
sleep 1.5
code=$(send_order entry1 "entry 1" $other)
case $code in 409 | 502) code="refused as in progress or unknown" ;; esac
echo "entry router killed, repeat: $code, $(runs_of "entry 1") run"
unregister "r$entry"
start_router $entry
await 15 router_ready $entry
for n in 1 2 3; do await 15 sees_routers $n 3; done

# The owner is frozen when the call is relayed to it, and resumes later.
owner=$(owner_of orders)
entry=$((owner % 3 + 1))
send_signal "r$owner" STOP
code=$(send_order frozen1 "frozen 1" $entry)
send_signal "r$owner" CONT
sleep 3
runs=$(runs_of "frozen 1")
[ "$runs" -le 1 ] && runs="at most 1"
case $code in 200 | 502) code="answered, or outcome unknown" ;; esac
echo "owner frozen: $code, $runs run"

diff "$FLEET_DIR/report" tests/scripts/once.expected >&3 || {
	tail -n 5 "$FLEET_DIR"/r*.log >&3
	exit 1
}
