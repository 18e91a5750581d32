/* What the engine stand-in answers: a function of the prompt alone, so that an answer can be
 * checked to the byte. */
#pragma once

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

int64_t standin_prompt_tokens (size_t prompt_bytes);
int64_t standin_output_tokens (const char *prompt, size_t length, int64_t max_tokens);
void standin_token_append (GString *out, const char *prompt, size_t length, int64_t index);
GString *standin_answer_text (const char *prompt, size_t length, int64_t max_tokens);
