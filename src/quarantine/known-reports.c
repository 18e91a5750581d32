#include "quarantine/known-reports.h"

#include <xxhash.h>

enum
{
  ENDS_MAX = 4096 /* in each of the two tables: many times the ends that a fleet repeats at once */
};

struct known_reports
{
  GHashTable *recent; /* key: struct known_end_ */
  GHashTable *older;  /* the table before; dropped when the recent one is full */
};

/* What has been reported of one part at the end of one process. */
struct known_end_
{
  uint64_t key; /* the key of the table */
  enum quarantine_progress progress;
  bool survived_before;
  bool is_cleared;
};

static struct known_end_ *find_ (struct known_reports *known, uint64_t key);
static void insert_ (struct known_reports *known, struct known_end_ *end);
static uint64_t key_of_ (const struct quarantine_report *report);

struct known_reports *
known_reports_new (void)
{
  struct known_reports *known = g_new0 (struct known_reports, 1);

  known->recent = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  known->older = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  return known;
}

void
known_reports_delete (struct known_reports *known)
{
  g_hash_table_unref (known->recent);
  g_hash_table_unref (known->older);
  g_free (known);
}

/* Adds REPORT. Returns whether it tells more than the earlier ones on the same end. */
bool
known_reports_add (struct known_reports *known, const struct quarantine_report *report)
{
  uint64_t key = key_of_ (report);
  bool clears = report->kind == QUARANTINE_CLEARED;
  struct known_end_ *end = find_ (known, key);
  bool is_new;

  if (end == NULL)
    {
      end = g_new0 (struct known_end_, 1);
      *end = (struct known_end_){ .key = key,
                                  .progress = report->progress,
                                  .survived_before = report->survived_before,
                                  .is_cleared = clears };
      insert_ (known, end);
      return true;
    }
  /* Nothing counts of an end that is cleared. */
  if (end->is_cleared)
    return false;
  is_new = clears || report->progress > end->progress
           || (report->survived_before && !end->survived_before);
  end->progress = MAX (end->progress, report->progress);
  end->survived_before = end->survived_before || report->survived_before;
  end->is_cleared = clears;
  return is_new;
}

/* Returns whether the end of REPORT has been cleared. */
bool
known_reports_is_cleared (struct known_reports *known, const struct quarantine_report *report)
{
  const struct known_end_ *end = find_ (known, key_of_ (report));

  return end != NULL && end->is_cleared;
}

/* Returns what is known of the end with KEY, or NULL. It is moved to the recent table: what peers
 * repeat is not forgotten. */
static struct known_end_ *
find_ (struct known_reports *known, uint64_t key)
{
  struct known_end_ *end = g_hash_table_lookup (known->recent, &key);

  if (end != NULL)
    return end;
  end = g_hash_table_lookup (known->older, &key);
  if (end == NULL)
    return NULL;
  g_hash_table_steal (known->older, &key);
  insert_ (known, end);
  return end;
}

static void
insert_ (struct known_reports *known, struct known_end_ *end)
{
  if (g_hash_table_size (known->recent) >= ENDS_MAX)
    {
      GHashTable *emptied = known->older;

      g_hash_table_remove_all (emptied);
      known->older = known->recent;
      known->recent = emptied;
    }
  g_hash_table_insert (known->recent, &end->key, end);
}

/* The time of the end is no part of its identity: it changes with each hop. */
static uint64_t
key_of_ (const struct quarantine_report *report)
{
  const uint64_t identity[] = { report->part, report->backend, (uint64_t)report->started_ms };

  return XXH3_64bits (identity, sizeof identity);
}
