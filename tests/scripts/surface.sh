# Who may say what: guards against a caller that speaks as a router, against a
# header that holds two lines, against callers' paths on the port between
# routers, and against an upstream that says "did not run" in a router's name.
cd "$(dirname "$0")/../.." || exit 2
TEAM_FILE=tests/scripts/team.yaml
. tests/scripts/fleet-lib.sh
exec 3>&1 >"$FLEET_DIR/report"

start_demo_fleet 2 1 0
start_app 1 orders --header "X-Pb-Result: not-run"
auth="Authorization: Bearer $key"

code() { curl -s -m 10 -o "$FLEET_DIR/out" -w '%{http_code}' "$@"; }

# raw PORT TEXT: sends bytes as they are; prints the status of the answer.
raw() {
	exec 4<>"/dev/tcp/127.0.0.1/$1"
	printf '%b' "$2" >&4
	timeout 5 head -n 1 <&4 | cut -d' ' -f2
	exec 4<&- 4>&-
}

serves() {
	[ "$(code -d probe -H "$auth" \
	    "http://127.0.0.1:$(caller_port "$1")/orders/new")" = 200 ]
}
await 10 serves 1
await 10 serves 2

for n in 1 2; do
	echo "router $n: call $(code -d "call $n" -H "$auth" \
	    "http://127.0.0.1:$(caller_port $n)/orders/new")," \
	    "$(runs_of "call $n") run," \
	    "caller sees $(curl -si -m 10 -d x -H "$auth" \
	    "http://127.0.0.1:$(caller_port $n)/orders/new" |
	    grep -ci '^x-pb-') relay headers"
done

for n in 1 2; do
	echo "router $n: call with relay headers" \
	    "$(code -d "relay $n" -H "$auth" -H "X-Pb-Target: /orders/evil" \
	    -H "X-Pb-Service: layout" -H "X-Pb-Request: another" \
	    -H "X-Pb-Cell: 99" \
	    "http://127.0.0.1:$(caller_port $n)/orders/new")," \
	    "$(runs_of "relay $n") run"
done

for path in /v1/chat/completions /orders/new /v1/models /admin/v1/status; do
	echo "peer port, $path: $(code -d x -H "$auth" \
	    "http://127.0.0.1:$(peer_port 1)$path")"
done
echo "caller port, /relay: $(code -d x -H "$auth" \
    -H "X-Pb-Service: orders" "http://127.0.0.1:$(caller_port 1)/relay")"
echo "caller port, /admin/v1/status: $(code -H "$auth" \
    "http://127.0.0.1:$(caller_port 1)/admin/v1/status")"
echo "peer port, relay without headers: $(code -d x \
    "http://127.0.0.1:$(peer_port 1)/relay")"
echo "peer port, relay with a cell below 0: $(code -d x \
    -H "X-Pb-Service: orders" -H "X-Pb-Method: POST" \
    -H "X-Pb-Target: /orders/new" -H "X-Pb-Request: r" \
    -H "X-Pb-Cell: -1" "http://127.0.0.1:$(peer_port 1)/relay")"

head="POST /orders/new HTTP/1.1\r\nHost: a\r\n$auth\r\nContent-Length: 1\r\n"
port=$(caller_port 1)
echo "plain header: $(raw "$port" "${head}X-A: b\r\n\r\nx")"
echo "CR in a value: $(raw "$port" "${head}X-A: b\rX-Pb-Cell: 9\r\n\r\nx")"
echo "control byte in a value: $(raw "$port" "${head}X-A: b\x01\r\n\r\nx")"
echo "space in a name: $(raw "$port" "${head}X A: b\r\n\r\nx")"

diff "$FLEET_DIR/report" tests/scripts/surface.expected >&3 || {
	tail -n 5 "$FLEET_DIR"/r*.log >&3
	exit 1
}
