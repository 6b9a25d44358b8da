# Guards against work that starts for callers who have gone: a call that an
# instance refuses after its caller has left must not be sent to another one,
# nor wait for a pause to end.
cd "$(dirname "$0")/../.." || exit 2
. tests/lib/gateway-lib.sh
begin_report

start_store
for n in 1 2; do start_backend $n app; done
apply_config 1
start_gateway 1 "retry_ratio: 10"
wait_gateway 1

count_arrivals() {
	local n
	for n in 1 2; do
		curl -sf -m 5 "http://127.0.0.1:$(backend_port $n)/arrivals"
	done | grep -c "^$1"
}
say_all() {
	local n
	for n in 1 2; do
		curl -sf -m 5 \
		    "http://127.0.0.1:$(backend_port $n)/$1" >/dev/null
	done
}
# leave ID PATH: sends ten requests whose callers leave after 150 ms.
leave() {
	local n
	for n in 1 2 3 4 5 6 7 8 9 10; do
		curl -s -m 0.15 -o /dev/null -H "Host: $route_host" \
		    -H "X-Poplarbeam-Attempt-Id: $1$n" -d x \
		    -H "Authorization: Bearer $account_key" \
		    "$(gateway_url 1)$2" &
	done
	wait
}
for path in /once /safe /flow; do
	leave "q$path" "$path/queued?work=400"
	sleep 1.2
	echo "refused after the caller has left, $path:" \
	    "$(count_arrivals "q$path") sent"
done

# A call that was sent completes.
leave ran "/once/ok?work=400"
sleep 0.8
echo "run at the instance: $(count_runs ran1) run"

# Callers leave while their requests wait for the end of a pause. It is long
# enough for a busy machine: a request that comes late in it is sent rightly.
say_all say-pause/3.5
send_request 1 first /flow/stream -d x >/dev/null
say_all say-pause/
leave wait /flow/stream
sleep 4.5
echo "left while waiting: $(gateway_log 1 |
    grep -c '"wait for room".*"request":"wait.*"text":"waiting')," \
    "$(count_arrivals wait) sent"
echo "requests that wait: $(curl -sf -m 5 \
    "http://127.0.0.1:$(metrics_port 1)/" |
    awk '$1 == "poplarbeam_requests_waiting" {print $2}')"
echo "served again: $(send_request 1 last /once/ok -d x | sed 's/.* //')"
end_report gateway-caller-left
