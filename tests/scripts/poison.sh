# Tests a request that crashes engines. Guards against the loss of all engines
# when the caller resends the request, and against other requests that are lost
# or refused as well.
cd "$(dirname "$0")/../.." || exit 2
. tests/lib/fleet-lib.sh
begin_report

start_demo_fleet 3 5 0

# resend: sends the request repeatedly through the routers in turn until the
# file "enough" exists. Writes one line for each answer: router, status, time.
resend() {
	local i=0 n code
	while [ ! -e "$FLEET_DIR/enough" ]; do
		n=$((i++ % 3 + 1))
		code=$(curl -s -m 10 -o /dev/null -w '%{http_code}' \
		    -H "Authorization: Bearer $key" -H "Expect:" \
		    -d "$(chat_body crash-the-engine 8)" \
		    "http://127.0.0.1:$(caller_port $n)/v1/chat/completions")
		echo "$n $code $(now_ms)" >>"$FLEET_DIR/sent"
		sleep 0.1
	done
}

# No answer is streamed: none has been delivered when an engine crashes, so
# that all can be retried and must be complete.
begin_load other 14 80 "1 2 3" --words 60 --streams 0
await 5 has_started 5 2
begun=$(now_ms)
resend &
crashes=0
while [ $(($(now_ms) - begun)) -lt 10000 ]; do
	for n in 1 2 3 4 5; do
		if has_exited "e$n"; then
			crashes=$((crashes + 1))
			note "e$n crashed after $(($(now_ms) - begun)) ms"
			start_engine $n layout
		fi
	done
	sleep 0.05
done
touch "$FLEET_DIR/enough"
wait $!
[ $crashes -ge 1 ] && [ $crashes -le 2 ] && crashes="1 or 2"
echo "engines crashed: $crashes"
for n in 1 2 3; do
	first=$(awk -v n=$n '$1 == n && $2 == 422 {print $3; exit}' \
	    "$FLEET_DIR/sent")
	# A digest period is 500 ms, and a crash report reaches 3 routers in a
	# few periods.
	echo "router $n: refused $(check_range 0 4000 $((first - begun)) ms)," \
	    "after that only: $(awk -v n=$n -v t="$first" \
	    '$1 == n && $3 >= t {print $2}' "$FLEET_DIR/sent" | sort -u)"
done
note "$(awk '{c[$2]++} END {for (s in c) printf "%s: %d ", s, c[s]}' \
    "$FLEET_DIR/sent")"
echo "other requests: $(check_load other 900)," \
    "$(load_result other '.sent - .complete') not complete"

end_report poison
