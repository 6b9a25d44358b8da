#include "lib/fake-table.h"
#include "poplarbeam/store.h"

#include "run-suite.h"
#include <stdlib.h>
#include <string.h>

static struct pb_manual_clock clk;
static struct pb_context *ctx;

static int
apply(struct fake_table *fake, const char *team, const char *id,
    uint64_t expect, const char *text, struct pb_apply_result *result)
{
	struct pb_change change = {.team = team,
	    .author = "ada",
	    .change = id,
	    .expect = expect,
	    .text = pb_str_from(text),
	    .deadline_us = pb_now(ctx) + 5 * PB_SEC};

	return pb_apply_change(ctx, fake_table_port(fake), &change, result);
}

/* Like apply, but returns only the result code. */
static int
apply_code(struct fake_table *fake, const char *team, const char *id,
    uint64_t expect, const char *text)
{
	struct pb_apply_result result;
	int rc = apply(fake, team, id, expect, text, &result);

	pb_clear_apply_result(&result);
	return rc;
}

#define TEXT(name) "accounts: [{name: " name ", key: key-of-" name "}]"

/*
 * Guards against a lost update when two operators change the same subtree, and
 * against a conflict that does not name the change that was stored.
 */
static void
test_conflict(void)
{
	struct fake_table *fake = fake_new_table(1);
	struct pb_apply_result result;
	struct pb_settings_tree tree;

	CU_ASSERT_EQUAL(apply_code(fake, "red", "c1", 0, TEXT("aaa")), PB_OK);
	CU_ASSERT_EQUAL(apply_code(fake, "blue", "c2", 0, TEXT("bbb")), PB_OK);
	CU_ASSERT_EQUAL(apply_code(fake, "red", "c3", 1, TEXT("ccc")), PB_OK);
	CU_ASSERT_EQUAL(
	    apply(fake, "red", "c4", 2, TEXT("ddd"), &result), PB_ECONFLICT);
	CU_ASSERT_EQUAL(result.winner.revision, 3);
	CU_ASSERT_STRING_EQUAL(result.winner.author, "ada");
	CU_ASSERT_STRING_EQUAL(result.winner.change, "c3");
	pb_clear_apply_result(&result);
	/*
	 * The fleet-wide document is valid alone, but excludes the team blue,
	 * which has an account.
	 */
	CU_ASSERT_EQUAL(
	    apply(fake, PB_FLEET_TEAM, "c5", 0, "teams: [red]", &result),
	    PB_EINVAL);
	CU_ASSERT_PTR_NOT_NULL(strstr(result.report.lines.data, "\"blue\""));
	pb_clear_apply_result(&result);
	CU_ASSERT_EQUAL(
	    apply_code(fake, "red", "c6", 9, TEXT("aaa")), PB_EINVAL);
	CU_ASSERT_EQUAL(
	    apply_code(fake, "red", "c7", 3, "\xff\xfe"), PB_EINVAL);
	CU_ASSERT_EQUAL(pb_read_tree(ctx, fake_table_port(fake), &tree), PB_OK);
	CU_ASSERT_EQUAL(tree.revision, 3);
	CU_ASSERT_EQUAL(tree.count, 2);
	CU_ASSERT_STRING_EQUAL(
	    pb_find_subtree(&tree, "red")->text.data, TEXT("ccc"));
	pb_clear_tree(&tree);
	fake_drop_table(fake);
}

static void
start_outage(void *arg)
{
	fake_table_faults(arg)->down = true;
}

static void
start_outage_after_commit(void *arg, const struct pb_table_commit *commit)
{
	(void)commit;
	start_outage(arg);
}

/*
 * Guards against a change that is reported as failed although it took effect.
 * The response to the commit is lost after the table has stored the change.
 */
static void
test_lost_answer(void)
{
	struct fake_table *fake = fake_new_table(2);
	struct fake_faults *faults = fake_table_faults(fake);
	struct pb_apply_result result;

	faults->lose_share = 1;
	CU_ASSERT_EQUAL(
	    apply(fake, "red", "c1", 0, TEXT("aaa"), &result), PB_OK);
	CU_ASSERT_EQUAL(result.revision, 1);
	CU_ASSERT_EQUAL(result.tries, 1);
	/*
	 * The outage starts right after the write, so the outcome cannot be
	 * read.
	 */
	fake_set_commit_hook(fake, start_outage_after_commit, fake);
	CU_ASSERT_EQUAL(
	    apply_code(fake, "red", "c2", 1, TEXT("bbb")), PB_EUNKNOWN);
	faults->down = false;
	fake_set_commit_hook(fake, NULL, NULL);
	CU_ASSERT_EQUAL(
	    apply(fake, "red", "c2", 1, TEXT("bbb"), &result), PB_OK);
	CU_ASSERT_EQUAL(result.revision, 2);
	CU_ASSERT_EQUAL(result.tries, 0);
	faults->down = true;
	CU_ASSERT_EQUAL(
	    apply_code(fake, "red", "c3", 2, TEXT("ccc")), PB_EUNAVAIL);
	fake_drop_table(fake);
}

/* A fault that is injected before the given call. */
struct table_fault {
	struct fake_table *fake;
	uint64_t at; /* number of the call, counted from 1 */
	bool malformed; /* true: writes a malformed row; false: outage */
};

static void
inject_fault(void *arg)
{
	struct table_fault *fault = arg;

	if (fake_count_calls(fault->fake) + 1 != fault->at)
		return;
	if (fault->malformed)
		fake_put_row(fault->fake, "settings/subtree/zoo", "{");
	else
		start_outage(fault->fake);
}

/*
 * Guards against reporting a change as failed when its outcome could not be
 * read after a lost response.
 */
static void
test_unknown_outcome(void)
{
	struct fake_table *fake = fake_new_table(5);
	struct table_fault fault = {fake, 0, true};

	CU_ASSERT_EQUAL(apply_code(fake, "red", "c1", 0, TEXT("aaa")), PB_OK);
	/*
	 * Three calls read the tree. The fourth is the commit, whose response
	 * is lost.
	 */
	fake_table_faults(fake)->lose_share = 1;
	fake_set_call_hook(fake, inject_fault, &fault);
	fault.at = fake_count_calls(fake) + 5;
	CU_ASSERT_EQUAL(
	    apply_code(fake, "red", "c2", 1, TEXT("bbb")), PB_EUNKNOWN);
	fake_drop_table(fake);

	fake = fake_new_table(6);
	CU_ASSERT_EQUAL(apply_code(fake, "red", "c1", 0, TEXT("aaa")), PB_OK);
	CU_ASSERT_EQUAL(apply_code(fake, "red", "c2", 1, TEXT("bbb")), PB_OK);
	/* Repeats the first change, but its history row cannot be read. */
	fault = (struct table_fault){fake, fake_count_calls(fake) + 4, false};
	fake_set_call_hook(fake, inject_fault, &fault);
	CU_ASSERT_EQUAL(
	    apply_code(fake, "red", "c1", 0, TEXT("aaa")), PB_EUNKNOWN);
	fake_drop_table(fake);

	/* The first commit is delayed; the second one fails in an outage. */
	fake = fake_new_table(7);
	fake_table_faults(fake)->delay_share = 1;
	fault = (struct table_fault){fake, 8, false};
	fake_set_call_hook(fake, inject_fault, &fault);
	CU_ASSERT_EQUAL(
	    apply_code(fake, "red", "c1", 0, TEXT("aaa")), PB_EUNKNOWN);
	CU_ASSERT_EQUAL(fake_apply_delayed_commits(fake), 1);
	fake_drop_table(fake);
}

/*
 * Guards against a tree without the teams after the first page of rows, and
 * against an update that reads all teams after a change of one.
 */
static void
test_many_teams(void)
{
	struct fake_table *fake = fake_new_table(8);
	struct pb_settings_tree tree, old[2];
	char team[16];
	uint64_t i, calls;

	for (i = 0; i < 120; i++) {
		snprintf(team, sizeof(team), "team%d", (int)i);
		CU_ASSERT_EQUAL(apply_code(fake, team, team, i, ""), PB_OK);
		/*
		 * At the end, the first tree is too far behind to be updated
		 * from the history; the second one is not.
		 */
		if (i == 2 || i == 80) {
			CU_ASSERT_EQUAL(pb_read_tree(ctx, fake_table_port(fake),
					    &old[i == 80]),
			    PB_OK);
		}
	}
	for (i = 0; i < 2; i++) {
		CU_ASSERT_EQUAL(
		    pb_update_tree(ctx, fake_table_port(fake), &old[i]), PB_OK);
		CU_ASSERT_EQUAL(old[i].count, 120);
		CU_ASSERT(strcmp(old[i].subtrees[22].info.team,
			      old[i].subtrees[23].info.team) < 0);
		CU_ASSERT_STRING_EQUAL(
		    old[i].subtrees[119].info.team, "team99");
		pb_clear_tree(&old[i]);
	}
	CU_ASSERT_EQUAL(pb_read_tree(ctx, fake_table_port(fake), &tree), PB_OK);
	CU_ASSERT_EQUAL(tree.count, 120);
	/* An update by one change makes four calls; it reads one team. */
	CU_ASSERT_EQUAL(
	    apply_code(fake, "team7", "c2", 120, TEXT("abc")), PB_OK);
	calls = fake_count_calls(fake);
	CU_ASSERT_EQUAL(
	    pb_update_tree(ctx, fake_table_port(fake), &tree), PB_OK);
	CU_ASSERT_EQUAL(fake_count_calls(fake) - calls, 4);
	CU_ASSERT_EQUAL(tree.count, 120);
	CU_ASSERT_STRING_EQUAL(
	    pb_find_subtree(&tree, "team7")->text.data, TEXT("abc"));
	pb_clear_tree(&tree);
	fake_drop_table(fake);
}

struct listing {
	int rows;
	uint64_t first;
	uint64_t last;
};

static void
collect_info(void *arg, const struct pb_revision_info *info)
{
	struct listing *l = arg;

	if (l->rows++ == 0)
		l->first = info->revision;
	l->last = info->revision;
}

/*
 * Guards against a history that grows without bound, and against a rollback
 * that takes the text of another team. The rollback names a revision that the
 * other team created.
 */
static void
test_history(void)
{
	struct fake_table *fake = fake_new_table(3);
	struct pb_table *table = fake_table_port(fake);
	struct pb_change change = {
	    .team = "red", .author = "bob", .change = "back"};
	struct pb_apply_result result;
	struct pb_subtree old;
	struct listing l = {0, 0, 0};
	char id[32], text[64];
	uint64_t i;

	for (i = 1; i <= PB_HISTORY_ROWS + 20; i++) {
		bool blue = i % 10 == 0;

		snprintf(id, sizeof(id), "c%d", (int)i);
		snprintf(text, sizeof(text),
		    "accounts: [{name: %s%d, key: k%d"
		    "-123456}]",
		    blue ? "b" : "r", (int)i, (int)i);
		CU_ASSERT_EQUAL(
		    apply_code(fake, blue ? "blue" : "red", id, i - 1, text),
		    PB_OK);
	}
	CU_ASSERT_EQUAL(
	    fake_count_rows(fake, "settings/history/"), PB_HISTORY_ROWS);
	CU_ASSERT_EQUAL(
	    fake_count_rows(fake, "settings/text/"), PB_HISTORY_ROWS);
	CU_ASSERT_EQUAL(
	    pb_list_history(ctx, table, 5, collect_info, &l), PB_OK);
	CU_ASSERT_EQUAL(l.rows, 5);
	CU_ASSERT_EQUAL(l.first, PB_HISTORY_ROWS + 20);
	CU_ASSERT_EQUAL(l.last, PB_HISTORY_ROWS + 16);
	CU_ASSERT_EQUAL(pb_read_revision(ctx, table, 3, &old), PB_ENOENT);
	CU_ASSERT_EQUAL(pb_read_revision(ctx, table, 40, &old), PB_OK);
	CU_ASSERT_STRING_EQUAL(old.info.team, "blue");
	pb_clear_subtree(&old);
	/* Blue created revision 1010; red's text was then that of 1009. */
	change.expect = PB_HISTORY_ROWS + 19;
	change.deadline_us = pb_now(ctx) + PB_SEC;
	CU_ASSERT_EQUAL(
	    pb_rollback_change(ctx, table, &change, 1010, &result), PB_OK);
	CU_ASSERT_EQUAL(result.revision, PB_HISTORY_ROWS + 21);
	pb_clear_apply_result(&result);
	CU_ASSERT_EQUAL(
	    pb_read_revision(ctx, table, result.revision, &old), PB_OK);
	CU_ASSERT_PTR_NOT_NULL(strstr(old.text.data, "name: r1009"));
	pb_clear_subtree(&old);
	CU_ASSERT_EQUAL(
	    pb_rollback_change(ctx, table, &change, 2, &result), PB_ENOENT);
	fake_drop_table(fake);
}

/* Guards against JSON for peers that loses or misreads parts of a tree. */
static void
test_tree_text(void)
{
	struct fake_table *fake = fake_new_table(4);
	struct pb_settings_tree tree, copy;
	struct pb_buf text = {NULL, 0, 0};

	apply_code(fake, "red", "c1", 0, TEXT("a\\u00e9"));
	CU_ASSERT_EQUAL(apply_code(fake, "red", "c1", 0, TEXT("abc")), PB_OK);
	CU_ASSERT_EQUAL(pb_read_tree(ctx, fake_table_port(fake), &tree), PB_OK);
	CU_ASSERT_EQUAL(pb_format_tree(ctx, &tree, &text), PB_OK);
	CU_ASSERT_EQUAL(
	    pb_load_tree(ctx, (struct pb_str){text.data, text.len}, &copy),
	    PB_OK);
	CU_ASSERT_EQUAL(copy.revision, 1);
	CU_ASSERT_EQUAL(copy.count, 1);
	CU_ASSERT_STRING_EQUAL(copy.subtrees[0].text.data, TEXT("abc"));
	pb_clear_tree(&copy);
	CU_ASSERT_EQUAL(
	    pb_load_tree(ctx, (struct pb_str){text.data, text.len - 3}, &copy),
	    PB_EPROTO);
	CU_ASSERT_EQUAL(
	    pb_load_tree(
		ctx, pb_str_from("{\"revision\":1,\"subtrees\":[{}]}"), &copy),
	    PB_EPROTO);
	fake_put_row(fake, "settings/subtree/zoo", "{\"revision\":");
	CU_ASSERT_EQUAL(
	    pb_read_tree(ctx, fake_table_port(fake), &copy), PB_EPROTO);
	pb_clear_tree(&tree);
	pb_clear_buf(&text);
	fake_drop_table(fake);
}

/*
 * Guards against putting an older revision in force, and against accepting
 * requests under settings that were not confirmed recently.
 */
static void
test_gate(void)
{
	struct pb_gate_policy policy = {10 * PB_SEC, 2};
	struct pb_settings_gate *g = pb_new_settings_gate(ctx, &policy);
	int64_t t = pb_now(ctx);

	pb_note_peer_revision(ctx, g, 1, 6, t);
	pb_note_peer_revision(ctx, g, 1, 6, t);
	CU_ASSERT_EQUAL(
	    pb_accept_revision(ctx, g, 6, PB_FROM_PEER, t), PB_EBUSY);
	pb_note_peer_revision(ctx, g, 2, 5, t);
	CU_ASSERT_EQUAL(pb_latest_known_revision(g), 6);
	CU_ASSERT_FALSE(pb_may_accept_work(ctx, g));
	/*
	 * Revision 6 is known, so revision 5 is not confirmed and no requests
	 * may be accepted under it.
	 */
	CU_ASSERT_EQUAL(pb_accept_revision(ctx, g, 5, PB_FROM_PEER, t), PB_OK);
	CU_ASSERT_FALSE(pb_may_accept_work(ctx, g));
	CU_ASSERT_EQUAL(pb_accept_revision(ctx, g, 6, PB_FROM_PEER, t), PB_OK);
	CU_ASSERT(pb_may_accept_work(ctx, g));
	CU_ASSERT_EQUAL(
	    pb_accept_revision(ctx, g, 5, PB_FROM_TABLE, t), PB_ECONFLICT);
	CU_ASSERT_EQUAL(pb_revision_in_force(g), 6);

	pb_advance_clock(&clk, 10 * PB_SEC);
	CU_ASSERT(pb_may_accept_work(ctx, g));
	pb_advance_clock(&clk, 1);
	CU_ASSERT_FALSE(pb_may_accept_work(ctx, g));
	/*
	 * Neither the response to a read that was sent before the process was
	 * suspended nor a report of an older revision confirms the settings.
	 */
	pb_note_table_revision(ctx, g, 6, t);
	pb_note_peer_revision(ctx, g, 3, 5, pb_now(ctx));
	CU_ASSERT_FALSE(pb_may_accept_work(ctx, g));
	pb_note_peer_revision(ctx, g, 3, 6, pb_now(ctx));
	CU_ASSERT(pb_may_accept_work(ctx, g));

	/* A response to an older request does not undo the confirmation. */
	pb_note_table_revision(ctx, g, 6, t);
	CU_ASSERT(pb_may_accept_work(ctx, g));

	/*
	 * A wrong report of a peer is believed until the table contradicts it
	 * in the response to a later request.
	 */
	pb_note_peer_revision(ctx, g, 3, 900, pb_now(ctx));
	pb_note_table_revision(ctx, g, 6, pb_now(ctx) - 1);
	CU_ASSERT_EQUAL(pb_latest_known_revision(g), 900);
	pb_advance_clock(&clk, 11 * PB_SEC);
	pb_note_peer_revision(ctx, g, 2, 6, pb_now(ctx));
	CU_ASSERT_FALSE(pb_may_accept_work(ctx, g));
	pb_note_table_revision(ctx, g, 6, pb_now(ctx));
	CU_ASSERT(pb_may_accept_work(ctx, g));
	CU_ASSERT_EQUAL(pb_confirmation_age(ctx, g), 0);
	pb_drop_settings_gate(ctx, g);
}

/*
 * Randomized test: operators change three subtrees while the table has faults.
 * Before any call of one operator, another operator may apply a change.
 */

#define TEAMS 3
#define CHANGES_MAX 400 /* in one run */
#define NEST_MAX 2

struct committed {
	int change;
	int team;
	uint64_t previous;
};

struct driver {
	struct fake_table *fake;
	struct pb_random rnd;
	int depth;
	int changes;
	int rc[CHANGES_MAX];
	uint64_t revision[CHANGES_MAX];
	uint64_t expect[CHANGES_MAX];
	int team[CHANGES_MAX];
	struct committed log[CHANGES_MAX * 2]; /* stored changes, by revision */
	int logged;
	uint64_t team_revision[TEAMS];
	bool shared[TEAMS]; /* the team has the account "shared" */
	bool faulty; /* the oracle saw a violation */
	int seen[8]; /* number of results, by -rc */
	struct pb_settings_tree tree; /* only updated by pb_update_tree */
};

static const char *const team_names[TEAMS] = {"blue", "green", "red"};

static int
random_below(struct driver *d, int n)
{
	return (int)(pb_next_random(&d->rnd) % (uint64_t)n);
}

/*
 * The oracle. Checks that each stored change has the next revision, builds on
 * the team's previous one, which its operator had seen, and is stored once, and
 * that at most one team has the account "shared".
 */
static void
check_commit(void *arg, const struct pb_table_commit *commit)
{
	struct driver *d = arg;
	struct committed *l = &d->log[++d->logged];
	unsigned long long revision, previous;
	char team[16] = "", change[16] = "";
	const char *p = commit->puts[2].value.data;
	int i;

	if (sscanf(p,
		"{\"revision\":%llu,\"team\":\"%15[a-z]\",\"author\":\"op\","
		"\"change\":\"c%15[0-9]",
		&revision, team, change) != 3 ||
	    sscanf(strstr(p, "\"previous\""), "\"previous\":%llu", &previous) !=
		1) {
		d->faulty = true;
		return;
	}
	for (i = 0; i < TEAMS - 1 && strcmp(team, team_names[i]) != 0; i++)
		continue;
	l->change = (int)strtol(change, NULL, 10);
	l->team = i;
	l->previous = previous;
	if (revision != (uint64_t)d->logged ||
	    previous != d->team_revision[i] ||
	    previous > d->expect[l->change] || d->team[l->change] != i)
		d->faulty = true;
	d->team_revision[i] = revision;
	d->shared[i] = strstr(commit->puts[0].value.data, "shared") != NULL;
	if (d->shared[0] + d->shared[1] + d->shared[2] > 1)
		d->faulty = true;
	for (i = 1; i < d->logged; i++) {
		if (d->log[i].change == l->change)
			d->faulty = true;
	}
}

static int
send_change(struct driver *d, int n)
{
	struct pb_apply_result result;
	struct pb_change change = {.team = team_names[d->team[n]],
	    .author = "op",
	    .expect = d->expect[n],
	    .deadline_us = pb_now(ctx) + 2 * PB_SEC};
	char id[16], text[96];
	int rc;

	snprintf(id, sizeof(id), "c%d", n);
	if (n % 5 == 0) {
		snprintf(text, sizeof(text),
		    "accounts: [{name: shared, key: shared-key-%d}]", n);
	} else {
		snprintf(text, sizeof(text),
		    "accounts: [{name: a%d, key: some-key-%d}]", n, n);
	}
	change.change = id;
	change.text = pb_str_from(text);
	rc = pb_apply_change(ctx, fake_table_port(d->fake), &change, &result);
	if (rc == PB_ECONFLICT &&
	    (result.winner.revision <= change.expect ||
		strcmp(result.winner.team, change.team) != 0))
		d->faulty = true;
	d->rc[n] = rc;
	d->revision[n] = result.revision;
	pb_clear_apply_result(&result);
	return rc;
}

/* Checks that a tree has each team's subtree as of the tree's revision. */
static void
check_tree(struct driver *d, const struct pb_settings_tree *tree)
{
	uint64_t want[TEAMS] = {0}, i;
	const struct pb_subtree *sub;
	char key[24];
	int team;

	for (i = 1; i <= tree->revision; i++)
		want[d->log[i].team] = i;
	for (team = 0; team < TEAMS; team++) {
		sub = pb_find_subtree(tree, team_names[team]);
		if ((sub != NULL ? sub->info.revision : 0) != want[team])
			d->faulty = true;
		if (sub == NULL)
			continue;
		/* The key in the text ends with the change's number. */
		snprintf(key, sizeof(key), "key-%d}",
		    d->log[sub->info.revision].change);
		if (strstr(sub->text.data, key) == NULL)
			d->faulty = true;
	}
}

static void
apply_random_change(struct driver *d)
{
	struct pb_settings_tree tree;
	const struct pb_subtree *sub;
	int n;

	if (d->changes == CHANGES_MAX ||
	    pb_read_tree(ctx, fake_table_port(d->fake), &tree) != PB_OK)
		return;
	check_tree(d, &tree);
	if (d->depth == 0 && random_below(d, 3) == 0 &&
	    pb_update_tree(ctx, fake_table_port(d->fake), &d->tree) == PB_OK)
		check_tree(d, &d->tree);
	n = d->changes++;
	d->team[n] = random_below(d, TEAMS);
	sub = pb_find_subtree(&tree, team_names[d->team[n]]);
	d->expect[n] = tree.revision;
	if (sub != NULL && random_below(d, 2) == 0)
		d->expect[n] = sub->info.revision;
	pb_clear_tree(&tree);
	d->seen[-send_change(d, n)]++;
}

static void
maybe_apply_nested(void *arg)
{
	struct driver *d = arg;

	if (d->depth >= NEST_MAX || random_below(d, 20) != 0)
		return;
	d->depth++;
	apply_random_change(d);
	d->depth--;
}

/*
 * Checks that the result of each change agrees with whether it was stored.
 * First repeats the changes with an unknown outcome.
 */
static void
check_results(struct driver *d)
{
	int i, n, rc;

	memset(fake_table_faults(d->fake), 0, sizeof(struct fake_faults));
	fake_set_call_hook(d->fake, NULL, NULL);
	fake_apply_delayed_commits(d->fake);
	for (n = 0; n < d->changes; n++) {
		uint64_t at = 0;

		if (d->rc[n] == PB_EUNKNOWN) {
			rc = send_change(d, n);
			if (rc != PB_OK && rc != PB_ECONFLICT &&
			    rc != PB_EINVAL)
				d->faulty = true;
		}
		for (i = 1; i <= d->logged; i++) {
			if (d->log[i].change == n)
				at = (uint64_t)i;
		}
		if ((d->rc[n] == PB_OK) != (at != 0) ||
		    (at != 0 && d->revision[n] != at))
			d->faulty = true;
	}
}

static void
run_seed(uint64_t seed, int *seen)
{
	static struct driver d;
	struct fake_faults *faults;
	int i;

	memset(&d, 0, sizeof(d));
	d.rnd.state = seed;
	d.fake = fake_new_table(seed * 7 + 1);
	faults = fake_table_faults(d.fake);
	fake_set_commit_hook(d.fake, check_commit, &d);
	fake_set_call_hook(d.fake, maybe_apply_nested, &d);
	for (i = 0; i < 40; i++) {
		faults->fail_share = random_below(&d, 3) * 0.04;
		faults->busy_share = random_below(&d, 2) * 0.05;
		faults->lose_share = random_below(&d, 3) * 0.15;
		faults->delay_share = random_below(&d, 3) * 0.15;
		faults->apply_delayed_share = 0.1 + random_below(&d, 5) * 0.1;
		faults->conflict_share = random_below(&d, 2) * 0.05;
		faults->slow_us = random_below(&d, 3) * 30 * PB_MSEC;
		faults->down = random_below(&d, 25) == 0;
		apply_random_change(&d);
	}
	check_results(&d);
	if (pb_update_tree(ctx, fake_table_port(d.fake), &d.tree) != PB_OK ||
	    d.tree.revision != (uint64_t)d.logged)
		d.faulty = true;
	check_tree(&d, &d.tree);
	pb_clear_tree(&d.tree);
	for (i = 0; i < 8; i++)
		seen[i] += d.seen[i];
	if (d.faulty) {
		printf("\nseed %llu violates the oracle\n",
		    (unsigned long long)seed);
		CU_FAIL("the store and the oracle disagree");
	}
	fake_drop_table(d.fake);
}

/*
 * Guards against lost or duplicate changes, two changes with the same revision
 * and results that differ from what was stored, when operators race and the
 * table has faults.
 */
static void
test_random_operators(void)
{
	int seen[8] = {0};
	uint64_t seed;

	for (seed = 1; seed <= 150; seed++)
		run_seed(seed, seen);
	printf("\n%d stored, %d conflicts, %d invalid, %d unavailable, "
	       "%d unknown\n",
	    seen[0], seen[-PB_ECONFLICT], seen[-PB_EINVAL], seen[-PB_EUNAVAIL],
	    seen[-PB_EUNKNOWN]);
	/* The test would prove nothing if it did not reach these cases. */
	CU_ASSERT(seen[0] > 1000 && seen[-PB_ECONFLICT] > 100);
	CU_ASSERT(seen[-PB_EINVAL] > 20 && seen[-PB_EUNKNOWN] > 3);
}

int
main(void)
{
	static CU_TestInfo tests[] = {{"conflict", test_conflict},
	    {"lost answer", test_lost_answer},
	    {"unsettled", test_unknown_outcome},
	    {"many teams", test_many_teams}, {"history", test_history},
	    {"tree text", test_tree_text}, {"gate", test_gate},
	    {"random operators", test_random_operators}, CU_TEST_INFO_NULL};
	int rc;

	pb_init_manual_clock(&clk, PB_SEC);
	ctx = pb_new_context(&clk.base, NULL);
	rc = run_suite("store", tests);
	pb_drop_context(ctx);
	return rc;
}
