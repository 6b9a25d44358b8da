# Tests an instance that leaves while the routers that others follow stand
# still. Guards against followers that take the silence of such a router for an
# outage of the store and go on sending requests to the instance.
cd "$(dirname "$0")/../.." || exit 2
. tests/lib/gateway-lib.sh
begin_report

domains="1 2 3 4"
start_store
for n in 1 2 3; do start_backend $n app; done
apply_config 1
# Two routers in each failure domain: 1 and 2, 3 and 4, and so on.
for d in $domains; do
	for n in $((2 * d - 1)) $((2 * d)); do
		DOMAIN=d$d start_gateway $n
	done
done
for n in 1 2 3 4 5 6 7 8; do wait_gateway $n; done
all_follow() { [ "$(followed | wc -l)" -ge 4 ]; }
await 15 all_follow && echo "one router follows the other in each domain"
leaders=$(followed | grep -o '"peer":"g[0-9]"' | grep -o 'g[0-9]')
others=$(echo 12345678 | tr -d "$leaders")
sleep 1.3

# pace FOR-MS: sends a request every 20 ms to the followers in turn.
sent=0
pace() {
	local end n clients=""
	end=$(($(now_ms) + $1))
	while [ "$(now_ms)" -lt $end ]; do
		sent=$((sent + 1))
		n=${others:$((sent % 4)):1}
		curl -s -m 5 -o /dev/null -H "Host: $route_host" \
		    -H "X-Poplarbeam-Attempt-Id: q$sent" \
		    -H "Authorization: Bearer $account_key" \
		    -w '%{http_code}\n' "$(gateway_url "$n")/once/ok" \
		    -d x >>"$FLEET_DIR/statuses" &
		clients="$clients $!"
		sleep 0.02
	done
	wait $clients
}
arrivals() { curl -sf -m 5 "http://127.0.0.1:$(backend_port "$1")/arrivals"; }
signal_leaders() {
	local g
	for g in $leaders; do
		kill "$1" "$(pid_of "$g")"
		sleep "$2"
	done
}

# check_freeze BACKEND FREEZE-S: the followed routers stand still for about so
# long, from different points of their requests to the store on. The entry of
# the back end is removed meanwhile; the back end serves on.
check_freeze() {
	local gone late
	pace 5500 &
	local pacer=$!
	sleep 0.5
	signal_leaders -STOP 0.15
	delete_row servers "b$1" >/dev/null
	gone=$(now_ms)
	sleep "$2"
	signal_leaders -CONT 0
	wait $pacer
	late=$(arrivals "$1" | awk -v t="$gone" '$2 > t + 2000' | wc -l)
	[ "$(arrivals "$1" | awk -v t="$gone" '$2 < t' | wc -l)" -gt 0 ] ||
	    echo "no request before the entry was removed"
	echo "frozen for $2 s: $late requests later than 2000 ms after" \
	    "the entry was removed"
	note "last one after $(arrivals "$1" |
	    awk -v t="$gone" '{n = $2 - t} END {print n + 0}') ms"
}
check_freeze 1 3.4
sleep 6
# The routers wake up before their followers give them up.
check_freeze 2 0.2
sort "$FLEET_DIR/statuses" | uniq -c | awk '{print $2}' | xargs

# After an outage that the routers saw, missing entries may come back.
sleep 2
set_store_mode down
sleep 3.5
delete_row servers b3 >/dev/null
set_store_mode ok
sleep 1
echo "just after an outage: $(send_request "${others:0:1}" last /once/ok -d x)"
end_report gateway-frozen-router
