#include "quarantine/quarantine.h"

#include "base/counters.h"
#include "base/event-log.h"
#include "quarantine/known-reports.h"
#include "quarantine/part-ends.h"
#include "quarantine/survivors.h"

#include <jansson.h>
#include <stdlib.h>

enum
{
  US_PER_MS = 1000,
  ENTRIES_MAX = 256,               /* parts that have reports */
  SUSPECT_LIFETIME_US = 600000000, /* reports of ends that lead to no verdict */
  END_AGE_MAX_MS = 7200000,        /* of an end that is merged; longer than any time to a trial */
  CLEARED_LIFETIME_US = 60000000,  /* of an entry whose ends are all cleared */
  SPREAD_SUSPECTS_US = 2000000, /* reports on parts that are not blocked are repeated this long */
  TRIAL_STEP_US = 10000000,     /* until the instance of the next rank may try, too */
  TRIAL_RANKS = 3,              /* instances that may try, each once */
  TRIAL_LIFETIME_US = 60000000, /* a trial without any outcome may be repeated after this long */
  RANK_LIFETIME_US = 1000000,
  SAVE_STEP_US = 2000000, /* until the instance of the next rank may save a blocked part */
  SAVE_RANKS = 3,
  RETRY_MIN_MS = 1000 /* an instance that may not try tells its callers to come back after this */
};

/* What is known of one part. */
struct entry_
{
  uint64_t part;            /* the key of the table */
  struct part_ends ends;    /* those that count */
  struct part_ends cleared; /* the latest of those that count no more */
  struct part_ends missed;  /* of those that count no more, the ones that a peer still reports */
  int64_t answered_us; /* earlier ends don't count: an answer received here began then; INT64_MIN:
                          none */
  bool is_blocked;
  bool is_saved; /* outside the fleet's memory, as far as this instance is to see to it */
  int64_t changed_us;
  int64_t spread_us; /* when a report was last new here, or a peer showed that it missed one */
  int64_t trial_us;  /* when this instance last sent a trial; INT64_MIN: not since the last end */
  unsigned rank;     /* of this instance, see trial_rank */
  int64_t ranked_us;
};

struct quarantine
{
  struct quarantine_options options;
  GHashTable *entries; /* part: struct entry_ */
  struct survivors *survivors;
  struct known_reports *known;
  GHashTable *exempt; /* parts that are never blocked */
  unsigned n_blocked;
  unsigned next_report; /* where quarantine_reports goes on */
};

static struct entry_ *entry_of_ (struct quarantine *quarantine, uint64_t part, int64_t now_us);
static void make_room_ (struct quarantine *quarantine, int64_t now_us);
static bool tells_less_ (const struct entry_ *a, const struct entry_ *b);
static bool is_expired_ (const struct entry_ *entry, int64_t now_us);
static struct part_end end_of_report_ (const struct quarantine_report *report);
static bool
merge_end_ (struct quarantine *quarantine, struct quarantine_report *report, int64_t now_us);
static bool merge_cleared_ (struct quarantine *quarantine,
                            const struct quarantine_report *report,
                            int64_t now_us);
static unsigned clear_until_ (struct quarantine *quarantine,
                              uint64_t part,
                              int64_t until_us,
                              struct quarantine_report *reports,
                              int64_t now_us);
static void
judge_ (struct quarantine *quarantine, struct entry_ *entry, const char *reason, int64_t now_us);
static bool may_try_ (struct quarantine *quarantine, struct entry_ *entry, int64_t now_us);
static void update_rank_ (struct quarantine *quarantine, struct entry_ *entry, int64_t now_us);
static struct entry_ *find_blocked_ (const struct quarantine *quarantine,
                                     const struct quarantine_parts *parts,
                                     unsigned index,
                                     uint64_t team);
static bool is_explained_by_absent_part_ (const struct quarantine *quarantine,
                                          const struct entry_ *entry,
                                          const struct quarantine_parts *parts);
static bool is_shared_part_ (const struct quarantine_parts *parts, uint64_t part);

static struct sr_counter suspected_counter_
    = { .name = "sapphirerun_prompt_parts_suspected_total",
        .help = "Prompt parts that were unanswered at the end of a backend server's process." };
static struct sr_counter cleared_counter_
    = { .name = "sapphirerun_prompt_parts_cleared_total",
        .help = "Suspected or blocked prompt parts that were answered afterwards." };
static struct sr_counter verdicts_counter_ = { .name = "sapphirerun_prompt_parts_quarantined_total",
                                               .help = "Times that a prompt part was blocked." };
static struct sr_counter blocked_gauge_
    = { .name = "sapphirerun_prompt_parts_blocked", .help = "Prompt parts that are blocked now." };
static struct sr_counter trials_counter_
    = { .name = "sapphirerun_prompt_part_trials_total",
        .help = "Requests sent to test whether a blocked prompt part is sound." };

/* Call once at start. */
void
quarantine_register_metrics (void)
{
  sr_counter_register (&suspected_counter_);
  sr_counter_register (&cleared_counter_);
  sr_counter_register (&verdicts_counter_);
  sr_counter_register (&blocked_gauge_);
  sr_counter_register (&trials_counter_);
}

struct quarantine *
quarantine_new (const struct quarantine_options *options)
{
  struct quarantine *quarantine = g_new0 (struct quarantine, 1);

  quarantine->options = *options;
  quarantine->entries = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  quarantine->survivors = survivors_new ();
  quarantine->known = known_reports_new ();
  quarantine->exempt = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  return quarantine;
}

void
quarantine_delete (struct quarantine *quarantine)
{
  g_hash_table_unref (quarantine->entries);
  survivors_delete (quarantine->survivors);
  known_reports_delete (quarantine->known);
  g_hash_table_unref (quarantine->exempt);
  g_free (quarantine);
}

/* Sets the N_PARTS PARTS that the operator has exempted: they are never blocked by this instance.
 */
void
quarantine_set_exempt (struct quarantine *quarantine, const uint64_t *parts, size_t n_parts)
{
  g_hash_table_remove_all (quarantine->exempt);
  for (size_t i = 0; i < n_parts; i++)
    g_hash_table_add (quarantine->exempt, g_memdup2 (&parts[i], sizeof parts[i]));
}

/* Decides whether a request with PARTS of TEAM (hash; 0: none) may be sent. A trial counts as sent
 * from then on. */
enum quarantine_verdict
quarantine_check (struct quarantine *quarantine,
                  const struct quarantine_parts *parts,
                  uint64_t team,
                  int64_t now_us,
                  struct quarantine_result *result)
{
  struct entry_ *trial = NULL;

  *result = (struct quarantine_result){ 0 };
  if (quarantine->n_blocked == 0)
    return QUARANTINE_PASS;
  for (unsigned i = 0; i < parts->n; i++)
    {
      struct entry_ *entry = find_blocked_ (quarantine, parts, i, team);

      if (entry == NULL)
        continue;
      result->part = entry->part;
      if (!may_try_ (quarantine, entry, now_us))
        {
          result->resumes_in_ms
              = MAX ((part_ends_trial_due_us (&entry->ends) - now_us) / US_PER_MS, RETRY_MIN_MS);
          for (unsigned k = 0; k < entry->ends.n; k++)
            result->backends[result->n_backends++] = entry->ends.ends[k].backend;
          return QUARANTINE_BLOCKED;
        }
      trial = entry;
    }
  if (trial == NULL)
    return QUARANTINE_PASS;
  trial->trial_us = now_us;
  sr_counter_add (&trials_counter_, 1);
  sr_event (SR_EVENT_INFO, "prompt_part_tried", "{s:o,s:i}", "part",
            json_sprintf ("%" G_GINT64_MODIFIER "x", trial->part), "rank", (int)trial->rank);
  return QUARANTINE_TRIAL;
}

/* Returns whether requests with PARTS of TEAM are blocked, also if one may be tried. */
bool
quarantine_blocks (const struct quarantine *quarantine,
                   const struct quarantine_parts *parts,
                   uint64_t team)
{
  if (quarantine->n_blocked == 0)
    return false;
  for (unsigned i = 0; i < parts->n; i++)
    if (find_blocked_ (quarantine, parts, i, team) != NULL)
      return true;
  return false;
}

/* Returns whether a part of PARTS was unanswered at the end of another process than that of BACKEND
 * that started at STARTED_MS: a request that was at work there should not be sent again. */
bool
quarantine_is_suspect (const struct quarantine *quarantine,
                       const struct quarantine_parts *parts,
                       uint64_t backend,
                       int64_t started_ms)
{
  for (unsigned i = 0; i < parts->n; i++)
    {
      const struct entry_ *entry = g_hash_table_lookup (quarantine->entries, &parts->ids[i]);

      if (entry != NULL && part_ends_accuse_elsewhere (&entry->ends, backend, started_ms))
        return true;
    }
  return false;
}

/* Notes that the answer to a request with PARTS began at BEGAN_US and has got under way. */
void
quarantine_note_survival (struct quarantine *quarantine,
                          const struct quarantine_parts *parts,
                          int64_t began_us,
                          int64_t now_us)
{
  for (unsigned i = 0; i < parts->n; i++)
    {
      struct quarantine_report reports[QUARANTINE_ENDS_MAX];
      unsigned n;

      survivors_add (quarantine->survivors, parts->ids[i], now_us);
      n = clear_until_ (quarantine, parts->ids[i], began_us, reports, now_us);
      if (n > 0)
        quarantine->options.announce (reports, n, quarantine->options.data);
    }
}

/* Notes the end of a server's process with the requests of this instance that were unanswered. */
void
quarantine_note_end (struct quarantine *quarantine,
                     const struct quarantine_process_end *end,
                     int64_t now_us)
{
  struct quarantine_report reports[QUARANTINE_REPORTS_MAX];
  unsigned n = 0;

  for (unsigned r = 0; r < end->n_requests; r++)
    {
      const struct quarantine_parts *parts = end->requests[r].parts;

      for (unsigned i = 0; i < parts->n && n < QUARANTINE_REPORTS_MAX; i++)
        {
          uint64_t part = parts->ids[i];
          bool survived_before = survivors_has (quarantine->survivors, part, end->at_us);
          struct quarantine_report report = { .kind = QUARANTINE_ENDED,
                                              .part = part,
                                              .at_us = end->at_us,
                                              .backend = end->backend,
                                              .started_ms = end->started_ms,
                                              .team = end->requests[r].team,
                                              .progress = end->requests[r].progress,
                                              .survived_before = survived_before };

          if (merge_end_ (quarantine, &report, now_us))
            reports[n++] = report;
        }
    }
  if (n > 0)
    quarantine->options.announce (reports, n, quarantine->options.data);
}

/* Merges up to QUARANTINE_REPORTS_MAX reports of a peer, and announces those that are new here. */
void
quarantine_merge (struct quarantine *quarantine,
                  const struct quarantine_report *reports,
                  unsigned n_reports,
                  int64_t now_us)
{
  struct quarantine_report fresh[QUARANTINE_REPORTS_MAX];
  unsigned n = 0;

  g_assert (n_reports <= QUARANTINE_REPORTS_MAX);
  for (unsigned i = 0; i < n_reports; i++)
    {
      struct quarantine_report report = reports[i];
      bool is_new;

      report.at_us = MIN (report.at_us, now_us);
      if (report.kind == QUARANTINE_CLEARED)
        is_new = merge_cleared_ (quarantine, &report, now_us);
      else
        {
          report.survived_before
              = report.survived_before
                || survivors_has (quarantine->survivors, report.part, report.at_us);
          is_new = merge_end_ (quarantine, &report, now_us);
        }
      if (is_new)
        fresh[n++] = report;
    }
  if (n > 0)
    quarantine->options.announce (fresh, n, quarantine->options.data);
}

/* Copies up to MAX reports to repeat to peers into REPORTS: those on blocked parts and, for a short
 * time or if WITH_SUSPECTS is set, on others. Each call goes on where the one before has ended.
 * Returns their number. */
unsigned
quarantine_reports (struct quarantine *quarantine,
                    bool with_suspects,
                    struct quarantine_report *reports,
                    unsigned max,
                    int64_t now_us)
{
  g_autoptr (GPtrArray) chosen = g_ptr_array_new ();
  unsigned n = 0;
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, quarantine->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct entry_ *entry = value;

      if (entry->is_blocked || with_suspects || now_us < entry->spread_us + SPREAD_SUSPECTS_US)
        g_ptr_array_add (chosen, value);
    }
  for (unsigned i = 0; i < chosen->len; i++)
    {
      const struct entry_ *entry = chosen->pdata[(quarantine->next_report + i) % chosen->len];
      unsigned needed = entry->ends.n + entry->cleared.n + entry->missed.n;

      if (n + needed > max)
        {
          quarantine->next_report += i;
          return n;
        }
      n += part_ends_to_reports (&entry->ends, QUARANTINE_ENDED, entry->part, reports + n);
      n += part_ends_to_reports (&entry->cleared, QUARANTINE_CLEARED, entry->part, reports + n);
      n += part_ends_to_reports (&entry->missed, QUARANTINE_CLEARED, entry->part, reports + n);
    }
  return n;
}

/* Sets up to QUARANTINE_ENDS_MAX REPORTS on a blocked part that this instance is to save, for
 * instances that can't reach a peer; the part counts as saved from then on. Few instances save a
 * part, one after the other, in case one is gone. Returns their number, 0: there is none. */
unsigned
quarantine_take_unsaved (struct quarantine *quarantine,
                         struct quarantine_report *reports,
                         int64_t now_us)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, quarantine->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct entry_ *entry = value;

      if (!entry->is_blocked || entry->is_saved)
        continue;
      update_rank_ (quarantine, entry, now_us);
      if (entry->rank >= SAVE_RANKS
          || now_us - entry->changed_us < entry->rank * (int64_t)SAVE_STEP_US)
        continue;
      entry->is_saved = true;
      return part_ends_to_reports (&entry->ends, QUARANTINE_ENDED, entry->part, reports);
    }
  return 0;
}

/* Saving PART has failed. */
void
quarantine_set_unsaved (struct quarantine *quarantine, uint64_t part)
{
  struct entry_ *entry = g_hash_table_lookup (quarantine->entries, &part);

  if (entry != NULL)
    entry->is_saved = false;
}

/* Returns whether the N_REPORTS REPORTS on the ends of one part, as they were saved, hold no more:
 * a request with the part may be tried. */
bool
quarantine_is_outdated (const struct quarantine_report *reports, unsigned n_reports, int64_t now_us)
{
  struct part_ends ends = { 0 };

  for (unsigned i = 0; i < n_reports; i++)
    {
      const struct part_end end = end_of_report_ (&reports[i]);

      part_ends_add (&ends, &end);
    }
  return ends.n == 0 || part_ends_trial_due_us (&ends) < now_us;
}

unsigned
quarantine_blocked_count (const struct quarantine *quarantine)
{
  return quarantine->n_blocked;
}

/* Appends a JSON list of the blocked parts to OUT. */
void
quarantine_print (const struct quarantine *quarantine, GString *out, int64_t now_us)
{
  json_t *list = json_array ();
  GHashTableIter iter;
  void *value;
  char *text;

  g_hash_table_iter_init (&iter, quarantine->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct entry_ *entry = value;

      if (entry->is_blocked)
        json_array_append_new (
            list,
            json_pack (
                "{s:o,s:I,s:b,s:o}", "part", json_sprintf ("%" G_GINT64_MODIFIER "x", entry->part),
                "trial_in_ms",
                (json_int_t)MAX ((part_ends_trial_due_us (&entry->ends) - now_us) / US_PER_MS, 0),
                "exempt", (int)g_hash_table_contains (quarantine->exempt, &entry->part), "ends",
                part_ends_to_json (&entry->ends, now_us)));
    }
  text = json_dumps (list, JSON_INDENT (2));
  g_string_append (out, text);
  g_string_append_c (out, '\n');
  free (text);
  json_decref (list);
}

/* Returns the entry of PART, which is created at its first report. */
static struct entry_ *
entry_of_ (struct quarantine *quarantine, uint64_t part, int64_t now_us)
{
  struct entry_ *entry = g_hash_table_lookup (quarantine->entries, &part);

  if (entry != NULL)
    return entry;
  if (g_hash_table_size (quarantine->entries) >= ENTRIES_MAX)
    make_room_ (quarantine, now_us);
  entry = g_new0 (struct entry_, 1);
  entry->part = part;
  entry->answered_us = entry->trial_us = entry->ranked_us = INT64_MIN;
  entry->spread_us = now_us - SPREAD_SUSPECTS_US;
  entry->changed_us = now_us;
  g_hash_table_insert (quarantine->entries, &entry->part, entry);
  return entry;
}

/* Removes the entries that have expired, else the one that tells least, see tells_less_. */
static void
make_room_ (struct quarantine *quarantine, int64_t now_us)
{
  struct entry_ *least = NULL;
  bool removed = false;
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, quarantine->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct entry_ *entry = value;

      if (is_expired_ (entry, now_us))
        {
          g_hash_table_iter_remove (&iter);
          removed = true;
        }
      else if (least == NULL || tells_less_ (entry, least))
        least = entry;
    }
  if (removed || least == NULL)
    return;
  least->ends.n = 0;
  judge_ (quarantine, least, "too many parts are known", now_us);
  g_hash_table_remove (quarantine->entries, &least->part);
}

/* Returns whether A tells less than B: it is not blocked, has fewer ends, or older ones. */
static bool
tells_less_ (const struct entry_ *a, const struct entry_ *b)
{
  if (a->is_blocked != b->is_blocked)
    return b->is_blocked;
  if (a->ends.n != b->ends.n)
    return a->ends.n < b->ends.n;
  return a->changed_us < b->changed_us;
}

static bool
is_expired_ (const struct entry_ *entry, int64_t now_us)
{
  int64_t lifetime_us = entry->ends.n == 0 ? CLEARED_LIFETIME_US : SUSPECT_LIFETIME_US;

  return !entry->is_blocked && now_us - entry->changed_us > lifetime_us;
}

static struct part_end
end_of_report_ (const struct quarantine_report *report)
{
  return (struct part_end){ .backend = report->backend,
                            .started_ms = report->started_ms,
                            .at_us = report->at_us,
                            .team = report->team,
                            .progress = report->progress,
                            .survived_before = report->survived_before };
}

/* Returns whether REPORT, on an end, was new. It is turned into one that clears the end where an
 * answer received here shows that. */
static bool
merge_end_ (struct quarantine *quarantine, struct quarantine_report *report, int64_t now_us)
{
  const struct part_end end = end_of_report_ (report);
  struct entry_ *entry;
  bool is_first;
  bool is_new;

  if ((now_us - report->at_us) / US_PER_MS > END_AGE_MAX_MS)
    return false;
  if (known_reports_is_cleared (quarantine->known, report))
    {
      entry = entry_of_ (quarantine, report->part, now_us);
      if (now_us >= entry->spread_us + SPREAD_SUSPECTS_US)
        entry->missed.n = 0;
      part_ends_put (&entry->missed, &end);
      entry->spread_us = now_us;
      return false;
    }
  is_new = known_reports_add (quarantine->known, report);
  entry = entry_of_ (quarantine, report->part, now_us);
  if (is_new)
    entry->spread_us = now_us;
  if (report->at_us <= entry->answered_us)
    {
      report->kind = QUARANTINE_CLEARED;
      return merge_cleared_ (quarantine, report, now_us);
    }
  if (is_expired_ (entry, now_us))
    entry->ends.n = 0;
  is_first = entry->ends.n == 0;
  part_ends_add (&entry->ends, &end);
  if (!is_new)
    {
      /* The time may be earlier now, or the end had been dropped for lack of room. */
      if (part_ends_are_conclusive (&entry->ends) != entry->is_blocked)
        judge_ (quarantine, entry, "more is known of its ends", now_us);
      return false;
    }
  if (is_first)
    {
      sr_counter_add (&suspected_counter_, 1);
      sr_event (SR_EVENT_INFO, "prompt_part_suspected", "{s:o,s:i,s:b,s:o}", "part",
                json_sprintf ("%" G_GINT64_MODIFIER "x", entry->part), "progress",
                (int)report->progress, "answered_before", (int)report->survived_before, "ends",
                part_ends_to_json (&entry->ends, now_us));
    }
  entry->changed_us = now_us;
  entry->trial_us = INT64_MIN;
  entry->is_saved = false;
  judge_ (quarantine, entry, "it was unanswered at the ends of several servers", now_us);
  return true;
}

/* Clears the end of REPORT, also if it is reported only later. Returns whether that was new. */
static bool
merge_cleared_ (struct quarantine *quarantine,
                const struct quarantine_report *report,
                int64_t now_us)
{
  const struct part_end end = end_of_report_ (report);
  struct entry_ *entry = g_hash_table_lookup (quarantine->entries, &report->part);
  bool is_new = known_reports_add (quarantine->known, report);

  if (entry == NULL)
    return is_new;
  if (is_new)
    entry->spread_us = now_us;
  part_ends_add (&entry->cleared, &end);
  if (!part_ends_remove (&entry->ends, &end))
    return is_new;
  if (entry->ends.n == 0)
    {
      sr_counter_add (&cleared_counter_, 1);
      sr_event (SR_EVENT_INFO, "prompt_part_cleared", "{s:o,s:b}", "part",
                json_sprintf ("%" G_GINT64_MODIFIER "x", entry->part), "was_blocked",
                (int)entry->is_blocked);
    }
  entry->changed_us = now_us;
  entry->trial_us = INT64_MIN;
  judge_ (quarantine, entry, "a request with it was answered", now_us);
  return is_new;
}

/* Clears the ends of PART until UNTIL_US, when an answer with it began that got under way. Sets up
 * to QUARANTINE_ENDS_MAX REPORTS that say so, and returns their number. */
static unsigned
clear_until_ (struct quarantine *quarantine,
              uint64_t part,
              int64_t until_us,
              struct quarantine_report *reports,
              int64_t now_us)
{
  struct entry_ *entry = g_hash_table_lookup (quarantine->entries, &part);
  struct quarantine_report known[QUARANTINE_ENDS_MAX];
  unsigned n_known;
  unsigned n = 0;

  if (entry == NULL)
    return 0;
  entry->answered_us = MAX (entry->answered_us, until_us);
  n_known = part_ends_to_reports (&entry->ends, QUARANTINE_CLEARED, part, known);
  for (unsigned i = 0; i < n_known; i++)
    if (known[i].at_us <= until_us && merge_cleared_ (quarantine, &known[i], now_us))
      reports[n++] = known[i];
  return n;
}

/* Blocks or releases the part of ENTRY, whose reports have changed. */
static void
judge_ (struct quarantine *quarantine, struct entry_ *entry, const char *reason, int64_t now_us)
{
  bool is_blocked = part_ends_are_conclusive (&entry->ends);

  if (is_blocked == entry->is_blocked)
    {
      /* It may be blocked for more teams now. */
      if (is_blocked)
        quarantine->options.blocked (entry->part, quarantine->options.data);
      return;
    }
  entry->is_blocked = is_blocked;
  quarantine->n_blocked += is_blocked ? 1 : -1U;
  sr_counter_set (&blocked_gauge_, quarantine->n_blocked);
  if (!is_blocked)
    {
      sr_event (SR_EVENT_INFO, "prompt_part_released", "{s:o,s:s}", "part",
                json_sprintf ("%" G_GINT64_MODIFIER "x", entry->part), "reason", reason);
      return;
    }
  sr_counter_add (&verdicts_counter_, 1);
  sr_event (SR_EVENT_WARNING, "prompt_part_blocked", "{s:o,s:s,s:o,s:I}", "part",
            json_sprintf ("%" G_GINT64_MODIFIER "x", entry->part), "reason", reason, "ends",
            part_ends_to_json (&entry->ends, now_us), "trial_in_ms",
            (json_int_t)MAX ((part_ends_trial_due_us (&entry->ends) - now_us) / US_PER_MS, 0));
  quarantine->options.blocked (entry->part, quarantine->options.data);
}

/* Returns whether this instance may send a request with the blocked part of ENTRY. Few instances
 * may, one after the other, and each only once until there is an outcome. */
static bool
may_try_ (struct quarantine *quarantine, struct entry_ *entry, int64_t now_us)
{
  int64_t due_us = part_ends_trial_due_us (&entry->ends);

  if (now_us < due_us)
    return false;
  if (entry->trial_us != INT64_MIN && now_us - entry->trial_us < TRIAL_LIFETIME_US)
    return false;
  update_rank_ (quarantine, entry, now_us);
  return entry->rank < TRIAL_RANKS && now_us >= due_us + entry->rank * (int64_t)TRIAL_STEP_US;
}

static void
update_rank_ (struct quarantine *quarantine, struct entry_ *entry, int64_t now_us)
{
  if (entry->ranked_us != INT64_MIN && now_us - entry->ranked_us <= RANK_LIFETIME_US)
    return;
  entry->rank = quarantine->options.trial_rank (entry->part, quarantine->options.data);
  entry->ranked_us = now_us;
}

/* Returns the entry by which the part with INDEX in PARTS blocks requests of TEAM, or NULL. */
static struct entry_ *
find_blocked_ (const struct quarantine *quarantine,
               const struct quarantine_parts *parts,
               unsigned index,
               uint64_t team)
{
  struct entry_ *entry = g_hash_table_lookup (quarantine->entries, &parts->ids[index]);

  if (entry == NULL || !entry->is_blocked || !part_ends_concern_team (&entry->ends, team)
      || g_hash_table_contains (quarantine->exempt, &entry->part)
      || is_explained_by_absent_part_ (quarantine, entry, parts))
    return NULL;
  return entry;
}

/* Returns whether another blocked part, which PARTS does not have, was unanswered at the same ends:
 * the part of ENTRY may only have come with it. */
static bool
is_explained_by_absent_part_ (const struct quarantine *quarantine,
                              const struct entry_ *entry,
                              const struct quarantine_parts *parts)
{
  GHashTableIter iter;
  void *value;

  if (quarantine->n_blocked < 2)
    return false;
  g_hash_table_iter_init (&iter, quarantine->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct entry_ *other = value;

      if (other != entry && other->is_blocked && part_ends_equal (&entry->ends, &other->ends)
          && !is_shared_part_ (parts, other->part))
        return true;
    }
  return false;
}

static bool
is_shared_part_ (const struct quarantine_parts *parts, uint64_t part)
{
  for (unsigned i = 0; i < parts->n; i++)
    if (parts->ids[i] == part)
      return true;
  return false;
}
