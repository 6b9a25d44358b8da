# Tests planned stops of the gateway. Guards against a request that is cut,
# against a stream that is accepted so late that the stop deadline would cut
# it, and against a process that ends with a sanitizer report.
cd "$(dirname "$0")/../.." || exit 2
. tests/lib/gateway-lib.sh
begin_report

start_store
start_backend 1 app
apply_config 1
for n in 1 2; do
	start_gateway $n "stop_ms: 9000"
	wait_gateway $n
done
await 15 grep -q 'followed instead' "$FLEET_DIR/g1.out" "$FLEET_DIR/g2.out" &&
    echo "one router follows the other"

# A stream of ten events, 600 ms each, that starts before the stop.
send_request 1 q1 '/flow/stream?work=600' -d x >"$FLEET_DIR/stream" &
stream=$!
sleep 0.5
kill -TERM "$(pid_of g1)"
sleep 0.2
echo "ready: $(curl -s -o /dev/null -w '%{http_code}' \
    "http://127.0.0.1:$(ready_port 1)/ready")"
echo "early in the stop: $(send_request 1 q2 /safe/ok)"
sleep 2.9
echo "late, a stream of up to 8 s: $(send_request 1 q3 /flow/stream -d x)"
# Guards against a connection that is closed after it is accepted and before
# its request arrives.
late_connection() {
	exec 7<>"/dev/tcp/127.0.0.1/$(gateway_port 1)" || return
	sleep 0.25
	printf 'GET /safe/ok HTTP/1.1\r\nHost: %s\r\n' "$route_host" >&7
	printf 'X-Poplarbeam-Attempt-Id: q4\r\nAuthorization: Bearer %s\r\n' \
	    "$account_key" >&7
	printf 'Connection: close\r\n\r\n' >&7
	head -1 <&7 | tr -d '\r'
	exec 7>&-
}
echo "request 250 ms after its connection: $(late_connection 2>/dev/null)"
wait $stream
echo "the stream: $(tr -cd '|' <"$FLEET_DIR/stream" | wc -c) line ends," \
    "status $(sed 's/.* //' "$FLEET_DIR/stream")"
await 8 gateway_ended 1 && echo "ended"
gateway_log 1 | tail -1 | grep -o 'stopped after' 
grep -c 'AddressSanitizer\|runtime error' "$FLEET_DIR/g1.log"
stop_gateway 2
grep -c 'AddressSanitizer\|runtime error' "$FLEET_DIR/g2.log"
end_report gateway-stop
