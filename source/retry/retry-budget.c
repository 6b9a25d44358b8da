#include "poplarbeam/retry.h"

#include <pthread.h>
#include <stdlib.h>

struct pb_retry_budget {
	pthread_mutex_t lock;
	double share;
	double burst;
	double tokens;
};

struct pb_retry_budget *
pb_new_retry_budget(struct pb_context *ctx, double share, double burst)
{
	struct pb_retry_budget *budget = calloc(1, sizeof(*budget));

	(void)ctx;
	if (budget == NULL)
		return NULL;
	pthread_mutex_init(&budget->lock, NULL);
	budget->share = share;
	budget->burst = burst;
	budget->tokens = burst;
	return budget;
}

void
pb_drop_retry_budget(struct pb_context *ctx, struct pb_retry_budget *budget)
{
	(void)ctx;
	if (budget == NULL)
		return;
	pthread_mutex_destroy(&budget->lock);
	free(budget);
}

void
pb_set_retry_policy(struct pb_retry_budget *budget, double share, double burst)
{
	pthread_mutex_lock(&budget->lock);
	budget->share = share;
	budget->burst = burst;
	if (budget->tokens > burst)
		budget->tokens = burst;
	pthread_mutex_unlock(&budget->lock);
}

void
pb_note_first_attempt(struct pb_retry_budget *budget)
{
	pthread_mutex_lock(&budget->lock);
	budget->tokens += budget->share;
	if (budget->tokens > budget->burst)
		budget->tokens = budget->burst;
	pthread_mutex_unlock(&budget->lock);
}

bool
pb_take_retry(struct pb_retry_budget *budget)
{
	/* Rounding error: ten additions of 0.1 give slightly less than 1. */
	const double slack = 1e-9;
	bool taken;

	pthread_mutex_lock(&budget->lock);
	taken = budget->tokens + slack >= 1;
	if (taken)
		budget->tokens -= 1;
	pthread_mutex_unlock(&budget->lock);
	return taken;
}
