/* Runs a gateway process from start to stop. */
#pragma once

#include "gateway/backends.h"
#include "gateway/dialect.h"
#include "gateway/settings.h"
#include "store/store.h"

#include <uv.h>

/* Platform adapter: decodes the platform's objects and provides its store. */
struct gw_platform
{
  const struct gw_dialect *dialect;
  const char *configuration_kind; /* kind of the store objects, for store_list */
  const char *backend_kind;
  const char *evacuation_kind; /* each object is named after an evacuated data centre */
  /* Returns true if OBJECT, of the kind of the configuration, is the gateway's configuration. */
  bool (*is_configuration) (const struct store_object *object);
  /* Returns NULL if OBJECT is not valid. What it has in common with PREVIOUS, which may be NULL, is
   * shared instead of decoded. */
  struct gw_routes *(*decode_routes) (const struct store_object *object,
                                      const struct gw_routes *previous);
  /* Returns false if OBJECT is not valid; otherwise the caller owns the texts in FACTS. */
  bool (*decode_backend) (const struct store_object *object, struct gw_backend_facts *facts);
  /* Returns true if CONTRACTS, an array of GString, say that callers compete for too little
   * capacity. */
  bool (*callers_compete) (const GPtrArray *contracts);
  struct store *(*open_store) (uv_loop_t *loop, const struct gw_settings *settings);
};

int gw_serve (const struct gw_settings *settings,
              const char *settings_path,
              const struct gw_platform *platform);
