/* Rendezvous hashing: orders candidates by preference for a key, so that removing one candidate
 * moves only the keys that preferred it. */
#pragma once

#include <glib.h>
#include <stdint.h>

uint64_t sr_rendezvous_weight (const char *key, size_t key_length, const char *candidate);
GPtrArray *sr_rendezvous_order (const char *key, size_t key_length, const GPtrArray *candidates);
