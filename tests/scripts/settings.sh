# Tests settings under failures. Guards against a change that does not take
# effect in time, a lost or duplicated change, an older revision after a newer
# one, and a router that serves with settings that it cannot confirm.
cd "$(dirname "$0")/../.." || exit 2
. tests/lib/fleet-lib.sh
begin_report

FLEET_FILE=$FLEET_DIR/fleet.yaml
sed -e 's/^teams:.*/teams: [shop, port]/' -e '$afreshness_limit: 3s' \
    examples/demo/fleet.yaml >"$FLEET_FILE"

# Router 4 reaches the platform, and all routers reach each other's ONC RPC,
# through the proxy.
links="table r1 r2 r3 r4 r5 t1 t2 t3 t4 t5"
platform_address() {
	[ "$1" = 4 ] && echo "http://127.0.0.1:$((FLEET_PORT + 2))" ||
	    echo "$platform_url"
}
rpc_address() { echo "127.0.0.1:$((FLEET_PORT + 2 + $1))"; }
options="--tcp table=$((FLEET_PORT + 2)):127.0.0.1:$FLEET_PORT"
for n in 1 2 3 4 5; do
	to=$((FLEET_PORT + 2 + n)):127.0.0.1:$(rpc_port $n)
	options="$options --udp r$n=$to --tcp t$n=$to"
done
# shellcheck disable=SC2086
start_proxy $options
start_demo_fleet 5 1 0

# write_team_file KEY: writes settings of the team "shop" with this key for one
# account, and prints the path of the file.
write_team_file() {
	sed "s/demo-key-aarhus/$1/" examples/demo/shop.yaml \
	    >"$FLEET_DIR/$1.yaml"
	echo "$FLEET_DIR/$1.yaml"
}

cli() { "$FLEET_BIN/poplarbeam" "$@"; }
router_option() { echo "--router=127.0.0.1:$(admin_port "$1")"; }
head_revision() {
	cli history --json "$(router_option 1)" | jq '.revisions[0].revision'
}
shop_revision() {
	cli get "$(router_option 1)" --team shop 2>&1 >/dev/null | tr -dc 0-9
}

# apply_change ROUTER KEY OPTION...: applies settings with this key to the team
# "shop", based on its newest revision.
apply_change() {
	local router=$1 key=$2
	shift 2
	cli apply "$(router_option "$router")" --team shop \
	    --expect "$(shop_revision)" "$@" "$(write_team_file "$key")"
}

has_revision() { [ "$(router_status "$1" .revision)" = "$2" ]; }

for n in 1 3 5; do
	apply_change $n "key-of-change-$n" --wait --json >"$FLEET_DIR/change"
	us=$(jq .wait_us "$FLEET_DIR/change")
	echo "change through router $n: in force on" \
	    "$(jq .routers "$FLEET_DIR/change") routers," \
	    "$(check_range 0 3000 $((us / 1000)) ms)"
done

expect=$(shop_revision)
before=$(head_revision)
for n in 1 2; do
	file=$(write_team_file "key-of-operator-$n")
	(cli apply "$(router_option $n)" --team shop --expect "$expect" \
	    --author "operator-$n" "$file" 2>"$FLEET_DIR/race$n" >/dev/null
	echo $? >"$FLEET_DIR/code$n") &
	pids="$pids $!"
done
for pid in $pids; do wait "$pid"; done
echo "two operators, one subtree: exit codes" \
    "$(cat "$FLEET_DIR"/code[12] | sort | tr '\n' ' ')"
grep -h 'was first' "$FLEET_DIR"/race[12] |
    sed 's/revision [0-9]*/revision N/; s/operator-[12]/operator-N/'
echo "revisions: $(($(head_revision) - before))"

expect=$(shop_revision)
before=$(head_revision)
pids=
printf 'accounts:\n  - {name: ribe, key: key-of-ribe}\n' \
    >"$FLEET_DIR/port.yaml"
cli apply "$(router_option 1)" --team shop --expect "$expect" \
    "$(write_team_file key-of-the-shop)" >/dev/null &
pids=$!
cli apply "$(router_option 2)" --team port --expect 0 "$FLEET_DIR/port.yaml" \
    >/dev/null &
pids="$pids $!"
codes=
for pid in $pids; do wait "$pid"; codes="$codes $?"; done
echo "two teams at once: exit codes$codes," \
    "revisions: $(($(head_revision) - before))"

before=$(head_revision)
set_platform_faults '{"lose_answers":1}'
apply_change 2 key-of-lost-answer --change lost-1 >/dev/null
echo "answer of the commit lost: exit code $?, revisions:" \
    "$(($(head_revision) - before)), with its change id:" \
    "$(cli history --json "$(router_option 1)" |
    jq '[.revisions[]|select(.change=="lost-1")]|length')"

await 5 has_revision 5 "$(head_revision)"
lines=$(wc -l <"$FLEET_DIR/r5.log")
send_signal r5 STOP
apply_change 1 key-of-first-change >/dev/null
apply_change 1 key-of-second-change >/dev/null
newest=$(head_revision)
sleep 3.5
begun=$(now_ms)
send_signal r5 CONT
old=0
while [ $(($(now_ms) - begun)) -lt 3000 ]; do
	for old_key in key-of-lost-answer key-of-first-change; do
		code=$(chat_outcome 5 $old_key)
		# The poll period is 500 ms.
		[ "$code" = 200 ] && note "$old_key served after" \
		    "$(($(now_ms) - begun)) ms" &&
		    [ $(($(now_ms) - begun)) -gt 600 ] && old=$((old + 1))
	done
done
echo "router frozen during two changes: put in force" \
    "$(tail -n +$((lines + 1)) "$FLEET_DIR/r5.log" |
    grep -o 'revision [0-9]* is in force' | tr -dc '0-9\n' |
    sed "s/^$newest\$/the newest/"), served with older settings: $old," \
    "newest: $(chat_outcome 5 key-of-second-change)"

set_platform_faults '{"surface":"table","refuse":true}'
send_signal r5 KILL
await 5 has_exited r5
launch r5 "$FLEET_BIN/poplarbeamd" "$FLEET_DIR/r5.yaml"
await 10 router_ready 5
echo "restarted while the table service refuses: from peers" \
    "$(grep -c "revision [0-9]* is in force" "$FLEET_DIR/r5.log") revision," \
    "newest: $(has_revision 5 "$newest" && echo yes)," \
    "older key: $(chat_outcome 5 key-of-first-change)"
set_platform_faults '{"surface":"table","refuse":false}'
await 5 router_ready 4
await 5 chat_outcome_is 4 key-of-second-change 200

# shellcheck disable=SC2086
set_link_mode cut $links
begun=$(now_ms)
served=0
while [ "$(chat_outcome 4 key-of-second-change)" = 200 ]; do
	served=$((served + 1))
	[ $(($(now_ms) - begun)) -gt 10000 ] && break
	sleep 0.05
done
echo "cut off from table and peers: refuses" \
    "$(check_range 2000 4500 $(($(now_ms) - begun)) ms)," \
    "$(chat_outcome 4 key-of-second-change), router 1: $(chat_outcome 1 key-of-second-change)"
# shellcheck disable=SC2086
set_link_mode pass $links
begun=$(now_ms)
await 10 chat_outcome_is 4 key-of-second-change 200
echo "connected again: serves $(check_range 0 3000 $(($(now_ms) - begun)) ms)"

before=$(head_revision)
target=$(cli history --json "$(router_option 1)" -n 50 |
    jq '[.revisions[]|select(.team=="shop")][1].revision')
cli rollback "$(router_option 3)" --team shop --expect "$(shop_revision)" \
    --to "$target" --wait >/dev/null
echo "rollback: exit code $?, revisions: $(($(head_revision) - before))," \
    "old text: $(cli get "$(router_option 2)" --team shop 2>/dev/null |
    cmp -s - "$FLEET_DIR/key-of-first-change.yaml" && echo yes)," \
    "its key: $(chat_outcome 4 key-of-first-change)," \
    "the other: $(chat_outcome 4 key-of-second-change)"

end_report settings
