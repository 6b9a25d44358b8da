# Tests that answers stay complete under failures. Guards against a truncated
# answer that is shown as complete, against another caller's answer, and
# against a stream that is cut by the loss of a router, by a planned stop or by
# an engine that is taken out of service.
cd "$(dirname "$0")/../.." || exit 2
. tests/lib/fleet-lib.sh
exec 3>&1 >"$FLEET_DIR/report"

start_demo_fleet 3 3 1
begin_chats 1 30 40 1 2 3
end_chats
echo "no fault: $(count_chats 1 30 40)"

owner=$(owner_of layout)
others=$(for n in 1 2 3; do [ "$n" = "$owner" ] || echo "$n"; done)
# shellcheck disable=SC2086
begin_chats 101 24 200 $others
sleep 0.6
send_signal "r$owner" KILL
end_chats
echo "owner killed in mid-stream: $(count_chats 101 24 200)"

unregister "r$owner"
start_router "$owner"
for n in 1 2 3; do await 15 sees_routers "$n" 3; done
await 15 router_ready "$owner"
begin_chats 201 24 200 1 2 3
sleep 0.5
send_signal "r$owner" TERM
end_chats
await 15 has_exited "r$owner"
echo "owner stopped as planned: $(count_chats 201 24 200)"
echo "log: $(grep -c 'no request in progress was cut' \
    "$FLEET_DIR/r$owner.log") clean drain"

# shellcheck disable=SC2086
begin_chats 301 24 200 $others
sleep 0.4
send_signal e3 TERM
end_chats
await 15 has_exited e3
echo "engine stopped as planned: $(count_chats 301 24 200)"

diff "$FLEET_DIR/report" tests/scripts/answers.expected >&3 || {
	tail -n 5 "$FLEET_DIR"/r*.log >&3
	exit 1
}
