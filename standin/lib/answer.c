#include "answer.h"

#include <inttypes.h>

void
answer_word(struct pb_str prompt, unsigned int i, char *out)
{
	uint32_t h = (uint32_t)pb_hash(prompt.data, prompt.len, i);

	snprintf(out, ANSWER_WORD_LEN + 1, "w%08" PRIx32 " ", h);
}
