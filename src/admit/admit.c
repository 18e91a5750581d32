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
  /* When one of ten backend servers crashes, it cuts 53 of the 530 open streams of an instance, and
   * all of these are resumed at once. */
  RETRY_BUDGET_MAX = 64
};

/* Retry budget gained for each dispatched request that ended. */
static const double RETRY_SHARE = 0.1;
/* Weight of the latest request in the moving averages. */
static const double MEAN_GAIN = 0.1;
/* A request of more work than the mean is expected to run longer, by at most this factor. */
static const double RUN_FACTOR_MAX = 2.0;

static const char *const priority_strings[] = { "interactive", "normal", "batch" };

/* The queue of one service and its measured service times. */
struct service_queue
{
  GString *name;
  struct sr_queue *queue;
  unsigned running;
  double mean_service_time_us;
  double service_time_deviation_us; /* mean absolute deviation */
  double mean_cost;                 /* tokens per request, moving average */
  double retry_budget;              /* retries that may be made now */
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

/* A ticket taken out of its queue unserved: evicted because the queues were full, or found too late
 * for its deadline by sr_admit_pop. */
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

static struct service_queue *find_or_add_service_ (struct sr_admit *admit, const char *name);
static void service_free_ (void *data);
static enum sr_admit_verdict push_ (struct sr_admit *admit,
                                    struct service_queue *service,
                                    const struct sr_ticket *ticket,
                                    int64_t now_us);
static bool
make_room_ (struct sr_admit *admit, struct service_queue *service, const struct sr_ticket *ticket);
static double work_rate_ (const struct service_queue *service);
static int64_t expected_service_time_us_ (const struct service_queue *service,
                                          const struct sr_ticket *ticket);
static int64_t retry_after_ms_ (struct sr_admit *admit, const struct service_queue *service);
static void set_waiting_ (struct sr_admit *admit, unsigned waiting);

/* Returns the name of PRIORITY in requests. */
const char *
sr_priority_to_string (enum sr_priority priority)
{
  g_assert ((size_t)priority < G_N_ELEMENTS (priority_strings));
  return priority_strings[priority];
}

/* Returns false when TEXT is not the name of a priority; PRIORITY is then left unchanged. */
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

/* OPTIONS is copied; its queue_max must not be 0. */
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

/* Owners that are still queued are not freed. NULL is allowed. */
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

/* Queues TICKET, or refuses it at once when the work ahead of it would make it miss its deadline,
 * or when the queues are full and no team has more tickets per weight queued than the team of
 * TICKET. For a refusal, *RETRY_AFTER_MS is set to the estimated time to serve the queue, with
 * jitter. */
enum sr_admit_verdict
sr_admit_push (struct sr_admit *admit,
               const struct sr_ticket *ticket,
               int64_t now_us,
               int64_t *retry_after_ms)
{
  enum sr_admit_verdict verdict;
  struct service_queue *service;

  pthread_mutex_lock (&admit->mutex);
  service = find_or_add_service_ (admit, ticket->service);
  verdict = push_ (admit, service, ticket, now_us);
  if (verdict != SR_ADMIT_QUEUED)
    *retry_after_ms = retry_after_ms_ (admit, service);
  pthread_mutex_unlock (&admit->mutex);
  sr_counter_add (verdict == SR_ADMIT_QUEUED ? &tickets_queued : &tickets_refused, 1);
  return verdict;
}

/* Removes and returns the next owner of SERVICE_NAME to be served, or NULL. Tickets that can no
 * longer meet their deadline at NOW_US are moved aside for sr_admit_expire. Report the end of each
 * popped owner once with sr_admit_report_end. */
void *
sr_admit_pop (struct sr_admit *admit, const char *service_name, int64_t now_us)
{
  struct service_queue *service;
  struct sr_queue_entry *entry = NULL;
  void *owner = NULL;

  pthread_mutex_lock (&admit->mutex);
  service = find_or_add_service_ (admit, service_name);
  while ((entry = sr_queue_take_overdue (service->queue, now_us)) != NULL)
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

/* Removes and returns one owner, of any service, that can no longer meet its deadline or was
 * evicted from full queues, and sets *RETRY_AFTER_MS for it. Returns NULL when there is none at
 * NOW_US. */
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
      struct sr_queue_entry *entry = sr_queue_take_overdue (service->queue, now_us);

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

/* Records that a popped request of SERVICE_NAME ended after SERVICE_TIME_US, from which the service
 * rate is estimated. Pass 0 for a request that was popped but not dispatched. */
void
sr_admit_report_end (struct sr_admit *admit, const char *service_name, int64_t service_time_us)
{
  struct service_queue *service;
  double error_us;

  pthread_mutex_lock (&admit->mutex);
  service = find_or_add_service_ (admit, service_name);
  if (service->running > 0)
    service->running--;
  if (service_time_us > 0)
    {
      if (service->mean_service_time_us <= 0)
        service->mean_service_time_us = (double)service_time_us;
      error_us = (double)service_time_us - service->mean_service_time_us;
      service->mean_service_time_us += MEAN_GAIN * error_us;
      service->service_time_deviation_us
          += MEAN_GAIN * (fabs (error_us) - service->service_time_deviation_us);
      service->retry_budget = MIN (service->retry_budget + RETRY_SHARE, RETRY_BUDGET_MAX);
    }
  pthread_mutex_unlock (&admit->mutex);
}

/* Takes one retry from the retry budget of SERVICE_NAME. The budget grows with each request that
 * ends, so that retries stay a fixed share of the traffic. Returns false when it is used up. */
bool
sr_admit_may_retry (struct sr_admit *admit, const char *service_name)
{
  struct service_queue *service;
  bool allowed;

  pthread_mutex_lock (&admit->mutex);
  service = find_or_add_service_ (admit, service_name);
  allowed = service->retry_budget >= 1.0;
  if (allowed)
    service->retry_budget -= 1.0;
  pthread_mutex_unlock (&admit->mutex);
  if (!allowed)
    sr_counter_add (&retries_denied, 1);
  return allowed;
}

void
sr_admit_status (struct sr_admit *admit, const char *service_name, struct sr_admit_status *status)
{
  struct service_queue *service;
  double rate;

  pthread_mutex_lock (&admit->mutex);
  service = find_or_add_service_ (admit, service_name);
  rate = work_rate_ (service);
  status->waiting = sr_queue_length (service->queue);
  status->running = service->running;
  status->mean_service_time_us = (int64_t)service->mean_service_time_us;
  status->drain_time_ms
      = rate > 0 ? (int64_t)((double)sr_queue_cost_tokens (service->queue) / rate / US_PER_MS) : 0;
  pthread_mutex_unlock (&admit->mutex);
}

static struct service_queue *
find_or_add_service_ (struct sr_admit *admit, const char *name)
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
  int64_t service_time_us = expected_service_time_us_ (service, ticket);
  int64_t latest_start_us = ticket->deadline_us - service_time_us;
  double rate = work_rate_ (service);

  if (ticket->deadline_us <= now_us)
    return SR_ADMIT_DEADLINE;
  if (latest_start_us <= now_us)
    latest_start_us = ticket->deadline_us;
  if (rate > 0)
    {
      double wait_us = (double)sr_queue_cost_before_tokens (service->queue, ticket) / rate;

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

/* Evicts the ticket with the latest deadline of the team with most queued tickets per weight in one
 * priority. Returns false when that would be the team of TICKET itself, with TICKET counted. */
static bool
make_room_ (struct sr_admit *admit, struct service_queue *service, const struct sr_ticket *ticket)
{
  double weight = MAX (ticket->team_weight, 1U);
  struct sr_queue_backlog largest
      = { .tickets_per_weight = sr_queue_backlog_of (service->queue, ticket) + 1.0 / weight };
  struct service_queue *from = NULL;
  struct sr_queue_entry *entry;
  struct evicted_ticket *evicted;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, admit->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct service_queue *each = value;

      if (sr_queue_find_largest_backlog (each->queue, &largest))
        from = each;
    }
  if (from == NULL)
    return false;
  entry = sr_queue_take_latest_deadline (from->queue, &largest);
  evicted = g_new0 (struct evicted_ticket, 1);
  evicted->owner = entry->owner;
  evicted->service = from;
  g_queue_push_tail (&admit->evicted, evicted);
  set_waiting_ (admit, admit->waiting - 1);
  g_free (entry);
  return true;
}

/* Returns the service rate in tokens per microsecond, or 0 when unknown. By Little's law it is the
 * work in progress divided by the time that it takes. */
static double
work_rate_ (const struct service_queue *service)
{
  if (service->mean_service_time_us <= 0 || service->running == 0)
    return 0;
  return service->running * service->mean_cost / service->mean_service_time_us;
}

/* Returns the expected service time of TICKET once started: mean plus mean deviation (as in the
 * retransmission timer of TCP, Jacobson 1988), scaled by the work of the ticket. */
static int64_t
expected_service_time_us_ (const struct service_queue *service, const struct sr_ticket *ticket)
{
  double factor = 1.0;

  if (service->mean_cost > 0)
    factor = MIN ((double)ticket->cost_tokens / service->mean_cost, RUN_FACTOR_MAX);
  return (int64_t)((service->mean_service_time_us + service->service_time_deviation_us) * factor);
}

static int64_t
retry_after_ms_ (struct sr_admit *admit, const struct service_queue *service)
{
  double rate = work_rate_ (service);
  double wait_ms = RETRY_AFTER_UNKNOWN_MS;

  if (rate > 0)
    wait_ms = (double)sr_queue_cost_tokens (service->queue) / rate / US_PER_MS;
  wait_ms *= g_rand_double_range (admit->random, 0.5, 1.5);
  return (int64_t)CLAMP (wait_ms, RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
}

static void
set_waiting_ (struct sr_admit *admit, unsigned waiting)
{
  admit->waiting = waiting;
  sr_counter_set (&waiting_now, waiting);
}
