#include "poplarbeam/base.h"

#include "run-suite.h"
#include <stdlib.h>
#include <string.h>

static struct pb_manual_clock clk;
static struct pb_context *ctx;

/* Guards against arena allocations that overlap or are misaligned. */
static void
test_arena_blocks(void)
{
	struct pb_arena *arena = pb_new_arena(ctx);
	char *prev = NULL;
	int i;

	for (i = 1; i < 500; i++) {
		char *p = pb_arena_alloc(arena, (size_t)i);

		CU_ASSERT_PTR_NOT_NULL(p);
		if (p == NULL)
			break;
		CU_ASSERT_EQUAL((uintptr_t)p % 16, 0);
		memset(p, i & 0xff, (size_t)i);
		if (prev != NULL)
			CU_ASSERT_EQUAL((unsigned char)*prev, (i - 1) & 0xff);
		prev = p;
	}
	pb_drop_arena(ctx, arena);
}

/* Guards against rendezvous scores that ignore the weight of a node. */
static void
test_rendezvous_weight(void)
{
	int heavy = 0, i;

	for (i = 0; i < 20000; i++) {
		double a = pb_rendezvous_score((uint64_t)i, 1, 3.0);
		double b = pb_rendezvous_score((uint64_t)i, 2, 1.0);

		heavy += a > b;
	}
	CU_ASSERT(heavy > 14700 && heavy < 15300);
}

/* Guards against log lines with unescaped quotes or newlines. */
static void
test_log_escapes(void)
{
	char *text = NULL;
	size_t len = 0;
	FILE *f = open_memstream(&text, &len);
	struct pb_log *log = pb_new_log(f, PB_INFO, "r1");
	struct pb_context *c = pb_new_context(&clk.base, log);

	pb_log(c, PB_INFO, "step", NULL, "q1", "a \"b\"\nc");
	fclose(f);
	CU_ASSERT_STRING_EQUAL(text,
	    "{\"time\":\"1970-01-01T00:00:01.000000Z\",\"level\":\"info\","
	    "\"instance\":\"r1\",\"step\":\"step\",\"request\":\"q1\","
	    "\"text\":\"a \\\"b\\\"\\u000ac\"}\n");
	free(text);
	pb_drop_context(c);
	pb_drop_log(log);
}

/* Guards against recorded errors without their step or peer. */
static void
test_error_fields(void)
{
	int rc = pb_set_error(ctx, PB_EUNAVAIL, "connect", "e1", "port %d", 80);

	CU_ASSERT_EQUAL(rc, PB_EUNAVAIL);
	CU_ASSERT_STRING_EQUAL(ctx->error.step, "connect");
	CU_ASSERT_STRING_EQUAL(ctx->error.peer, "e1");
	CU_ASSERT_STRING_EQUAL(ctx->error.text, "port 80");
}

/*
 * Guards against accepting compressed data that is truncated, corrupt or larger
 * than the limit. Routers receive each other's configurations in this format.
 */
static void
test_deflate(void)
{
	struct pb_buf text = {0}, packed = {0}, out = {0};
	int i;

	for (i = 0; i < 4000; i++)
		pb_append_fmt(&text, "{\"route\": \"r-%d\"}, ", i * 7919);
	CU_ASSERT_EQUAL(
	    pb_deflate(&packed, (struct pb_str){text.data, text.len}), PB_OK);
	CU_ASSERT(packed.len < text.len / 2);
	CU_ASSERT_EQUAL(pb_inflate(&out,
			    (struct pb_str){packed.data, packed.len}, text.len),
	    PB_OK);
	CU_ASSERT(
	    out.len == text.len && memcmp(out.data, text.data, text.len) == 0);
	CU_ASSERT_EQUAL(
	    pb_inflate(
		&out, (struct pb_str){packed.data, packed.len}, text.len - 1),
	    PB_EPROTO);
	CU_ASSERT_EQUAL(
	    pb_inflate(
		&out, (struct pb_str){packed.data, packed.len - 9}, text.len),
	    PB_EPROTO);
	packed.data[packed.len / 2] ^= 0x55;
	CU_ASSERT_EQUAL(pb_inflate(&out,
			    (struct pb_str){packed.data, packed.len}, text.len),
	    PB_EPROTO);
	CU_ASSERT_EQUAL(pb_inflate(&out, PB_STR_NONE, text.len), PB_EPROTO);
	pb_clear_buf(&text);
	pb_clear_buf(&packed);
	pb_clear_buf(&out);
}

static void
sleep_late(struct pb_clock *clock, int64_t us)
{
	pb_advance_clock((struct pb_manual_clock *)clock, us + 4 * PB_MSEC);
}

/*
 * Guards against periodic work that runs late on a busy machine because the
 * delays of all wakeups during a sleep add up. Load: each wakeup is 4 ms late.
 */
static void
test_late_wakeups(void)
{
	struct pb_clock_ops ops = *clk.base.ops;
	struct pb_manual_clock late = {{&ops}, 0, 0};
	_Atomic int stop = 0;

	ops.sleep = sleep_late;
	pb_sleep_unless(&late.base, PB_SEC, &stop);
	CU_ASSERT(late.now_us >= PB_SEC);
	CU_ASSERT(late.now_us < PB_SEC + 30 * PB_MSEC);
	stop = 1;
	pb_sleep_unless(&late.base, PB_SEC, &stop);
	CU_ASSERT(late.now_us < PB_SEC + 30 * PB_MSEC);
}

int
main(void)
{
	static CU_TestInfo tests[] = {{"arena blocks", test_arena_blocks},
	    {"rendezvous weight", test_rendezvous_weight},
	    {"log escapes", test_log_escapes},
	    {"error fields", test_error_fields},
	    {"late wakeups", test_late_wakeups}, {"deflate", test_deflate},
	    CU_TEST_INFO_NULL};
	int rc;

	pb_init_manual_clock(&clk, PB_SEC);
	ctx = pb_new_context(&clk.base, NULL);
	rc = run_suite("base", tests);
	pb_drop_context(ctx);
	return rc;
}
