# Guards against requests with a prompt part that is known to crash instances,
# at a router that was down for a second and starts again. The other routers
# avoid it by then and report nothing to it for seconds. Each of three routers
# restarts in turn, and gets such a request as soon as it is ready.
cd "$(dirname "$0")/../.." || exit 2
. tests/lib/gateway-lib.sh
begin_report

start_store
for n in 1 2 3 4; do start_backend $n app; done
apply_config 1
domain_of() { [ "$1" = 3 ] && echo b || echo a; }
for n in 1 2 3; do DOMAIN=$(domain_of $n) start_gateway $n; done
for n in 1 2 3; do wait_gateway $n; done
# Routers of different domains see each other once one has sent to the other.
sleep 2

# send_prompt N ID PARTS: prints the status of a stream with these prompt parts.
send_prompt() {
	send_request "$1" "$2" /tale/stream?work=1 -d "body of $2" \
	    -H "X-Poplarbeam-Prompt-Prefix: $3" | sed 's/.* //'
}

# Starts the instances that have crashed again.
revive_backends() {
	local n
	for n in 1 2 3 4; do
		kill -0 "$(pid_of "b$n")" 2>/dev/null ||
		    BORN=$((1700000000000 + SECONDS + 1)) start_backend $n app
	done
}

sound=""
crashing=""
for n in 1 2 3; do
	sound="$sound$(send_prompt $n "s-$n" base:90,ok:9,u$n:5) "
	crashing="$crashing$(send_prompt $n "d-$n" base:90,crash:9,v$n:5) "
	sleep 0.5
	revive_backends
	sleep 1
done
echo "sound: $sound"
echo "crashing: $crashing"
for n in 1 2 3; do
	kill -KILL "$(pid_of g$n)"
	sleep 1
	DOMAIN=$(domain_of $n) start_gateway $n
	wait_gateway $n
	echo "router $n after a restart:" \
	    "$(send_prompt $n "e-$n" base:90,crash:9,w$n:5)" \
	    "$(send_prompt $n "r-$n" base:90,ok:9,w$n:5)"
done

# All routers start again, and none of them knows any crashes. They serve
# requests although nobody can tell them.
for n in 1 2 3; do kill -KILL "$(pid_of g$n)"; done
for n in 1 2 3; do DOMAIN=$(domain_of $n) start_gateway $n; done
for n in 1 2 3; do wait_gateway $n; done
echo "all restarted: $(for n in 1 2 3; do
	send_prompt $n "t-$n" base:90,ok:9,t$n:5
done | tr '\n' ' ')"
end_report gateway-crashing-restart
