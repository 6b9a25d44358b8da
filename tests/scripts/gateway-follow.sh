# Tests routers that read changes from another router instead of the store.
# Guards against a number of store calls that grows with the number of routers,
# and against a follower that keeps following a router that has lost the store,
# is frozen or has exited.
cd "$(dirname "$0")/../.." || exit 2
. tests/lib/gateway-lib.sh
begin_report

start_store
start_backend 1 app
apply_config 1
for n in 1 2 3; do start_gateway $n; done
STORE_PORT=$second_store_port start_gateway 4
for n in 1 2 3 4; do wait_gateway $n; done
following() {
	[ "$(grep -l 'followed instead' "$FLEET_DIR"/g?.out | wc -l)" -ge 3 ]
}
await 15 following && echo "three routers follow"
before=$(count_store_calls)
sleep 4
# A single router that reads the store makes about three calls a second.
check_range 4 24 $(($(count_store_calls) - before)) calls

request_status() { send_request "$1" p /safe/ok | sed 's/.* //'; }
all_answer() {
	local n
	for n in $2; do [ "$(request_status "$n")" = "$1" ] || return 1; done
}
apply_config 2 other-key
await 2 all_answer 401 "1 2 3 4" && echo "change in force everywhere"
apply_config 3
await 2 all_answer 200 "1 2 3 4" && echo "and the next one"
announce_backend 1 app draining 2
await 2 all_answer 503 "1 2 3 4" && echo "instance left everywhere"
announce_backend 1 app ready 3
await 2 all_answer 200 "1 2 3 4" && echo "and is back"

# The store refuses the calls of one router, which then reads the configuration
# from another router.
set_store_mode refuse
apply_config 4 other-key
await 2 all_answer 401 "1 2 3 4" && echo "one turned away: change everywhere"
apply_config 5
sleep 6
all_answer 200 "1 2 3 4" && echo "keys are confirmed by another router"
set_store_mode ok

# The followed router is frozen: its followers must still see the changes.
# find_leader: sets leader to the router that most routers follow, and others
# to the numbers of the remaining routers.
find_leader() {
	leader=$(for n in 1 2 3 4; do
		grep -o '"peer":"g[0-9]","text":"followed' \
		    "$FLEET_DIR/g$n.out" | tail -1 | grep -o 'g[0-9]'
	done | sort | uniq -c | sort -rn | awk 'NR == 1 {print $2}')
	others=$(echo 1 2 3 4 | tr -d "${leader#g}")
}
find_leader
kill -STOP "$(pid_of "$leader")"
announce_backend 1 app draining 4
await 3 all_answer 503 "$others" && echo "leader frozen: change seen"
announce_backend 1 app ready 5
await 3 all_answer 200 "$others" && echo "and the next one"
kill -CONT "$(pid_of "$leader")"
await 3 all_answer 200 "1 2 3 4" && echo "leader awake: up to date"
find_leader
# The leader is killed while the other routers read the change from a slow
# store.
set_store_mode "slow 400"
sleep 1
apply_config 6 other-key
sleep 0.8
kill -KILL "$(pid_of "$leader")"
await 4 all_answer 401 "$others" && echo "leader killed: change seen"
set_store_mode ok
sleep 1
for n in $others; do
	gateway_ended "$n" && echo "router $n ended by itself"
done
end_report gateway-follow
