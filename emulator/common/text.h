/* Output text of the engine stand-in: a function of the prompt and the maximum length alone, so
 * that tests can check a response byte by byte. */
#pragma once

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

int64_t standin_prompt_tokens (size_t prompt_bytes);
int64_t standin_output_tokens (const char *prompt, size_t length, int64_t max_tokens);
void standin_token_append (GString *out, const char *prompt, size_t length, int64_t index);
GString *standin_output_text (const char *prompt, size_t length, int64_t max_tokens);
