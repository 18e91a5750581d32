/* The object store of the platform stand-in: versioned objects by kind and name, in memory. */
#pragma once

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

enum store_status
{
  STORE_OK,
  STORE_ABSENT,
  STORE_CONFLICT
};

struct store;

struct store *store_new (void);
enum store_status store_get (
    struct store *store, const char *kind, const char *name, GString *body, int64_t *version);
enum store_status store_put (struct store *store,
                             const char *kind,
                             const char *name,
                             const GString *body,
                             int64_t expected_version,
                             int64_t *version);
enum store_status store_remove (struct store *store,
                                const char *kind,
                                const char *name,
                                int64_t expected_version,
                                int64_t *version);
enum store_status store_wait (struct store *store,
                              const char *kind,
                              const char *name,
                              int64_t after_version,
                              int64_t end_us,
                              GString *body,
                              int64_t *version);
json_t *store_list (
    struct store *store, const char *kind, const char *prefix, const char *after, int64_t limit);
