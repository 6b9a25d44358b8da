# Tests cold instances, with six routers and four back ends that tolerate four
# requests a second for three seconds after they come back. Guards against more
# requests than they tolerate, summed over all routers: when a domain comes back
# in a burst of requests, when the operator ends its evacuation and the entries
# say nothing of being cold, when a router was frozen meanwhile and wakes up with
# requests waiting, and when the cold time ends; and against a cold instance that
# gets none.
cd "$(dirname "$0")/../.." || exit 2
. tests/lib/gateway-lib.sh
begin_report

BACKENDS=4
COLD_START_S=3
COLD_PER_S=4
TARGET_MS=3000 # requests wait for half of it
cold_ms=3000
cold_max=11 # in any second while cold: 1.5 x 4 + 5
after_max=16 # in any second just after the cold time: 4 x 4
routers="1 2 3 4 5 6"
born=1700000000000
backend_zone() { [ "$1" -le 1 ] && echo a || echo b; }

# begin_traffic NAME SECONDS: steady requests to all routers in the background.
begin_traffic() {
	pace_requests "$1" "$2" 1 "$routers" /safe/ok?work=200 \
	    /once/ok?work=200 /flow/stream?work=20 &
	traffic=$!
}
# begin_burst NAME [COUNT [ROUTERS]]: so many requests at once, by default ten to
# each router.
begin_burst() {
	send_burst "$1" "${2:-60}" "${3:-$routers}" /once/ok?work=200 &
	bursts="$bursts $!"
}
end_traffic() {
	wait $traffic $bursts
	bursts=
}
# return_cold FIRST: back ends FIRST to 4 come back as other incarnations.
return_cold() {
	born=$((born + 1))
	BORN=$born COLD_LEFT_MS=$cold_ms announce_many "$1" 4 app
}
remove_backends() {
	local n
	for n in "$@"; do delete_row servers b$n; done
}
sum_metric() {
	local n
	for n in $routers; do gateway_metric $n "$1"; done |
	    awk '{sum += $1} END {print sum + 0}'
}
# check_bound LABEL N MAX FROM TO
check_bound() {
	local most
	most=$(max_arrivals_per_s "$2" "$4" "$5")
	note "$1: b$2 $most a second at most," \
	    "$(arrivals_between "$2" "$4" "$5" | wc -l) in all"
	[ "$most" -le "$3" ] || echo "$1: b$2 got $most in a second"
}
# check_cold LABEL FROM FIRST: back ends FIRST to 4 are cold from then on.
check_cold() {
	local n warm=$(($2 + cold_ms))
	for n in $(seq "$3" 4); do
		check_bound "$1, cold" $n $cold_max "$2" $warm
		[ -n "$(arrivals_between $n "$2" $warm)" ] ||
		    echo "$1: b$n got none while cold"
		check_bound "$1, after" $n $after_max $warm $((warm + 1300))
		[ -n "$(arrivals_between $n $warm $((warm + 2000)))" ] ||
		    echo "$1: b$n got none after"
	done
	echo "$1: counted"
}

start_store
for n in 1 2 3 4; do start_backend $n app; done
apply_config 1
for n in $routers; do
	DOMAIN=b start_gateway $n "retry_ratio: 10"
done
for n in $routers; do wait_gateway $n; done
five_follow() { [ "$(followed | wc -l)" -ge 5 ]; }
await 15 five_follow && echo "five routers follow the sixth"
metric_is instances_cold 0 $routers && echo "none is cold"

# The back ends of a domain are removed and come back cold.
begin_traffic back 6
sleep 0.5
remove_backends 2 3 4
sleep 1
from=$(now_ms)
return_cold 2
begin_burst back-burst
await 1 metric_is instances_cold 3 $routers && echo "three are cold"
echo "routers assigned to them: $(sum_metric instances_cold_assigned)"
end_traffic
check_cold "come back" "$from" 2
metric_is instances_cold 0 $routers && echo "none is cold"

# The operator evacuates the domain and takes it back.
begin_traffic taken-back 6
evacuate b
sleep 1.5
from=$(now_ms)
end_evacuation b
begin_burst taken-back-burst
await 1 metric_is instances_cold 3 $routers && echo "three are cold"
end_traffic
check_cold "taken back" "$from" 2

# All back ends come back cold while a router is frozen, so that requests wait at
# all routers. The frozen router wakes up with requests and what it knew before.
frozen=$(followed | grep -o '"instance":"g[0-9]"' | grep -o '[0-9]' | head -2)
first=$(echo $frozen | cut -d' ' -f1)
second=$(echo $frozen | cut -d' ' -f2)
begin_traffic frozen 6
sleep 0.3
kill -STOP "$(pid_of g$first)"
remove_backends 1 2 3 4
sleep 1
from=$(now_ms)
return_cold 1
begin_burst frozen-waiting 30 $first
sleep 0.4
begin_burst frozen-burst
sleep 0.6
kill -CONT "$(pid_of g$first)"
# These wait until the cold time ends.
sleep 1.2
begin_burst frozen-late 12
end_traffic
check_cold "router frozen" "$from" 1

# Two routers are frozen when an evacuation ends, one of them since before it.
begin_traffic evacuated 6
sleep 0.3
kill -STOP "$(pid_of g$first)"
sleep 0.3 # it has polled and has no answer about the evacuation
evacuate b
sleep 0.7
kill -STOP "$(pid_of g$second)"
sleep 0.3
from=$(now_ms)
end_evacuation b
begin_burst evacuated-burst
begin_burst evacuated-waiting 30 $first
sleep 1
kill -CONT "$(pid_of g$first)" "$(pid_of g$second)"
sleep 0.3
begin_burst evacuated-woken 36 $first
end_traffic
check_cold "frozen, taken back" "$from" 2
await 2 metric_is instances_cold 0 $routers && echo "none is cold"
metric_is evacuated_domains 0 $routers && echo "nothing is evacuated"
judge_outcomes "$FLEET_DIR"/outcomes-*
end_report gateway-cold
