# Tests network partitions between routers. Guards against a wrong or truncated
# answer and a second run while digests and relays between the owner of the
# cells and another router are cut, and while the owner is frozen under load
# and resumed.
cd "$(dirname "$0")/../.." || exit 2
TEAM_FILE=tests/scripts/team.yaml
. tests/lib/fleet-lib.sh
begin_report

# Every router is reached through the proxy, which can cut relays and digests.
peer_address() { echo "127.0.0.1:$((FLEET_PORT + 2 + $1))"; }
rpc_address() { echo "127.0.0.1:$((FLEET_PORT + 5 + $1))"; }
options=
for n in 1 2 3; do
	options="$options --tcp relay$n=$((FLEET_PORT + 2 + n)):127.0.0.1:$(peer_port $n)"
	options="$options --udp digest$n=$((FLEET_PORT + 5 + n)):127.0.0.1:$(rpc_port $n)"
done
# shellcheck disable=SC2086
start_proxy $options
start_demo_fleet 3 4 1
begin_chats 1 6 10 1 2 3
end_chats
echo "before: $(count_chats 1 6 10)"

owner=$(owner_of layout)
entry=$((owner % 3 + 1))
other=$((entry % 3 + 1))

# The owner receives no relay and no digest, while all routers reach the
# platform. The owner serves its own callers; the next router in order serves
# the callers of the others.
count_owned() {
	echo $(($(metric $entry requests_owned_total) +
	    $(metric $other requests_owned_total)))
}
set_link_mode refuse "relay$owner"
set_link_mode cut "digest$owner"
before=$(count_owned)
begin_chats 101 30 60 $entry $other $owner
sum=0
for i in 1 2 3 4 5 6; do
	send_order "cut$i" "cut $i" $entry >/dev/null
	send_order "cut$i" "cut $i" $other >/dev/null
	send_order "cut$i" "cut $i" "$owner" >/dev/null
	runs=$(runs_of "cut $i")
	[ "$runs" -le 1 ] || echo "cut $i ran $runs times"
	sum=$((sum + runs))
done
end_chats
[ "$(count_owned)" -gt "$before" ] && echo "other routers ran requests of its cells"
echo "owner cut from its peers: $(count_chats 101 30 60)"
echo "6 orders through all routers: $sum runs"
set_link_mode pass "relay$owner" "digest$owner"
for n in 1 2 3; do await 20 sees_routers $n 3; done

# The owner is frozen with streams in progress and resumes after 10 s.
owner=$(owner_of layout)
entry=$((owner % 3 + 1))
other=$((entry % 3 + 1))
begin_chats 201 24 300 $entry $other
sleep 0.6
send_signal "r$owner" STOP
(sleep 10; send_signal "r$owner" CONT) &
thaw=$!
for i in 1 2 3; do
	send_order "ice$i" "ice $i" $entry >/dev/null
	send_order "ice$i" "ice $i" $other >/dev/null
done
end_chats
wait $thaw
sleep 3
for i in 1 2 3; do
	runs=$(runs_of "ice $i")
	[ "$runs" -le 1 ] || echo "ice $i ran $runs times"
done
echo "owner frozen for 10 s: $(count_chats 201 24 300)"
for n in 1 2 3; do await 20 sees_routers $n 3; done
begin_chats 301 12 20 1 2 3
end_chats
echo "afterwards: $(count_chats 301 12 20)"

end_report partition
