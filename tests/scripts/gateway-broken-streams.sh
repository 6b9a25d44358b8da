# Guards against a stream that breaks and goes on with the answer of the next
# instance, whatever that is, or ends as if it were complete, and against an
# answer whose head breaks off and that is passed on as whole.
cd "$(dirname "$0")/../.." || exit 2
. tests/lib/gateway-lib.sh
begin_report

start_store
start_backend 1 app
start_backend 2 app
apply_config 1
start_gateway 1 "retry_ratio: 10"
wait_gateway 1

for action in torn-error torn-full torn-page torn-unsealed torn-again open \
    open-torn open-none; do
	echo "$action, resumable: $(send_request 1 "r-$action" "/flow/$action" \
	    -d x), $(count_runs "r-$action") runs"
	echo "$action: $(send_request 1 "s-$action" "/tale/$action" \
	    -d x), $(count_runs "s-$action") runs"
done
for action in half-head half-line half-framed; do
	for path in /once /tale /flow; do
		echo "$action, $path: $(send_request 1 "h$path-$action" \
		    "$path/$action" -d x)"
	done
done
end_report gateway-broken-streams
