#include "../standin/lib/load.h"

#include "run-suite.h"
#include <string.h>

static struct load_options options = {.duration_sec = 1,
    .chats = 8,
    .return_share = 0.6,
    .stream_share = 1,
    .words_min = 3,
    .words_max = 20,
    .system_bytes = 100,
    .prompt_bytes = 60,
    .model = "layout",
    .plain_path = "/orders",
    .key_share = 0.5,
    .seed = 5};
static struct pb_random rnd;
static int64_t gaps;

static void
record_gap(void *arg, int64_t us)
{
	(void)arg;
	(void)us;
	gaps++;
}

static void
feed_in_parts(struct load_call *c, const char *data, size_t len)
{
	size_t n;

	/* Splits the data at random, as reads from a connection do. */
	for (; len > 0; data += n, len -= n) {
		n = 1 + (size_t)(pb_next_random(&rnd) % 200);
		n = n < len ? n : len;
		load_feed(c, data, n, 1000, record_gap, NULL);
	}
}

/* Writes the stream that an engine sends for an answer of count words. */
static void
write_stream(struct pb_buf *buf, const struct load_call *c, unsigned int count)
{
	struct pb_str prompt = {c->prompt.data, c->prompt.len};
	char word[ANSWER_WORD_LEN + 1];
	unsigned int i;

	for (i = 0; i < count; i++) {
		answer_word(prompt, i, word);
		pb_append_fmt(buf,
		    "id: %u\ndata: {\"choices\":[{\"delta\":{\"content\":"
		    "\"%s\"}}]}\n\n",
		    i + 1, word);
	}
	pb_append_fmt(buf,
	    "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":40,"
	    "\"prompt_tokens_details\":{\"cached_tokens\":30}}}\n\n"
	    "data: [DONE]\n\n");
}

enum fault {
	FAULT_NONE,
	FAULT_FEWER_WORDS,
	FAULT_MORE_WORDS,
	FAULT_WRONG_BYTE,
	FAULT_TRUNCATED, /* truncated, without a transfer error */
	FAULT_ABORTED, /* truncated, with a transfer error */
	FAULT_ERROR_EVENT,
	FAULT_OTHER_ANSWER,
	FAULTS
};

static enum load_outcome
classify_stream(
    struct load_call *c, const struct load_call *other, enum fault fault)
{
	struct pb_buf buf = {0};
	enum load_outcome outcome;
	char *word;
	int more = fault == FAULT_MORE_WORDS ? 1
	    : fault == FAULT_FEWER_WORDS     ? -1
					     : 0;

	write_stream(&buf, fault == FAULT_OTHER_ANSWER ? other : c,
	    (unsigned int)((int)c->words + more));
	if (fault == FAULT_WRONG_BYTE) {
		word = strstr(buf.data, "\"content\":\"w");
		word[11 + pb_next_random(&rnd) % ANSWER_WORD_LEN] ^= 1;
	} else if (fault == FAULT_TRUNCATED || fault == FAULT_ABORTED) {
		buf.len = (size_t)(pb_next_random(&rnd) % (buf.len - 8));
	} else if (fault == FAULT_ERROR_EVENT) {
		buf.len = (size_t)(strstr(buf.data, "\n\n") - buf.data) + 2;
		pb_append_fmt(&buf, "event: error\ndata: {\"code\":1}\n\n");
	}
	feed_in_parts(c, buf.data, buf.len);
	outcome = load_classify_call(c, 200, fault != FAULT_ABORTED);
	pb_clear_buf(&buf);
	return outcome;
}

/* Guards against a load generator that accepts a truncated or changed answer or
 * the answer to another request as complete, or reports a fault for a correct
 * answer. */
static void
test_stream_faults(void)
{
	const enum load_outcome expected[FAULTS] = {LOAD_COMPLETE, LOAD_SHORT,
	    LOAD_WRONG, LOAD_WRONG, LOAD_SHORT, LOAD_FAILED, LOAD_FAILED,
	    LOAD_WRONG};
	struct load_plan *plan = load_new_plan(&options);
	struct load_call call, other;
	int i;

	rnd.state = 9;
	for (i = 0; i < 400; i++) {
		enum fault fault = (enum fault)(i % FAULTS);

		load_next_call(plan, &other);
		load_next_call(plan, &call);
		CU_ASSERT_EQUAL(
		    classify_stream(&call, &other, fault), expected[fault]);
		if (fault == FAULT_NONE)
			CU_ASSERT(call.cached_tokens == 30 &&
			    call.prompt_tokens == 40 && call.first_us == 1000);
		load_end_call(plan, &call, fault == FAULT_NONE);
		load_end_call(plan, &other, true);
		load_clear_call(&call);
		load_clear_call(&other);
	}
	CU_ASSERT(gaps > 0);
	load_drop_plan(plan);
}

/* Guards against plain answers that are not compared with the call, and against
 * a second run of a call that goes undetected. */
static void
test_plain_answers(void)
{
	static const struct {
		const char *method;
		int run;
		int status;
		bool transfer_ok;
		enum load_outcome expected;
	} cases[] = {{"POST", 1, 200, true, LOAD_COMPLETE},
	    {"POST", 2, 200, true, LOAD_REPEATED},
	    {"GET", 1, 200, true, LOAD_WRONG},
	    {"POST", 1, 200, false, LOAD_FAILED},
	    {"POST", 1, 401, true, LOAD_REJECTED},
	    {"POST", 1, 503, true, LOAD_NOT_RUN},
	    {"POST", 1, 0, false, LOAD_TRANSPORT}};
	struct load_plan *plan;
	struct load_call call;
	struct pb_buf buf = {0};
	int i, keys = 0;

	options.plain_share = 1;
	plan = load_new_plan(&options);
	for (i = 0; i < 70; i++) {
		load_next_call(plan, &call);
		keys += call.key[0] != '\0';
		buf.len = 0;
		pb_append_fmt(&buf,
		    "{\"method\":\"%s\",\"path\":\"%s\",\"body\":\"%s\","
		    "\"run\":%d}",
		    cases[i % 7].method, call.path, call.body.data,
		    cases[i % 7].run);
		feed_in_parts(&call, buf.data, buf.len);
		pb_copy_str(call.outcome, sizeof(call.outcome), "not-run");
		CU_ASSERT_EQUAL(load_classify_call(&call, cases[i % 7].status,
				    cases[i % 7].transfer_ok),
		    cases[i % 7].expected);
		load_clear_call(&call);
	}
	CU_ASSERT(keys > 20 && keys < 50);
	options.plain_share = 0;
	pb_clear_buf(&buf);
	load_drop_plan(plan);
}

/* Guards against a plan that differs between runs with the same seed, and
 * against a returning chat whose history differs from its earlier answers. */
static void
test_plan_repeats(void)
{
	struct load_plan *a = load_new_plan(&options);
	struct load_plan *b = load_new_plan(&options);
	struct load_call x, y;
	int i, returns = 0;

	for (i = 0; i < 300; i++) {
		load_next_call(a, &x);
		load_next_call(b, &y);
		CU_ASSERT(x.body.len == y.body.len &&
		    memcmp(x.body.data, y.body.data, x.body.len) == 0);
		CU_ASSERT_PTR_NOT_NULL(strstr(x.body.data, x.prompt.data));
		returns += x.returning;
		load_end_call(a, &x, i % 5 != 0);
		load_end_call(b, &y, i % 5 != 0);
		load_clear_call(&x);
		load_clear_call(&y);
	}
	CU_ASSERT(returns > 120);
	load_drop_plan(a);
	load_drop_plan(b);
}

int
main(void)
{
	static CU_TestInfo tests[] = {{"stream faults", test_stream_faults},
	    {"plain answers", test_plain_answers},
	    {"plan repeats", test_plan_repeats}, CU_TEST_INFO_NULL};
	int rc;

	load_add_to_mix(&options.ranks, "urgent=2");
	load_add_to_mix(&options.ranks, "bulk");
	load_add_to_mix(&options.accounts, "key");
	rc = run_suite("load", tests);
	return rc;
}
