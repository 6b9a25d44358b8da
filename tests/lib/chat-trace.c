#include "chat-trace.h"

#include <stdlib.h>

const struct trace_kind trace_kinds[KINDS] = {
    {"layout", 0.3, 4000, 600, 600, 8, 60 * PB_SEC},
    {"contract", 0.2, 6000, 300, 400, 4, 120 * PB_SEC},
    {"reply", 0.3, 800, 200, 150, 5, 60 * PB_SEC},
    {"tag", 0.2, 1500, 50, 10, 3, 30 * PB_SEC}};

static double
random_exponential(struct pb_random *rnd, double mean)
{
	double u = pb_next_uniform(rnd), sum = 0, term = u;
	int i;

	/*
	 * The series of -ln(1 - u): accurate enough, and the result is the same
	 * on every machine.
	 */
	for (i = 1; i < 60; i++, term *= u)
		sum += term / i;
	return mean * sum;
}

static int
compare_calls(const void *a, const void *b)
{
	const struct trace_call *x = a, *y = b;

	if (x->at != y->at)
		return x->at < y->at ? -1 : 1;
	return x->chat < y->chat ? -1 : x->chat > y->chat;
}

struct trace {
	struct trace_call *calls;
	uint32_t count; /* calls added so far */
	uint32_t cap;
	int64_t end_us;
};

static void
add_chat(struct trace *t, uint64_t chat, int64_t at, struct pb_random *rnd)
{
	double pick = pb_next_uniform(rnd);
	uint32_t context = 0;
	const struct trace_kind *k;
	int kind = 0;

	while (kind < KINDS - 1 && pick >= trace_kinds[kind].share)
		pick -= trace_kinds[kind++].share;
	k = &trace_kinds[kind];
	do {
		struct trace_call *c = &t->calls[t->count];

		if (at >= t->end_us || t->count == t->cap)
			break;
		*c = (struct trace_call){.at = at, .chat = chat, .kind = kind};
		c->router = (int)(pb_next_random(rnd) % ROUTERS);
		c->reusable = context;
		c->prompt = context + (context == 0 ? k->first : k->next);
		c->answer =
		    (uint32_t)(k->answer * (0.5 + pb_next_uniform(rnd)));
		c->work = c->prompt + k->answer;
		context = c->prompt + c->answer;
		at += 2 * c->answer * TOKEN_TIME_US + 2 * PB_SEC +
		    (int64_t)random_exponential(rnd, (double)k->gap);
		t->count++;
	} while (pb_next_uniform(rnd) * k->turns > 1);
}

uint32_t
make_chat_trace(struct trace_call *calls, uint32_t cap, uint64_t seed,
    int64_t end_us, double in_flight)
{
	struct trace t = {calls, 0, cap, end_us};
	struct pb_random rnd = {seed};
	double service = 0;
	uint64_t chat = 1;
	int64_t at = 0;
	int i;

	for (i = 0; i < KINDS; i++) {
		const struct trace_kind *k = &trace_kinds[i];

		service += k->share * k->turns *
		    (k->answer * (double)TOKEN_TIME_US +
			2.0 * k->next / PREFILL_PER_SEC * PB_SEC);
	}
	while (at < end_us && t.count < cap) {
		at += (int64_t)random_exponential(&rnd, service / in_flight);
		add_chat(&t, chat++, at, &rnd);
	}
	qsort(calls, t.count, sizeof(*calls), compare_calls);
	return t.count;
}
