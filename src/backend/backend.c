#include "backend/backend.h"

static const char *const status_names[]
    = { "answered", "not sent", "refused", "fenced", "failed", "silent", "stopped" };

const char *
sr_backend_status_to_string (enum sr_backend_status status)
{
  g_assert ((size_t)status < G_N_ELEMENTS (status_names));
  return status_names[status];
}
