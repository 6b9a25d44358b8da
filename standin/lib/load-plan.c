#include "load.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

struct chat {
	uint64_t id; /* 0: no chat in this slot yet */
	int account;
	int turns; /* number of completely answered turns */
	bool busy;
	unsigned int words[LOAD_TURNS_MAX];
};

struct load_plan {
	struct load_options options;
	struct pb_random rnd;
	struct chat *chats;
	uint64_t next_chat;
	uint64_t next_call;
};

struct load_plan *
load_new_plan(const struct load_options *options)
{
	struct load_plan *p = calloc(1, sizeof(*p));

	if (p == NULL)
		return NULL;
	p->chats = calloc((size_t)options->chats, sizeof(*p->chats));
	if (p->chats == NULL) {
		free(p);
		return NULL;
	}
	p->options = *options;
	p->rnd.state = options->seed;
	return p;
}

void
load_drop_plan(struct load_plan *plan)
{
	if (plan == NULL)
		return;
	free(plan->chats);
	free(plan);
}

double
load_next_uniform(struct load_plan *plan)
{
	return pb_next_uniform(&plan->rnd);
}

int
load_add_to_mix(struct load_mix *mix, const char *text)
{
	const char *eq = strrchr(text, '=');
	size_t len = eq != NULL ? (size_t)(eq - text) : strlen(text);
	double weight = eq != NULL ? strtod(eq + 1, NULL) : 1;

	if (mix->count >= LOAD_MIX_MAX || len == 0 ||
	    len >= sizeof(mix->name[0]) || !(weight > 0))
		return PB_EINVAL;
	memcpy(mix->name[mix->count], text, len);
	mix->name[mix->count][len] = '\0';
	mix->weight[mix->count++] = weight;
	return PB_OK;
}

static int
draw_weighted(struct load_plan *p, const struct load_mix *mix)
{
	double sum = 0, at;
	int i;

	for (i = 0; i < mix->count; i++)
		sum += mix->weight[i];
	at = load_next_uniform(p) * sum;
	for (i = 0; i < mix->count - 1 && at >= mix->weight[i]; i++)
		at -= mix->weight[i];
	return i;
}

/* Writes one message of a chat: a pure function of seed, id and turn. */
static int
write_message(
    struct load_plan *p, struct pb_buf *buf, uint64_t id, int turn, int bytes)
{
	struct pb_random rnd = {
	    .state = pb_hash_pair(p->options.seed ^ id, (uint64_t)turn)};

	buf->len = 0;
	if (pb_append_fmt(buf, "Chat %016" PRIx64 " message %d:", id, turn) !=
	    PB_OK)
		return PB_ENOMEM;
	while (buf->len < (size_t)bytes)
		if (pb_append_fmt(buf, " %06" PRIx64,
			pb_next_random(&rnd) & 0xffffff) != PB_OK)
			return PB_ENOMEM;
	return PB_OK;
}

static int
write_answer(struct pb_buf *buf, const struct pb_buf *prompt, unsigned int n)
{
	struct pb_str text = {prompt->data, prompt->len};
	char word[ANSWER_WORD_LEN + 1];
	unsigned int i;

	buf->len = 0;
	for (i = 0; i < n; i++) {
		answer_word(text, i, word);
		if (pb_append_buf(buf, word, ANSWER_WORD_LEN) != PB_OK)
			return PB_ENOMEM;
	}
	return PB_OK;
}

static void
add_message(json_t *messages, const char *role, const struct pb_buf *text)
{
	json_array_append_new(messages,
	    json_pack(
		"{s:s,s:s%}", "role", role, "content", text->data, text->len));
}

/* Returns the messages of the chat up to and including the current turn. */
static json_t *
list_messages(struct load_plan *p, const struct chat *c, struct load_call *call)
{
	json_t *messages = json_array();
	struct pb_buf answer = {0};
	int turn, rc;

	rc =
	    write_message(p, &call->prompt, c->id, -1, p->options.system_bytes);
	add_message(messages, "system", &call->prompt);
	for (turn = 0; turn <= c->turns && rc == PB_OK; turn++) {
		rc = write_message(
		    p, &call->prompt, c->id, turn, p->options.prompt_bytes);
		if (rc != PB_OK)
			break;
		add_message(messages, "user", &call->prompt);
		if (turn == c->turns)
			break;
		rc = write_answer(&answer, &call->prompt, c->words[turn]);
		if (rc == PB_OK)
			add_message(messages, "assistant", &answer);
	}
	pb_clear_buf(&answer);
	if (rc == PB_OK)
		return messages;
	json_decref(messages);
	return NULL;
}

/*
 * Returns a random slot without a request in flight: one whose chat can return,
 * or any slot for a new chat. Returns -1 when there is none.
 */
static int
choose_chat(struct load_plan *p, bool returning)
{
	int i, n = p->options.chats;
	int first = (int)(load_next_uniform(p) * n);

	for (i = 0; i < n; i++) {
		struct chat *c = &p->chats[(first + i) % n];

		if (c->busy)
			continue;
		if (!returning || (c->turns > 0 && c->turns < LOAD_TURNS_MAX))
			return (first + i) % n;
	}
	return -1;
}

static void
begin_chat(struct load_plan *p, struct chat *c)
{
	memset(c, 0, sizeof(*c));
	c->id = ++p->next_chat;
	c->account = draw_weighted(p, &p->options.accounts);
}

static int
dump_body(struct load_call *call, const char *model, json_t *messages)
{
	json_t *v = json_pack("{s:s,s:b,s:i,s:o}", "model", model, "stream",
	    (int)call->stream, "max_tokens", (int)call->words, "messages",
	    messages);
	char *text = json_dumps(v, JSON_COMPACT);
	int rc = text != NULL ? pb_append_buf(&call->body, text, strlen(text))
			      : PB_ENOMEM;

	free(text);
	json_decref(v);
	return rc;
}

static int
plan_chat(struct load_plan *p, struct load_call *call)
{
	const struct load_options *o = &p->options;
	bool returning = load_next_uniform(p) < o->return_share;
	int slot = returning ? choose_chat(p, true) : -1;
	struct chat one_off = {0}, *c;
	json_t *messages;

	call->returning = slot >= 0;
	if (slot < 0)
		slot = choose_chat(p, false);
	/* When all slots are busy, sends a chat that cannot return later. */
	c = slot >= 0 ? &p->chats[slot] : &one_off;
	if (!call->returning)
		begin_chat(p, c);
	c->busy = true;
	call->chat = slot;
	call->account = c->account;
	call->stream = load_next_uniform(p) < o->stream_share;
	call->words = (unsigned int)(o->words_min +
	    load_next_uniform(p) * (o->words_max - o->words_min + 1));
	if (c->turns < LOAD_TURNS_MAX)
		c->words[c->turns] = call->words;
	snprintf(call->chat_key, sizeof(call->chat_key),
	    "load-%" PRIu64 "-%" PRIu64, o->seed, c->id);
	pb_copy_str(call->path, sizeof(call->path), "/v1/chat/completions");
	messages = list_messages(p, c, call);
	return messages != NULL ? dump_body(call, o->model, messages)
				: PB_ENOMEM;
}

static int
plan_plain(struct load_plan *p, struct load_call *call)
{
	const struct load_options *o = &p->options;

	call->plain = true;
	call->chat = -1;
	call->account = draw_weighted(p, &o->accounts);
	if (load_next_uniform(p) < o->key_share)
		snprintf(call->key, sizeof(call->key),
		    "load-%" PRIu64 "-%" PRIu64, o->seed, p->next_call);
	snprintf(call->path, sizeof(call->path), "%s/%" PRIu64, o->plain_path,
	    p->next_call);
	return pb_append_fmt(&call->body, "load %" PRIu64 " call %" PRIu64,
	    o->seed, p->next_call);
}

int
load_next_call(struct load_plan *plan, struct load_call *call)
{
	const struct load_options *o = &plan->options;

	memset(call, 0, sizeof(*call));
	plan->next_call++;
	call->rank = draw_weighted(plan, &o->ranks);
	if (o->plain_path != NULL && load_next_uniform(plan) < o->plain_share)
		return plan_plain(plan, call);
	return plan_chat(plan, call);
}

void
load_end_call(
    struct load_plan *plan, const struct load_call *call, bool complete)
{
	struct chat *c;

	if (call->chat < 0)
		return;
	c = &plan->chats[call->chat];
	c->busy = false;
	if (complete)
		c->turns++;
}

void
load_clear_call(struct load_call *call)
{
	pb_clear_buf(&call->prompt);
	pb_clear_buf(&call->body);
	pb_clear_buf(&call->answer);
	memset(call, 0, sizeof(*call));
}
