# Shell functions for test scripts that run real processes. Sourced by bash
# from the repository's root. Every script prints lines that are the same in
# each run and are compared with an expected file.

. scripts/fleet.sh

key="demo-key-copenhagen"

# start_demo_fleet ROUTERS ENGINES APPS: starts the platform stand-in and this
# many processes, and waits until all routers are ready and see each other.
start_demo_fleet() {
	local n
	start_platform
	for n in $(seq "$2"); do
		start_engine "$n" layout --token-us "${TOKEN_US:-5000}"
	done
	# An engine outside the instance list, without delays, that provides
	# the expected answers.
	launch oracle "$FLEET_BIN/pb-engine" --id oracle --token-us 1 \
	    --prefill 1000000000 --listen "127.0.0.1:$(engine_port 49)"
	for n in $(seq "$3"); do start_app "$n" orders; done
	for n in $(seq "$1"); do start_router "$n"; done
	apply_settings fleet "${FLEET_FILE:-examples/demo/fleet.yaml}" >/dev/null
	apply_settings shop "${TEAM_FILE:-examples/demo/shop.yaml}" >/dev/null
	for n in $(seq "$1"); do
		await 15 router_ready "$n"
		await 15 sees_routers "$n" "$1"
	done
}

# begin_report, end_report NAME: compares the lines printed between the two
# calls with tests/scripts/NAME.expected. A difference is printed with the
# notes and the last lines of the logs.
begin_report() { exec 3>&1 >"$FLEET_DIR/report"; }

end_report() {
	diff "$FLEET_DIR/report" "tests/scripts/$1.expected" >&3 && return
	cat "$FLEET_DIR/notes" >&3 2>/dev/null
	tail -n 5 "$FLEET_DIR"/load-*.log "$FLEET_DIR"/[rg]*.log >&3 2>/dev/null
	exit 1
}

# note WORD...: records a line that is printed only when the run fails. The
# line may differ between runs.
note() { echo "note: $*" >>"$FLEET_DIR/notes"; }

now_ms() { date +%s%3N; }

# check_range MIN MAX VALUE UNIT: prints "in time" if the value is in the
# range, else the value and the range.
check_range() {
	note "$3 $4, expected $1 to $2"
	if [ "$3" -ge "$1" ] && [ "$3" -le "$2" ]; then
		echo "in time"
	else
		echo "$3 $4 instead of $1 to $2"
	fi
}

# chat_body I WORDS: prints the body of a streamed request whose answer is a
# function of I.
chat_body() {
	printf '{"model":"layout","stream":true,"max_tokens":%s,' "$2"
	printf '"messages":[{"role":"user","content":"sheet %s"}]}' "$1"
}

# begin_chats FIRST COUNT WORDS ROUTER...: starts streams in the background,
# spread over the routers.
begin_chats() {
	local first=$1 count=$2 words=$3 i router
	shift 3
	for i in $(seq "$first" $((first + count - 1))); do
		router=$(eval echo "\${$((i % $# + 1))}")
		curl -sN -m 60 -H "Authorization: Bearer $key" \
		    -H "X-Poplarbeam-Rank: urgent" -H "Expect:" \
		    -o "$FLEET_DIR/chat$i" \
		    -w '%{http_code} %{exitcode}\n' \
		    -d "$(chat_body "$i" "$words")" \
		    "http://127.0.0.1:$(caller_port "$router")/v1/chat/completions" \
		    >"$FLEET_DIR/code$i" 2>/dev/null &
		echo $! >>"$FLEET_DIR/chats"
	done
}

# end_chats: waits until the streams in the background have ended.
end_chats() {
	local pid
	for pid in $(cat "$FLEET_DIR/chats"); do
		wait "$pid" 2>/dev/null
	done
	rm -f "$FLEET_DIR/chats"
}

answer_content() {
	grep -o '"content":"[^"]*"' "$1" | cut -d'"' -f4 | tr -d '\n'
}

# expected_answer I WORDS: prints the answer of the engine outside the fleet.
expected_answer() {
	curl -sN -m 30 -H "X-Request-Id: truth$1" -d "$(chat_body "$1" "$2")" \
	    "http://127.0.0.1:$(engine_port 49)/v1/chat/completions" \
	    >"$FLEET_DIR/truth"
	answer_content "$FLEET_DIR/truth"
}

# count_chats FIRST COUNT WORDS: prints the numbers of whole, refused, failed
# and wrong answers. An answer is whole when it ends with [DONE] and the
# transfer is complete. A complete answer whose words differ from the expected
# answer is wrong.
count_chats() {
	local i whole=0 refused=0 failed=0 wrong=0 want
	for i in $(seq "$1" $(($1 + $2 - 1))); do
		if [ "$(cat "$FLEET_DIR/code$i")" = "200 0" ] &&
		    grep -q '^data: \[DONE\]' "$FLEET_DIR/chat$i"; then
			want=$(expected_answer "$i" "$3")
			if [ "$(answer_content "$FLEET_DIR/chat$i")" = "$want" ]; then
				whole=$((whole + 1))
			else
				wrong=$((wrong + 1))
			fi
		elif grep -q '"type":"not_run"' "$FLEET_DIR/chat$i"; then
			refused=$((refused + 1))
		else
			failed=$((failed + 1))
		fi
	done
	echo "$whole whole, $refused not run, $failed failed, $wrong wrong"
}

# router_status N FILTER: prints the part of router N's status that the jq
# filter selects.
router_status() {
	curl -sf -m 2 "http://127.0.0.1:$(admin_port "$1")/admin/v1/status" |
	    jq -r "$2"
}

# chat_outcome ROUTER KEY: sends a short chat with a client account's key and
# prints the status and, for a refusal, its type.
chat_outcome() {
	local code
	code=$(curl -s -m 10 -H "Authorization: Bearer $2" -H "Expect:" \
	    -d '{"model":"layout","max_tokens":1,"messages":[{"role":"user","content":"x"}]}' \
	    -o "$FLEET_DIR/ask" -w '%{http_code}' \
	    "http://127.0.0.1:$(caller_port "$1")/v1/chat/completions")
	[ "$code" = 200 ] || code="$code $(jq -r .error.type "$FLEET_DIR/ask")"
	echo "$code"
}

chat_outcome_is() { [ "$(chat_outcome "$1" "$2")" = "$3" ]; }

# start_proxy OPTION...: starts the proxy that injects faults into links.
start_proxy() {
	launch proxy "$FLEET_BIN/pb-proxy" --control "$((FLEET_PORT + 1))" "$@"
	await 10 url_responds "http://127.0.0.1:$((FLEET_PORT + 1))/control/stats"
}

# set_link_mode MODE NAME...: sets the mode of links of the proxy: pass, cut or
# refuse.
set_link_mode() {
	local mode=$1
	shift
	for name in "$@"; do
		curl -sf -m 5 -o /dev/null -d "{\"mode\":\"$mode\"}" \
		    "http://127.0.0.1:$((FLEET_PORT + 1))/control/link/$name"
	done
}

# begin_load NAME SECONDS RATE ROUTERS OPTION...: starts pb-load in the
# background through these routers ("1 2 3"), with the seed in SEED.
begin_load() {
	local name=$1 seconds=$2 rate=$3 routers=$4 n
	shift 4
	for n in $routers; do
		set -- --router "127.0.0.1:$(caller_port "$n")" "$@"
	done
	"$FLEET_BIN/pb-load" --json --rank urgent --account "$key" --verbose \
	    --seed "${SEED:-1}" --duration "$seconds" --rate "$rate" "$@" \
	    >"$FLEET_DIR/load-$name" 2>"$FLEET_DIR/load-$name.log" </dev/null &
	echo $! >"$FLEET_DIR/load-$name.pid"
	FLEET_PIDS="$FLEET_PIDS $!"
}

end_load() { await 60 has_exited "load-$1"; }

# load_result NAME FILTER: prints the part of a load's result that the jq
# filter selects.
load_result() { jq -r "$2" "$FLEET_DIR/load-$1"; }

# check_load NAME MIN: waits for a load and prints the counts of outcomes that
# must not occur. Prints a line if fewer than MIN requests were sent.
check_load() {
	end_load "$1"
	note "load $1: $(load_result "$1" 'del(.ranks)|tostring')"
	[ "$(load_result "$1" .sent)" -ge "$2" ] || echo "too few requests"
	load_result "$1" '[.wrong_byte, .short_shown_complete, .ran_twice, .not_run,
	    .outcome_unknown, .transport_error + .rejected]|
	    "\(.[0]) wrong, \(.[1]) short, \(.[2]) ran twice, " +
	    "\(.[3]) not run, \(.[4]) unknown, \(.[5]) other"'
}

# started N: prints how many requests engine N has begun since its start.
started() {
	curl -sf -m 2 "http://127.0.0.1:$(engine_port "$1")/v1/load" |
	    jq .started
}

# has_started N COUNT: true when engine N has begun more than COUNT requests.
has_started() { [ "$(started "$1")" -gt "$2" ]; }

# set_engine_state N JSON: changes the state of engine N.
set_engine_state() {
	curl -sf -m 5 -o /dev/null -d "$2" \
	    "http://127.0.0.1:$(engine_port "$1")/control/state"
}

# listed_state ID: prints the state of an instance in the platform's list.
listed_state() {
	curl -sf -m 5 "$platform_url/instances/v1" |
	    jq -r --arg i "$1" '.instances[]|select(.id==$i)|.state'
}

# list_leaving N: marks engine N as leaving in the platform's list.
list_leaving() {
	register "e$1" "$(curl -sf -m 5 "$platform_url/instances/v1" |
	    jq -c --arg i "e$1" \
	    '.instances[]|select(.id==$i)|.state="leaving"')"
}

# owner_of SERVICE: prints the number of the router that owns the service's
# cell 0.
owner_of() {
	local n
	for n in $(seq "${ROUTERS:-3}"); do
		has_exited "r$n" && continue
		curl -sf -m 2 "http://127.0.0.1:$(admin_port "$n")/admin/v1/status" |
		    jq -e --arg s "$1" \
		    '.cells[]|select(.service==$s and .owned)' >/dev/null && {
			echo "$n"
			return
		}
	done
}

# metric N NAME: prints the value of a metric of router N.
metric() {
	curl -sf -m 2 "http://127.0.0.1:$(admin_port "$1")/metrics" |
	    awk -v n="poplarbeam_$2" '$1 == n {print $2}'
}

# send_order KEY BODY ROUTER: sends a call with an idempotency key and prints
# its status.
send_order() {
	curl -s -m 30 -H "Authorization: Bearer $key" \
	    -H "Idempotency-Key: $1" -H "Content-Type: text/plain" \
	    -o "$FLEET_DIR/order" -w '%{http_code}' -d "$2" \
	    "http://127.0.0.1:$(caller_port "$3")/orders/new"
}

# order_succeeds KEY: true when a call with this key is answered with 200.
order_succeeds() { [ "$(send_order "$1" "$1" 1)" = 200 ]; }

runs_of() {
	curl -sf -m 2 "http://127.0.0.1:$(app_port 1)/control/runs" |
	    jq --arg b "$1" '.runs[$b] // 0'
}

set_platform_faults() {
	curl -sf -m 5 -o /dev/null -d "$1" "$platform_url/control/faults"
}
