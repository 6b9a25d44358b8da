#include "poplarbeam/ending.h"

/* Long bodies may use this fraction of the limit; the rest is for short ones.
 */
#define LONG_BODY_SHARE 0.75
/* A longer body is long. */
#define SHORT_BODY_MAX 65536 /* bytes */
/* The least urgent rank leaves this fraction of the limit to the others. */
#define URGENT_SHARE 0.25

double
pb_find_body_share(size_t len, int rank, int rank_count)
{
	double share = len > SHORT_BODY_MAX ? LONG_BODY_SHARE : 1.0;

	if (rank_count < 2)
		return share;
	if (rank >= rank_count)
		rank = rank_count - 1;
	return share - URGENT_SHARE * rank / (rank_count - 1);
}
