# Tests the evacuation of a failure domain by the operator, with three routers
# and two back ends in each of two domains. Guards against requests that reach
# an evacuated domain later than five seconds after the store has the row: first
# attempts, retries, resumed streams and fetches of a prompt prefix; against an
# evacuation that is lost with the store, with a router or with all of them; and
# against one that breaks streams in progress or does not end.
cd "$(dirname "$0")/../.." || exit 2
. tests/lib/gateway-lib.sh
begin_report

BACKENDS=4
routers="1 2 3"
# The bound of the platform is 5000 ms. The store is on this machine and up when
# the operator writes, so that routers must know of it sooner.
bound_ms=2000
backend_zone() { [ "$1" -le 2 ] && echo a || echo b; }
# start_again N: starts a router and keeps the log of the one before it. It
# prefers the back ends of the domain that is evacuated.
start_again() {
	[ -e "$FLEET_DIR/g$1.out" ] &&
	    cat "$FLEET_DIR/g$1.out" >>"$FLEET_DIR/g$1.before"
	DOMAIN=b start_gateway "$1" "revoke_ms: 30000" "retry_ratio: 10"
}
start_routers() {
	local n
	for n in $routers; do start_again $n; done
	for n in $routers; do wait_gateway $n; done
}
following() { [ "$(followed | wc -l)" -ge 2 ]; }
# last_arrival FROM TO N...: prints when the last request reached one of the
# back ends, in milliseconds after FROM.
last_arrival() {
	local from=$1 to=$2 n
	shift 2
	for n in "$@"; do arrivals_between "$n" "$from" "$to"; done |
	    awk -v t="$from" '$2 - t > last {last = $2 - t}
		END {print last + 0}'
}
# check_evacuated LABEL FROM TO BOUND-MS: no request may reach back ends 3 and 4
# later than BOUND-MS after FROM, and none be told to fetch a prefix there.
check_evacuated() {
	local n from=$(($2 + $4)) reached fetches served
	note "$1: last arrival after $(last_arrival "$2" "$3" 3 4) ms," \
	    "watched for $(($3 - $2)) ms"
	reached=$(for n in 3 4; do arrivals_between $n $from "$3"; done)
	fetches=$(for n in 1 2; do arrivals_between $n $from "$3"; done |
	    grep -cE ":($(backend_port 3)|$(backend_port 4))\$")
	served=$(for n in 1 2; do arrivals_between $n $from "$3"; done | wc -l)
	[ "$served" -ge 10 ] || echo "only $served requests served elsewhere"
	echo "$1: $(printf '%s' "$reached" | grep -c .) requests reach the" \
	    "domain later than $4 ms, $fetches fetches from it"
	note "$1: $(printf '%s' "$reached" | head -3 | xargs)"
}
# check_returned LABEL FROM: both back ends of domain b get requests again.
reached_again() {
	local n
	for n in 3 4; do
		[ -n "$(arrivals_between $n "$1" "$(now_ms)")" ] || return 1
	done
}
check_returned() {
	await 3 reached_again "$2" && echo "$1: requests return to the domain"
}

start_store
for n in 1 2 3 4; do start_backend $n app; done
apply_config 1
start_routers
await 15 following && echo "two routers follow the third"
pace_requests all 14 5 "$routers" /safe/ok /once/ok?work=40 \
    /flow/torn?work=10 /safe/full &
pacer=$!
begun=$(now_ms)
await 5 metric_is evacuated_domains 0 $routers && echo "nothing is evacuated"
check_returned "before" "$begun"

# A short evacuation and its end.
evacuate b
from=$(now_ms)
await 2 metric_is evacuated_domains 1 $routers && echo "all routers know of it"
sleep 3
end_evacuation b
to=$(now_ms)
check_evacuated "first time" $from $to $bound_ms
check_returned "first time" $to

# Streams in progress in the domain go on to their end beyond the bound. Prompt
# prefixes are in the memory of the instances there.
for i in $(seq 12); do
	n=$((i % 3 + 1))
	curl -s -m 15 -H "Host: $route_host" \
	    -H "X-Poplarbeam-Attempt-Id: long$i" -d x \
	    -H "Authorization: Bearer $account_key" -w '%{http_code}%{exitcode}\n' \
	    "$(gateway_url $n)/flow/stream?work=600" \
	    >"$FLEET_DIR/long$i" &
	streams="$streams $!"
done
sleep 0.8
in_domain=$(for n in 3 4; do arrivals_between $n 0 "$(now_ms)"; done |
    grep -c '^long')
[ "$in_domain" -ge 2 ] || echo "only $in_domain streams in the domain"
evacuate b
from=$(now_ms)
sleep 1
set_store_mode down
sleep 2.4
set_store_mode ok
sleep 0.6
set_store_mode silent
sleep 2.8
set_store_mode ok
sleep 0.4
wait $streams
whole=$(grep -lx 2000 "$FLEET_DIR"/long* | wc -l)
echo "$whole of 12 streams whole," \
    "$(grep -c '^id: ' "$FLEET_DIR"/long* | sed 's/.*://' | sort -u | xargs)" \
    "events each"
wait $pacer
check_evacuated "store away" $from "$(now_ms)" $bound_ms

# A router that starts again learns it from the one that it follows.
leader=$(grep -h 'followed instead' "$FLEET_DIR"/g?.out |
    grep -o '"peer":"g[0-9]"' | grep -o '[0-9]' | sort | uniq -c |
    sort -rn | awk 'NR == 1 {print $2}')
again=$(echo $routers | tr -d "$leader " | cut -c1)
kill -KILL "$(pid_of g$again)"
restarted=$(now_ms)
start_again $again
# It serves from the moment at which it is ready; before, callers cannot connect.
pace_requests starting 2 10 "$routers" /safe/ok /once/ok
gateway_ready $again || echo "it is not ready"
check_evacuated "router $([ -n "$again" ] && echo started) again" \
    $restarted "$(now_ms)" 0
[ "$(gateway_metric $again evacuated_domains)" = 1 ] && echo "it knows of it"

# So do routers that all start again.
for n in $routers; do kill -KILL "$(pid_of g$n)"; done
restarted=$(now_ms)
pace_requests starting-all 3 10 "$routers" /safe/ok /once/ok &
pacer=$!
start_routers
wait $pacer
check_evacuated "all started again" $restarted "$(now_ms)" 0
metric_is evacuated_domains 1 $routers && echo "all know of it"

# With all domains evacuated, callers are refused at once.
evacuate a
await 2 metric_is evacuated_domains 2 $routers && echo "both are evacuated"
send_burst none 9 "$routers" /safe/ok /once/ok /flow/stream
awk '{print $3}' "$FLEET_DIR/outcomes-none" | sort | uniq -c | xargs
awk '$4 > 0.4 {print "refused only after " $4 " s"}' "$FLEET_DIR/outcomes-none"
end_evacuation b
to=$(now_ms)
pace_requests back 1 8 "$routers" /safe/ok /once/ok
check_returned "second time" $to
echo "domain a: $(for n in 1 2; do
	arrivals_between $n $((to + 500)) "$(now_ms)"
done | wc -l) requests"
end_evacuation a
await 2 metric_is evacuated_domains 0 $routers && echo "nothing is evacuated"
begun=$(now_ms)
pace_requests end 1 8 "$routers" /safe/ok?work=100
end=$(now_ms)
for n in 1 2; do
	[ -n "$(arrivals_between $n $begun $end)" ] || echo "none reaches b$n"
done
# Callers of a router that is down are not judged. All instances refuse the
# requests to /safe/full.
rm "$FLEET_DIR"/outcomes-starting*
judge_outcomes "$FLEET_DIR"/outcomes-*
end_report gateway-evacuation
