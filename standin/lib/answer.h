#ifndef STANDIN_ANSWER_H
#define STANDIN_ANSWER_H

#include "poplarbeam/base.h"

/*
 * Text of the completions of the model engine stand-in. It is a pure function
 * of the prompt, so that a client can check every byte of a response.
 */

#define ANSWER_DEFAULT_WORDS 32
#define ANSWER_WORD_LEN 10 /* "w", 8 hex digits, one space */

/*
 * Writes word i of the completion of a prompt to out: ANSWER_WORD_LEN bytes and
 * a terminating NUL.
 */
void answer_word(struct pb_str prompt, unsigned int i, char *out);

#endif
