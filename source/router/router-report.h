#ifndef ROUTER_REPORT_H
#define ROUTER_REPORT_H

#include "poplarbeam/base.h"

/* Load report that an upstream returns for GET /v1/load. */
struct load_report {
	uint64_t running; /* requests in progress */
	uint64_t work; /* work units in flight and waiting */
	int64_t age_us;
	bool has_throttle;
	double throttle; /* fraction of full speed, 0 to 1 */
	bool leaving;
};

/* Returns false if the text is not a report or a value is out of range. */
bool router_parse_report(struct pb_str text, struct load_report *out);

#endif
