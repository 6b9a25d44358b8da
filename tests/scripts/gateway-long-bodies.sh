# Guards against calls that are dropped while an instance runs them, because
# many callers send long bodies at the same time: a body for which there is no
# memory must be refused before the request is sent, and short requests must be
# served meanwhile.
cd "$(dirname "$0")/../.." || exit 2
. tests/lib/gateway-lib.sh
begin_report

callers=60
start_store
for n in 1 2; do start_backend $n app; done
BODY_LIMIT=4194304 apply_config 1
head -c 4194304 /dev/zero >"$FLEET_DIR/long"

ran() {
	local n
	for n in 1 2; do
		curl -sf -m 5 "http://127.0.0.1:$(backend_port $n)/all-runs"
	done | awk '{print $1}' | sort -u
}
peak_mb() { awk '/VmHWM/ {print int($2 / 1024)}' "/proc/$(pid_of "$1")/status"; }

# burst N MEMORY-MB FIELD: gateway N gets $callers long calls at the same time
# and short ones beside them.
burst() {
	local n i before refused untrue clients=""
	n=$1
	start_gateway "$n" "memory_mb: $2"
	wait_gateway "$n"
	for i in $(seq $callers); do
		curl -s -m 12 -o /dev/null -H "Host: $route_host" -H "Expect:" \
		    -H "X-Poplarbeam-Attempt-Id: long$n-$i" -H "$3" \
		    -H "Authorization: Bearer $account_key" \
		    --data-binary "@$FLEET_DIR/long" -w "long$n-$i %{http_code}\n" \
		    "$(gateway_url "$n")/once/ok?work=1500" \
		    >>"$FLEET_DIR/long$n" &
		clients="$clients $!"
	done
	for i in 1 2 3 4 5 6; do
		send_request "$n" "short$n-$i" /once/ok -d x | sed 's/.* //'
	done | sort | uniq -c | xargs echo "$2 MB: short calls"
	wait $clients
	echo "$2 MB: without an answer $(grep -c ' 000$' "$FLEET_DIR/long$n")"
	[ "$(grep -c ' 200$' "$FLEET_DIR/long$n")" -ge 3 ] ||
	    echo "fewer than 3 served"
	grep -v ' 200$\| 503$\| 000$' "$FLEET_DIR/long$n"
	untrue=$(awk '$2 == 503 {print $1}' "$FLEET_DIR/long$n" | sort |
	    comm -12 - <(ran) | wc -l)
	echo "$2 MB: refused although run $untrue"
	[ "$(peak_mb "g$n")" -lt "$2" ] || echo "peak memory $(peak_mb "g$n") MB"
	note "$2 MB: peak $(peak_mb "g$n") MB, $(awk '{print $2}' \
	    "$FLEET_DIR/long$n" | sort | uniq -c | xargs)"
	gateway_ended "$n" && echo "the router ended"
}
burst 1 260 "X-Other: 1"
burst 2 96 "X-Other: 1"
burst 3 96 "Transfer-Encoding: chunked"
end_report gateway-long-bodies
