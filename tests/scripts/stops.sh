# Planned stops under load: guards against a request in progress that is cut
# by the stop of a router, of an engine or of a whole failure domain, and
# against a stop that never ends.
cd "$(dirname "$0")/../.." || exit 2
# One router owns the only cell: it holds a thread for each of about 200 relays.
FLEET_THREADS=256
. tests/lib/fleet-lib.sh
begin_report

FLEET_FILE=$FLEET_DIR/fleet.yaml
sed 's/^drain_deadline:.*/drain_deadline: 5s/' examples/demo/fleet.yaml \
    >"$FLEET_FILE"
start_demo_fleet 6 6 0

# in_progress: requests in progress at all routers.
in_progress() {
	local n sum=0
	for n in 1 2 3 4 5 6; do
		gone "r$n" || sum=$((sum + $(metric $n requests_in_flight)))
	done
	echo $sum
}
busy() { [ "$(in_progress)" -ge "$1" ]; }

# planned_stop NAME...: stops all at once with requests in progress, and waits
# until they are gone. Prints how many ended by themselves.
planned_stop() {
	local name count=0
	await 10 busy 55 || echo "too few in progress"
	in_progress >>"$FLEET_DIR/held"
	for name in "$@"; do
		unregister "$name"
		stop "$name"
	done
	for name in "$@"; do
		await 10 gone "$name" && count=$((count + 1))
	done
	echo "$count of $# ended"
}

clean() { cat "$FLEET_DIR"/r[1-6].log | grep -c "no request in progress was cut"; }

# Routers 2 and 5 are in domain b and are not stopped by the first load's
# stops. 120 requests of 0.4 to 0.8 s a second are about 70 in progress, which
# four engines still run without a queue.
begin_load kept 24 120 "2 5" --words 80 --words-max 160
echo "routers 3 and 6: $(planned_stop r3 r6), clean: $(clean)"
start_router 3
start_router 6
await 15 router_ready 6
echo "engines 5 and 6: $(planned_stop e5 e6)"
start_engine 5 layout
start_engine 6 layout

# The engines that came back reach their full weight over 10 s.
sleep 3

# Domain a: routers 1 and 4, engines 1 and 2, with answers of 3 s and more, longer
# than the notice of 2 s that a stop gives. Callers of the stopping routers
# end their sending as the stop begins.
begin_load stopping 1.5 20 "1 4" --words 600 --words-max 700
sleep 1.2
planned_stop r1 r4 e1 e2 >"$FLEET_DIR/domain"
echo "failure domain a: $(cat "$FLEET_DIR/domain"), clean: $(clean)"
echo "through routers that stay: $(judge_load kept 2000)," \
    "$(loaded kept '.sent - .complete') not complete"
echo "through routers that stop: $(judge_load stopping 15)," \
    "$(loaded stopping .failed_after_start) cut"

held=$(awk '{n += $1} END {print n}' "$FLEET_DIR/held")
note "$held in progress: $(tr '\n' ' ' <"$FLEET_DIR/held")"
[ "$held" -ge 200 ] && held="200 or more"
echo "in progress when the stops began: $held"

# A stream of 10 s outlasts the deadline of 5 s.
begin_chats 1 1 2000 3
sleep 0.5
begun=$(now_ms)
stop r3
await 10 gone r3
echo "stop with a stream of 10 s: ends" \
    "$(within 4500 6500 $(($(now_ms) - begun)) ms), log:" \
    "$(grep -o '[0-9]* requests were still in progress at the deadline' \
    "$FLEET_DIR/r3.log")"
end_chats
echo "the stream: $(grep -c '^data: \[DONE\]' "$FLEET_DIR/chat1") shown as" \
    "complete, curl's exit code" \
    "$(cut -d' ' -f2 "$FLEET_DIR/code1" | sed 's/18/18 (transfer not whole)/')"

end_report stops
