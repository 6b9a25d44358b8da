# Guards against requests sent to an instance that has said in an answer that it
# is leaving, while its entry in the list still says that it is ready.
cd "$(dirname "$0")/../.." || exit 2
. tests/lib/gateway-lib.sh
begin_report

start_store
for n in 1 2; do start_backend $n app; done
apply_config 1
for n in 1 2; do start_gateway $n; done
for n in 1 2; do wait_gateway $n; done

say() { curl -sf -m 5 "http://127.0.0.1:$(backend_port "$1")/$2" >/dev/null; }
count_arrivals() {
	curl -sf -m 5 "http://127.0.0.1:$(backend_port "$1")/arrivals" | wc -l
}
# knows_instances COUNT: true if both routers know so many instances that are
# not leaving.
knows_instances() {
	local n
	for n in 1 2; do
		curl -sf -m 5 "http://127.0.0.1:$(metrics_port $n)/" |
		    grep -qx "poplarbeam_instances $1" || return 1
	done
}
# restart_backend: starts back end 1 as another incarnation and waits until both
# routers know it.
born=0
restart_backend() {
	born=$((born + 1))
	kill -KILL "$(pid_of b1)"
	BORN=$((1700000000000 + born)) start_backend 1 app
	[ $born = 1 ] && sleep 1.5
	await 5 knows_instances 2
}
# send_many N COUNT PATH: sends requests one after the other and prints the
# statuses with their counts.
sent=0
send_many() {
	local i
	for i in $(seq "$2"); do
		sent=$((sent + 1))
		send_request "$1" "q$sent" "$3" -d x | sed 's/.* //'
	done | sort | uniq -c | xargs
	sent=$((sent + $2))
}
# announce N STATE: writes the entry of the present incarnation.
announce() {
	local start=1700000000000
	[ "$1" = 1 ] && start=$((start + born))
	sequence=$((sequence + 1))
	BORN=$start announce_backend "$1" app "$2" $sequence
}
sequence=1
# mark_backend N PATH LEFT: has both routers hear back end N's word in an answer
# of this kind. The other back end drains meanwhile; LEFT instances are known
# afterwards.
mark_backend() {
	local n
	announce $((3 - $1)) draining
	await 5 knows_instances 1
	for n in 1 2; do
		sent=$((sent + 1))
		send_request $n "m$sent" "$2" -d x >/dev/null
	done
	announce $((3 - $1)) ready
	await 5 knows_instances "$3"
}
# check_kind PATH: a new incarnation of back end 1 says that it is leaving.
check_kind() {
	local before
	restart_backend
	say 1 say-leaving
	mark_backend 1 "$1" 1
	before=$(count_arrivals 1)
	[ "$before" = 2 ] || echo "$before requests instead of 2"
	# The entry is written again and still says ready.
	announce 1 ready
	sleep 1
	echo "$1: $(send_many 1 10 /once/ok), $(send_many 2 10 /once/ok)," \
	    "$(($(count_arrivals 1) - before)) to the leaving instance"
}
for kind in /once/ok /safe/error /flow/stream /once/full /once/unframed \
    /tale/open; do
	check_kind $kind
done

# A stream in progress at the instance goes on to its end.
restart_backend
announce 2 draining
await 5 knows_instances 1
send_request 1 long "/tale/stream?work=300" -d x >"$FLEET_DIR/long" &
stream=$!
sleep 0.5
say 1 say-leaving
mark_backend 1 /once/ok 1
wait $stream
echo "stream in progress: $(grep -o 'part 10' "$FLEET_DIR/long")"

# The mark outlasts an outage of the store in which the entry expires.
set_store_mode down
sleep 2.5
delete_row servers b1 >/dev/null
set_store_mode ok
sleep 3
announce 1 ready
sleep 1.2
before=$(count_arrivals 1)
echo "listed again: $(send_many 1 10 /once/ok)," \
    "$(($(count_arrivals 1) - before)) to the leaving instance"

# Another incarnation under the same id begins without the mark.
restart_backend
announce 2 draining
await 5 knows_instances 1
echo "restarted: $(send_many 1 3 /once/ok), $(count_arrivals 1) sent"
announce 2 ready
await 5 knows_instances 2

# All instances leave: nothing waits until its deadline.
for n in 1 2; do say $n say-leaving; done
mark_backend 1 /once/ok 1
mark_backend 2 /once/ok 0
sleep 2.2
begun=$(now_ms)
before=$(($(count_arrivals 1) + $(count_arrivals 2)))
echo "all leave: $(send_many 1 3 /once/ok)," \
    "$(($(count_arrivals 1) + $(count_arrivals 2) - before)) sent"
check_range 0 1500 $(($(now_ms) - begun)) ms
grep -c '"step":"instance leaving"' "$FLEET_DIR/g1.out" | awk '{print ($1 >= 9)}'
end_report gateway-leaving
