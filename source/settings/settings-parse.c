#include "settings-private.h"

#include <stdlib.h>
#include <string.h>

static void
set_document(struct pb_checker *c, const struct pb_settings_text *text)
{
	c->file = text->name;
	c->team = text->team != NULL ? text->team : "";
}

/*
 * Checks the fleet's document. It is checked before the teams' documents, which
 * depend on its ranks and defaults.
 */
static void
check_fleet_text(
    struct pb_checker *c, const struct pb_settings_text *texts, size_t count)
{
	const struct pb_settings_text *fleet = NULL;
	const struct pb_yaml_node *root;
	size_t i;

	for (i = 0; i < count; i++) {
		set_document(c, &texts[i]);
		if (*c->team != '\0')
			continue;
		if (fleet != NULL) {
			pb_report_fault(c, 1, "document",
			    "the fleet's document was already given as %s",
			    fleet->name);
			continue;
		}
		fleet = &texts[i];
		root = pb_load_yaml(c, fleet->text);
		if (root != NULL)
			pb_check_fleet(c, root);
	}
}

/*
 * Checks the team name of the document. If the fleet's document lists teams,
 * only those are allowed.
 */
static void
check_team_name(struct pb_checker *c)
{
	const struct pb_yaml_node *n;

	if (!pb_is_valid_name(pb_str_from(c->team)) ||
	    strcmp(c->team, PB_FLEET_TEAM) == 0) {
		pb_report_fault(c, 1, "document",
		    "\"%s\" is not the name of a team",
		    pb_format_excerpt(pb_str_from(c->team)).text);
		return;
	}
	if (c->teams == NULL)
		return;
	for (n = c->teams->first; n != NULL; n = n->next) {
		if (pb_str_equal_c(n->text, c->team))
			return;
	}
	pb_report_fault(c, 1, "document",
	    "the team \"%s\" is not listed under teams in the fleet's document",
	    c->team);
}

static void
check_team_texts(
    struct pb_checker *c, const struct pb_settings_text *texts, size_t count)
{
	const struct pb_yaml_node *root;
	size_t i, j;

	for (i = 0; i < count; i++) {
		set_document(c, &texts[i]);
		if (*c->team == '\0')
			continue;
		for (j = 0; j < i; j++) {
			if (texts[j].team != NULL &&
			    strcmp(texts[j].team, c->team) == 0)
				break;
		}
		if (j < i) {
			pb_report_fault(c, 1, "document",
			    "the document of team \"%s\" was already given as "
			    "%s",
			    c->team, texts[j].name);
			continue;
		}
		check_team_name(c);
		root = pb_load_yaml(c, texts[i].text);
		if (root != NULL)
			pb_check_team(c, root);
	}
}

struct pb_settings *
pb_parse_settings_changes(struct pb_context *ctx, const struct pb_settings *old,
    const struct pb_settings_text *texts, size_t count, uint64_t revision,
    struct pb_settings_report *report)
{
	struct pb_checker c = {
	    .ctx = ctx, .report = report, .file = "settings"};
	int faults_before = report->count;
	bool valid;

	c.arena = pb_new_arena(ctx);
	c.settings = calloc(1, sizeof(*c.settings));
	if (c.arena == NULL || c.settings == NULL) {
		c.no_memory = true;
		goto out;
	}
	c.settings->revision = revision;
	c.settings->refs = 1;
	pb_set_fleet_defaults(&c);
	check_fleet_text(&c, texts, count);
	if (old != NULL)
		pb_copy_unchanged_teams(&c, old, texts, count);
	check_team_texts(&c, texts, count);
	pb_check_unique(&c);
out:
	if (c.no_memory) {
		pb_set_error(
		    ctx, PB_ENOMEM, "parse settings", "", "not enough memory");
		pb_report_fault(&c, 1, "document", "not enough memory");
	}
	valid = report->count == faults_before;
	if (!valid && !c.no_memory) {
		pb_set_error(ctx, PB_EINVAL, "parse settings", "",
		    "the settings have %d faults",
		    report->count - faults_before);
	}
	free(c.service_origin);
	free(c.account_origin);
	pb_drop_arena(ctx, c.arena);
	if (!valid) {
		pb_drop_settings(ctx, c.settings);
		return NULL;
	}
	return c.settings;
}

struct pb_settings *
pb_parse_settings(struct pb_context *ctx, const struct pb_settings_text *texts,
    size_t count, uint64_t revision, struct pb_settings_report *report)
{
	return pb_parse_settings_changes(
	    ctx, NULL, texts, count, revision, report);
}
