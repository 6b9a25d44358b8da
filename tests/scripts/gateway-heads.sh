# Guards against an answer to HEAD that is waited for until the time limit,
# because its Content-Length announces a body that never comes.
cd "$(dirname "$0")/../.." || exit 2
. tests/lib/gateway-lib.sh
begin_report

start_store
start_backend 1 app
apply_config 1
start_gateway 1
wait_gateway 1

# HEAD, then GET on the same connection.
begin=$(now_ms)
curl -s -m 8 -I -H "Host: $route_host" -H "X-Poplarbeam-Attempt-Id: h1" \
    -H "Authorization: Bearer $account_key" "$(gateway_url 1)/safe/ok" \
    --next -s -m 8 -H "Host: $route_host" -H "X-Poplarbeam-Attempt-Id: h2" \
    -H "Authorization: Bearer $account_key" "$(gateway_url 1)/safe/ok" |
    tr -d '\r' | grep -v '^X-\|^$'
echo "both answered $(check_range 0 1000 $(($(now_ms) - begin)) ms)"
# The answer to HEAD has no body, also where GET would return a stream.
exec 7<>"/dev/tcp/127.0.0.1/$(gateway_port 1)"
printf 'HEAD /flow/stream HTTP/1.1\r\nHost: %s\r\n' "$route_host" >&7
printf 'X-Poplarbeam-Attempt-Id: h3\r\nAuthorization: Bearer %s\r\n' \
    "$account_key" >&7
printf 'Connection: close\r\n\r\n' >&7
timeout 5 cat <&7 | tr -d '\r' | sed '1,/^$/d' | wc -c
exec 7>&-
end_report gateway-heads
