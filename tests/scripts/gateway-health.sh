# Tests instances that fail or hang although they are listed as ready. Guards
# against each router, or each caller, losing calls at an instance whose
# failure another router or caller has already seen.
cd "$(dirname "$0")/../.." || exit 2
. tests/lib/gateway-lib.sh
begin_report

start_store
start_backend 1 app error
for n in 2 3 4; do start_backend $n app; done
apply_config 1
for n in 1 2 3; do start_gateway $n; done
for n in 1 2 3; do wait_gateway $n; done
await 15 two_follow && echo "two routers follow"

# call ROUTER ID [QUERY]: sends a request and prints its status.
call() {
	curl -s -m 10 -o /dev/null -w '%{http_code}\n' \
	    -H "Host: $route_host" -H "X-Poplarbeam-Attempt-Id: $2" \
	    -H "Authorization: Bearer $account_key" \
	    "$(gateway_url "$1")/once/ok$3"
}
# Instances are chosen at random, so requests are sent until the router has
# seen enough failures to avoid the instance.
avoids() { grep -q '"peer":"b1","text":"avoided' "$FLEET_DIR/g$1.out"; }
for n in $(seq 200); do
	call 1 "first-$n"
	avoids 1 && break
done | grep -q 500 && echo "calls of one router failed"
all_avoid() {
	local n
	for n in 1 2 3; do avoids $n || return 1; done
}
await 3 all_avoid && echo "all routers avoid the instance"
for n in 2 3; do
	grep -h '"peer":"b1","text":"avoided' "$FLEET_DIR/g$n.out" |
	    grep -o '[0-9.]* of [0-9.]* own attempts'
done
echo "instances avoided by router 2: $(curl -sf -m 2 \
    "http://127.0.0.1:$(metrics_port 2)/metrics" |
    sed -n 's/^poplarbeam_instances_avoided //p')"

# avoided_ms ROUTER: prints when the router began to avoid the instance, in ms.
avoided_ms() {
	date +%s%3N -d "$(grep -m1 '"peer":"b1","text":"avoided' \
	    "$FLEET_DIR/g$1.out" | jq -r .time)"
}
leader=$(grep -L 'followed instead' "$FLEET_DIR"/g?.out | grep -o 'g[0-9].out' |
    tr -dc 0-9)
latest=$(for n in 1 2 3; do avoided_ms $n; done | sort -n | tail -1)
check_range 0 250 $((latest - $(avoided_ms "$leader"))) "ms until the others know"

# Eight callers each send one call after the other. A call to the hanging
# instance times out after three seconds; no later call may be sent to it.
kill -KILL "$(pid_of b1)"
start_backend 1 app hang
sleep 8
call_for() {
	local end=$(($(now_ms) + $1)) i=0
	while [ "$(now_ms)" -lt "$end" ]; do
		i=$((i + 1))
		call 1 "hung-$2-$i" "?work=60"
	done >"$FLEET_DIR/codes$2"
}
callers=
for n in $(seq 8); do
	call_for 4000 "$n" &
	callers="$callers $!"
done
wait $callers
hung=$(cat "$FLEET_DIR"/codes? | grep -c 504)
[ "$hung" -gt 0 ] && echo "calls hung"
[ "$hung" -le 8 ] || echo "$hung of them, more than callers"
[ "$(grep -c '"peer":"b1","text":"avoided' "$FLEET_DIR/g1.out")" -ge 2 ] &&
    echo "the hanging instance is avoided before its calls have ended"
end_report gateway-health
