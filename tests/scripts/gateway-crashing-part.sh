# Guards against different requests that share a prompt part and crash one
# instance after the other.
cd "$(dirname "$0")/../.." || exit 2
. tests/lib/gateway-lib.sh
begin_report

start_store
for n in 1 2 3 4 5 6; do start_backend $n app; done
apply_config 1
start_gateway 1
start_gateway 2
DOMAIN=b start_gateway 3
for n in 1 2 3; do wait_gateway $n; done
# Routers of different domains see each other once one has sent to the other.
sleep 2

crashed=0
# Counts the instances that have crashed and starts them again.
revive_backends() {
	local n
	for n in 1 2 3 4 5 6; do
		kill -0 "$(pid_of "b$n")" 2>/dev/null && continue
		crashed=$((crashed + 1))
		BORN=$((1700000000000 + crashed)) start_backend $n app
	done
}
# send_prompt N ID PARTS: prints the status of a stream with these prompt parts.
send_prompt() {
	send_request "$1" "$2" /tale/stream?work=1 -d "body of $2" \
	    -H "X-Poplarbeam-Prompt-Prefix: $3" | sed 's/.* //'
}

crashing=""
sound=""
for i in 1 2 3 4 5 6 7 8; do
	for n in 1 2 3; do
		sound="$sound$(send_prompt $n "s-$i-$n" base:90,ok:9,u$i$n:5) "
	done
	crashing="$crashing$(send_prompt $((i % 3 + 1)) "d-$i" \
	    base:90,crash:9,v$i:5) "
	sleep 0.7
	revive_backends
	sleep 0.7
done
echo "crashing: $crashing"
echo "sound:  $sound"
echo "crashed instances: $crashed"

# A router that has just started learns of the part from the others.
kill -KILL "$(pid_of g2)"
start_gateway 2
wait_gateway 2
sleep 1
echo "after a restart: $(send_prompt 2 d-9 base:90,crash:9,v9:5)" \
    "$(send_prompt 2 s-9 base:90,ok:9,u9:5)"
sleep 0.3
revive_backends
echo "crashed instances: $crashed"
end_report gateway-crashing-part
