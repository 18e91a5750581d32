/* Rendezvous hashing: the order in which candidates are preferred for a key. */
#pragma once

#include <glib.h>
#include <stdint.h>

uint64_t sr_rendezvous_weight (const char *key, size_t key_length, const char *candidate);
GPtrArray *sr_rendezvous_order (const char *key, size_t key_length, const GPtrArray *candidates);
