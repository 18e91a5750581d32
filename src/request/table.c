#include "request/table.h"

#include <string.h>

struct sr_run_table
{
  pthread_mutex_t mutex;
  GHashTable *runs; /* "TEAM/REQUEST" to struct sr_run */
  GQueue kept;      /* answered runs, oldest first */
  unsigned in_progress;
  struct sr_run_table_options options;
};

static char *key_of_ (const char *team, const char *request);
static void run_unref_ (gpointer data);
static void remove_oldest_ (struct sr_run_table *table);

struct sr_run_table *
sr_run_table_new (const struct sr_run_table_options *options)
{
  struct sr_run_table *table = g_new0 (struct sr_run_table, 1);

  pthread_mutex_init (&table->mutex, NULL);
  table->runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, run_unref_);
  g_queue_init (&table->kept);
  table->options = *options;
  return table;
}

/* NULL is allowed. */
void
sr_run_table_delete (struct sr_run_table *table)
{
  if (table == NULL)
    return;
  g_queue_clear (&table->kept);
  g_hash_table_unref (table->runs);
  pthread_mutex_destroy (&table->mutex);
  g_free (table);
}

/* Looks up the run with the team and request id of CANDIDATE, and adds CANDIDATE if there is none.
 * Sets *RUN to a new reference to the run in the table, or to NULL for OTHER_BODY. */
enum sr_run_found
sr_run_table_find_or_add (struct sr_run_table *table, struct sr_run *candidate, struct sr_run **run)
{
  const struct sr_run_params *params = sr_run_params (candidate);
  char *key = key_of_ (params->team->str, params->id->str);
  enum sr_run_found found = SR_RUN_FOUND_JOINED;
  struct sr_run *present;

  pthread_mutex_lock (&table->mutex);
  present = g_hash_table_lookup (table->runs, key);
  if (present == NULL)
    {
      g_hash_table_insert (table->runs, g_strdup (key), sr_run_ref (candidate));
      table->in_progress++;
      present = candidate;
      found = SR_RUN_FOUND_NEW;
    }
  else if (memcmp (sr_run_params (present)->fingerprint, params->fingerprint,
                   sizeof params->fingerprint)
           != 0)
    found = SR_RUN_FOUND_OTHER_BODY;
  *run = found == SR_RUN_FOUND_OTHER_BODY ? NULL : sr_run_ref (present);
  pthread_mutex_unlock (&table->mutex);
  g_free (key);
  return found;
}

/* Returns a new reference to the run of TEAM and REQUEST, or NULL. */
struct sr_run *
sr_run_table_find (struct sr_run_table *table, const char *team, const char *request)
{
  g_autofree char *key = key_of_ (team, request);
  struct sr_run *run;

  pthread_mutex_lock (&table->mutex);
  run = g_hash_table_lookup (table->runs, key);
  if (run != NULL)
    sr_run_ref (run);
  pthread_mutex_unlock (&table->mutex);
  return run;
}

/* Call it once for each run of the table, after sr_run_finish. A run that was answered is kept if
 * its caller chose the id, so that a retry gets the answer; any other is removed, so that a retry
 * starts a new run. */
void
sr_run_table_ended (struct sr_run_table *table, struct sr_run *run)
{
  const struct sr_run_params *params = sr_run_params (run);
  g_autofree char *key = key_of_ (params->team->str, params->id->str);
  bool keep = sr_run_result (run)->outcome == SR_OUTCOME_ANSWERED && params->id_is_from_caller;

  pthread_mutex_lock (&table->mutex);
  g_assert (g_hash_table_lookup (table->runs, key) == run);
  table->in_progress--;
  if (keep)
    g_queue_push_tail (&table->kept, run);
  else
    g_hash_table_remove (table->runs, key);
  while (table->kept.length > table->options.answers_kept_max)
    remove_oldest_ (table);
  pthread_mutex_unlock (&table->mutex);
}

/* Removes answers that were kept for answer_kept_us. */
void
sr_run_table_expire (struct sr_run_table *table, int64_t now_us)
{
  struct sr_run *oldest;

  pthread_mutex_lock (&table->mutex);
  while ((oldest = g_queue_peek_head (&table->kept)) != NULL
         && now_us - sr_run_finished_us (oldest) > table->options.answer_kept_us)
    remove_oldest_ (table);
  pthread_mutex_unlock (&table->mutex);
}

/* Returns how many runs of the table have not been reported by sr_run_table_ended. */
unsigned
sr_run_table_in_progress (struct sr_run_table *table)
{
  unsigned in_progress;

  pthread_mutex_lock (&table->mutex);
  in_progress = table->in_progress;
  pthread_mutex_unlock (&table->mutex);
  return in_progress;
}

static char *
key_of_ (const char *team, const char *request)
{
  return g_strdup_printf ("%s/%s", team, request);
}

static void
run_unref_ (gpointer data)
{
  sr_run_unref (data);
}

static void
remove_oldest_ (struct sr_run_table *table)
{
  struct sr_run *run = g_queue_pop_head (&table->kept);
  g_autofree char *key = key_of_ (sr_run_params (run)->team->str, sr_run_params (run)->id->str);

  g_hash_table_remove (table->runs, key);
}
