#include "settings-private.h"

#include <stddef.h>
#include <string.h>

#define HOURS(n) ((n)*3600.0 * 1e6)
#define TEAMS_MAX 1000
#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

static const struct pb_rank_policy default_ranks[] = {
    {"urgent", 0.20, 0, 2 * PB_SEC}, {"ordinary", 0.20, 0.05, 10 * PB_SEC},
    {"bulk", 0.05, 0.10, 60 * PB_SEC}};

void
pb_set_fleet_defaults(struct pb_checker *c)
{
	struct pb_settings *s = c->settings;
	struct pb_service *v = &c->service_default;

	s->rank_count = COUNT(default_ranks);
	memcpy(s->rank, default_ranks, sizeof(default_ranks));
	s->default_rank = s->rank_count / 2;
	s->retry_share = 0.10;
	s->retry_burst = 10;
	s->containment_us = 600 * PB_SEC;
	s->strikes = 2;
	s->takeover_us = 3 * PB_SEC;
	s->poll_us = PB_SEC;
	s->freshness_us = 10 * PB_SEC;
	s->drain_us = 600 * PB_SEC;
	s->claim_send_us = 5 * PB_SEC;
	s->claim_retention_us = 24 * 3600 * PB_SEC;
	s->account_headroom = 0.015;
	s->control_bytes_per_sec = 2000;
	s->digest_us = 500 * PB_MSEC;

	v->upstreams = 16;
	v->bound = 1.25;
	v->floor_work = 8192;
	v->capacity = 65536;
	v->answer_work = 256;
	v->call_work = 1024;
	v->max_body_bytes = 1024UL * 1024;
	v->ramp_us = 10 * PB_SEC;
	v->timeout_us = 120 * PB_SEC;
	v->connect_us = PB_SEC;
	v->idle_us = 30 * PB_SEC;
	v->queue_items = 1024;
	v->queue_bytes = 32ULL * 1024 * 1024;
	v->resume = true;
	v->eject_share = 0.50;
	c->account_default.weight = 1;
	c->account_default.limits.burst_sec = 2;
	c->account_default.best_rank = -1;
	c->account_default.default_rank = -1;
}

static void
check_rank(struct pb_checker *c, const struct pb_yaml_node *node,
    const char *path, struct pb_rank_policy *rank)
{
	static const struct pb_field fields[] = {
	    {"name", PB_FIELD_NODE, 0, 0, 0},
	    {"floor", PB_FIELD_SHARE, offsetof(struct pb_rank_policy, floor), 0,
		0.9},
	    {"headroom", PB_FIELD_SHARE,
		offsetof(struct pb_rank_policy, headroom), 0, 0.9},
	    {"wait_limit", PB_FIELD_DURATION,
		offsetof(struct pb_rank_policy, wait_limit_us), 1e4, HOURS(1)}};
	const struct pb_yaml_node *found[COUNT(fields)];

	rank->wait_limit_us = 10 * PB_SEC;
	if (!pb_read_fields(c, node, path, fields, COUNT(fields), rank, found))
		return;
	if (found[0] == NULL || !pb_is_valid_name(found[0]->text) ||
	    found[0]->text.len >= sizeof(rank->name)) {
		pb_report_fault(c, node->line, path,
		    "expected a name of 1 to %zu letters, digits, \".\", \"_\" "
		    "and \"-\"",
		    sizeof(rank->name) - 1);
		return;
	}
	pb_copy_str(rank->name, sizeof(rank->name), found[0]->text.data);
}

/* Checks rank n against the more urgent ranks, which precede it. */
static void
check_rank_order(struct pb_checker *c, const struct pb_yaml_node *node,
    const char *path, int n)
{
	struct pb_rank_policy *rank = c->settings->rank;
	int i;

	for (i = 0; i < n; i++) {
		if (strcmp(rank[i].name, rank[n].name) == 0 &&
		    rank[n].name[0] != '\0') {
			pb_report_fault(c, node->line, path,
			    "the rank name \"%s\" is used twice", rank[n].name);
		}
	}
	/*
	 * Otherwise less urgent work could use the capacity that urgent work
	 * needs.
	 */
	if (n > 0 && rank[n].headroom < rank[n - 1].headroom) {
		pb_report_fault(c, node->line, path,
		    "expected a headroom of at least %g%%, that of the more "
		    "urgent rank \"%s\"",
		    rank[n - 1].headroom * 100, rank[n - 1].name);
	}
}

static void
check_ranks(struct pb_checker *c, const struct pb_yaml_node *list)
{
	struct pb_settings *s = c->settings;
	const struct pb_yaml_node *n;
	double floors = 0;
	char path[32];
	int count = 0;

	if (!pb_check_list(c, list, "ranks"))
		return;
	memset(s->rank, 0, sizeof(s->rank));
	for (n = list->first; n != NULL; n = n->next) {
		if (count == PB_RANKS_MAX) {
			pb_report_fault(c, n->line, "ranks",
			    "expected at most %d ranks", PB_RANKS_MAX);
			break;
		}
		snprintf(path, sizeof(path), "ranks[%d]", count);
		check_rank(c, n, path, &s->rank[count]);
		check_rank_order(c, n, path, count);
		floors += s->rank[count++].floor;
	}
	if (count == 0) {
		pb_report_fault(
		    c, list->line, "ranks", "expected at least one rank");
	}
	/* The capacity left by the floors is served by strict priority. */
	if (floors > 0.9 + 1e-9) {
		pb_report_fault(c, list->line, "ranks",
		    "expected floors with a sum of at most 90%%, found %g%%",
		    floors * 100);
	}
	s->rank_count = count;
	s->default_rank = count / 2;
}

static void
check_teams(struct pb_checker *c, const struct pb_yaml_node *list)
{
	const struct pb_yaml_node *n, *m;
	char path[32];
	int i = 0;

	if (!pb_check_list(c, list, "teams"))
		return;
	c->teams = (struct pb_yaml_node *)list;
	for (n = list->first; n != NULL; n = n->next) {
		if (i == TEAMS_MAX) {
			pb_report_fault(c, n->line, "teams",
			    "expected at most %d teams", TEAMS_MAX);
			break;
		}
		snprintf(path, sizeof(path), "teams[%d]", i++);
		if (!pb_is_valid_name(n->text) ||
		    pb_str_equal_c(n->text, PB_FLEET_TEAM)) {
			pb_report_fault(c, n->line, path,
			    "expected the name of a team (not \"%s\"), found "
			    "\"%s\"",
			    PB_FLEET_TEAM, pb_format_excerpt(n->text).text);
			continue;
		}
		for (m = list->first; m != n; m = m->next) {
			if (pb_str_equal(m->text, n->text))
				break;
		}
		if (m != n) {
			pb_report_fault(c, n->line, path,
			    "the team \"%s\" is listed twice",
			    pb_format_excerpt(n->text).text);
		}
	}
}

static void
check_group(struct pb_checker *c, const struct pb_yaml_node *node,
    const char *path, const struct pb_field *fields, size_t count)
{
	const struct pb_yaml_node *found[PB_FIELDS_MAX];

	if (node != NULL)
		pb_read_fields(
		    c, node, path, fields, count, c->settings, found);
}

#define SETTINGS(field) offsetof(struct pb_settings, field)

static void
check_groups(struct pb_checker *c, const struct pb_yaml_node **group)
{
	static const struct pb_field retry[] = {
	    {"share", PB_FIELD_SHARE, SETTINGS(retry_share), 0, 1},
	    {"burst", PB_FIELD_NUMBER, SETTINGS(retry_burst), 0, 1e4}};
	static const struct pb_field containment[] = {
	    {"duration", PB_FIELD_DURATION, SETTINGS(containment_us), 1e6,
		HOURS(24)},
	    {"strikes", PB_FIELD_INT, SETTINGS(strikes), 1, 10}};
	static const struct pb_field claim[] = {
	    {"send_window", PB_FIELD_DURATION, SETTINGS(claim_send_us), 1e5,
		60e6},
	    {"retention", PB_FIELD_DURATION, SETTINGS(claim_retention_us),
		600e6, HOURS(720)}};
	static const struct pb_field control[] = {
	    {"bandwidth", PB_FIELD_RATE, SETTINGS(control_bytes_per_sec), 200,
		1e6},
	    {"digest_period", PB_FIELD_DURATION, SETTINGS(digest_us), 5e4,
		10e6}};

	check_group(c, group[0], "retry", retry, COUNT(retry));
	check_group(
	    c, group[1], "containment", containment, COUNT(containment));
	check_group(c, group[2], "claim", claim, COUNT(claim));
	check_group(c, group[3], "control", control, COUNT(control));
}

/*
 * A freshness limit close to the poll period would make a healthy router stop
 * taking new work.
 */
static void
check_freshness(struct pb_checker *c, const struct pb_yaml_node *node)
{
	struct pb_settings *s = c->settings;

	if (s->freshness_us < 3 * s->poll_us) {
		pb_report_fault(c, node->line, "freshness_limit",
		    "expected at least three times settings_poll (%lldms)",
		    (long long)(3 * s->poll_us / PB_MSEC));
	}
}

void
pb_check_fleet(struct pb_checker *c, const struct pb_yaml_node *root)
{
	static const struct pb_field fields[] = {
	    {"ranks", PB_FIELD_NODE, 0, 0, 0},
	    {"default_rank", PB_FIELD_NODE, 0, 0, 0},
	    {"teams", PB_FIELD_NODE, 0, 0, 0},
	    {"defaults", PB_FIELD_NODE, 0, 0, 0},
	    {"retry", PB_FIELD_NODE, 0, 0, 0},
	    {"containment", PB_FIELD_NODE, 0, 0, 0},
	    {"claim", PB_FIELD_NODE, 0, 0, 0},
	    {"control", PB_FIELD_NODE, 0, 0, 0},
	    {"takeover_window", PB_FIELD_DURATION, SETTINGS(takeover_us), 1e5,
		60e6},
	    {"settings_poll", PB_FIELD_DURATION, SETTINGS(poll_us), 1e5, 3e6},
	    {"freshness_limit", PB_FIELD_DURATION, SETTINGS(freshness_us), 1e6,
		600e6},
	    {"drain_deadline", PB_FIELD_DURATION, SETTINGS(drain_us), 1e6,
		HOURS(24)},
	    {"account_headroom", PB_FIELD_SHARE, SETTINGS(account_headroom), 0,
		0.5}};
	const struct pb_yaml_node *found[COUNT(fields)];
	int rank;

	if (!pb_read_fields(
		c, root, "", fields, COUNT(fields), c->settings, found))
		return;
	if (found[0] != NULL)
		check_ranks(c, found[0]);
	if (found[1] != NULL) {
		rank = pb_read_rank(c, found[1], "default_rank");
		if (rank >= 0)
			c->settings->default_rank = rank;
	}
	if (found[2] != NULL)
		check_teams(c, found[2]);
	if (found[3] != NULL)
		pb_check_defaults(c, found[3], "defaults");
	check_groups(c, found + 4);
	if (found[10] == NULL)
		found[10] = found[9] != NULL ? found[9] : root;
	check_freshness(c, found[10]);
}
