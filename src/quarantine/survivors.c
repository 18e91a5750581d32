#include "quarantine/survivors.h"

#include <glib.h>

enum
{
  PARTS_MAX = 4096, /* in each of the two tables */
  LATELY_US = 10000000
};

struct survivors
{
  GHashTable *recent; /* part: struct survivor_ */
  GHashTable *older;  /* the table before; dropped when the recent one is full */
};

struct survivor_
{
  uint64_t part; /* the key of the table */
  int64_t at_us; /* when its latest answer got under way */
};

struct survivors *
survivors_new (void)
{
  struct survivors *survivors = g_new0 (struct survivors, 1);

  survivors->recent = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  survivors->older = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  return survivors;
}

void
survivors_delete (struct survivors *survivors)
{
  g_hash_table_unref (survivors->recent);
  g_hash_table_unref (survivors->older);
  g_free (survivors);
}

/* Notes that an answer to a request with PART has got under way. */
void
survivors_add (struct survivors *survivors, uint64_t part, int64_t now_us)
{
  struct survivor_ *survivor = g_hash_table_lookup (survivors->recent, &part);

  if (survivor == NULL)
    {
      if (g_hash_table_size (survivors->recent) >= PARTS_MAX)
        {
          GHashTable *emptied = survivors->older;

          g_hash_table_remove_all (emptied);
          survivors->older = survivors->recent;
          survivors->recent = emptied;
        }
      survivor = g_new (struct survivor_, 1);
      survivor->part = part;
      g_hash_table_insert (survivors->recent, &survivor->part, survivor);
    }
  survivor->at_us = now_us;
}

/* Returns whether an answer to a request with PART got under way shortly before AT_US. */
bool
survivors_has (const struct survivors *survivors, uint64_t part, int64_t at_us)
{
  const struct survivor_ *survivor = g_hash_table_lookup (survivors->recent, &part);

  if (survivor == NULL)
    survivor = g_hash_table_lookup (survivors->older, &part);
  return survivor != NULL && at_us - survivor->at_us < LATELY_US;
}
