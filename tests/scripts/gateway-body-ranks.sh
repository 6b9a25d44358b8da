# Guards against room for request bodies that goes to whoever comes first: beside
# a burst of long bodies of the less urgent route, a more urgent call with a long
# body must be admitted.
cd "$(dirname "$0")/../.." || exit 2
. tests/lib/gateway-lib.sh
begin_report

callers=20
start_store
for n in 1 2; do start_backend $n app; done
# The route once is more urgent than the others.
BODY_LIMIT=4194304 config_text 1 |
    sed 's/\("name":"once"[^}]*"priority":\)1/\10/' | put_row op config
head -c 1500000 /dev/zero >"$FLEET_DIR/long"
start_gateway 1 "memory_mb: 32"
wait_gateway 1

# send_long ID PATH: sends a call with a long body; prints its status.
send_long() {
	curl -s -m 8 -o /dev/null -H "Host: $route_host" -H "Expect:" \
	    -H "X-Poplarbeam-Attempt-Id: $1" \
	    -H "Authorization: Bearer $account_key" -w '%{http_code}\n' \
	    --data-binary "@$FLEET_DIR/long" "$(gateway_url 1)$2"
}
clients=""
for n in $(seq $callers); do
	send_long "low$n" "/tale/ok?work=2000" >>"$FLEET_DIR/low" &
	clients="$clients $!"
done
sleep 1
echo "more urgent: $(send_long high "/once/ok")"
wait $clients
[ "$(grep -c 200 "$FLEET_DIR/low")" -ge 2 ] || echo "fewer than 2 served"
[ "$(grep -c 503 "$FLEET_DIR/low")" -ge 1 ] || echo "memory was not short"
grep -v '200\|503' "$FLEET_DIR/low"
note "less urgent: $(sort "$FLEET_DIR/low" | uniq -c | xargs)"
end_report gateway-body-ranks
