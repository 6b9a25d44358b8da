#!/bin/bash
# A router freezes; just after it, an engine leaves whose entry is removed. The
# other routers of the zone go on sending requests to that engine, also when it
# exits. The same as day.toml, in small. See claim.txt.
trouble=${TROUBLE:-1}
. "$(dirname "$0")/../lib.sh"

start_store
for n in 1 2 3; do start_engine $n hiram-app luzon-a 6 150; done
put_config 7 "$(route reserve-pay /pay/ non_idempotent 2500 150 2 false hiram-app)"
for n in 1 2 3; do start_gateway $n luzon-a; done
for n in 1 2 3; do wait_gateway $n; done

# Two of the three follow the third one; their logs say so. The one that is
# followed freezes, so that only its followers take requests here.
followers() { grep -l 'followed instead of the store' "$dir"/gateway[123].out | grep -o 'gateway[123]' | tr -dc '123\n'; }
two_follow() { [ "$(followers | wc -l)" = 2 ]; }
await 10 two_follow || skip "no two routers follow the third one"
first=$(followers | head -1)
second=$(followers | tail -1)
followed=$((6 - first - second))
eval "frozen=\$pid_gateway$followed"
sleep 1.3

for i in $(seq 300); do
	router=$first
	[ $((i % 2)) = 0 ] || router=$second
	echo "$((i * 25)) c$((i % 30)) $(caller_port "$router") POST /pay/2f pay$i 2500 0 800"
done >"$dir/plan"
play "$dir/plan" &
player=$!
sleep 1
[ "$trouble" = 0 ] || { say "router $followed freezes for 4 s"; kill -STOP "$frozen"; }
sleep 0.2
"$client" call "$store_port" DELETE /control/row/servers/i-1 || skip "the entry could not be removed"
gone=$(date +%s%3N)
say "the entry of engine i-1 has been removed; the engine serves on"
sleep 2.5
kill -KILL "$pid_engine1"
say "engine i-1 exits, 2.5 s after its entry has gone"
sleep 1.3
[ "$trouble" = 0 ] || { kill -CONT "$frozen"; say "router $followed is awake"; }
wait $player

# DRAIN: a request reaches the engine later than drain-ms (2,000) after that.
before=$(awk -v t="$gone" '$3 == "i-1" && $4 == "reached" && $1 < t' "$record" | wc -l)
late=$(awk -v t="$gone" '$3 == "i-1" && $4 == "reached" && $1 > t + 2000' "$record" | wc -l)
last=$(awk -v t="$gone" '$3 == "i-1" && $4 == "reached" {n = $1 - t} END {print n + 0}' "$record")
awk -v t="$gone" '$3 == "i-1" && $4 == "reached" && $1 > t + 2000 {print $5}' "$record" | sort -u >"$dir/late"
lost=$(awk '$2 == "client" && ($4 == "broken" || ($4 == "answer" && $5 != 200)) {print $3}' "$record" | sort -u | comm -12 - "$dir/late" | wc -l)
[ "$before" -gt 0 ] || skip "the engine got no request before it left"
text="$late requests reached the engine later than 2,000 ms after its entry had gone, the last one after $last ms; $lost of them were cut when it exited"
[ "$late" -gt 0 ] && finish 1 "DRAIN broken: $text"
finish 0 "DRAIN held: $text"
