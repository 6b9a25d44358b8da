# Guards against callers that read slowly: a stream whose caller reads nothing
# for longer than a lost connection may be silent, or than its instance allows,
# must not fill the router's memory, must not hinder the sixty urgent streams
# beside it, and must not count against its instance. When memory is short, the
# least urgent of the unread responses ends, and no other.
cd "$(dirname "$0")/../.." || exit 2
. tests/lib/gateway-lib.sh
begin_report

urgent=60
events=2000 # of the action "bulk"
large=3145728 # body bytes of the action "large"
start_store
for n in 1 2 3 4; do start_backend $n app; done
# The routes once and tale are more urgent than safe and flow. All may take 8 s.
config_text 1 | sed 's/\("name":"\(once\|tale\)"[^}]*"priority":\)1/\10/g
    s/"timeout-ms":3000/"timeout-ms":8000/g' | put_row op config
start_gateway 1 "memory_mb: 32"
wait_gateway 1

# open_slowly FD ID PATH: sends a request on file descriptor FD of this shell
# and reads nothing of the response.
open_slowly() {
	eval "exec $1<>/dev/tcp/127.0.0.1/$(gateway_port 1)"
	printf 'GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n%s\r\n%s\r\n\r\n' \
	    "$3" "$route_host" "X-Poplarbeam-Attempt-Id: $2" \
	    "Authorization: Bearer $account_key" >&"$1"
}
# read_rest FD NAME: reads the response to its end, and closes.
read_rest() {
	timeout 20 cat <&"$1" >"$FLEET_DIR/$2" || echo "$2: not ended"
	eval "exec $1<&-"
}
# tell_stream NAME: prints whether the stream is whole, without a gap.
tell_stream() {
	local whole="cut off"
	tail -c 7 "$FLEET_DIR/$1" | tr -d '\r\n' | grep -q '0$' && whole=whole
	grep -a '^id: ' "$FLEET_DIR/$1" | awk '$2 + 0 != NR {exit 1}' ||
	    echo "$1: an event is missing"
	[ "$whole" = "cut off" ] ||
	    whole="$whole, $(grep -ac '^id: ' "$FLEET_DIR/$1") events"
	echo "$1: $whole"
}
gauge() {
	curl -sf -m 2 "http://127.0.0.1:$(metrics_port 1)/metrics" |
	    awk -v n="poplarbeam_$1" '$1 == n {print $2}'
}
# count_log STEP: counts the lines of the step for the streams read slowly.
count_log() {
	gateway_log 1 | grep "\"step\":\"$1\"" |
	    grep -c '"request":"\(late\|unread\|reset\)"'
}
begin_urgent() {
	local i
	clients=""
	for i in $(seq $urgent); do
		curl -s -m 10 -H "Host: $route_host" -o "$FLEET_DIR/$1-$i" \
		    -H "X-Poplarbeam-Attempt-Id: $1-$i" \
		    -H "Authorization: Bearer $account_key" \
		    "$(gateway_url 1)/tale/stream?work=100" &
		clients="$clients $!"
	done
}
# end_urgent NAME: prints how many of the urgent streams were whole.
end_urgent() {
	local i whole=0
	wait $clients
	for i in $(seq $urgent); do
		[ "$(grep -c '^id: ' "$FLEET_DIR/$1-$i")" = 10 ] &&
		    whole=$((whole + 1))
	done
	echo "$1: $whole of $urgent urgent streams whole"
}

# The caller reads again before its instance gives up.
open_slowly 5 late /flow/bulk
begin_urgent beside
sleep 2.5
echo "reading from $(gauge streams_held) instance stopped"
check_range 1 200000 "$(gauge buffered_bytes)" "buffered bytes"
end_urgent beside
read_rest 5 late
tell_stream late
echo "then: reading from $(gauge streams_held) instances stopped"

# The instance ends the stream that nobody reads. A reset is seen at once, an
# orderly end only after what was sent before it.
open_slowly 5 unread /flow/bulk
open_slowly 6 reset /flow/bulk-reset
begin_urgent again
sleep 6.5
end_urgent again
echo "at the router $(gauge requests_in_flight) in progress"
for n in 5 6; do
	read_rest $n ended$n
	tell_stream ended$n
done
for id in unread reset; do
	gateway_log 1 | grep end.request | grep "\"$id\"" |
	    grep -o 'caller reads too slowly; .*status [0-9]*' |
	    sed "s/;.*status/: status/; s/^/$id: /"
done

echo "dispatched $(count_log dispatch) times," \
    "$(count_log 'take over') taken over," \
    "$(count_log 'attempt silent') silent," \
    "$(count_log 'crash suspect') suspected," \
    "$(gauge broken_attempts_total) broken"
for n in 1 2 3 4; do
	curl -sf -m 5 "http://127.0.0.1:$(backend_port $n)/all-runs"
done | awk '$2 > 1 {n++} END {print n + 0 " requests ran twice"}'

# A call that may run only once goes on when its caller leaves in a hold.
open_slowly 5 left /once/bulk
sleep 1
exec 5<&-
sleep 2
echo "after the caller left: $(gauge requests_in_flight) in progress"
gateway_log 1 | grep end.request | grep '"left"' | grep -o '"text":"[a-z ]*'

# Streams that hold too much together: the least urgent end, as many as needed.
begun=$(now_ms)
for n in 11 12 13; do open_slowly $n "first$n" /tale/bulk; done
for n in $(seq 20 185); do open_slowly $n "crowd$n" /flow/bulk; done
sleep 1.5
check_range 1 11184810 "$(gauge buffered_bytes)" "bytes buffered for many"
note "reading after $(($(now_ms) - begun)) ms"
readers=""
for n in 11 12 13; do
	read_rest $n first$n &
	readers="$readers $!"
done
wait $readers
for n in 11 12 13; do
	eval "exec $n<&-"
	tell_stream first$n
done
note "$(gateway_log 1 | grep end.request | grep '"first' | cut -c1-250)"
crowd=$(gateway_log 1 | grep end.request | grep '"crowd' |
    grep -c 'caller reads too slowly')
check_range 10 120 "$crowd" "less urgent streams ended"
for n in $(seq 20 185); do eval "exec $n<&-"; done
sleep 0.5

# Four whole responses are longer than a third of the memory.
open_slowly 6 high6 /once/large
sleep 0.5
open_slowly 5 low /safe/large
for n in 7 8; do
	sleep 0.5
	open_slowly $n "high$n" /once/large
done
sleep 2.5
send_request 1 other /once/ok | sed "s/.* //"
for n in 6 7 8; do read_rest $n high$n; done
read_rest 5 low
for n in low high6 high7 high8; do
	bytes=$(sed '1,/^\r$/d' "$FLEET_DIR/$n" | wc -c)
	[ "$bytes" = $large ] && echo "$n: whole" || echo "$n: cut off"
	note "$n: $bytes bytes"
done
gateway_log 1 | grep -c '"end connection".*"text":"closed: its caller has not'
end_report gateway-slow-reader
