# Tests stale store rows of routers whose machines no longer answer. Guards
# against a new router that keeps connecting to dead routers and never reaches
# a live one.
cd "$(dirname "$0")/../.." || exit 2
. tests/lib/gateway-lib.sh
begin_report

silent_port=$((FLEET_PORT + 3))
control="http://127.0.0.1:$((FLEET_PORT + 2))/control"
start_store
launch proxy "$FLEET_BIN/pb-proxy" -c $((FLEET_PORT + 2)) \
    -t "dead=$silent_port:127.0.0.1:$store_port"
await 5 grep -q ready "$FLEET_DIR/proxy.out"
curl -s -m 2 -o /dev/null -d '{"mode":"cut"}' "$control/link/dead"
start_backend 1 app
apply_config 1
for n in 1 2; do start_gateway $n; done
for n in 1 2; do wait_gateway $n; done
# The row of a router holds its domain and its address. The dead rows are
# copies of the row of g1 with the port of the cut link.
curl -sf -m 5 "$store_url/control/row/routers/g1" | base64 -d |
    sed "s/:$(gateway_peer_port 1)/:$silent_port/" >"$FLEET_DIR/row"
for n in $(seq 40); do put_row routers "gone-$n" <"$FLEET_DIR/row"; done
start_gateway 3
follows() { grep -q 'followed instead' "$FLEET_DIR/g3.out"; }
leads() { grep -q '"peer":"g3","text":"followed' "$FLEET_DIR"/g?.out; }
finds_router() { follows || leads; }
await 40 finds_router && echo "a live router is found"
end_report gateway-dead
