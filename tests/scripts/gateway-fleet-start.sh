# Tests the start of a failure domain of 36 routers with 1,000 instances, and of
# rows that routers that are gone have left. Guards against store reads that
# grow with routers times instances: 35 of 36 routers read the whole list when
# all were killed and started again, and each router listed all routers twice.
# Guards against one router that sends the whole list to all others, and against
# changes that do not reach the routers of the second level.
cd "$(dirname "$0")/../.." || exit 2
FLEET_SPAN=500
. tests/lib/gateway-lib.sh
begin_report

routers=36
instances=1000
all=$(seq $routers)
start_store
start_backend 1 app
announce_many 100 $((98 + instances)) other
apply_config 1
# A distant store: a listing of all instances takes 120 ms.
set_store_mode "slow 40"

count_pages() { curl -sf -m 5 "$store_url/control/lists/$1"; }
all_have_data() {
	[ "$(grep -l 'first listing complete' "$FLEET_DIR"/g*.out | wc -l)" = \
	    $routers ] && for n in $all; do gateway_ready "$n" || return 1; done
}
# Routers that are followed are named by the logs of their followers.
most_followed() {
	for n in $all; do
		grep -h 'followed instead' "$FLEET_DIR/g$n.out" | tail -1
	done | grep -o '"peer":"g[0-9]*"' | sort | uniq -c | sort -rn |
	    awk 'NR == 1 {print $1}'
}

# start_together LABEL: starts all routers. One reader needs three pages of
# instances and one of the configuration; a router that starts after the others
# may read as well.
start_together() {
	local instances_before routers_before begin
	instances_before=$(count_pages servers)
	routers_before=$(count_pages routers)
	begin=$(now_ms)
	for n in $all; do start_gateway "$n"; done
	await 20 all_have_data
	echo "$1: ready $(check_range 0 5000 $(($(now_ms) - begin)) ms)"
	sleep 2
	echo "instances: $(check_range 3 18 \
	    $(($(count_pages servers) - instances_before)) pages)"
	echo "routers: $(check_range $routers $((routers + 8)) \
	    $(($(count_pages routers) - routers_before)) pages)"
	echo "followers of one: $(check_range 1 16 "$(most_followed)" routers)"
}

kill_all() {
	for n in $all; do kill -KILL "$(pid_of "g$n")" 2>/dev/null; done
}

start_together "first start"
kill_all
start_together "after a loss of all"

# Two levels: changes pass through one router on their way to most others, also
# after the first router was killed.
request_status() { send_request "$1" p /safe/ok | sed 's/.* //'; }
all_answer() {
	local n
	for n in $all; do [ "$(request_status "$n")" = "$1" ] || return 1; done
}
before=$(count_store_calls)
sleep 4
echo "calm: $(check_range 4 24 $(($(count_store_calls) - before)) calls)"
apply_config 2 other-key
await 3 all_answer 401 && echo "change in force everywhere"
first=$(grep -L 'followed instead' "$FLEET_DIR"/g*.out |
    grep -o 'g[0-9]*.out' | grep -o '[0-9]*' | head -1)
instances_before=$(count_pages servers)
kill -KILL "$(pid_of "g$first")"
all=$(seq $routers | grep -vx "$first")
apply_config 3
await 5 all_answer 200 && echo "first router killed: change in force"
announce_backend 1 app draining 2
await 3 all_answer 503 && echo "instance left everywhere"
announce_backend 1 app ready 3
echo "instances: $(check_range 0 0 \
    $(($(count_pages servers) - instances_before)) pages)"
all=$(seq $routers)

# Rows of routers that are gone: as many as there are routers, of the same
# domain and at addresses that refuse connections.
kill_all
for n in $all; do
	printf '\0\0\0\001a\0\0\0\0\0\0\013127.0.0.1:1\0' |
	    put_row routers "gone$n"
done
start_together "with rows of gone routers"
end_report gateway-fleet-start
