# Guards against a stream that breaks and goes on with the answer of the next
# instance, whatever that is, or ends as if it were complete.
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
end_report gateway-broken-streams
