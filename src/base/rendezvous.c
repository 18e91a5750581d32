#include "base/rendezvous.h"

#include <string.h>
#include <xxhash.h>

struct weighted_name
{
  uint64_t weight;
  const char *name;
};

static int compare_weights_ (const void *left, const void *right);

/* Returns the weight of CANDIDATE (a NUL-terminated name) for KEY; the candidate with the
 * highest weight is preferred. Highest random weight hashing, Thaler and Ravishankar 1998. */
uint64_t
sr_rendezvous_weight (const char *key, size_t key_length, const char *candidate)
{
  uint64_t seed = XXH3_64bits (key, key_length);

  return XXH3_64bits_withSeed (candidate, strlen (candidate), seed);
}

/* Returns a new array with the names of CANDIDATES, most preferred for KEY first. The strings
 * stay owned by CANDIDATES; the caller frees the array with g_ptr_array_unref. */
GPtrArray *
sr_rendezvous_order (const char *key, size_t key_length, const GPtrArray *candidates)
{
  GPtrArray *order = g_ptr_array_sized_new (candidates->len);
  struct weighted_name *weighted = g_new (struct weighted_name, candidates->len + 1);

  for (guint i = 0; i < candidates->len; i++)
    {
      weighted[i].name = (const char *)candidates->pdata[i];
      weighted[i].weight = sr_rendezvous_weight (key, key_length, weighted[i].name);
    }
  qsort (weighted, candidates->len, sizeof *weighted, compare_weights_);
  for (guint i = 0; i < candidates->len; i++)
    g_ptr_array_add (order, (void *)weighted[i].name);
  g_free (weighted);
  return order;
}

static int
compare_weights_ (const void *left, const void *right)
{
  const struct weighted_name *a = left;
  const struct weighted_name *b = right;

  if (a->weight != b->weight)
    return a->weight > b->weight ? -1 : 1;
  return strcmp (a->name, b->name);
}
