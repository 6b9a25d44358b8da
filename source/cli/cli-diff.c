#include "cli.h"

#include <stdlib.h>
#include <string.h>

#define CONTEXT_LINES 3
/* Entries of the longest common subsequence table: 64 MiB at 4 bytes each. */
#define LCS_ENTRIES_MAX (16UL * 1024 * 1024)

struct lines {
	struct pb_str *line;
	size_t count;
};

/* One line of the diff: kept (' '), removed ('-') or added ('+'). */
struct edit {
	char sign;
	struct pb_str line;
	size_t old_pos; /* lines of the old text before this one */
	size_t new_pos; /* lines of the new text before this one */
};

static bool
split_lines(struct pb_str text, struct lines *out)
{
	size_t i, start = 0;

	out->count = 0;
	out->line = calloc(text.len + 1, sizeof(*out->line));
	if (out->line == NULL)
		return false;
	for (i = 0; i < text.len; i++) {
		if (text.data[i] != '\n')
			continue;
		out->line[out->count++] =
		    (struct pb_str){text.data + start, i - start};
		start = i + 1;
	}
	if (start < text.len) {
		out->line[out->count++] =
		    (struct pb_str){text.data + start, text.len - start};
	}
	return true;
}

struct diff_state {
	struct lines a;
	struct lines b;
	struct edit *edit;
	size_t count;
	size_t old_pos;
	size_t new_pos;
};

static void
add_edit(struct diff_state *d, char sign)
{
	struct edit *e = &d->edit[d->count++];

	e->sign = sign;
	e->old_pos = d->old_pos;
	e->new_pos = d->new_pos;
	e->line = sign == '+' ? d->b.line[d->new_pos] : d->a.line[d->old_pos];
	d->old_pos += sign != '+';
	d->new_pos += sign != '-';
}

/*
 * Adds the edits for the lines [old_pos, a_end) and [new_pos, b_end) by their
 * longest common subsequence (LCS). When the LCS table is too large or cannot
 * be allocated, removes all old lines and then adds all new ones.
 */
static void
compute_middle_edits(struct diff_state *d, size_t a_end, size_t b_end)
{
	size_t a0 = d->old_pos, b0 = d->new_pos;
	size_t n = a_end - a0, m = b_end - b0, i, j;
	uint32_t *lcs = NULL;

	if (n > 0 && m > 0 && (n + 1) <= LCS_ENTRIES_MAX / (m + 1))
		lcs = calloc((n + 1) * (m + 1), sizeof(*lcs));
	for (i = n; lcs != NULL && i-- > 0;) {
		for (j = m; j-- > 0;) {
			uint32_t *entry = &lcs[i * (m + 1) + j];

			if (pb_str_equal(d->a.line[a0 + i], d->b.line[b0 + j]))
				*entry = entry[m + 2] + 1;
			else
				*entry = entry[m + 1] > entry[1] ? entry[m + 1]
								 : entry[1];
		}
	}
	while (lcs != NULL && d->old_pos < a_end && d->new_pos < b_end) {
		uint32_t *entry =
		    &lcs[(d->old_pos - a0) * (m + 1) + (d->new_pos - b0)];

		if (pb_str_equal(d->a.line[d->old_pos], d->b.line[d->new_pos]))
			add_edit(d, ' ');
		else
			add_edit(d, entry[m + 1] >= entry[1] ? '-' : '+');
	}
	while (d->old_pos < a_end)
		add_edit(d, '-');
	while (d->new_pos < b_end)
		add_edit(d, '+');
	free(lcs);
}

static void
compute_edits(struct diff_state *d)
{
	size_t a_end = d->a.count, b_end = d->b.count;

	while (d->old_pos < a_end && d->new_pos < b_end &&
	    pb_str_equal(d->a.line[d->old_pos], d->b.line[d->new_pos]))
		add_edit(d, ' ');
	while (a_end > d->old_pos && b_end > d->new_pos &&
	    pb_str_equal(d->a.line[a_end - 1], d->b.line[b_end - 1])) {
		a_end--;
		b_end--;
	}
	compute_middle_edits(d, a_end, b_end);
	while (d->old_pos < d->a.count)
		add_edit(d, ' ');
}

static size_t
next_change(const struct diff_state *d, size_t i)
{
	while (i < d->count && d->edit[i].sign == ' ')
		i++;
	return i;
}

static int
append_hunk(
    const struct diff_state *d, size_t from, size_t to, struct pb_buf *out)
{
	const struct edit *e = &d->edit[from];
	size_t i, old_count = 0, new_count = 0;
	int rc;

	for (i = from; i < to; i++) {
		old_count += d->edit[i].sign != '+';
		new_count += d->edit[i].sign != '-';
	}
	/* For an empty side, the number is that of the line before the hunk. */
	rc = pb_append_fmt(out, "@@ -%zu,%zu +%zu,%zu @@\n",
	    e->old_pos + (old_count > 0), old_count,
	    e->new_pos + (new_count > 0), new_count);
	for (i = from; rc == PB_OK && i < to; i++) {
		e = &d->edit[i];
		rc = pb_append_fmt(
		    out, "%c%.*s\n", e->sign, (int)e->line.len, e->line.data);
	}
	return rc;
}

static int
append_hunks(const struct diff_state *d, struct pb_buf *out)
{
	size_t i = next_change(d, 0), last = 0;
	int rc = PB_OK;

	while (rc == PB_OK && i < d->count) {
		size_t from = i > CONTEXT_LINES ? i - CONTEXT_LINES : 0, end;

		if (from < last)
			from = last;
		/* Changes at most 2 * CONTEXT_LINES apart share a hunk. */
		for (;;) {
			end = i;
			while (end < d->count && d->edit[end].sign != ' ')
				end++;
			i = next_change(d, end);
			if (i == d->count || i - end > 2UL * CONTEXT_LINES)
				break;
		}
		last = end + CONTEXT_LINES < d->count ? end + CONTEXT_LINES
						      : d->count;
		rc = append_hunk(d, from, last, out);
	}
	return rc;
}

int
pb_diff_lines(struct pb_str old_text, struct pb_str new_text,
    const char *old_name, const char *new_name, struct pb_buf *out)
{
	struct diff_state d = {.count = 0};
	int rc = PB_ENOMEM;

	if (!split_lines(old_text, &d.a) || !split_lines(new_text, &d.b))
		goto out;
	d.edit = calloc(d.a.count + d.b.count + 1, sizeof(*d.edit));
	if (d.edit == NULL)
		goto out;
	compute_edits(&d);
	rc = PB_OK;
	if (next_change(&d, 0) < d.count) {
		rc = pb_append_fmt(out, "--- %s\n+++ %s\n", old_name, new_name);
	}
	if (rc == PB_OK)
		rc = append_hunks(&d, out);
out:
	free(d.edit);
	free(d.a.line);
	free(d.b.line);
	return rc;
}
