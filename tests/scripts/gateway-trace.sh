# The way from a request's id to its cause, as docs/OPERATIONS.md tells it, for
# three kinds of failed request. Guards against log lines and a trace command
# that no longer lead there.
cd "$(dirname "$0")/../.." || exit 2
. tests/lib/gateway-lib.sh
begin_report

start_store
start_backend 1 app
apply_config 1
start_gateway 1 "revoke_ms: 2000"
wait_gateway 1

# trace ID: what the command prints, without times and other figures.
trace() {
	"$FLEET_BIN/poplarbeam" trace "$1" "$FLEET_DIR"/g?.out |
	    sed 's/^ *[-+][0-9.]* s *//; s/[0-9]\{1,\} ms/N ms/g' |
	    sed 's/report .* old/report N ms old/'
}

echo "refused for its key:"
apply_config 2 other-key
refused() { [ "$(ask 1 k1 /safe/ok | sed 's/.* //')" = 401 ]; }
await 3 refused
ask 1 k2 /safe/ok >/dev/null
trace k2 | grep -e "version 2 in force" -e "check request"

echo "refused as not run:"
apply_config 3
served() { [ "$(ask 1 n1 /safe/ok | sed 's/.* //')" = 200 ]; }
await 3 served
store_mode down
unconfirmed() { [ "$(ask 1 n2 /safe/ok | sed 's/.* //')" = 503 ]; }
await 6 unconfirmed
ask 1 n3 /safe/ok >/dev/null
trace n3 | grep -e "watch store" -e "check request" |
    sed 's/127.0.0.1:[0-9]*/STORE/' | sort
store_mode ok
await 5 served

echo "outcome unknown:"
ask 1 u1 /once/cut -d x >/dev/null
trace u1 | grep -e "dispatch" -e "attempt failed" -e "end request"
end_report gateway-trace
