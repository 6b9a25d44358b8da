#include "platform-server.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

char *
platform_read_body(struct mg_connection *conn, size_t *len)
{
	size_t cap = 4096;
	char *data = malloc(cap);
	int n = 1;

	*len = 0;
	while (data != NULL && n > 0) {
		n = mg_read(conn, data + *len, cap - *len - 1);
		if (n > 0)
			*len += (size_t)n;
		if (*len + 1 == cap) {
			char *grown = cap < PLATFORM_BODY_MAX
			    ? realloc(data, cap * 2)
			    : NULL;

			if (grown == NULL) {
				free(data);
				return NULL;
			}
			data = grown;
			cap *= 2;
		}
	}
	if (data != NULL)
		data[*len] = '\0';
	return data;
}

json_t *
platform_read_json(struct mg_connection *conn)
{
	size_t len;
	char *data = platform_read_body(conn, &len);
	json_t *root = data != NULL ? json_loadb(data, len, 0, NULL) : NULL;

	free(data);
	return root;
}

int
platform_send(struct mg_connection *conn, int status, const char *type,
    const char *body, size_t len)
{
	mg_printf(conn,
	    "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %zu\r\n\r\n",
	    status, mg_get_response_code_text(conn, status), type, len);
	mg_write(conn, body, len);
	return status;
}

int
platform_send_json(struct mg_connection *conn, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	json_decref(body);
	if (text == NULL)
		return platform_send(conn, 500, "text/plain", "", 0);
	platform_send(conn, status, "application/json", text, strlen(text));
	free(text);
	return status;
}

int
platform_send_error(struct mg_connection *conn, int status, const char *text)
{
	return platform_send_json(
	    conn, status, json_pack("{s:s}", "error", text));
}
