#include "base/outcome.h"

#include <glib.h>

static const char *const outcome_strings[] = { "answered", "not run", "unknown" };

/* Returns the text for OUTCOME that is sent to callers. */
const char *
sr_outcome_to_string (enum sr_outcome outcome)
{
  g_assert ((size_t)outcome < G_N_ELEMENTS (outcome_strings));
  return outcome_strings[outcome];
}
