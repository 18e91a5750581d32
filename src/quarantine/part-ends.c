#include "quarantine/part-ends.h"

#include <stdlib.h>

enum
{
  US_PER_MS = 1000,
  /* Ends closer to each other count as one: a whole rack may fail at once. */
  BEGUN_SPREAD_US = 60000,
  SPREAD_US = 500000,
  BEGUN_ENDS = 2,  /* of requests whose answer had just begun: block a part */
  PARTLY_ENDS = 3, /* of these, and of ones whose answer had not got far: block a part */
  ANY_ENDS = 4,    /* block a part */

  BLOCK_FIRST_US = 30000000, /* from the last end to the first trial; doubles with each end in a
                                trial */
  TRIAL_SPREAD_US = BLOCK_FIRST_US / 2, /* ends this far apart are those of different trials */
  BLOCK_DOUBLINGS_MAX = 7
};

static bool is_same_process_ (const struct part_end *a, const struct part_end *b);
static enum quarantine_progress evidence_ (const struct part_end *end);
static int compare_ends_ (const void *a, const void *b);
static unsigned
count_spaced_ (const struct part_ends *ends, int64_t spread_us, enum quarantine_progress least);

/* Adds END. Reports of one end are merged to the same result in any order. */
void
part_ends_add (struct part_ends *ends, const struct part_end *end)
{
  struct part_end *known = NULL;

  for (unsigned i = 0; i < ends->n && known == NULL; i++)
    if (is_same_process_ (&ends->ends[i], end))
      known = &ends->ends[i];
  if (known != NULL)
    {
      known->progress = MAX (known->progress, end->progress);
      known->survived_before = known->survived_before || end->survived_before;
      known->at_us = MIN (known->at_us, end->at_us);
      known->team = MIN (known->team, end->team);
    }
  else if (ends->n < QUARANTINE_ENDS_MAX)
    ends->ends[ends->n++] = *end;
  else if (end->at_us > ends->ends[0].at_us)
    ends->ends[0] = *end;
  qsort (ends->ends, ends->n, sizeof ends->ends[0], compare_ends_);
}

/* Adds END, in place of the oldest one if there is no room. */
void
part_ends_put (struct part_ends *ends, const struct part_end *end)
{
  if (ends->n == QUARANTINE_ENDS_MAX && end->at_us <= ends->ends[0].at_us
      && !is_same_process_ (&ends->ends[0], end))
    ends->ends[0] = *end;
  else
    part_ends_add (ends, end);
}

/* Removes the end of the process of END. Returns whether it was there. */
bool
part_ends_remove (struct part_ends *ends, const struct part_end *end)
{
  unsigned kept = 0;
  unsigned before = ends->n;

  for (unsigned i = 0; i < before; i++)
    if (!is_same_process_ (&ends->ends[i], end))
      ends->ends[kept++] = ends->ends[i];
  ends->n = kept;
  return kept < before;
}

/* Returns whether the part has to be blocked. */
bool
part_ends_are_conclusive (const struct part_ends *ends)
{
  return count_spaced_ (ends, BEGUN_SPREAD_US, QUARANTINE_BEGUN) >= BEGUN_ENDS
         || count_spaced_ (ends, SPREAD_US, QUARANTINE_PARTLY) >= PARTLY_ENDS
         || count_spaced_ (ends, SPREAD_US, QUARANTINE_WAITING) >= ANY_ENDS;
}

/* Returns when a request with the blocked part may be tried. There must be an end. */
int64_t
part_ends_trial_due_us (const struct part_ends *ends)
{
  unsigned doublings = count_spaced_ (ends, TRIAL_SPREAD_US, QUARANTINE_WAITING) - 1;

  g_assert (ends->n > 0);
  return ends->ends[ends->n - 1].at_us
         + ((int64_t)BLOCK_FIRST_US << MIN (doublings, (unsigned)BLOCK_DOUBLINGS_MAX));
}

/* Returns whether a verdict from these ends holds for requests of TEAM: those of one team alone
 * can't get a part blocked for others. */
bool
part_ends_concern_team (const struct part_ends *ends, uint64_t team)
{
  for (unsigned i = 0; i < ends->n; i++)
    if (ends->ends[i].team == team || ends->ends[i].team != ends->ends[0].team)
      return true;
  return false;
}

/* Returns whether A and B have the ends of the same processes. */
bool
part_ends_equal (const struct part_ends *a, const struct part_ends *b)
{
  if (a->n != b->n)
    return false;
  for (unsigned i = 0; i < a->n; i++)
    {
      bool found = false;

      for (unsigned k = 0; k < b->n && !found; k++)
        found = is_same_process_ (&a->ends[i], &b->ends[k]);
      if (!found)
        return false;
    }
  return true;
}

/* Returns whether there is an end with the strongest evidence of another process than that of
 * BACKEND that started at STARTED_MS. */
bool
part_ends_accuse_elsewhere (const struct part_ends *ends, uint64_t backend, int64_t started_ms)
{
  const struct part_end own = { .backend = backend, .started_ms = started_ms };

  for (unsigned i = 0; i < ends->n; i++)
    if (evidence_ (&ends->ends[i]) == QUARANTINE_BEGUN && !is_same_process_ (&ends->ends[i], &own))
      return true;
  return false;
}

/* Sets up to QUARANTINE_ENDS_MAX REPORTS of KIND on PART. Returns their number. */
unsigned
part_ends_to_reports (const struct part_ends *ends,
                      enum quarantine_report_kind kind,
                      uint64_t part,
                      struct quarantine_report *reports)
{
  for (unsigned i = 0; i < ends->n; i++)
    reports[i] = (struct quarantine_report){ .kind = kind,
                                             .part = part,
                                             .at_us = ends->ends[i].at_us,
                                             .backend = ends->ends[i].backend,
                                             .started_ms = ends->ends[i].started_ms,
                                             .team = ends->ends[i].team,
                                             .progress = ends->ends[i].progress,
                                             .survived_before = ends->ends[i].survived_before };
  return ends->n;
}

/* For the log: each end, with the server's key and how long ago it was. */
json_t *
part_ends_to_json (const struct part_ends *ends, int64_t now_us)
{
  json_t *list = json_array ();

  for (unsigned i = 0; i < ends->n; i++)
    json_array_append_new (
        list, json_pack ("{s:o,s:I,s:I}", "backend_key",
                         json_sprintf ("%" G_GINT64_MODIFIER "x", ends->ends[i].backend),
                         "started_ms", (json_int_t)ends->ends[i].started_ms, "age_ms",
                         (json_int_t)((now_us - ends->ends[i].at_us) / US_PER_MS)));
  return list;
}

static bool
is_same_process_ (const struct part_end *a, const struct part_end *b)
{
  return a->backend == b->backend && a->started_ms == b->started_ms;
}

/* A part that was answered shortly before is less likely to be the cause. */
static enum quarantine_progress
evidence_ (const struct part_end *end)
{
  return end->survived_before ? MIN (end->progress, QUARANTINE_PARTLY) : end->progress;
}

static int
compare_ends_ (const void *a, const void *b)
{
  const struct part_end *left = a;
  const struct part_end *right = b;

  return (left->at_us > right->at_us) - (left->at_us < right->at_us);
}

/* Returns how many ends with the evidence LEAST or more are SPREAD_US or more from the counted one
 * before. */
static unsigned
count_spaced_ (const struct part_ends *ends, int64_t spread_us, enum quarantine_progress least)
{
  unsigned count = 0;
  int64_t last_us = 0;

  for (unsigned i = 0; i < ends->n; i++)
    {
      const struct part_end *end = &ends->ends[i];

      if (evidence_ (end) < least || (count > 0 && end->at_us - last_us < spread_us))
        continue;
      count++;
      last_us = end->at_us;
    }
  return count;
}
