/* Objects that are stored separately for each era of the store, so that a late write from before a
 * restore can't overwrite what was written after it. An object that the current era does not have
 * yet starts with the content it has in the latest earlier era. */
#pragma once

#include "store/store.h"

void era_object_read (
    struct store *store, const char *kind, const char *name, store_callback done, void *data);
void era_object_write (struct store *store,
                       const char *kind,
                       const char *name,
                       json_t *content,
                       int64_t expected_revision,
                       store_callback done,
                       void *data);
