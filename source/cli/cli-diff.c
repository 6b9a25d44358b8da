#include "cli.h"

#include <stdlib.h>
#include <string.h>

#define CONTEXT_LINES 3
/* Cells of the table of common subsequences; 64 MiB of 4 bytes each. */
#define CELLS_MAX (16UL * 1024 * 1024)

struct lines {
	struct pb_str *line;
	size_t count;
};

/* One line of the result: kept (' '), removed ('-') or added ('+'). */
struct edit {
	char sign;
	struct pb_str line;
	size_t old_at; /* lines of each text before this one */
	size_t new_at;
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

struct differ {
	struct lines a;
	struct lines b;
	struct edit *edit;
	size_t count;
	size_t old_at;
	size_t new_at;
};

static void
add_edit(struct differ *d, char sign)
{
	struct edit *e = &d->edit[d->count++];

	e->sign = sign;
	e->old_at = d->old_at;
	e->new_at = d->new_at;
	e->line = sign == '+' ? d->b.line[d->new_at] : d->a.line[d->old_at];
	d->old_at += sign != '+';
	d->new_at += sign != '-';
}

/*
 * Edits for lines [old_at, a_end) and [new_at, b_end) by their longest common
 * subsequence; without room for the table all old lines go before all new.
 */
static void
edit_middle(struct differ *d, size_t a_end, size_t b_end)
{
	size_t a0 = d->old_at, b0 = d->new_at;
	size_t n = a_end - a0, m = b_end - b0, i, j;
	uint32_t *len = NULL;

	if (n > 0 && m > 0 && (n + 1) <= CELLS_MAX / (m + 1))
		len = calloc((n + 1) * (m + 1), sizeof(*len));
	for (i = n; len != NULL && i-- > 0;) {
		for (j = m; j-- > 0;) {
			uint32_t *cell = &len[i * (m + 1) + j];

			if (pb_str_equal(d->a.line[a0 + i], d->b.line[b0 + j]))
				*cell = cell[m + 2] + 1;
			else
				*cell = cell[m + 1] > cell[1] ? cell[m + 1]
							      : cell[1];
		}
	}
	while (len != NULL && d->old_at < a_end && d->new_at < b_end) {
		uint32_t *cell =
		    &len[(d->old_at - a0) * (m + 1) + (d->new_at - b0)];

		if (pb_str_equal(d->a.line[d->old_at], d->b.line[d->new_at]))
			add_edit(d, ' ');
		else
			add_edit(d, cell[m + 1] >= cell[1] ? '-' : '+');
	}
	while (d->old_at < a_end)
		add_edit(d, '-');
	while (d->new_at < b_end)
		add_edit(d, '+');
	free(len);
}

static void
make_edits(struct differ *d)
{
	size_t a_end = d->a.count, b_end = d->b.count;

	while (d->old_at < a_end && d->new_at < b_end &&
	    pb_str_equal(d->a.line[d->old_at], d->b.line[d->new_at]))
		add_edit(d, ' ');
	while (a_end > d->old_at && b_end > d->new_at &&
	    pb_str_equal(d->a.line[a_end - 1], d->b.line[b_end - 1])) {
		a_end--;
		b_end--;
	}
	edit_middle(d, a_end, b_end);
	while (d->old_at < d->a.count)
		add_edit(d, ' ');
}

static size_t
next_change(const struct differ *d, size_t i)
{
	while (i < d->count && d->edit[i].sign == ' ')
		i++;
	return i;
}

static int
print_hunk(const struct differ *d, size_t from, size_t to, struct pb_buf *out)
{
	const struct edit *e = &d->edit[from];
	size_t i, removed = 0, added = 0;
	int rc;

	for (i = from; i < to; i++) {
		removed += d->edit[i].sign != '+';
		added += d->edit[i].sign != '-';
	}
	/* An empty side is numbered by the line before it. */
	rc = pb_append_fmt(out, "@@ -%zu,%zu +%zu,%zu @@\n",
	    e->old_at + (removed > 0), removed, e->new_at + (added > 0), added);
	for (i = from; rc == PB_OK && i < to; i++) {
		e = &d->edit[i];
		rc = pb_append_fmt(
		    out, "%c%.*s\n", e->sign, (int)e->line.len, e->line.data);
	}
	return rc;
}

static int
print_hunks(const struct differ *d, struct pb_buf *out)
{
	size_t i = next_change(d, 0), last = 0;
	int rc = PB_OK;

	while (rc == PB_OK && i < d->count) {
		size_t from = i > CONTEXT_LINES ? i - CONTEXT_LINES : 0, end;

		if (from < last)
			from = last;
		/* Changes with little between them share one hunk. */
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
		rc = print_hunk(d, from, last, out);
	}
	return rc;
}

int
pb_diff_lines(struct pb_str old_text, struct pb_str new_text,
    const char *old_name, const char *new_name, struct pb_buf *out)
{
	struct differ d = {.count = 0};
	int rc = PB_ENOMEM;

	if (!split_lines(old_text, &d.a) || !split_lines(new_text, &d.b))
		goto out;
	d.edit = calloc(d.a.count + d.b.count + 1, sizeof(*d.edit));
	if (d.edit == NULL)
		goto out;
	make_edits(&d);
	rc = PB_OK;
	if (next_change(&d, 0) < d.count) {
		rc = pb_append_fmt(out, "--- %s\n+++ %s\n", old_name, new_name);
	}
	if (rc == PB_OK)
		rc = print_hunks(&d, out);
out:
	free(d.edit);
	free(d.a.line);
	free(d.b.line);
	return rc;
}
