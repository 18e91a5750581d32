#include "admit/queue.h"

#include <string.h>

enum
{
  PRIORITIES = SR_PRIORITY_BATCH + 1
};

/* Relative shares of the service's work while all priorities are queued. Batch keeps a small share,
 * so that a constant load of interactive requests does not starve it. */
static const double priority_weights[PRIORITIES] = { 16.0, 4.0, 1.0 };
/* How far a team may be ahead of the team with the least virtual time, in requests of mean work,
 * before its priorities no longer count and it has to wait. */
static const double FAIR_SHARE_LEAD_MAX_REQUESTS = 4.0;
static const double MEAN_GAIN = 0.1;

/* The queued requests of one team. */
struct sr_queue_team
{
  GString *name;
  double weight;
  double virtual_time; /* work served, in tokens per weight */
  unsigned waiting;
  int64_t cost_tokens;
  GSequence *entries[PRIORITIES]; /* of struct sr_queue_entry, earliest deadline first */
};

/* One priority, over all teams. */
struct priority_level
{
  double virtual_time; /* work served, in tokens per weight of the priority */
  int64_t cost_tokens;
  unsigned waiting;
};

struct sr_queue
{
  GHashTable *teams; /* name to struct sr_queue_team */
  GPtrArray *active; /* teams with entries */
  struct priority_level levels[PRIORITIES];
  double level_virtual_time; /* of the priority served last, before that request */
  double team_virtual_time;  /* the least of the teams with entries */
  double mean_cost;          /* tokens per request, moving average */
  GSequence *by_start;       /* of struct sr_queue_entry, earliest latest_start_us first */
};

static struct sr_queue_team *find_or_add_team_ (struct sr_queue *queue,
                                                const struct sr_ticket *ticket);
static double least_virtual_time_ (const struct sr_queue *queue);
static bool is_within_fair_share_ (const struct sr_queue *queue,
                                   const struct sr_queue_team *team,
                                   double least);
static struct sr_queue_team *
choose_team_ (const struct sr_queue *queue, int priority, double least);
static struct sr_queue_entry *choose_entry_ (const struct sr_queue *queue, double least);
static double own_cost_before_ (const struct sr_queue_team *team, const struct sr_ticket *ticket);
static double
cost_by_priority_ (const struct sr_queue *queue, const struct sr_ticket *ticket, double own_cost);
static double
cost_by_share_ (const struct sr_queue *queue, const struct sr_ticket *ticket, double own_cost);
static void unlink_entry_ (struct sr_queue *queue, struct sr_queue_entry *entry);
static void remove_idle_teams_ (struct sr_queue *queue);
static gboolean is_removable_team_ (gpointer key, gpointer value, gpointer data);
static void team_free_ (void *data);
static void entry_free_ (gpointer data, gpointer user_data);
static gint compare_deadlines_ (gconstpointer left, gconstpointer right, gpointer data);
static gint compare_starts_ (gconstpointer left, gconstpointer right, gpointer data);

struct sr_queue *
sr_queue_new (void)
{
  struct sr_queue *queue = g_new0 (struct sr_queue, 1);

  queue->teams = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, team_free_);
  queue->active = g_ptr_array_new ();
  queue->by_start = g_sequence_new (NULL);
  return queue;
}

/* Frees QUEUE and its entries, but not their owners. */
void
sr_queue_delete (struct sr_queue *queue)
{
  g_ptr_array_unref (queue->active);
  g_hash_table_unref (queue->teams);
  g_sequence_foreach (queue->by_start, entry_free_, NULL);
  g_sequence_free (queue->by_start);
  g_free (queue);
}

unsigned
sr_queue_length (const struct sr_queue *queue)
{
  return (unsigned)g_sequence_get_length (queue->by_start);
}

/* Adds TICKET, which must be started before LATEST_START_US. A team or priority that had nothing
 * queued starts at the current virtual time or its own, whichever is later, so that idle time earns
 * it no extra share. */
struct sr_queue_entry *
sr_queue_add (struct sr_queue *queue, const struct sr_ticket *ticket, int64_t latest_start_us)
{
  struct priority_level *level = &queue->levels[ticket->priority];
  struct sr_queue_team *team = find_or_add_team_ (queue, ticket);
  struct sr_queue_entry *entry = g_new0 (struct sr_queue_entry, 1);

  entry->owner = ticket->owner;
  entry->priority = ticket->priority;
  entry->cost_tokens = MAX (ticket->cost_tokens, 1);
  entry->deadline_us = ticket->deadline_us;
  entry->latest_start_us = latest_start_us;
  entry->team = team;
  if (level->waiting == 0)
    level->virtual_time = MAX (level->virtual_time, queue->level_virtual_time);
  if (team->waiting == 0)
    {
      team->virtual_time = MAX (team->virtual_time, queue->team_virtual_time);
      g_ptr_array_add (queue->active, team);
    }
  entry->by_deadline
      = g_sequence_insert_sorted (team->entries[entry->priority], entry, compare_deadlines_, NULL);
  entry->by_start = g_sequence_insert_sorted (queue->by_start, entry, compare_starts_, NULL);
  team->waiting++;
  level->waiting++;
  team->cost_tokens += entry->cost_tokens;
  level->cost_tokens += entry->cost_tokens;
  return entry;
}

/* Removes and returns the entry to be served next, by start-time fair queueing (Goyal, Vin and
 * Cheng 1996) on two levels. Among the teams within their share, it selects the priority with the
 * least virtual time, then the team of that priority with the least, then its earliest deadline.
 * Returns NULL when the queue is empty; the caller frees the entry with g_free. */
struct sr_queue_entry *
sr_queue_take_next (struct sr_queue *queue)
{
  struct sr_queue_entry *entry;
  struct priority_level *level;
  double least;

  if (queue->active->len == 0)
    return NULL;
  least = least_virtual_time_ (queue);
  queue->team_virtual_time = MAX (queue->team_virtual_time, least);
  entry = choose_entry_ (queue, least);
  level = &queue->levels[entry->priority];
  queue->level_virtual_time = level->virtual_time;
  level->virtual_time += (double)entry->cost_tokens / priority_weights[entry->priority];
  entry->team->virtual_time += (double)entry->cost_tokens / entry->team->weight;
  queue->mean_cost += MEAN_GAIN * ((double)entry->cost_tokens - queue->mean_cost);
  unlink_entry_ (queue, entry);
  remove_idle_teams_ (queue);
  return entry;
}

/* Removes and returns one entry whose latest start is at or before NOW_US, or NULL. The caller
 * frees it with g_free. */
struct sr_queue_entry *
sr_queue_take_overdue (struct sr_queue *queue, int64_t now_us)
{
  struct sr_queue_entry *entry;

  if (g_sequence_is_empty (queue->by_start))
    return NULL;
  entry = g_sequence_get (g_sequence_get_begin_iter (queue->by_start));
  if (entry->latest_start_us > now_us)
    return NULL;
  unlink_entry_ (queue, entry);
  return entry;
}

/* Removes and returns the entry with the latest deadline of the team and priority that
 * sr_queue_find_largest_backlog found in QUEUE. The caller frees it with g_free. */
struct sr_queue_entry *
sr_queue_take_latest_deadline (struct sr_queue *queue, const struct sr_queue_backlog *largest)
{
  GSequence *entries = largest->team->entries[largest->priority];
  struct sr_queue_entry *entry
      = g_sequence_get (g_sequence_iter_prev (g_sequence_get_end_iter (entries)));

  unlink_entry_ (queue, entry);
  return entry;
}

/* Finds the team and priority with most queued tickets per weight; of equal ones the lowest
 * priority. Returns false, with LARGEST unchanged, when none exceeds LARGEST->tickets_per_weight.
 */
bool
sr_queue_find_largest_backlog (struct sr_queue *queue, struct sr_queue_backlog *largest)
{
  bool found = false;

  for (int i = PRIORITIES - 1; i >= 0; i--)
    for (guint j = 0; j < queue->active->len; j++)
      {
        struct sr_queue_team *team = queue->active->pdata[j];
        double tickets_per_weight = g_sequence_get_length (team->entries[i]) / team->weight;

        if (tickets_per_weight <= largest->tickets_per_weight)
          continue;
        largest->tickets_per_weight = tickets_per_weight;
        largest->team = team;
        largest->priority = (enum sr_priority)i;
        found = true;
      }
  return found;
}

/* Returns the queued tickets per weight of the team and priority of TICKET. */
double
sr_queue_backlog_of (struct sr_queue *queue, const struct sr_ticket *ticket)
{
  struct sr_queue_team *team = g_hash_table_lookup (queue->teams, ticket->team);

  return team == NULL ? 0.0
                      : g_sequence_get_length (team->entries[ticket->priority]) / team->weight;
}

/* Returns the expected work of all queued entries, in tokens. */
int64_t
sr_queue_cost_tokens (const struct sr_queue *queue)
{
  int64_t cost = 0;

  for (int i = 0; i < PRIORITIES; i++)
    cost += queue->levels[i].cost_tokens;
  return cost;
}

/* Estimates the work, in tokens, that would be served before TICKET if it were added now: the
 * entries of its team and priority with an earlier or equal deadline, and what other teams and
 * priorities are served meanwhile. That is the larger of two estimates, by priority and by fair
 * share. */
int64_t
sr_queue_cost_before_tokens (struct sr_queue *queue, const struct sr_ticket *ticket)
{
  const struct sr_queue_team *team = g_hash_table_lookup (queue->teams, ticket->team);
  double own_cost = team != NULL ? own_cost_before_ (team, ticket) : 0;
  double by_priority = cost_by_priority_ (queue, ticket, own_cost);
  double by_share = cost_by_share_ (queue, ticket, own_cost);

  return (int64_t)MAX (by_priority, by_share);
}

static struct sr_queue_team *
find_or_add_team_ (struct sr_queue *queue, const struct sr_ticket *ticket)
{
  struct sr_queue_team *team = g_hash_table_lookup (queue->teams, ticket->team);

  if (team == NULL)
    {
      team = g_new0 (struct sr_queue_team, 1);
      team->name = g_string_new (ticket->team);
      for (int i = 0; i < PRIORITIES; i++)
        team->entries[i] = g_sequence_new (NULL);
      g_hash_table_insert (queue->teams, team->name->str, team);
    }
  team->weight = MAX (ticket->team_weight, 1U);
  return team;
}

static double
least_virtual_time_ (const struct sr_queue *queue)
{
  double least = ((const struct sr_queue_team *)queue->active->pdata[0])->virtual_time;

  for (guint i = 1; i < queue->active->len; i++)
    least = MIN (least, ((const struct sr_queue_team *)queue->active->pdata[i])->virtual_time);
  return least;
}

static bool
is_within_fair_share_ (const struct sr_queue *queue, const struct sr_queue_team *team, double least)
{
  return team->virtual_time
         <= least + FAIR_SHARE_LEAD_MAX_REQUESTS * queue->mean_cost / team->weight;
}

/* Returns the team with the least virtual time among those within their share that have entries of
 * PRIORITY, or NULL. */
static struct sr_queue_team *
choose_team_ (const struct sr_queue *queue, int priority, double least)
{
  struct sr_queue_team *chosen = NULL;

  for (guint i = 0; i < queue->active->len; i++)
    {
      struct sr_queue_team *team = queue->active->pdata[i];

      if (g_sequence_is_empty (team->entries[priority])
          || !is_within_fair_share_ (queue, team, least))
        continue;
      if (chosen == NULL || team->virtual_time < chosen->virtual_time)
        chosen = team;
    }
  return chosen;
}

/* The team with the least virtual time is always within its share, so there is an entry to choose.
 */
static struct sr_queue_entry *
choose_entry_ (const struct sr_queue *queue, double least)
{
  struct sr_queue_team *chosen = NULL;
  int priority = 0;

  for (int i = 0; i < PRIORITIES; i++)
    {
      struct sr_queue_team *team = choose_team_ (queue, i, least);

      if (team == NULL)
        continue;
      if (chosen != NULL && queue->levels[i].virtual_time >= queue->levels[priority].virtual_time)
        continue;
      chosen = team;
      priority = i;
    }
  g_assert (chosen != NULL);
  return g_sequence_get (g_sequence_get_begin_iter (chosen->entries[priority]));
}

static double
own_cost_before_ (const struct sr_queue_team *team, const struct sr_ticket *ticket)
{
  GSequenceIter *iter = g_sequence_get_begin_iter (team->entries[ticket->priority]);
  double cost = 0;

  while (!g_sequence_iter_is_end (iter))
    {
      const struct sr_queue_entry *entry = g_sequence_get (iter);

      if (entry->deadline_us > ticket->deadline_us)
        break;
      cost += (double)entry->cost_tokens;
      iter = g_sequence_iter_next (iter);
    }
  return cost;
}

static double
cost_by_priority_ (const struct sr_queue *queue, const struct sr_ticket *ticket, double own_cost)
{
  double weight = MAX (ticket->team_weight, 1U);
  double in_level = own_cost;
  double before;

  for (guint i = 0; i < queue->active->len; i++)
    {
      const struct sr_queue_team *team = queue->active->pdata[i];
      double served = own_cost * team->weight / weight;

      if (strcmp (team->name->str, ticket->team) != 0)
        in_level += MIN ((double)team->cost_tokens, served);
    }
  in_level = MIN (in_level, (double)queue->levels[ticket->priority].cost_tokens);
  before = in_level;
  for (int i = 0; i < PRIORITIES; i++)
    {
      double served = in_level * priority_weights[i] / priority_weights[ticket->priority];

      if (i != (int)ticket->priority)
        before += MIN ((double)queue->levels[i].cost_tokens, served);
    }
  return before;
}

static double
cost_by_share_ (const struct sr_queue *queue, const struct sr_ticket *ticket, double own_cost)
{
  double weight = MAX (ticket->team_weight, 1U);
  double before = own_cost;

  for (guint i = 0; i < queue->active->len; i++)
    {
      const struct sr_queue_team *team = queue->active->pdata[i];
      double served = own_cost * team->weight / weight;

      if (strcmp (team->name->str, ticket->team) != 0)
        before += MIN ((double)team->cost_tokens, served);
    }
  return before;
}

static void
unlink_entry_ (struct sr_queue *queue, struct sr_queue_entry *entry)
{
  struct priority_level *level = &queue->levels[entry->priority];
  struct sr_queue_team *team = entry->team;

  g_sequence_remove (entry->by_deadline);
  g_sequence_remove (entry->by_start);
  team->cost_tokens -= entry->cost_tokens;
  level->cost_tokens -= entry->cost_tokens;
  level->waiting--;
  team->waiting--;
  if (team->waiting == 0)
    g_ptr_array_remove_fast (queue->active, team);
}

/* Removes teams without entries whose virtual time is not ahead: they would start at the current
 * virtual time anyway. Runs only when most teams are idle, to spread the cost. */
static void
remove_idle_teams_ (struct sr_queue *queue)
{
  if (g_hash_table_size (queue->teams) > 2 * (queue->active->len + 1))
    g_hash_table_foreach_remove (queue->teams, is_removable_team_, queue);
}

static gboolean
is_removable_team_ (gpointer key, gpointer value, gpointer data)
{
  const struct sr_queue *queue = data;
  const struct sr_queue_team *team = value;

  return team->waiting == 0 && team->virtual_time <= queue->team_virtual_time;
}

static void
team_free_ (void *data)
{
  struct sr_queue_team *team = data;

  for (int i = 0; i < PRIORITIES; i++)
    g_sequence_free (team->entries[i]);
  g_string_free (team->name, TRUE);
  g_free (team);
}

static void
entry_free_ (gpointer data, gpointer user_data)
{
  g_free (data);
}

static gint
compare_deadlines_ (gconstpointer left, gconstpointer right, gpointer data)
{
  const struct sr_queue_entry *a = left;
  const struct sr_queue_entry *b = right;

  return (a->deadline_us > b->deadline_us) - (a->deadline_us < b->deadline_us);
}

static gint
compare_starts_ (gconstpointer left, gconstpointer right, gpointer data)
{
  const struct sr_queue_entry *a = left;
  const struct sr_queue_entry *b = right;

  return (a->latest_start_us > b->latest_start_us) - (a->latest_start_us < b->latest_start_us);
}
