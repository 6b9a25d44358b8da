# Lists that are read in pages while another router is already followed. Guards
# against a router that passes on the first page as if it were all, and against
# a page that was on its way and undoes what the other router has told since.
cd "$(dirname "$0")/../.." || exit 2
. tests/lib/gateway-lib.sh
begin_report

start_store
# Its key is in the third of three pages.
start_backend 9 app
announce_many 100 1299 other
apply_config 1
for n in 1 2 3; do start_gateway $n; done
for n in 1 2 3; do wait_gateway $n; done
await 20 two_follow
# The first router is the one that follows no other one.
first=$(grep -L 'followed instead' "$FLEET_DIR"/g?.out |
    grep -o 'g[0-9].out' | grep -o '[0-9]')
others=$(echo 1 2 3 | tr -d "$first")
for n in 1 2 3; do stop_gateway $n >/dev/null; done

# Pages take 600 ms: the others start when the first router has one of three.
store_mode "slow-lists 600 servers"
start_gateway "$first"
sleep 0.9
for n in $others; do start_gateway "$n"; done
await 20 two_follow
echo "$(followed | grep -c ' 500 entries') took one page for the whole list"
for n in $others; do stop_gateway "$n" >/dev/null; done

# A router that gets no answer at its start lists three pages of 1.9 s each and
# follows the first router after 5 s. The instance, in the third page, begins to
# drain after that page was read and before it arrives.
one=$(echo $others | cut -c1)
store_mode "slow-lists 1900 servers"
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
	[ "$(ask "$one" p /safe/ok | sed 's/.* //')" = 503 ] || wrong=$((wrong + 1))
	sleep 0.2
done
echo "$wrong requests for an instance that drains"
end_report gateway-partial
