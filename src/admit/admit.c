#include "admit/admit.h"

#include "admit/queue.h"
#include "base/counters.h"

#include <math.h>
#include <pthread.h>
#include <string.h>

enum
{
  US_PER_MS = 1000,
  RETRY_AFTER_MIN_MS = 250,
  RETRY_AFTER_UNKNOWN_MS = 1000,
  RETRY_AFTER_MAX_MS = 60000,
  /* One of ten engines that crashes cuts 53 of a node's 530 open streams, and all are resumed. */
  RETRY_BUDGET_MAX = 64
};

/* Retries granted for each call that ended. */
static const double RETRY_SHARE = 0.1;
/* Weight of the latest call in the means. */
static const double MEAN_GAIN = 0.1;
/* A request of more work than the mean is expected to run longer, up to this factor. */
static const double RUN_FACTOR_MAX = 2.0;

static const char *const priority_strings[] = { "interactive", "normal", "batch" };

/* What is known of one service. */
struct service_queue
{
  GString *name;
  struct sr_queue *queue;
  unsigned running;
  double mean_took_us;
  double deviation_us; /* mean deviation of the time taken */
  double mean_cost;
  double retry_budget;
};

struct sr_admit
{
  pthread_mutex_t mutex;
  unsigned queue_max;
  unsigned waiting;
  GHashTable *services; /* name to struct service_queue */
  GQueue evicted;       /* of struct evicted_ticket */
  GRand *random;
};

/* A ticket that had to make room. */
struct evicted_ticket
{
  void *owner;
  struct service_queue *service;
};

static struct sr_counter tickets_queued
    = { .name = "sr_admit_queued_total", .help = "Requests that entered a queue." };
static struct sr_counter tickets_refused
    = { .name = "sr_admit_refused_total", .help = "Requests refused at once: queue or deadline." };
static struct sr_counter tickets_expired
    = { .name = "sr_admit_expired_total", .help = "Requests taken out of a queue unserved." };
static struct sr_counter retries_denied
    = { .name = "sr_admit_retries_denied_total", .help = "Retries over the retry budget." };
static struct sr_counter waiting_now
    = { .name = "sr_admit_waiting", .help = "Requests waiting in queues." };

static struct service_queue *service_of_ (struct sr_admit *admit, const char *name);
static void service_free_ (void *data);
static enum sr_admit_verdict push_ (struct sr_admit *admit,
                                    struct service_queue *service,
                                    const struct sr_ticket *ticket,
                                    int64_t now_us);
static bool
make_room_ (struct sr_admit *admit, struct service_queue *service, const struct sr_ticket *ticket);
static double work_rate_ (const struct service_queue *service);
static int64_t run_needed_us_ (const struct service_queue *service, const struct sr_ticket *ticket);
static int64_t retry_after_ms_ (struct sr_admit *admit, const struct service_queue *service);
static void set_waiting_ (struct sr_admit *admit, unsigned waiting);

/* Returns the name of PRIORITY as callers write it. */
const char *
sr_priority_to_string (enum sr_priority priority)
{
  g_assert ((size_t)priority < G_N_ELEMENTS (priority_strings));
  return priority_strings[priority];
}

/* Reads the name of a priority. Returns false when TEXT is none. */
bool
sr_priority_from_string (const char *text, enum sr_priority *priority)
{
  for (size_t i = 0; i < G_N_ELEMENTS (priority_strings); i++)
    if (strcmp (text, priority_strings[i]) == 0)
      {
        *priority = (enum sr_priority)i;
        return true;
      }
  return false;
}

/* Creates empty queues that hold at most queue_max tickets together. The caller owns the result and
 * frees it with sr_admit_delete. */
struct sr_admit *
sr_admit_new (const struct sr_admit_options *options)
{
  struct sr_admit *admit = g_new0 (struct sr_admit, 1);

  g_assert (options->queue_max > 0);
  pthread_mutex_init (&admit->mutex, NULL);
  admit->queue_max = options->queue_max;
  admit->services = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, service_free_);
  g_queue_init (&admit->evicted);
  admit->random = g_rand_new_with_seed (options->seed);
  sr_counter_register (&tickets_queued);
  sr_counter_register (&tickets_refused);
  sr_counter_register (&tickets_expired);
  sr_counter_register (&retries_denied);
  sr_counter_register (&waiting_now);
  return admit;
}

/* Frees ADMIT; owners still waiting stay the caller's. NULL is allowed. */
void
sr_admit_delete (struct sr_admit *admit)
{
  if (admit == NULL)
    return;
  g_queue_clear_full (&admit->evicted, g_free);
  g_hash_table_unref (admit->services);
  g_rand_free (admit->random);
  pthread_mutex_destroy (&admit->mutex);
  g_free (admit);
}

/* Queues TICKET, or refuses it at once when the work before it leaves no time until its deadline,
 * or when the queues are full and no other team waits with more for its weight. RETRY_AFTER_MS is
 * set for a refusal: when the queue is expected to be served, spread at random. */
enum sr_admit_verdict
sr_admit_push (struct sr_admit *admit,
               const struct sr_ticket *ticket,
               int64_t now_us,
               int64_t *retry_after_ms)
{
  enum sr_admit_verdict verdict;
  struct service_queue *service;

  pthread_mutex_lock (&admit->mutex);
  service = service_of_ (admit, ticket->service);
  verdict = push_ (admit, service, ticket, now_us);
  if (verdict != SR_ADMIT_QUEUED)
    *retry_after_ms = retry_after_ms_ (admit, service);
  pthread_mutex_unlock (&admit->mutex);
  sr_counter_add (verdict == SR_ADMIT_QUEUED ? &tickets_queued : &tickets_refused, 1);
  return verdict;
}

/* Takes the next owner of SERVICE to be served, or returns NULL. Tickets that are too late at
 * NOW_US are left for sr_admit_expire. Each owner popped is reported by sr_admit_served once. */
void *
sr_admit_pop (struct sr_admit *admit, const char *service_name, int64_t now_us)
{
  struct service_queue *service;
  struct sr_queue_entry *entry = NULL;
  void *owner = NULL;

  pthread_mutex_lock (&admit->mutex);
  service = service_of_ (admit, service_name);
  while ((entry = sr_queue_take_late (service->queue, now_us)) != NULL)
    {
      struct evicted_ticket *evicted = g_new0 (struct evicted_ticket, 1);

      evicted->owner = entry->owner;
      evicted->service = service;
      g_queue_push_tail (&admit->evicted, evicted);
      set_waiting_ (admit, admit->waiting - 1);
      g_free (entry);
    }
  entry = sr_queue_take_next (service->queue);
  if (entry != NULL)
    {
      owner = entry->owner;
      service->running++;
      service->mean_cost += MEAN_GAIN * ((double)entry->cost_tokens - service->mean_cost);
      set_waiting_ (admit, admit->waiting - 1);
      g_free (entry);
    }
  pthread_mutex_unlock (&admit->mutex);
  return owner;
}

/* Takes one owner that cannot be served in time any more, or that had to make room, and sets
 * RETRY_AFTER_MS for it. Returns NULL when there is none at NOW_US. */
void *
sr_admit_expire (struct sr_admit *admit, int64_t now_us, int64_t *retry_after_ms)
{
  struct evicted_ticket *evicted;
  GHashTableIter iter;
  gpointer value;
  void *owner = NULL;

  pthread_mutex_lock (&admit->mutex);
  evicted = g_queue_pop_head (&admit->evicted);
  if (evicted != NULL)
    {
      owner = evicted->owner;
      *retry_after_ms = retry_after_ms_ (admit, evicted->service);
      g_free (evicted);
    }
  g_hash_table_iter_init (&iter, admit->services);
  while (owner == NULL && g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct service_queue *service = value;
      struct sr_queue_entry *entry = sr_queue_take_late (service->queue, now_us);

      if (entry == NULL)
        continue;
      owner = entry->owner;
      *retry_after_ms = retry_after_ms_ (admit, service);
      set_waiting_ (admit, admit->waiting - 1);
      g_free (entry);
    }
  pthread_mutex_unlock (&admit->mutex);
  if (owner != NULL)
    sr_counter_add (&tickets_expired, 1);
  return owner;
}

/* Reports that a popped request of SERVICE ended after TOOK_US, from which the rate of the service
 * is learned. TOOK_US of 0: it was popped and not dispatched. */
void
sr_admit_served (struct sr_admit *admit, const char *service_name, int64_t took_us)
{
  struct service_queue *service;
  double error_us;

  pthread_mutex_lock (&admit->mutex);
  service = service_of_ (admit, service_name);
  if (service->running > 0)
    service->running--;
  if (took_us > 0)
    {
      if (service->mean_took_us <= 0)
        service->mean_took_us = (double)took_us;
      error_us = (double)took_us - service->mean_took_us;
      service->mean_took_us += MEAN_GAIN * error_us;
      service->deviation_us += MEAN_GAIN * (fabs (error_us) - service->deviation_us);
      service->retry_budget = MIN (service->retry_budget + RETRY_SHARE, RETRY_BUDGET_MAX);
    }
  pthread_mutex_unlock (&admit->mutex);
}

/* Takes one retry from the budget of SERVICE, which grows with the calls that end, so that retries
 * stay a share of the traffic. Returns false when the budget is used up. */
bool
sr_admit_may_retry (struct sr_admit *admit, const char *service_name)
{
  struct service_queue *service;
  bool allowed;

  pthread_mutex_lock (&admit->mutex);
  service = service_of_ (admit, service_name);
  allowed = service->retry_budget >= 1.0;
  if (allowed)
    service->retry_budget -= 1.0;
  pthread_mutex_unlock (&admit->mutex);
  if (!allowed)
    sr_counter_add (&retries_denied, 1);
  return allowed;
}

/* Fills STATUS for SERVICE. */
void
sr_admit_status (struct sr_admit *admit, const char *service_name, struct sr_admit_status *status)
{
  struct service_queue *service;
  double rate;

  pthread_mutex_lock (&admit->mutex);
  service = service_of_ (admit, service_name);
  rate = work_rate_ (service);
  status->waiting = sr_queue_length (service->queue);
  status->running = service->running;
  status->mean_took_us = (int64_t)service->mean_took_us;
  status->drain_time_ms
      = rate > 0 ? (int64_t)((double)sr_queue_cost (service->queue) / rate / US_PER_MS) : 0;
  pthread_mutex_unlock (&admit->mutex);
}

static struct service_queue *
service_of_ (struct sr_admit *admit, const char *name)
{
  struct service_queue *service = g_hash_table_lookup (admit->services, name);

  if (service != NULL)
    return service;
  service = g_new0 (struct service_queue, 1);
  service->name = g_string_new (name);
  service->queue = sr_queue_new ();
  service->retry_budget = RETRY_BUDGET_MAX;
  g_hash_table_insert (admit->services, service->name->str, service);
  return service;
}

static void
service_free_ (void *data)
{
  struct service_queue *service = data;

  sr_queue_delete (service->queue);
  g_string_free (service->name, TRUE);
  g_free (service);
}

static enum sr_admit_verdict
push_ (struct sr_admit *admit,
       struct service_queue *service,
       const struct sr_ticket *ticket,
       int64_t now_us)
{
  int64_t run_us = run_needed_us_ (service, ticket);
  int64_t latest_start_us = ticket->deadline_us - run_us;
  double rate = work_rate_ (service);

  if (ticket->deadline_us <= now_us)
    return SR_ADMIT_DEADLINE;
  if (latest_start_us <= now_us)
    latest_start_us = ticket->deadline_us;
  if (rate > 0)
    {
      double wait_us = (double)sr_queue_cost_before (service->queue, ticket) / rate;

      if ((double)now_us + wait_us > (double)latest_start_us)
        return SR_ADMIT_DEADLINE;
    }
  if (admit->waiting >= admit->queue_max && !make_room_ (admit, service, ticket))
    return SR_ADMIT_QUEUE_FULL;
  if (service->mean_cost <= 0)
    service->mean_cost = (double)MAX (ticket->cost_tokens, 1);
  sr_queue_add (service->queue, ticket, latest_start_us);
  set_waiting_ (admit, admit->waiting + 1);
  return SR_ADMIT_QUEUED;
}

/* Evicts the last ticket of the team that waits with most for its weight, unless that would be the
 * team of TICKET. */
static bool
make_room_ (struct sr_admit *admit, struct service_queue *service, const struct sr_ticket *ticket)
{
  double weight = MAX (ticket->team_weight, 1U);
  struct sr_queue_largest largest
      = { .share = sr_queue_share_of (service->queue, ticket) + 1.0 / weight };
  struct service_queue *from = NULL;
  struct sr_queue_entry *entry;
  struct evicted_ticket *evicted;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, admit->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct service_queue *each = value;

      if (sr_queue_find_largest (each->queue, &largest))
        from = each;
    }
  if (from == NULL)
    return false;
  entry = sr_queue_take_last (from->queue, &largest);
  evicted = g_new0 (struct evicted_ticket, 1);
  evicted->owner = entry->owner;
  evicted->service = from;
  g_queue_push_tail (&admit->evicted, evicted);
  set_waiting_ (admit, admit->waiting - 1);
  g_free (entry);
  return true;
}

/* Returns the work served in a microsecond, in tokens, or 0 when not known: by Little's law, what
 * runs divided by the time it takes. */
static double
work_rate_ (const struct service_queue *service)
{
  if (service->mean_took_us <= 0 || service->running == 0)
    return 0;
  return service->running * service->mean_cost / service->mean_took_us;
}

/* Returns the time TICKET is expected to need once started: the mean and its deviation (as for the
 * retransmission timer of TCP, Jacobson 1988), by the work of the ticket. */
static int64_t
run_needed_us_ (const struct service_queue *service, const struct sr_ticket *ticket)
{
  double size = 1.0;

  if (service->mean_cost > 0)
    size = MIN ((double)ticket->cost_tokens / service->mean_cost, RUN_FACTOR_MAX);
  return (int64_t)((service->mean_took_us + service->deviation_us) * size);
}

static int64_t
retry_after_ms_ (struct sr_admit *admit, const struct service_queue *service)
{
  double rate = work_rate_ (service);
  double wait_ms = RETRY_AFTER_UNKNOWN_MS;

  if (rate > 0)
    wait_ms = (double)sr_queue_cost (service->queue) / rate / US_PER_MS;
  wait_ms *= g_rand_double_range (admit->random, 0.5, 1.5);
  return (int64_t)CLAMP (wait_ms, RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
}

static void
set_waiting_ (struct sr_admit *admit, unsigned waiting)
{
  admit->waiting = waiting;
  sr_counter_set (&waiting_now, waiting);
}
