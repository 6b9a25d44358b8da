# Tests ranks under overload. Guards against less urgent requests that fill the
# instances while more urgent ones miss their latency objective, against
# requests that were refused although they ran, and against requests that are
# still held back after the overload.
cd "$(dirname "$0")/../.." || exit 2
. tests/lib/gateway-lib.sh
begin_report

start_store
start_backend 1 app
start_backend 2 app
config_text 1 |
    sed "s#\"routes\":\[#&$(PRIORITY=0 route urgent /urgent/ idempotent 2 false),#" |
    put_row op config
start_gateway 1
wait_gateway 1

# send_all PREFIX COUNT PATH: sends concurrent requests and prints one line
# with the status and the id for each.
send_all() {
	local n
	for n in $(seq "$2"); do
		curl -s -m 10 -o /dev/null -H "Host: $route_host" \
		    -H "X-Poplarbeam-Attempt-Id: $1$n" \
		    -H "Authorization: Bearer $account_key" \
		    -w "%{http_code} $1$n\n" "$(gateway_url 1)$3" &
	done
	wait
}
count_status() { grep -c "^$2 " "$FLEET_DIR/$1"; }

send_all a 40 "/safe/ok?work=300" >"$FLEET_DIR/before"
echo "nobody late: $(count_status before 200) of 40 served"

# Urgent requests that take twice their latency objective.
send_all u 30 "/urgent/ok?work=300" >"$FLEET_DIR/urgent"
echo "urgent and late: $(count_status urgent 200) of 30 served"
send_all b 40 "/safe/ok?work=300" >"$FLEET_DIR/during"
served=$(count_status during 200)
refused=$(count_status during 503)
note "during: $served served, $refused refused"
echo "shortage: $((served + refused)) of 40 answered"
[ "$served" -ge 8 ] && [ "$served" -le 30 ] && echo "some served"
ran=0
for id in $(awk '$1 == 503 {print $2}' "$FLEET_DIR/during"); do
	ran=$((ran + $(count_runs "$id")))
done
echo "refused ones that ran: $ran"
gateway_log 1 | grep -q '"step":"wait for room"' && echo "waits are logged"
send_all v 20 "/urgent/ok?work=10" >"$FLEET_DIR/urgent"
echo "urgent: $(count_status urgent 200) of 20 served"

sleep 15
send_all c 40 "/safe/ok?work=300" >"$FLEET_DIR/after"
echo "shortage over: $(count_status after 200) of 40 served"
stop_gateway 1
end_report gateway-room
