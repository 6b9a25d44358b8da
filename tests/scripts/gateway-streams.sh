# Tests the exchange of stream counts between routers. Guards against a router
# that does not count the streams that other routers have open at an instance
# that has not answered yet, and against streams that are counted after their
# end.
cd "$(dirname "$0")/../.." || exit 2
. tests/lib/gateway-lib.sh
begin_report

start_store
start_backend 1 app
apply_config 1
for n in 1 2; do start_gateway $n; done
for n in 3 4; do DOMAIN=b start_gateway $n; done
for n in 1 2 3 4; do wait_gateway $n; done
await 20 two_follow && echo "one router follows in each domain"

# count_remote_streams N: prints how many streams of other routers gateway N
# counts.
count_remote_streams() {
	curl -sf -m 5 "http://127.0.0.1:$(metrics_port "$1")/metrics" |
	    sed -n 's/^poplarbeam_streams_of_other_routers //p'
}
streams_are() {
	local n
	for n in 1 2 3 4; do
		note "router $n counts $(count_remote_streams $n), expected $*"
		[ "$(count_remote_streams $n)" = "$1" ] || return 1
		shift
	done
}
# The instance never answers. The four routers have 1, 2, 1 and 0 streams open.
for n in 1 2 2 3; do
	send_request $n "s$n$RANDOM" /tale/hang -m 60 >/dev/null 2>&1 &
	clients="${clients:-} $!"
done
await 5 streams_are 3 2 3 4 && echo "all know the streams of the others"
kill $clients
await 5 streams_are 0 0 0 0 && echo "and that they have ended"

# The streams of a router that has exited are no longer counted.
send_request 4 gone /tale/hang -m 60 >/dev/null 2>&1 &
await 5 streams_are 1 1 1 0 && echo "one more"
kill -KILL "$(pid_of g4)"
streams_forgotten() {
	[ "$(count_remote_streams 1) $(count_remote_streams 2) $(count_remote_streams 3)" = "0 0 0" ]
}
await 5 streams_forgotten && echo "gone with its router"
end_report gateway-streams
