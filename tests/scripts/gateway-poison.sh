# Tests a request that crashes each instance that runs it and is sent again
# through any router. Guards against the loss of one instance after the other,
# and against other requests that are refused or lost as well.
cd "$(dirname "$0")/../.." || exit 2
. tests/lib/gateway-lib.sh
begin_report

start_store
for n in 1 2 3 4 5 6; do start_backend $n app; done
apply_config 1
start_gateway 1
DOMAIN=b start_gateway 2
for n in 1 2; do wait_gateway $n; done
# Routers of different domains see each other once one has sent to the other.
sleep 2

count_crashed() {
	local n count=0
	for n in 1 2 3 4 5 6; do
		kill -0 "$(pid_of "b$n")" 2>/dev/null || count=$((count + 1))
	done
	echo "$count"
}
# The request is not idempotent, so each one crashes at most one instance. The
# requests alternate between the routers.
answers=""
others=""
for i in 1 2 3 4 5 6; do
	answers="$answers $(send_request $((i % 2 + 1)) "bad-$i" /once/crash -d same |
	    sed 's/.* //')"
	sleep 0.7
	for n in 1 2; do
		others="$others$(send_request $n "good-$i-$n" /safe/ok -d same |
		    sed 's/.* //') "
	done
done
echo "answers:$answers"
echo "others: $others"
echo "crashed instances: $(count_crashed)"
# A request of another caller or with other content counts as a different
# request.
send_request 1 other /once/ok -d same | sed 's/.* //'
grep -c '"step":"contain request"' "$FLEET_DIR/g1.out" "$FLEET_DIR/g2.out" |
    awk -F: '{n += $2} END {print n}'
end_report gateway-poison
