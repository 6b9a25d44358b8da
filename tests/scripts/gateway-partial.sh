# Tests lists that are read in pages while another router is already followed.
# Guards against a router that forwards the first page as if it were the whole
# list, and against a page that arrives late and reverts a newer change that
# was received from the followed router.
cd "$(dirname "$0")/../.." || exit 2
. tests/lib/gateway-lib.sh
begin_report

start_store
# The key of backend 9 is in the third of three pages.
start_backend 9 app
announce_many 100 1299 other
apply_config 1
for n in 1 2 3; do start_gateway $n; done
for n in 1 2 3; do wait_gateway $n; done
await 20 two_follow
# The first router is the one that follows no other router.
first=$(grep -L 'followed instead' "$FLEET_DIR"/g?.out |
    grep -o 'g[0-9].out' | grep -o '[0-9]')
others=$(echo 1 2 3 | tr -d "$first")
for n in 1 2 3; do stop_gateway $n >/dev/null; done

# Each page takes 600 ms: the other routers start when the first router has
# read one of the three pages.
set_store_mode "slow-lists 600 servers"
start_gateway "$first"
sleep 0.9
for n in $others; do start_gateway "$n"; done
await 20 two_follow
echo "$(followed | grep -c ' 500 entries') took one page for the whole list"
for n in $others; do stop_gateway "$n" >/dev/null; done

# A router that gets no answer at its start reads three pages of 1.9 s each
# from the store, and follows the first router after 5 s. The instance in the
# third page begins to drain after the store has read that page and before the
# router receives it.
one=$(echo $others | cut -c1)
set_store_mode "slow-lists 1900 servers"
kill -STOP "$(pid_of "g$first")"
start_gateway "$one"
sleep 0.7
kill -CONT "$(pid_of "g$first")"
sleep 3.9
announce_backend 9 app draining 2
follows() { grep -q 'followed instead' "$FLEET_DIR/g$one.out"; }
await 10 follows && echo "followed while a listing is on its way"
sleep 1
wrong=0
for _ in $(seq 10); do
	[ "$(send_request "$one" p /safe/ok | sed 's/.* //')" = 503 ] || wrong=$((wrong + 1))
	sleep 0.2
done
echo "$wrong requests for an instance that drains"
end_report gateway-partial
