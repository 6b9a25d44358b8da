# A list of many instances. Guards against a follower that fetches the whole
# list from another router although the store has just given it the same list:
# with 1,000 instances and small links the answers were never complete in time.
cd "$(dirname "$0")/../.." || exit 2
. tests/lib/gateway-lib.sh
begin_report

instances=300
start_store
start_backend 1 app
for n in $(seq 100 $((99 + instances))); do
	announce_backend "$n" other
done
apply_config 1
for n in 1 2 3; do start_gateway $n; done
for n in 1 2 3; do wait_gateway $n; done
followed() { grep -h 'followed instead' "$FLEET_DIR"/g?.out; }
two_follow() { [ "$(followed | wc -l)" -ge 2 ]; }
await 15 two_follow && echo "two routers follow"
echo "most entries fetched: $(followed | grep -o '[0-9]* entries' |
    sort -n | tail -1)"

# A follower that loses its leader goes on from the version that it knows.
find_leader() {
	followed | grep -o '"peer":"g[0-9]"' | grep -o 'g[0-9]' | sort |
	    uniq -c | sort -rn | awk 'NR == 1 {print $2}'
}
leader=$(find_leader)
others=$(echo 1 2 3 | tr -d "${leader#g}")
kill -KILL "$(pid_of "$leader")"
announce_backend 1 app draining 2
all_refuse() {
	local n
	for n in $others; do
		[ "$(ask "$n" p /safe/ok | sed 's/.* //')" = 503 ] || return 1
	done
}
await 3 all_refuse && echo "leader killed: change seen"
end_report gateway-large
