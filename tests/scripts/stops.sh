# Tests planned stops under load. Guards against a request in progress that is
# cut by the stop of a router, of an engine or of a whole failure domain, and
# against a stop that never ends.
cd "$(dirname "$0")/../.." || exit 2
# One router owns the only cell, and uses one thread for each of about 200
# relays.
FLEET_THREADS=256
. tests/lib/fleet-lib.sh
begin_report

FLEET_FILE=$FLEET_DIR/fleet.yaml
sed 's/^drain_deadline:.*/drain_deadline: 5s/' examples/demo/fleet.yaml \
    >"$FLEET_FILE"
start_demo_fleet 6 6 0

# in_progress: prints the sum of the requests in progress at all routers.
in_progress() {
	local n sum=0
	for n in 1 2 3 4 5 6; do
		has_exited "r$n" || sum=$((sum + $(metric $n requests_in_flight)))
	done
	echo $sum
}
has_in_progress() { [ "$(in_progress)" -ge "$1" ]; }

# planned_stop NAME...: stops the processes together while requests are in
# progress, waits until they have exited, and prints how many exited in time.
planned_stop() {
	local name count=0
	await 10 has_in_progress 55 || echo "too few in progress"
	in_progress >>"$FLEET_DIR/held"
	for name in "$@"; do
		unregister "$name"
		send_signal "$name"
	done
	for name in "$@"; do
		await 10 has_exited "$name" && count=$((count + 1))
	done
	echo "$count of $# ended"
}

count_clean_stops() {
	cat "$FLEET_DIR"/r[1-6].log | grep -c "no request in progress was cut"
}

# Routers 2 and 5 are in domain b and stay up during this load. 120 requests/s
# of 0.4 to 0.8 s keep about 70 in progress, which four engines still run
# without a queue.
begin_load kept 24 120 "2 5" --words 80 --words-max 160
echo "routers 3 and 6: $(planned_stop r3 r6), clean: $(count_clean_stops)"
start_router 3
start_router 6
await 15 router_ready 6
echo "engines 5 and 6: $(planned_stop e5 e6)"
start_engine 5 layout
start_engine 6 layout

# The engines that came back reach their full weight over 10 s.
sleep 3

# Domain a has routers 1 and 4 and engines 1 and 2. Answers take 3 s and more,
# longer than the notice period of 2 s of a stop. Callers of the stopping
# routers send no new requests once the stop begins.
begin_load stopping 1.5 20 "1 4" --words 600 --words-max 700
sleep 1.2
planned_stop r1 r4 e1 e2 >"$FLEET_DIR/domain"
echo "failure domain a: $(cat "$FLEET_DIR/domain"), clean: $(count_clean_stops)"
echo "through routers that stay: $(check_load kept 2000)," \
    "$(load_result kept '.sent - .complete') not complete"
echo "through routers that stop: $(check_load stopping 15)," \
    "$(load_result stopping .failed_after_start) cut"

held=$(awk '{n += $1} END {print n}' "$FLEET_DIR/held")
note "$held in progress: $(tr '\n' ' ' <"$FLEET_DIR/held")"
[ "$held" -ge 200 ] && held="200 or more"
echo "in progress when the stops began: $held"

# A stream of 10 s outlasts the deadline of 5 s.
begin_chats 1 1 2000 3
sleep 0.5
begun=$(now_ms)
send_signal r3
await 10 has_exited r3
echo "stop with a stream of 10 s: ends" \
    "$(check_range 4500 6500 $(($(now_ms) - begun)) ms), log:" \
    "$(grep -o '[0-9]* requests were still in progress at the deadline' \
    "$FLEET_DIR/r3.log")"
end_chats
echo "the stream: $(grep -c '^data: \[DONE\]' "$FLEET_DIR/chat1") shown as" \
    "complete, curl's exit code" \
    "$(cut -d' ' -f2 "$FLEET_DIR/code1" | sed 's/18/18 (transfer not whole)/')"

end_report stops
