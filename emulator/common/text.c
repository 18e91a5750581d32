#include "emulator/common/text.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum
{
  BYTES_PER_TOKEN = 4,
  OUTPUT_TOKENS_DEFAULT = 16
};

static const char length_marker_[] = "[n=";

/* Returns the number of tokens of a prompt: 4 bytes each, rounded up. */
int64_t
standin_prompt_tokens (size_t prompt_bytes)
{
  return (int64_t)((prompt_bytes + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN);
}

/* Returns the number of tokens of the complete output: the N of the last "[n=N]" in the prompt, or
 * 16 without one, but at most MAX_TOKENS. */
int64_t
standin_output_tokens (const char *prompt, size_t length, int64_t max_tokens)
{
  const char *marker = g_strrstr_len (prompt, (gssize)length, length_marker_);
  int64_t requested = OUTPUT_TOKENS_DEFAULT;

  if (marker != NULL)
    {
      char *end;
      int64_t value = strtoll (marker + strlen (length_marker_), &end, 10);

      if (*end == ']' && value >= 0)
        requested = value;
    }
  return MIN (requested, max_tokens);
}

/* Appends the text of token INDEX: eight hex digits of the prompt's XXH3-64, a dot, the index and a
 * space. */
void
standin_token_append (GString *out, const char *prompt, size_t length, int64_t index)
{
  uint32_t hash = (uint32_t)XXH3_64bits (prompt, length);

  g_string_append_printf (out, "%08x.%" G_GINT64_FORMAT " ", hash, index);
}

/* Returns the complete output for PROMPT; the caller frees it. */
GString *
standin_output_text (const char *prompt, size_t length, int64_t max_tokens)
{
  GString *text = g_string_new (NULL);
  int64_t count = standin_output_tokens (prompt, length, max_tokens);

  for (int64_t i = 0; i < count; i++)
    standin_token_append (text, prompt, length, i);
  return text;
}
