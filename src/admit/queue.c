#include "admit/queue.h"

#include <string.h>

enum
{
  PRIORITIES = SR_PRIORITY_BATCH + 1
};

/* Shares of the service's work when all priorities wait: batch goes on slowly under a constant load
 * of interactive requests. */
static const double priority_weights[PRIORITIES] = { 16.0, 4.0, 1.0 };

/* The waiting requests of one team in one priority. */
struct sr_flow
{
  GString *team;
  enum sr_priority priority;
  double weight;
  double virtual_time; /* work received so far, in tokens per weight */
  int64_t cost_tokens;
  GSequence *entries; /* of struct sr_queue_entry, earliest deadline first */
};

/* One priority: its teams and its own place among the priorities. */
struct priority_level
{
  GHashTable *flows; /* team name to struct sr_flow */
  GPtrArray *active; /* flows with entries */
  double virtual_time;
  double received; /* work received, in tokens per weight of the priority */
  int64_t cost_tokens;
};

struct sr_queue
{
  struct priority_level levels[PRIORITIES];
  double virtual_time;
  GSequence *by_start; /* of struct sr_queue_entry, earliest latest_start_us first */
};

static struct sr_flow *
flow_of_ (struct priority_level *level, const struct sr_ticket *ticket);
static struct sr_flow *
flow_with_least_work_ (const struct priority_level *level);
static struct priority_level *
level_with_least_work_ (struct sr_queue *queue);
static void
unlink_entry_ (struct sr_queue *queue, struct sr_queue_entry *entry);
static void
forget_idle_flows_ (struct priority_level *level);
static gboolean
flow_is_settled_ (gpointer key, gpointer value, gpointer data);
static void
flow_free_ (void *data);
static void
entry_free_ (gpointer data, gpointer user_data);
static gint
compare_deadlines_ (gconstpointer left, gconstpointer right, gpointer data);
static gint
compare_starts_ (gconstpointer left, gconstpointer right, gpointer data);

/* Creates an empty queue; free it with sr_queue_delete. */
struct sr_queue *
sr_queue_new (void)
{
  struct sr_queue *queue = g_new0 (struct sr_queue, 1);

  for (int i = 0; i < PRIORITIES; i++)
    {
      queue->levels[i].flows = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, flow_free_);
      queue->levels[i].active = g_ptr_array_new ();
    }
  queue->by_start = g_sequence_new (NULL);
  return queue;
}

/* Frees QUEUE and its entries; the owners stay the caller's. */
void
sr_queue_delete (struct sr_queue *queue)
{
  for (int i = 0; i < PRIORITIES; i++)
    {
      g_ptr_array_unref (queue->levels[i].active);
      g_hash_table_unref (queue->levels[i].flows);
    }
  g_sequence_foreach (queue->by_start, entry_free_, NULL);
  g_sequence_free (queue->by_start);
  g_free (queue);
}

/* Returns how many entries wait. */
unsigned
sr_queue_length (const struct sr_queue *queue)
{
  return (unsigned)g_sequence_get_length (queue->by_start);
}

/* Adds TICKET, which must be started before LATEST_START_US. A team, or a priority, that had
 * nothing waiting starts at the present virtual time, so that it neither gains from its idle time
 * nor waits for it. */
struct sr_queue_entry *
sr_queue_add (struct sr_queue *queue, const struct sr_ticket *ticket, int64_t latest_start_us)
{
  struct priority_level *level = &queue->levels[ticket->priority];
  struct sr_flow *flow = flow_of_ (level, ticket);
  struct sr_queue_entry *entry = g_new0 (struct sr_queue_entry, 1);

  entry->owner = ticket->owner;
  entry->priority = ticket->priority;
  entry->cost_tokens = MAX (ticket->cost_tokens, 1);
  entry->deadline_us = ticket->deadline_us;
  entry->latest_start_us = latest_start_us;
  entry->flow = flow;
  if (level->active->len == 0)
    level->received = MAX (level->received, queue->virtual_time);
  if (g_sequence_is_empty (flow->entries))
    {
      flow->virtual_time = MAX (flow->virtual_time, level->virtual_time);
      g_ptr_array_add (level->active, flow);
    }
  entry->by_deadline = g_sequence_insert_sorted (flow->entries, entry, compare_deadlines_, NULL);
  entry->by_start = g_sequence_insert_sorted (queue->by_start, entry, compare_starts_, NULL);
  flow->cost_tokens += entry->cost_tokens;
  level->cost_tokens += entry->cost_tokens;
  return entry;
}

/* Takes the entry to be served next: of the priority, then of the team that received least work for
 * its weight, the earliest deadline (start-time fair queueing, Goyal, Vin and Cheng 1996). Returns
 * NULL when nothing waits; the caller frees the entry with g_free. */
struct sr_queue_entry *
sr_queue_take_next (struct sr_queue *queue)
{
  struct priority_level *level = level_with_least_work_ (queue);
  struct sr_queue_entry *entry;
  struct sr_flow *flow;

  if (level == NULL)
    return NULL;
  flow = flow_with_least_work_ (level);
  entry = g_sequence_get (g_sequence_get_begin_iter (flow->entries));
  queue->virtual_time = level->received;
  level->received += (double)entry->cost_tokens / priority_weights[entry->priority];
  level->virtual_time = flow->virtual_time;
  flow->virtual_time += (double)entry->cost_tokens / flow->weight;
  unlink_entry_ (queue, entry);
  forget_idle_flows_ (level);
  return entry;
}

/* Takes one entry whose latest start is not after NOW_US, or returns NULL. The caller frees it. */
struct sr_queue_entry *
sr_queue_take_late (struct sr_queue *queue, int64_t now_us)
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

/* Takes the entry of FLOW (which has one) with the latest deadline. The caller frees it. */
struct sr_queue_entry *
sr_queue_take_last (struct sr_queue *queue, struct sr_flow *flow)
{
  GSequenceIter *last = g_sequence_iter_prev (g_sequence_get_end_iter (flow->entries));
  struct sr_queue_entry *entry = g_sequence_get (last);

  unlink_entry_ (queue, entry);
  return entry;
}

/* Finds the team that waits with most tickets for its weight, in the lowest priority where it has
 * any. LARGEST is only changed when one waits with more than it says. */
void
sr_queue_find_largest (struct sr_queue *queue, struct sr_queue_largest *largest)
{
  for (int i = PRIORITIES - 1; i >= 0; i--)
    for (guint j = 0; j < queue->levels[i].active->len; j++)
      {
        struct sr_flow *flow = queue->levels[i].active->pdata[j];
        double share = g_sequence_get_length (flow->entries) / flow->weight;

        if (share > largest->share)
          {
            largest->share = share;
            largest->flow = flow;
          }
      }
}

/* Returns how many tickets per weight the team of TICKET has waiting in its priority. */
double
sr_queue_share_of (struct sr_queue *queue, const struct sr_ticket *ticket)
{
  struct sr_flow *flow = g_hash_table_lookup (queue->levels[ticket->priority].flows, ticket->team);

  return flow == NULL ? 0.0 : g_sequence_get_length (flow->entries) / flow->weight;
}

/* Returns the expected work of all that waits, in tokens. */
int64_t
sr_queue_cost (const struct sr_queue *queue)
{
  int64_t cost = 0;

  for (int i = 0; i < PRIORITIES; i++)
    cost += queue->levels[i].cost_tokens;
  return cost;
}

/* Returns the work, in tokens, that would be served before TICKET if it were added now: the earlier
 * deadlines of its team, what the other teams of its priority receive meanwhile, and what the other
 * priorities do. */
int64_t
sr_queue_cost_before (struct sr_queue *queue, const struct sr_ticket *ticket)
{
  struct priority_level *level = &queue->levels[ticket->priority];
  struct sr_flow *own = g_hash_table_lookup (level->flows, ticket->team);
  double weight = MAX (ticket->team_weight, 1U);
  double own_cost = 0;
  double before;
  double in_level;

  if (own != NULL)
    for (GSequenceIter *iter = g_sequence_get_begin_iter (own->entries);
         !g_sequence_iter_is_end (iter); iter = g_sequence_iter_next (iter))
      {
        const struct sr_queue_entry *entry = g_sequence_get (iter);

        if (entry->deadline_us > ticket->deadline_us)
          break;
        own_cost += (double)entry->cost_tokens;
      }
  in_level = own_cost;
  for (guint i = 0; i < level->active->len; i++)
    {
      const struct sr_flow *flow = level->active->pdata[i];
      double received = own_cost * flow->weight / weight;

      if (flow != own)
        in_level += MIN ((double)flow->cost_tokens, received);
    }
  before = in_level;
  for (int i = 0; i < PRIORITIES; i++)
    {
      double received = in_level * priority_weights[i] / priority_weights[ticket->priority];

      if (i != (int)ticket->priority)
        before += MIN ((double)queue->levels[i].cost_tokens, received);
    }
  return (int64_t)before;
}

static struct sr_flow *
flow_of_ (struct priority_level *level, const struct sr_ticket *ticket)
{
  struct sr_flow *flow = g_hash_table_lookup (level->flows, ticket->team);

  if (flow == NULL)
    {
      flow = g_new0 (struct sr_flow, 1);
      flow->team = g_string_new (ticket->team);
      flow->priority = ticket->priority;
      flow->entries = g_sequence_new (NULL);
      g_hash_table_insert (level->flows, flow->team->str, flow);
    }
  flow->weight = MAX (ticket->team_weight, 1U);
  return flow;
}

static struct sr_flow *
flow_with_least_work_ (const struct priority_level *level)
{
  struct sr_flow *least = level->active->pdata[0];

  for (guint i = 1; i < level->active->len; i++)
    {
      struct sr_flow *flow = level->active->pdata[i];

      if (flow->virtual_time < least->virtual_time)
        least = flow;
    }
  return least;
}

static struct priority_level *
level_with_least_work_ (struct sr_queue *queue)
{
  struct priority_level *least = NULL;

  for (int i = 0; i < PRIORITIES; i++)
    {
      struct priority_level *level = &queue->levels[i];

      if (level->active->len > 0 && (least == NULL || level->received < least->received))
        least = level;
    }
  return least;
}

static void
unlink_entry_ (struct sr_queue *queue, struct sr_queue_entry *entry)
{
  struct priority_level *level = &queue->levels[entry->priority];
  struct sr_flow *flow = entry->flow;

  g_sequence_remove (entry->by_deadline);
  g_sequence_remove (entry->by_start);
  flow->cost_tokens -= entry->cost_tokens;
  level->cost_tokens -= entry->cost_tokens;
  if (g_sequence_is_empty (flow->entries))
    g_ptr_array_remove_fast (level->active, flow);
}

/* Drops the teams that have nothing waiting and would start at the present virtual time anyway. */
static void
forget_idle_flows_ (struct priority_level *level)
{
  if (g_hash_table_size (level->flows) > 2 * (level->active->len + 1))
    g_hash_table_foreach_remove (level->flows, flow_is_settled_, level);
}

static gboolean
flow_is_settled_ (gpointer key, gpointer value, gpointer data)
{
  const struct priority_level *level = data;
  const struct sr_flow *flow = value;

  return g_sequence_is_empty (flow->entries) && flow->virtual_time <= level->virtual_time;
}

static void
flow_free_ (void *data)
{
  struct sr_flow *flow = data;

  g_string_free (flow->team, TRUE);
  g_sequence_free (flow->entries);
  g_free (flow);
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
