# Tests orders to engines. Guards against an engine that misses its order,
# against a late order of an earlier lease holder that stays in force, and
# against a table service that all routers poll for the lease. The engines of
# the service layout refuse an old fencing number, the engines of reply ignore
# it.
cd "$(dirname "$0")/../.." || exit 2
. tests/lib/fleet-lib.sh
exec 3>&1 >"$FLEET_DIR/report"

engines="1 2 3 4"

# team_file STATE: prints the team's settings with the desired state.
team_file() {
	cat <<END_OF_TEAM
services:
  - {name: layout, upstreams: 2, orders: [{name: adapter, desired: {adapter: $1}}]}
  - {name: reply, upstreams: 2, fencing: ignored, orders: [{name: adapter, desired: {adapter: $1}}]}
accounts:
  - {name: copenhagen, key: demo-key-copenhagen}
END_OF_TEAM
}

# order_state STATE ROUTER: stores the desired state through a router.
order_state() {
	local admin revision
	admin="127.0.0.1:$(admin_port "$2")"
	revision=$("$FLEET_BIN/poplarbeam" get --router "$admin" --team shop \
	    2>&1 >/dev/null | grep -oE 'revision [0-9]+' | grep -oE '[0-9]+')
	team_file "$1" >"$FLEET_DIR/team.yaml"
	"$FLEET_BIN/poplarbeam" apply --router "$admin" --team shop \
	    --expect "${revision:-0}" "$FLEET_DIR/team.yaml" >/dev/null
}

orders_of() {
	curl -sf -m 2 "http://127.0.0.1:$(engine_port "$1")/control/orders"
}

count_of() { orders_of "$1" | jq -r ".$2"; }

# all_in STATE [ENGINE...]: true when these engines are in the state.
all_in() {
	local state=$1 n
	shift
	for n in ${*:-$engines}; do
		[ "$(count_of "$n" orders.adapter.desired.adapter)" = "$state" ] ||
		    return 1
	done
}

# lease SERVICE MEMBER: prints the member "holder" or "fence" of the lease's
# row.
lease() {
	curl -sf -m 2 -G "$platform_url/table/v1/row" \
	    --data-urlencode "key=lease/orders/$FLEET_REGION/$1" |
	    jq -r ".value | if type == \"string\" then fromjson else . end | .$2"
}

holder() { lease "$1" holder | sed 's,^r\([0-9]*\)/.*,\1,'; }
has_moved() { [ -n "$(holder "$1")" ] && [ "$(holder "$1")" != "$2" ]; }
set_engine_state() {
	curl -sf -m 2 -o /dev/null -d "$2" \
	    "http://127.0.0.1:$(engine_port "$1")/control/state"
}
is_held() { [ "$(count_of "$1" held)" = 1 ]; }
refused() { [ "$(count_of "$1" refused)" -ge 1 ]; }
stale() { [ "$(count_of "$1" stale)" -ge 1 ]; }

ordered_in_timeline() {
	local n
	for n in 1 2 3 4 5; do
		curl -sf -m 2 "http://127.0.0.1:$(admin_port "$n")/admin/v1/events?upstream=e1"
	done | grep -q '"step": *"ordered"'
}

# print_result TEXT COMMAND...: prints whether the command succeeds in time.
print_result() {
	local text=$1
	shift
	if await 25 "$@"; then echo "$text: yes"; else echo "$text: no"; fi
}

start_platform
for n in 1 2; do start_engine $n layout --fencing refused; done
for n in 3 4; do start_engine $n reply --fencing ignored; done
for n in 1 2 3 4 5; do start_router $n; done
apply_settings fleet examples/demo/fleet.yaml >/dev/null
order_state menus-1 1
for n in 1 2 3 4 5; do await 15 router_ready $n; done
for n in 1 2 3 4 5; do await 15 sees_routers $n 5; done

print_result "the first state reaches all engines" all_in menus-1
order_state menus-2 1
print_result "a changed state reaches all engines" all_in menus-2

# Only three routers try to acquire each of the two leases from the table
# service.
sought=0
for n in 1 2 3 4 5; do sought=$((sought + $(metric $n leases_sought))); done
echo "leases sought by 5 routers: $sought"

# The routers read the states of the engines, but do not send an order again
# when the state is the desired one.
taken() { for n in $engines; do count_of "$n" taken; done | tr '\n' ' '; }
before=$(taken)
sleep 4
[ "$(taken)" = "$before" ] && echo "no order is sent without a difference"
print_result "the time line tells of the orders to engine 1" ordered_in_timeline

# For each service, the engine holds back one order of the lease holder, and
# the holder is frozen.
for service in layout reply; do
	case $service in layout) engine=1 ;; *) engine=3 ;; esac
	old=$(holder $service)
	other=$((old % 5 + 1))
	fence=$(lease $service fence)
	set_engine_state $engine '{"hold_orders":1}'
	order_state "late-$service" "$other"
	print_result "$service: an order is on its way" is_held $engine
	send_signal "r$old" STOP
	order_state "new-$service" "$other"
	print_result "$service: another router holds the lease" has_moved $service "$old"
	[ "$(lease $service fence)" -gt "$fence" ] &&
	    echo "$service: its fencing number is greater"
	print_result "$service: the engines are in the new state" all_in "new-$service"
	set_engine_state $engine '{"hold_orders":0}'
	if [ $service = layout ]; then
		print_result "layout: the late order is refused" refused $engine
	else
		print_result "reply: the late order takes effect" stale $engine
	fi
	send_signal "r$old" CONT
	sleep 3
	print_result "$service: the newest state is in force" all_in "new-$service"
	for n in 1 2 3 4 5; do await 15 router_ready $n; done
	for n in 1 2 3 4 5; do await 15 sees_routers $n 5; done
done

for n in 1 3; do
	send_signal "e$n" KILL
	await 5 has_exited "e$n"
	case $n in 1) kind="layout --fencing refused" ;; *) kind="reply --fencing ignored" ;; esac
	# shellcheck disable=SC2086
	start_engine $n $kind
	print_result "engine $n has its order after a restart" all_in new-reply $n
done

old=$(holder layout)
send_signal "r$old" TERM
print_result "a planned stop hands the lease on" has_moved layout "$old"

diff "$FLEET_DIR/report" tests/scripts/orders.expected >&3 || {
	tail -n 5 "$FLEET_DIR"/r*.log >&3
	exit 1
}
