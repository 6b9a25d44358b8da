# Tests that the trace command leads from the id of a failed request to its
# cause, as docs/OPERATIONS.md describes, for three kinds of failure. Guards
# against log lines and a trace command that no longer show the cause.
cd "$(dirname "$0")/../.." || exit 2
. tests/lib/gateway-lib.sh
begin_report

start_store
start_backend 1 app
apply_config 1
start_gateway 1 "revoke_ms: 2000"
wait_gateway 1

# trace ID: prints the output of the trace command without times and other
# varying figures.
trace() {
	"$FLEET_BIN/poplarbeam" trace "$1" "$FLEET_DIR"/g?.out |
	    sed 's/^ *[-+][0-9.]* s *//; s/[0-9]\{1,\} ms/N ms/g' |
	    sed 's/report .* old/report N ms old/'
}

echo "refused for its key:"
apply_config 2 other-key
refused() { [ "$(send_request 1 k1 /safe/ok | sed 's/.* //')" = 401 ]; }
await 3 refused
send_request 1 k2 /safe/ok >/dev/null
trace k2 | grep -e "version 2 in force" -e "check request"

echo "refused as not run:"
apply_config 3
served() { [ "$(send_request 1 n1 /safe/ok | sed 's/.* //')" = 200 ]; }
await 3 served
set_store_mode down
unconfirmed() { [ "$(send_request 1 n2 /safe/ok | sed 's/.* //')" = 503 ]; }
await 6 unconfirmed
send_request 1 n3 /safe/ok >/dev/null
trace n3 | grep -e "watch store" -e "check request" |
    sed 's/127.0.0.1:[0-9]*/STORE/' | sort
set_store_mode ok
await 5 served

echo "outcome unknown:"
send_request 1 u1 /once/cut -d x >/dev/null
trace u1 | grep -e "dispatch" -e "attempt failed" -e "end request"
end_report gateway-trace
