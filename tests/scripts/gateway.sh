# Tests the gateway with misbehaving back ends. Guards against a second run of
# a call that is not idempotent, a "not run" refusal of a call that ran, a
# truncated answer or one for another request that is shown as complete, a
# stream with a gap or a repeated part, and a stalled attempt that is never
# ended.
cd "$(dirname "$0")/../.." || exit 2
. tests/lib/gateway-lib.sh
begin_report

start_store
start_backend 1 app
start_backend 2 app
apply_config 1
start_gateway 1 "retry_ratio: 10"
wait_gateway 1

# answer ID PATH [CURL-OPTION...]: sends a request and prints its answer, with
# the name of the back end replaced because the choice varies.
answer() { send_request 1 "$@" | sed 's/ of b[12]/ of a back end/'; }

echo "whole answer: $(answer q1 /safe/ok)"
echo "upstream's failure, repeatable: $(answer q2 /safe/error), $(count_runs q2) runs"
echo "upstream's failure, not repeatable:" \
    "$(answer q3 /once/error -d x), $(count_runs q3) run"
echo "no answer, not repeatable: $(answer q4 /once/mute -d x), $(count_runs q4) run"
echo "no answer, repeatable: $(answer q5 /safe/mute), $(count_runs q5) runs"
echo "short answer: $(answer q6 /once/cut -d x), $(count_runs q6) run"
echo "second answer behind: $(answer q7 /safe/extra), then $(answer q8 /safe/ok)"
echo "foreign answer first: $(answer q9 /once/late -d x), $(count_runs q9) run"
echo "no length: $(answer q10 /once/unframed -d x)"
echo "no digest: $(answer q11 /once/unsealed -d x)"
echo "all full: $(answer q12 /once/full -d x), $(count_runs q12) runs"
echo "stream: $(answer q13 /flow/stream -d x)"
echo "stream that breaks and is resumed: $(answer q14 /flow/torn -d x)," \
    "$(count_runs q14) runs"
echo "stream that breaks, not resumable:" \
    "$(answer q15 /tale/torn -d x | tr -s '|' ' ')," \
    "$(count_runs q15) run"
echo "stream from event 7 on: $(answer q16 /flow/stream -d x \
    -H 'Last-Event-Id: 7')"
echo "stalled, repeatable: $(answer q17 /safe/hang), $(count_runs q17) runs"
echo "stalled, not repeatable: $(answer q18 /once/hang -d x), $(count_runs q18) run"
echo "no route: $(answer q19 /nowhere)"
echo "unknown key: $(curl -s -m 5 -o /dev/null -w '%{http_code}' \
    -H "Host: $route_host" -H 'X-Poplarbeam-Attempt-Id: q20' \
    -H 'Authorization: Bearer nobody' "$(gateway_url 1)/safe/ok")," \
    "$(count_runs q20) runs"

# A caller that disconnects ends the work of its stream.
curl -s -m 0.3 -o /dev/null -H "Host: $route_host" \
    -H 'X-Poplarbeam-Attempt-Id: q21' -H "Authorization: Bearer $account_key" \
    "$(gateway_url 1)/flow/stream?work=100"
cancelled() {
	local n sum=0
	for n in 1 2; do
		sum=$((sum + $(curl -sf "http://127.0.0.1:$(backend_port \
		    "$n")/cancelled")))
	done
	[ "$sum" -gt "$1" ]
}
await 1 cancelled 0 && echo "caller left: work cancelled"

echo "metrics: $(curl -sf "http://127.0.0.1:$(metrics_port 1)/metrics" |
    grep -c '^poplarbeam_requests_total') series"
stop_gateway 1
end_report gateway
