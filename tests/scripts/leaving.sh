# Tests upstreams that leave, flap and crash. Guards against new work on an
# engine that is leaving, against work on an engine that restarts repeatedly,
# and against a truncated answer that is shown as complete after a crash.
cd "$(dirname "$0")/../.." || exit 2
. tests/lib/fleet-lib.sh
begin_report

start_demo_fleet 3 5 0

# new_work N: waits for 3 s, then prints how many requests engine N begins in
# the next 4 s.
new_work() {
	local before
	sleep 3
	before=$(started "$1")
	sleep 4
	echo $(($(started "$1") - before))
}

begin_load report 9 60 "1 2 3" --words 40
await 5 has_started 1 5
# The platform's list shows a new state with a lag of 10 s.
set_platform_faults '{"lag_ms":10000}'
list_leaving 1
set_engine_state 1 '{"says_leaving":true}'
echo "leaving by its own report: new work $(new_work 1)," \
    "list: $(listed_state e1)"
echo "answers: $(check_load report 400)"
set_platform_faults '{"lag_ms":0}'

begin_load list 9 60 "1 2 3" --words 40
await 5 has_started 2 "$(($(started 2) + 5))"
list_leaving 2
echo "leaving by the list: new work $(new_work 2), its report:" \
    "$(curl -sf "http://127.0.0.1:$(engine_port 2)/v1/load" | jq .leaving)"
echo "answers: $(check_load list 400)"

# Each recovery must take at least twice as long as the one before. The routers
# read the list every second and see the restart then; work that starts before
# is not counted.
begin_load flap 16 60 "1 2 3" --words 20
await 5 has_started 3 0
for least in 1000 2000 4000; do
	send_signal e3 KILL
	await 5 has_exited e3
	sleep 0.3
	start_engine 3 layout
	begun=$(now_ms)
	sleep 1.2
	await 10 has_started 3 "$(started 3)"
	echo "engine crashed and came back, gets work:" \
	    "$(check_range $least $((least + 2500)) $(($(now_ms) - begun)) ms)"
done
echo "answers: $(check_load flap 600)"

# Answers that are not streamed have not begun when the engine is killed.
begin_load crash 4 100 "1 2 3" --words 60 --streams 0.3
sleep 2
send_signal e4 KILL
echo "engine killed under load: $(check_load crash 200)"
broken=$(load_result crash .failed_after_start)
note "$broken streams broke"
[ "$broken" -gt 0 ] && [ "$broken" -le 20 ] && broken="some"
echo "streams broken: $broken, retries:" \
    "$(n=0; for r in 1 2 3; do n=$((n + $(metric $r retries_total))); done
    note "$n retries"; [ $n -gt 0 ] && echo some)"

end_report leaving
