# Tests the HTTP interface for callers. Guards against a malformed or refused
# request that reaches an upstream, against headers or methods that change on
# the way, and against an answer to HEAD that corrupts the next one on the
# connection.
cd "$(dirname "$0")/../.." || exit 2
TEAM_FILE=tests/scripts/team.yaml
. tests/lib/fleet-lib.sh
exec 3>&1 >"$FLEET_DIR/report"

start_demo_fleet 3 1 1
await 10 order_succeeds probe
runs=$(curl -s "http://127.0.0.1:$(app_port 1)/control/runs" | jq .total)
started=$(curl -s "http://127.0.0.1:$(engine_port 1)/v1/load" | jq .started)

# print_outcome LABEL ROUTER PATH [CURL OPTION...]: sends a request and prints
# its status and error code.
print_outcome() {
	local label=$1 url
	url="http://127.0.0.1:$(caller_port "$2")$3"
	shift 3
	echo "$label: $(curl -s -m 10 -o "$FLEET_DIR/answer" \
	    -w '%{http_code}' "$@" "$url")" \
	    "$(jq -r '.error.code // empty' "$FLEET_DIR/answer" 2>/dev/null)"
}
auth="Authorization: Bearer $key"
chat=/v1/chat/completions

print_outcome "no key" 1 $chat -d '{}'
print_outcome "unknown key" 1 $chat -H "Authorization: Bearer nobody" -d '{}'
print_outcome "body is not JSON" 1 $chat -H "$auth" -d 'hello'
print_outcome "no messages" 1 $chat -H "$auth" -d '{"model":"layout"}'
print_outcome "unknown model" 1 $chat -H "$auth" \
    -d '{"model":"none","messages":[{"role":"user","content":"x"}]}'
print_outcome "max_tokens of 0" 1 $chat -H "$auth" \
    -d '{"model":"layout","max_tokens":0,"messages":[{"role":"user","content":"x"}]}'
print_outcome "GET of the chat path" 1 $chat -H "$auth"
print_outcome "unknown rank" 1 $chat -H "$auth" -H "X-Poplarbeam-Rank: first" -d '{}'
print_outcome "unknown path" 1 /nothing -H "$auth"
print_outcome "key with a space" 1 /orders/1 -H "$auth" -H "Idempotency-Key: a b" -d x
head -c 2000000 /dev/zero | tr '\0' x >"$FLEET_DIR/large"
print_outcome "body of 2 MB" 1 /orders/1 -H "$auth" --data-binary "@$FLEET_DIR/large"
print_outcome "relay path on the callers' port" 1 /relay -H "$auth" -d x
echo "reached the application: $(($(curl -s \
    "http://127.0.0.1:$(app_port 1)/control/runs" | jq .total) - runs))," \
    "the engine: $(($(curl -s "http://127.0.0.1:$(engine_port 1)/v1/load" |
    jq .started) - started))"

# send_raw LABEL BYTES: sends BYTES, with printf escapes expanded, on a new
# connection and prints the status of each answer.
send_raw() {
	local fd
	exec {fd}<>"/dev/tcp/127.0.0.1/$(caller_port 1)"
	printf '%b' "$2" >&"$fd"
	echo "$1: $(timeout 5 cat <&"$fd" | tr -d '\r' |
	    grep -aoE 'HTTP/1\.[01] [0-9]+' | cut -d' ' -f2 | xargs)"
	exec {fd}>&-
}

# A request that is smuggled in after the first one if the framing of the first
# is read as having no body.
hidden="POST /orders/evil HTTP/1.1\r\nHost: a\r\n$auth\r\nContent-Length: 0\r\n\r\n"
# ambiguous LABEL FRAMING BODY: sends a request with this framing, which must
# be refused whatever follows it.
ambiguous() {
	send_raw "$1" "POST /orders/1 HTTP/1.1\r\nHost: a\r\n$auth\r\n$2\r\n\r\n$3$hidden"
}

# RFC 9112, sections 2.2, 3, 5.1, 6.1 to 6.3 and 7.1.
te="Transfer-Encoding: chunked"
ambiguous "length and chunked" "Content-Length: 4\r\n$te" "0\r\n\r\n"
ambiguous "chunked and length" "$te\r\nContent-Length: 4" "0\r\n\r\n"
ambiguous "two lengths" "Content-Length: 0\r\nContent-Length: 4" ""
ambiguous "the same length twice" "Content-Length: 4\r\nContent-Length: 4" "abcd"
ambiguous "list of lengths" "Content-Length: 4, 4" "abcd"
ambiguous "signed length" "Content-Length: +4" "abcd"
ambiguous "negative length" "Content-Length: -4" "abcd"
ambiguous "hexadecimal length" "Content-Length: 0x4" "abcd"
ambiguous "empty length" "Content-Length:" ""
ambiguous "length past 64 bits" "Content-Length: 18446744073709551620" "abcd"
ambiguous "space before the colon" "Transfer-Encoding : chunked" "0\r\n\r\n"
ambiguous "space before a name" " $te" "0\r\n\r\n"
ambiguous "folded coding" "Transfer-Encoding:\r\n chunked" "0\r\n\r\n"
ambiguous "folded length" "Content-Length:\r\n 4" "abcd"
ambiguous "unknown coding" "Transfer-Encoding: xchunked" "0\r\n\r\n"
ambiguous "quoted coding" "Transfer-Encoding: \"chunked\"" "0\r\n\r\n"
ambiguous "coding behind chunked" "Transfer-Encoding: chunked, gzip" "0\r\n\r\n"
ambiguous "coding before chunked" "Transfer-Encoding: gzip, chunked" "0\r\n\r\n"
ambiguous "identity" "Transfer-Encoding: identity" ""
ambiguous "chunked twice" "$te\r\n$te" "0\r\n\r\n"
ambiguous "control byte in a coding" "Transfer-Encoding: \x0bchunked" "0\r\n\r\n"
ambiguous "bare CR" "X-One: a\rTransfer-Encoding: chunked" "0\r\n\r\n"
ambiguous "CR and a byte for the end" "X: y\\r\\n\\rX" ""
ambiguous "NUL" "X-One: a\x00b" ""
ambiguous "two hosts" "Host: b" ""
ambiguous "chunk of a bad size" "$te" "0x4\r\nabcd\r\n0\r\n\r\n"
ambiguous "chunk of a negative size" "$te" "-4\r\nabcd\r\n0\r\n\r\n"
ambiguous "chunk without its end" "$te" "4\r\nabcdXX0\r\n\r\n"
ambiguous "chunk size past 64 bits" "$te" "10000000000000004\r\nabcd\r\n0\r\n\r\n"
send_raw "chunked in HTTP/1.0" "POST /orders/1 HTTP/1.0\r\nHost: a\r\n$auth\r\n$te\r\n\r\n0\r\n\r\n$hidden"
send_raw "no host" "POST /orders/1 HTTP/1.1\r\n$auth\r\nContent-Length: 0\r\n\r\n$hidden"
send_raw "no version" "GET /orders/1\r\n\r\n"
send_raw "other protocol" "hello\r\n\r\n"
send_raw "HTTP/2 preface" "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
send_raw "target without a path" "GET orders HTTP/1.1\r\nHost: a\r\n$auth\r\n\r\n"
send_raw "large head" "GET /orders/1 HTTP/1.1\r\nHost: a\r\nX: $(head -c 70000 "$FLEET_DIR/large")\r\n\r\n"
echo "ran: $(($(curl -s "http://127.0.0.1:$(app_port 1)/control/runs" |
    jq .total) - runs))"
# Valid framing is accepted, also with two pipelined requests.
send_raw "two requests at once" "POST /orders/1 HTTP/1.1\r\nHost: a\r\n$auth\r\n$te\r\n\r\n2;x=y\r\nab\r\n0\r\n\r\nPOST /orders/2 HTTP/1.1\r\nHost: a\r\n$auth\r\nConnection: close\r\nContent-Length: 2\r\n\r\nab"

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
