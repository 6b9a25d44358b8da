# Guards against a long body that is cut off because its instance reads it
# later: the instance is alive and must not be taken for lost.
cd "$(dirname "$0")/../.." || exit 2
. tests/lib/gateway-lib.sh
begin_report

start_store
start_backend 1 app
BODY_LIMIT=16777216 apply_config 1
# Longer than what the sockets' buffers hold.
head -c 16000000 /dev/zero >"$FLEET_DIR/long"
start_gateway 1 "memory_mb: 400"
wait_gateway 1
send_request 1 first /tale/ok -d x
for n in 1 2; do
	kill -STOP "$(pid_of b1)"
	send_request 1 "late$n" /flow/ok -H "Expect:" \
	    --data-binary "@$FLEET_DIR/long" >"$FLEET_DIR/late" &
	pid=$!
	sleep 3
	kill -CONT "$(pid_of b1)"
	wait $pid
	cat "$FLEET_DIR/late"
done
send_request 1 last /once/ok -d x
end_report gateway-late-reader
