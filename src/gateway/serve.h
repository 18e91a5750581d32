/* Running a gateway: its duties put together, from start to stop. */
#pragma once

#include "gateway/backends.h"
#include "gateway/dialect.h"
#include "gateway/settings.h"
#include "store/store.h"

#include <uv.h>

/* What the platform says, in its own names and formats. */
struct gw_platform
{
  const struct gw_dialect *dialect;
  const char *kind_of_configuration;
  const char *kind_of_backends;
  bool (*is_configuration) (const struct store_object *object);
  struct gw_routes *(*decode_routes) (const struct store_object *object);
  bool (*decode_backend) (const struct store_object *object, struct gw_backend_facts *facts);
  struct store *(*open_store) (uv_loop_t *loop, const struct gw_settings *settings);
};

int gw_serve (const struct gw_settings *settings,
              const char *settings_path,
              const struct gw_platform *platform);
