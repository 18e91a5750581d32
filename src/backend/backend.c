#include "backend/backend.h"

static const char *const status_strings[]
    = { "answered", "not sent", "refused", "fenced", "failed", "silent", "stopped" };

/* Returns the name of STATUS. */
const char *
sr_backend_status_to_string (enum sr_backend_status status)
{
  g_assert ((size_t)status < G_N_ELEMENTS (status_strings));
  return status_strings[status];
}
