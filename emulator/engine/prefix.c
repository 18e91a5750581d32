#include "emulator/engine/prefix.h"

#include <glib.h>
#include <stdbool.h>
#include <xxhash.h>

enum
{
  STEP_BYTES = 64
};

struct prefix_cache
{
  unsigned capacity;
  GHashTable *links; /* &entry -> link in the queue */
  GQueue *recent;    /* gint64 *, the most recently used first */
  int64_t hits;
  int64_t misses;
};

static bool touch_ (struct prefix_cache *cache, uint64_t hash);

/* A cache of CAPACITY prefixes. The caller holds a lock around every call. */
struct prefix_cache *
prefix_cache_new (unsigned capacity)
{
  struct prefix_cache *cache = g_new0 (struct prefix_cache, 1);

  cache->capacity = capacity;
  cache->links = g_hash_table_new (g_int64_hash, g_int64_equal);
  cache->recent = g_queue_new ();
  return cache;
}

/* Looks up the prefixes of PROMPT in steps of 64 bytes, caches them all and returns how many bytes
 * of the prompt had been cached. */
int64_t
prefix_cache_use (struct prefix_cache *cache, const char *prompt, size_t length)
{
  int64_t cached_bytes = 0;
  bool unbroken = true;

  for (size_t end = STEP_BYTES; end <= length; end += STEP_BYTES)
    {
      bool hit = touch_ (cache, XXH3_64bits (prompt, end));

      unbroken = unbroken && hit;
      if (unbroken)
        {
          cached_bytes = (int64_t)end;
          cache->hits++;
        }
      else
        cache->misses++;
    }
  return cached_bytes;
}

/* Steps found in the cache so far. */
int64_t
prefix_cache_hits (const struct prefix_cache *cache)
{
  return cache->hits;
}

/* Steps not found in the cache so far. */
int64_t
prefix_cache_misses (const struct prefix_cache *cache)
{
  return cache->misses;
}

/* Makes HASH the most recently used; returns whether it was there. */
static bool
touch_ (struct prefix_cache *cache, uint64_t hash)
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
