#include "poplarbeam/boot.h"
#include "poplarbeam/gateway.h"

#include <string.h>

#define HOUR_MS 3600000

#define TEXT(key, name, fallback)                                              \
	{                                                                      \
		key, offsetof(struct pb_gateway_settings, name),               \
		    sizeof(((struct pb_gateway_settings *)0)->name), fallback, \
		    0, 0, 0                                                    \
	}
#define NUMBER(key, name, fallback, min, max)                                 \
	{                                                                     \
		key, offsetof(struct pb_gateway_settings, name), 0, fallback, \
		    min, max, 0                                               \
	}

static const struct pb_config_field fields[] = {
    TEXT("instance", instance, NULL),
    TEXT("domain", domain, NULL),
    TEXT("caller", caller, NULL),
    TEXT("ready", ready, NULL),
    TEXT("metrics", metrics, NULL),
    TEXT("peer", peer, NULL),
    TEXT("store", store, NULL),
    TEXT("log_level", log_level, "info"),
    NUMBER("log_lines_per_s", log_lines_per_s, "200", 1, 100000),
    NUMBER("stop_ms", stop_ms, "8000", 1000, HOUR_MS),
    NUMBER("revoke_ms", revoke_ms, "5000", 1, HOUR_MS),
    NUMBER("strict_revoke", strict_revoke, "1", 0, 1),
    NUMBER("memory_mb", memory_mb, "256", 32, 1048576),
    NUMBER("answer_max_kb", answer_max_kb, "4096", 64, 1048576),
    NUMBER("event_max_kb", event_max_kb, "256", 16, 1048576),
    {"retry_ratio", offsetof(struct pb_gateway_settings, retry_permille), 0,
	"0.2", 0, 10000, 1000},
    NUMBER("retry_slack", retry_slack, "20", 0, 1000000),
    NUMBER("retry_window_s", retry_window_s, "10", 1, 3600),
};

int
pb_load_gateway_settings(struct pb_context *ctx, const char *path,
    struct pb_gateway_settings *settings)
{
	memset(settings, 0, sizeof(*settings));
	return pb_load_config_fields(
	    ctx, path, fields, sizeof(fields) / sizeof(fields[0]), settings);
}
