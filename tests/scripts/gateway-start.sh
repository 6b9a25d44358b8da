# Tests concurrent starts of many routers. Guards against a number of store
# calls that grows with each starting router, at the first start of a fleet and
# after the loss of all routers, and against a start that waits for a router
# that does not come back.
cd "$(dirname "$0")/../.." || exit 2
. tests/lib/gateway-lib.sh
begin_report

routers=8
all=$(seq $routers)
start_store
start_backend 1 app
apply_config 1
# A distant store: the other routers start while the first one still reads.
set_store_mode "slow 60"

all_ready() {
	local n
	for n in $all; do gateway_ready "$n" || return 1; done
}
all_follow() {
	[ "$(grep -l 'followed instead' "$FLEET_DIR"/g?.out | wc -l)" -ge \
	    $((routers - 1)) ]
}
start_all() { for n in $all; do start_gateway $n; done; }

# start_together LABEL MAX-MS: starts all routers and checks that they are
# ready within MAX-MS and that only one of them reads the store.
start_together() {
	local before begin
	before=$(count_store_calls)
	begin=$(now_ms)
	start_all
	await 15 all_ready
	echo "$1: ready $(check_range 0 "$2" $(($(now_ms) - begin)) ms)"
	await 15 all_follow && echo "one router reads the store"
	# One write and two listings for each router, and further calls of the
	# first router.
	echo "calls: $(check_range $routers $((routers * 3 + 12)) \
	    $(($(count_store_calls) - before)) calls)"
}

start_together "first start" 4000

for n in $all; do kill -KILL "$(pid_of g$n)"; done
start_together "after a loss of all" 1500

# The first router is frozen while it starts: the others must not wait for it.
first=$(grep -L 'followed instead' "$FLEET_DIR"/g?.out |
    grep -o 'g[0-9].out' | grep -o '[0-9]' | head -1)
for n in $all; do kill -KILL "$(pid_of g$n)"; done
start_gateway "$first"
kill -STOP "$(pid_of g$first)"
all=$(echo $all | tr -d "$first")
begin=$(now_ms)
start_all
await 15 all_ready
echo "without the first: ready $(check_range 0 2500 $(($(now_ms) - begin)) ms)"
kill -CONT "$(pid_of g$first)"
end_report gateway-start
