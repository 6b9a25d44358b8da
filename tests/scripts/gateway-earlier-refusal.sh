# Guards against an earlier refusal that an instance writes once more and that
# is taken for the answer to a request which it runs: the request runs again
# elsewhere, or its caller is told that it did not run.
cd "$(dirname "$0")/../.." || exit 2
. tests/lib/gateway-lib.sh
begin_report

start_store
start_backend 1 app
start_backend 2 app
apply_config 1
start_gateway 1 "retry_ratio: 10"
wait_gateway 1

answer() { send_request 1 "$@" | sed 's/ of b[12]/ of a back end/'; }

# Requests before each one leave kept connections to both back ends.
for i in 1 2 3 4; do
	for n in 1 2 3 4; do answer "k$i-$n" /once/ok -d x >/dev/null; done
	echo "with its id: $(answer "a$i" /once/refusal-again -d x)," \
	    "$(count_runs "a$i") run"
	echo "without an id: $(answer "b$i" /once/refusal-unnamed -d x)," \
	    "$(count_runs "b$i") run"
	echo "without an id, repeatable: $(answer "c$i" /safe/refusal-unnamed |
	    sed 's/.* //'), runs at most twice: $(($(count_runs "c$i") <= 2))"
done
echo "no mark, not repeatable: $(answer d /once/unmarked -d x)," \
    "$(count_runs d) run"
echo "a refusal: $(answer e /once/full -d x), $(count_runs e) runs"
end_report gateway-earlier-refusal
