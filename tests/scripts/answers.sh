# Whole answers under failure: guards against a short answer shown as complete,
# another caller's answer, and a stream cut by the loss of a router, by a
# planned stop or by an engine that leaves.
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
stop "r$owner" KILL
end_chats
echo "owner killed in mid-stream: $(count_chats 101 24 200)"

unregister "r$owner"
start_router "$owner"
for n in 1 2 3; do await 15 sees_routers "$n" 3; done
await 15 router_ready "$owner"
begin_chats 201 24 200 1 2 3
sleep 0.5
stop "r$owner" TERM
end_chats
await 15 gone "r$owner"
echo "owner stopped as planned: $(count_chats 201 24 200)"
echo "log: $(grep -c 'no request in progress was cut' \
    "$FLEET_DIR/r$owner.log") clean drain"

# shellcheck disable=SC2086
begin_chats 301 24 200 $others
sleep 0.4
stop e3 TERM
end_chats
await 15 gone e3
echo "engine stopped as planned: $(count_chats 301 24 200)"

diff "$FLEET_DIR/report" tests/scripts/answers.expected >&3 || {
	tail -n 5 "$FLEET_DIR"/r*.log >&3
	exit 1
}
