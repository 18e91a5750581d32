/* Prefix cache of the engine stand-in: hashes of prompt prefixes, with eviction of the least
 * recently used. */
#pragma once

#include <stddef.h>
#include <stdint.h>

struct prefix_cache;

struct prefix_cache *prefix_cache_new (unsigned capacity);
int64_t prefix_cache_use (struct prefix_cache *cache, const char *prompt, size_t length);
int64_t prefix_cache_hits (const struct prefix_cache *cache);
int64_t prefix_cache_misses (const struct prefix_cache *cache);
