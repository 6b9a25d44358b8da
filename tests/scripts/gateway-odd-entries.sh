# Guards against entries of other writers among those of the instances: routers
# that stop following the list, end, or send requests to such an entry.
cd "$(dirname "$0")/../.." || exit 2
. tests/lib/gateway-lib.sh
begin_report

start_store
start_backend 1 app
apply_config 1
start_gateway 1
start_gateway 2
for n in 1 2; do wait_gateway $n; done

# odd_entry SLOTS ADDRESS [FURTHER MEMBERS]
odd_entry() {
	printf '{"service":"app","address":"%s","zone":"a","version":"v1",' "$2"
	printf '"slots":%s,"state":"ready","sequence":1%s}' "$1" "$3"
}
nested() { printf '[%.0s' $(seq "$1"); }

count_instances() {
	curl -sf -m 5 "http://127.0.0.1:$(metrics_port "$1")/" |
	    awk '$1 == "poplarbeam_instances" {print $2}'
}
knows_instances() { [ "$(count_instances "$1")" = "$2" ]; }

# check_follows WHAT: announces one more instance and waits until both routers
# know it.
good=1
check_follows() {
	local n
	good=$((good + 1))
	start_backend $good app
	for n in 1 2; do
		await 5 knows_instances $n $good 2>/dev/null && continue
		echo "$1: router $n knows $(count_instances $n) of $good"
		return
	done
	echo "$1: followed"
}

nested 100000 | put_row servers odd1
check_follows "deeply nested"
odd_entry 8 127.0.0.1:9 ",\"x\":$(nested 3000)" | put_row servers odd2
check_follows "deeply nested member"
odd_entry 4294967296 "127.0.0.1:$(backend_port 1)" | put_row servers odd3
check_follows "slots 2^32"
odd_entry 2147483648 "127.0.0.1:$(backend_port 1)" | put_row servers odd4
check_follows "slots 2^31"
odd_entry 8 "127.0.0.1:$(backend_port 1)" ',"born":99999999999999999999999' |
    put_row servers odd5
check_follows "huge start time"
odd_entry 8 127.0.0.1:70000 | put_row servers odd6
check_follows "port 70000"
odd_entry 8 127.0.0.1 | put_row servers odd7
check_follows "no port"
odd_entry 8 engine.example:80 | put_row servers odd8
check_follows "host name"
printf 'not base64!' | curl -sf -m 5 -X PUT --data-binary @- \
    "$store_url/control/raw/servers/odd9"
check_follows "not base64"
head -c 600 /dev/urandom | put_row servers odd10
check_follows "noise"

answers=""
for i in $(seq 20); do
	for n in 1 2; do
		answers="$answers$(send_request $n "r-$i-$n" /once/ok -d x |
		    sed 's/.* //') "
	done
done
echo "answers: $(echo "$answers" | xargs -n 1 | sort | uniq -c | xargs)"
echo "requests sent to odd entries: $(cat "$FLEET_DIR"/g?.out |
    grep -c '"step":"dispatch","peer":"odd')"

# A router that starts lists all entries again.
kill -KILL "$(pid_of g1)"
start_gateway 1
wait_gateway 1
await 5 knows_instances 1 $good && echo "listed after a restart"
for n in 1 2; do
	kill -0 "$(pid_of "g$n")" && echo "router $n runs"
done
end_report gateway-odd-entries
