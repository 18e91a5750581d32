/* Objects of which each era of the store has its own, so that a write of before the store's return
 * from a copy can't meet what was written after it. One that the era does not have yet begins as
 * what the latest era before left of it. */
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
