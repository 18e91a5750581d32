#include "emulator/engine/prefix.h"

#include <glib.h>
#include <stdbool.h>
#include <xxhash.h>

enum
{
  PREFIX_STEP_BYTES = 64
};

struct prefix_cache
{
  unsigned capacity;
  GHashTable *links; /* pointer to hash -> its link in the queue */
  GQueue *recent;    /* gint64 *, the most recently used first */
  int64_t hits;
  int64_t misses;
};

static bool mark_used_ (struct prefix_cache *cache, uint64_t hash);

/* Creates a cache of CAPACITY prefixes. It is not thread-safe: the caller locks around every call.
 */
struct prefix_cache *
prefix_cache_new (unsigned capacity)
{
  struct prefix_cache *cache = g_new0 (struct prefix_cache, 1);

  cache->capacity = capacity;
  cache->links = g_hash_table_new (g_int64_hash, g_int64_equal);
  cache->recent = g_queue_new ();
  return cache;
}

/* Looks up and caches the prefixes of PROMPT whose lengths are multiples of 64 bytes. Returns the
 * length of the longest prefix that, with all shorter ones, had been cached. */
int64_t
prefix_cache_use (struct prefix_cache *cache, const char *prompt, size_t length)
{
  int64_t cached_bytes = 0;
  bool contiguous = true;

  for (size_t end = PREFIX_STEP_BYTES; end <= length; end += PREFIX_STEP_BYTES)
    {
      bool hit = mark_used_ (cache, XXH3_64bits (prompt, end));

      contiguous = contiguous && hit;
      if (contiguous)
        {
          cached_bytes = (int64_t)end;
          cache->hits++;
        }
      else
        cache->misses++;
    }
  return cached_bytes;
}

/* Returns the number of 64-byte steps found in the cache so far. */
int64_t
prefix_cache_hits (const struct prefix_cache *cache)
{
  return cache->hits;
}

/* Returns the number of 64-byte steps not found so far; those after a missing one count as missing.
 */
int64_t
prefix_cache_misses (const struct prefix_cache *cache)
{
  return cache->misses;
}

/* Makes HASH the most recently used, adding it when absent; returns whether it was present. */
static bool
mark_used_ (struct prefix_cache *cache, uint64_t hash)
{
  gint64 key = (gint64)hash;
  GList *link = g_hash_table_lookup (cache->links, &key);
  gint64 *entry;

  if (link != NULL)
    {
      g_queue_unlink (cache->recent, link);
      g_queue_push_head_link (cache->recent, link);
      return true;
    }
  entry = g_new (gint64, 1);
  *entry = key;
  g_queue_push_head (cache->recent, entry);
  g_hash_table_insert (cache->links, entry, cache->recent->head);
  if (g_queue_get_length (cache->recent) > cache->capacity)
    {
      gint64 *oldest = g_queue_pop_tail (cache->recent);

      g_hash_table_remove (cache->links, oldest);
      g_free (oldest);
    }
  return false;
}
