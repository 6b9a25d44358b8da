# Guards against requests sent to an instance within the time for which it has
# asked for none, and against a burst or a needless refusal when that time ends.
cd "$(dirname "$0")/../.." || exit 2
. tests/lib/gateway-lib.sh
begin_report

start_store
for n in 1 2 3; do start_backend $n app; done
apply_config 1
for n in 1 2 3 4; do start_gateway $n "retry_ratio: 10"; done
for n in 1 2 3 4; do wait_gateway $n; done

say() { curl -sf -m 5 "http://127.0.0.1:$(backend_port "$1")/$2" >/dev/null; }
# count_arrivals N FROM TO: prints how many requests reached back end N between
# the two times.
count_arrivals() {
	curl -sf -m 5 "http://127.0.0.1:$(backend_port "$1")/arrivals" |
	    awk -v from="$2" -v to="$3" '$2 >= from && $2 < to {n++}
		END {print n + 0}'
}
# send_status N ID PATH: like send_request, for several at the same time.
send_status() {
	curl -s -m 10 -o /dev/null -w '%{http_code}\n' -d x \
	    -H "Host: $route_host" -H "X-Poplarbeam-Attempt-Id: $2" \
	    -H "Authorization: Bearer $account_key" "$(gateway_url "$1")$3"
}
sent=0
# send_for MS N PATH: sends requests to router N one after the other for this
# time and prints the statuses.
send_for() {
	local until=$(($(now_ms) + $1)) n=$2
	while [ "$(now_ms)" -lt $until ]; do
		sent=$((sent + 1))
		send_status "$n" "q$n-$sent-$RANDOM" "$3"
		sleep 0.02
	done
}
statuses() { sort | uniq -c | awk '{print $2}' | xargs; }

# Four routers and one instance that asks for two seconds. Each router may learn
# of it by a request of its own.
say 1 say-pause/2
begun=$(now_ms)
for n in 1 2 3 4; do
	send_for 1900 $n /once/ok >"$FLEET_DIR/s$n" &
done
wait
echo "one of three paused: $(cat "$FLEET_DIR"/s? | statuses)"
check_range 4 8 "$(count_arrivals 1 0 $((begun + 1900)))" requests
say 1 say-pause/
sleep 2
begun=$(now_ms)
send_for 3000 1 /once/ok | statuses
check_range 1 1000 "$(count_arrivals 1 "$begun" "$(now_ms)")" requests

# An instance that asks again and again gets one request each time.
say 1 say-pause/0.5
begun=$(now_ms)
send_for 4000 1 /once/ok | statuses
check_range 1 9 "$(count_arrivals 1 "$begun" "$(now_ms)")" requests
say 1 say-pause/
sleep 0.6

# A time that is no number of seconds is logged and ignored. One that is too
# large counts as ten minutes.
for n in 1 3; do announce_backend $n app draining; done
sleep 1.2
for text in -5 soon 1e3 9999999999999999999999999; do
	say 2 "say-pause/$text"
	begun=$(now_ms)
	for i in 1 2 3; do send_status 2 "odd-$text-$i" /safe/ok; done | xargs
	echo "$text: $(count_arrivals 2 "$begun" "$(now_ms)") sent"
done
echo "ignored: $(gateway_log 2 | grep -c 'not a number of seconds')"
say 2 say-pause/
BORN=1700000000001 announce_backend 2 app
for n in 1 3; do announce_backend $n app; done
sleep 1.2

# All instances ask for longer than the callers can wait: refused at once, with
# the time after which an instance takes requests again.
for n in 1 2 3; do say $n say-pause/20; done
send_for 500 3 /once/ok >/dev/null
begun=$(now_ms)
send_request 3 late /once/ok -d x -D "$FLEET_DIR/head"
check_range 0 400 $(($(now_ms) - begun)) ms
after=$(tr -d '\r' <"$FLEET_DIR/head" | awk '$1 == "Retry-After:" {print int($2 * 1000)}')
check_range 17000 20000 "$after" "ms of Retry-After"

# Other incarnations ask for less: requests wait, and are served soon after the
# end, but not all at once.
for n in 1 2 3; do
	say $n say-pause/1
	BORN=1700000000002 announce_backend $n app
done
sleep 1.2
send_for 400 4 /once/ok >/dev/null
for n in 1 2 3; do say $n say-pause/; done
begun=$(now_ms)
for i in $(seq 30); do
	send_status 4 "w$i" "/once/ok?work=20" >"$FLEET_DIR/w$i" &
done
wait
echo "waited: $(cat "$FLEET_DIR"/w? "$FLEET_DIR"/w?? | statuses)"
check_range 0 2500 $(($(now_ms) - begun)) ms
grep -h '"step":"pause instance"' "$FLEET_DIR"/g?.out |
    grep -oE 'set by|the pause has ended' | sort -u
end_report gateway-pause
