#ifndef REGISTRY_INTERNAL_H
#define REGISTRY_INTERNAL_H

#include "poplarbeam/registry.h"

struct pb_registry {
	const struct pb_registry_ops *ops;
	void *owner;
	struct pb_instance **instances;
	size_t count;
	size_t cap;
	int64_t defer_until_us; /* 0: removals take effect at once */
};

#endif
