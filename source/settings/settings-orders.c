#include "settings-private.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/*
 * Converts a value of "desired" to JSON, with all scalars as strings. Returns
 * NULL on failure, for example if a map has a duplicate key.
 */
static json_t *
node_to_json(const struct pb_yaml_node *node)
{
	const struct pb_yaml_node *n;
	json_t *v;

	if (node->kind == PB_NODE_SCALAR)
		return json_stringn(node->text.data, node->text.len);
	v = node->kind == PB_NODE_MAP ? json_object() : json_array();
	for (n = node->first; n != NULL && v != NULL; n = n->next) {
		bool ok = node->kind == PB_NODE_LIST
		    ? json_array_append_new(v, node_to_json(n)) == 0
		    : json_object_get(v, n->key.data) == NULL &&
			json_object_set_new(v, n->key.data, node_to_json(n)) ==
			    0;

		if (!ok) {
			json_decref(v);
			v = NULL;
		}
	}
	return v;
}

static void
check_desired(struct pb_checker *c, const struct pb_yaml_node *node,
    const char *path, struct pb_service_order *order)
{
	json_t *v = NULL, *parsed = NULL;
	char *text = NULL;

	if (node->kind == PB_NODE_MAP && node->first != NULL)
		v = node_to_json(node);
	if (v != NULL)
		text = json_dumps(v, JSON_COMPACT | JSON_SORT_KEYS);
	/*
	 * Upstreams return this value in their responses, so it must be
	 * possible to parse it.
	 */
	if (text != NULL)
		parsed = json_loads(text, 0, NULL);
	if (parsed == NULL || strlen(text) >= sizeof(order->desired))
		pb_report_fault(c, node->line, path,
		    "expected a map of unique keys that is not empty and has "
		    "at most %zu bytes as JSON",
		    sizeof(order->desired) - 1);
	else
		pb_copy_str(order->desired, sizeof(order->desired), text);
	json_decref(parsed);
	free(text);
	json_decref(v);
}

static void
check_order(struct pb_checker *c, const struct pb_yaml_node *node,
    const char *path, struct pb_service *v)
{
	static const struct pb_field fields[] = {
	    {"name", PB_FIELD_NAME, offsetof(struct pb_service_order, name), 0,
		0},
	    {"desired", PB_FIELD_NODE, 0, 0, 0}};
	struct pb_service_order *order = &v->orders[v->order_count];
	const struct pb_yaml_node *found[2];
	char sub[128];
	int i;

	memset(order, 0, sizeof(*order));
	if (!pb_read_fields(c, node, path, fields, 2, order, found))
		return;
	if (found[0] == NULL || found[1] == NULL) {
		pb_report_fault(c, node->line, path,
		    "an order needs a name and a desired state");
		return;
	}
	snprintf(sub, sizeof(sub), "%s.desired", path);
	check_desired(c, found[1], sub, order);
	for (i = 0; i < v->order_count; i++)
		if (strcmp(v->orders[i].name, order->name) == 0)
			pb_report_fault(c, node->line, path,
			    "the service has two orders named \"%s\"",
			    order->name);
	v->order_count++;
}

static void
check_fencing(struct pb_checker *c, const struct pb_yaml_node *node,
    const char *path, struct pb_service *v)
{
	char sub[96];

	v->fencing = !pb_str_equal_c(node->text, "ignored");
	if (!v->fencing || pb_str_equal_c(node->text, "refused"))
		return;
	snprintf(sub, sizeof(sub), "%s.fencing", path);
	pb_report_fault(c, node->line, sub,
	    "expected \"refused\" or \"ignored\", found \"%s\"",
	    pb_format_excerpt(node->text).text);
}

void
pb_check_orders(struct pb_checker *c, const struct pb_yaml_node *orders,
    const struct pb_yaml_node *fencing, const char *path, struct pb_service *v)
{
	const struct pb_yaml_node *n;
	char sub[96];
	int i = 0;

	v->fencing = true;
	v->order_count = 0;
	if (fencing != NULL)
		check_fencing(c, fencing, path, v);
	if (orders == NULL)
		return;
	snprintf(sub, sizeof(sub), "%s.orders", path);
	if (v->kind != PB_SERVICE_MODEL) {
		pb_report_fault(c, orders->line, sub,
		    "only services of kind \"model\" take orders");
		return;
	}
	if (!pb_check_list(c, orders, sub))
		return;
	for (n = orders->first; n != NULL; n = n->next) {
		if (v->order_count == PB_ORDERS_MAX) {
			pb_report_fault(c, n->line, sub,
			    "expected at most %d orders", PB_ORDERS_MAX);
			return;
		}
		snprintf(sub, sizeof(sub), "%s.orders[%d]", path, i++);
		check_order(c, n, sub, v);
	}
}
