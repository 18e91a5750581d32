/* The object store of the stand-in: objects by kind and name with one revision counter. It reports
 * the objects changed since a revision, and can be restored from an older snapshot. */
#pragma once

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

struct objects;

struct objects *objects_new (void);
json_t *objects_list (
    const struct objects *objects, const char *kind, const char *after, unsigned limit, bool *more);
json_t *objects_get (const struct objects *objects, const char *kind, const char *name);
int64_t objects_revision (const struct objects *objects);
bool objects_put (
    struct objects *objects, const char *kind, const char *name, json_t *spec, int64_t expected);
bool objects_remove (struct objects *objects, const char *kind, const char *name);
int64_t objects_era (const struct objects *objects);
void objects_restore (struct objects *objects, int64_t age_ms);
json_t *objects_changes (const struct objects *objects, const char *kind, int64_t after);
