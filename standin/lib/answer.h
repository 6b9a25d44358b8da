#ifndef STANDIN_ANSWER_H
#define STANDIN_ANSWER_H

#include "poplarbeam/base.h"

/*
 * The text that the model engine stand-in answers with: a pure function of the
 * request, so that a client can check every byte of an answer.
 */

#define ANSWER_DEFAULT_WORDS 32
#define ANSWER_WORD_LEN 10 /* "w", 8 hex digits, one space */

/* Writes word number i (ANSWER_WORD_LEN bytes and a NUL) for a prompt. */
void answer_word(struct pb_str prompt, unsigned int i, char *out);

#endif
