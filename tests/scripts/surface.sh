# The callers' surface: guards against a malformed or refused request that
# reaches an upstream, against headers or methods that change on the way, and
# against an answer to HEAD that spoils the next one on the connection.
cd "$(dirname "$0")/../.." || exit 2
TEAM_FILE=tests/scripts/team.yaml
. tests/lib/fleet-lib.sh
exec 3>&1 >"$FLEET_DIR/report"

start_demo_fleet 3 1 1
await 10 ordered probe
runs=$(curl -s "http://127.0.0.1:$(app_port 1)/control/runs" | jq .total)
started=$(curl -s "http://127.0.0.1:$(engine_port 1)/v1/load" | jq .started)

# ask LABEL ROUTER PATH [CURL OPTION...]: prints status and error code.
ask() {
	local label=$1 url
	url="http://127.0.0.1:$(caller_port "$2")$3"
	shift 3
	echo "$label: $(curl -s -m 10 -o "$FLEET_DIR/answer" \
	    -w '%{http_code}' "$@" "$url")" \
	    "$(jq -r '.error.code // empty' "$FLEET_DIR/answer" 2>/dev/null)"
}
auth="Authorization: Bearer $key"
chat=/v1/chat/completions

ask "no key" 1 $chat -d '{}'
ask "unknown key" 1 $chat -H "Authorization: Bearer nobody" -d '{}'
ask "body is not JSON" 1 $chat -H "$auth" -d 'hello'
ask "no messages" 1 $chat -H "$auth" -d '{"model":"layout"}'
ask "unknown model" 1 $chat -H "$auth" \
    -d '{"model":"none","messages":[{"role":"user","content":"x"}]}'
ask "max_tokens of 0" 1 $chat -H "$auth" \
    -d '{"model":"layout","max_tokens":0,"messages":[{"role":"user","content":"x"}]}'
ask "GET of the chat path" 1 $chat -H "$auth"
ask "unknown rank" 1 $chat -H "$auth" -H "X-Poplarbeam-Rank: first" -d '{}'
ask "unknown path" 1 /nothing -H "$auth"
ask "key with a space" 1 /orders/1 -H "$auth" -H "Idempotency-Key: a b" -d x
head -c 2000000 /dev/zero | tr '\0' x >"$FLEET_DIR/large"
ask "body of 2 MB" 1 /orders/1 -H "$auth" --data-binary "@$FLEET_DIR/large"
ask "relay path on the callers' port" 1 /relay -H "$auth" -d x
echo "reached the application: $(($(curl -s \
    "http://127.0.0.1:$(app_port 1)/control/runs" | jq .total) - runs))," \
    "the engine: $(($(curl -s "http://127.0.0.1:$(engine_port 1)/v1/load" |
    jq .started) - started))"

for n in 1 2 3; do
	curl -s -m 10 -X PUT -H "$auth" -d "b=1" \
	    "http://127.0.0.1:$(caller_port $n)/orders/a%20b/c?x=%2F&y=2" |
	    jq -c '[.method,.path,.query,.body]'
	curl -s -m 10 -I -H "$auth" \
	    "http://127.0.0.1:$(caller_port $n)/orders/1" \
	    "http://127.0.0.1:$(caller_port $n)/orders/2" |
	    tr -d '\r' | grep -ciE '^HTTP/1.1 200|^content-length: [1-9]'
	curl -s -m 10 "http://127.0.0.1:$(caller_port $n)/v1/models" \
	    -H "$auth" | jq -c '[.data[].id]'
done

diff "$FLEET_DIR/report" tests/scripts/surface.expected >&3
