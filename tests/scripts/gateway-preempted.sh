# Guards against a sound attempt that is cut because it is silent for a while,
# before it is known that another instance takes the request over, and against
# two instances that go on with one request.
cd "$(dirname "$0")/../.." || exit 2
. tests/lib/gateway-lib.sh
begin_report

start_store
for n in 1 2; do start_backend $n app; done
apply_config 1
start_gateway 1 "retry_ratio: 10"
wait_gateway 1

cancelled() {
	local n sum=0
	for n in 1 2; do
		sum=$((sum + $(curl -sf -m 5 \
		    "http://127.0.0.1:$(backend_port $n)/cancelled")))
	done
	echo $sum
}
ids() { grep -o 'id: [0-9]*' | tr -dc '0-9\n' | xargs; }
for action in full room mute hang; do
	before=$(cancelled)
	answer=$(send_request 1 "p-$action" "/flow/preempt-$action?work=100" -d x)
	sleep 0.1
	echo "$action: events $(ids <<<"$answer"), ${answer##* }," \
	    "$(count_runs "p-$action") runs," \
	    "$(($(cancelled) - before)) cancelled"
done
gateway_log 1 | grep -o '"take over".*' | grep -o 'not taken over\|taken over' |
    sort | uniq -c | xargs

# A call that may be repeated and takes longer than usual; the other instance
# refuses it.
sleep 3
kill -KILL "$(pid_of b2)"
launch b2 "$FLEET_BIN/pb-backend" "$(backend_port 2)" b2 full
sleep 1
for n in 1 2 3 4; do
	send_request 1 "slow$n" "/safe/ok?work=1200" | sed 's/.* //'
done | sort | uniq -c | xargs echo "slow calls:"
end_report gateway-preempted
