#include "gateway/placement.h"

#include "gateway/latency-model.h"
#include "gateway/pace.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/* Expected delay for each running request, as each one lengthens the server's decoding steps. */
static const double RUNNING_REQUEST_MS = 0.6;
/* Round trip to another data centre. */
static const double OTHER_DATA_CENTRE_MS = 3;
/* Upper bound of a random addition, so that instances with the same reports do not all pick the
 * same one of several equal servers. */
static const double RANDOM_MAX_MS = 4;
/* A server without enough free cache memory keeps the request waiting until others end. */
static const double MEMORY_SHORT_MS = 1500;
/* A delay of this length makes a stream late; a shorter one costs less than its length. */
static const double STREAM_GAP_MS = 400;
/* Cost of the delay of one running request, relative to that of the request to be placed. */
static const double STREAM_DELAY_WEIGHT = 1;
/* Cost of a small prompt at a server that is meant for large ones. They go there nevertheless when
 * the others have much to do. */
static const double LARGE_PROMPT_SERVER_MS = 30;
/* Part of a server's memory that requests of rank 0 may use, less for each further rank: what peers
 * send at the same moment is not known, and urgent requests should find room. */
static const double MEMORY_PART_MAX = 0.95;
static const double MEMORY_PART_PER_RANK = 0.05;
static const double MEMORY_PART_MIN = 0.8;
/* Requests need more or less memory than the mean, by about the mean: the sum of those of peers is
 * assumed this many standard deviations above what it is on average. */
static const double MEMORY_DEVIATIONS = 1.5;
/* Cost of a failure rate of 1 above ERROR_RATE_USUAL; a rate of one half outweighs any queue. */
static const double ERROR_MS = 4000;
/* Some requests fail whichever server runs them; only a higher rate counts against a server. */
static const double ERROR_RATE_USUAL = 0.25;
/* Cost of a server that has sent nothing for SILENCE_US. */
static const double SILENT_MS = 2000;
/* Cost of a server that is still warming up. */
static const double WARM_UP_MS = 100;

/* A first byte is late beyond what explains it after this multiple of the expected time, and
 * LATE_SLACK_MS. */
static const double LATE_MULTIPLE = 3;

enum
{
  OWN_REQUESTS_MIN = 4,     /* from which the requests of peers are estimated */
  LATE_SLACK_MS = 200,      /* several steps of a busy server; expected times are often a few ms */
  ERROR_DECAY_US = 4000000, /* time constant of the failure rate: a fault counts for seconds */
  MEMORY_REPORT_US = 2000000,  /* a usual response takes about as long */
  LARGE_PROMPT_SERVERS = 4,    /* one of so many servers is meant for large prompts */
  WORK_TIME_DECAY_US = 200000, /* time constant of the reported time of work, which changes many
                                  times per second */
  WORK_TIME_USUAL_PERCENT = 100,
  WORK_TIME_MIN_PERCENT = 25, /* limits of what a report can change, also a false one */
  WORK_TIME_MAX_PERCENT = 1000,
  QUEUE_REPORT_US = 1000000, /* a reported queue is assumed to last this long */
  REPORT_DECAY_US = 600000,  /* time constant of a load report, which is soon outdated */
  SILENCE_US = 700000,       /* without a byte while requests run: ten times the longest step */
  EJECT_FIRST_US = 500000,   /* after a broken connection; doubles with each further one */
  EJECT_MAX_US = 8000000,    /* a crashed server has commonly restarted by then */
  REPLACED_US = 10000000,   /* ejection of a replaced server: the longest store outage, during which
                               its entry stays */
  PART_CACHED_US = 9000000, /* a prompt part is assumed cached this long after use, by default */
  PARTS_MAX = 4096,         /* prompt parts tracked per server */
  WAITING_MAX_PER_SLOT = 2  /* requests behind a longer queue would miss their deadlines */
};

/* The load of one backend server as far as this instance knows it. */
struct gw_backend_load
{
  unsigned in_flight;      /* requests sent by this instance */
  int64_t uncached_tokens; /* of those that have no first byte yet */
  int64_t memory_tokens;   /* cache memory that those in flight may come to need */
  unsigned reported_load;  /* running and waiting requests, without those in flight from here */
  unsigned reported_waiting;
  int64_t reported_us;
  unsigned
      peer_requests; /* running and waiting there by its last report, without those from here */
  int64_t peer_requests_us;   /* when it reported them; 0: not yet */
  unsigned work_time_percent; /* last reported */
  int64_t work_time_us;       /* when it was reported; 0: not yet */
  int64_t responded_us;       /* when the head of its last response was received */
  double error_rate;
  int64_t error_us; /* when error_rate was last updated */
  unsigned consecutive_breaks;
  int64_t ejected_until_us;
  int64_t replaced_until_us;
  struct gw_pace pace;     /* not used where the query has none */
  bool is_paced;           /* the pace of this server has begun once, or it needed none */
  bool has_returned;       /* a connection broke since: the pace begins again */
  int64_t paused_until_us; /* it has refused a request and asked for none before this time */
  int64_t silent_since_us; /* last byte received, or when the first request in flight was sent */
  GHashTable *part_uses;   /* id (uint64_t): struct part_use_ */
};

/* The requests of this instance at all servers of a service. */
struct own_requests_
{
  double tokens; /* of cache memory that they may come to need */
  unsigned requests;
};

/* Last use of a prompt part at one server. */
struct part_use_
{
  uint64_t id; /* the key of the table */
  int64_t used_us;
};

static double expected_ms_ (const struct gw_placement_query *query,
                            const struct gw_backend *backend,
                            int64_t uncached_tokens);
static int64_t uncached_tokens_ (const struct gw_placement_query *query,
                                 const struct gw_backend *backend,
                                 const struct gw_backend *affinity,
                                 int64_t *cached_elsewhere);
static const struct gw_backend *affinity_server_ (const struct gw_placement_query *query);
static void describe_load_ (struct gw_placement *place, int64_t now_us);
static double peer_requests_ (const struct gw_backend_load *load, int64_t now_us);
static double work_time_factor_ (const struct gw_backend_load *load, int64_t now_us);
static double stream_delay_cost_ms_ (const struct gw_placement_query *query,
                                     const struct gw_backend *backend,
                                     int64_t uncached_tokens,
                                     double running);
static struct own_requests_ count_own_requests_ (const struct gw_placement_query *query);
static bool memory_is_short_ (const struct gw_placement_query *query,
                              const struct own_requests_ *own,
                              const struct gw_backend *backend);
static double peer_memory_tokens_ (const struct gw_placement_query *query,
                                   const struct own_requests_ *own,
                                   const struct gw_backend *backend);
static double error_rate_ (const struct gw_backend_load *load, int64_t now_us);
static void count_error_ (struct gw_backend_load *load, bool failed, int64_t now_us);
static bool is_ejected_ (const struct gw_backend_load *load, int64_t now_us);
static bool is_over_pace_ (const struct gw_placement_query *query,
                           const struct gw_backend *backend);
static bool is_cold_ (const struct gw_placement_query *query, const struct gw_backend *backend);
static bool is_excluded_ (const struct gw_placement_query *query, const struct gw_backend *backend);
static bool is_evacuated_ (const struct gw_placement_query *query,
                           const struct gw_backend *backend);

struct gw_backend_load *
gw_backend_load_new (void)
{
  struct gw_backend_load *load = g_new0 (struct gw_backend_load, 1);

  load->part_uses = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  return load;
}

void
gw_backend_load_delete (struct gw_backend_load *load)
{
  g_hash_table_unref (load->part_uses);
  g_free (load);
}

/* Picks the backend server with the earliest expected first byte into PLACE. Shared prompt parts
 * that the server has not cached count twice, as caching them once more takes memory and time from
 * other requests. Ejected servers are picked only when there is no other. PLACE holds a server also
 * with GW_PLACEMENT_ALL_FULL. */
enum gw_placement_verdict
gw_placement_pick (const struct gw_placement_query *query,
                   GRand *random,
                   struct gw_placement *place)
{
  const struct gw_backend *affinity = affinity_server_ (query);
  bool best_is_ejected = true;
  bool all_full = true;
  bool some_unresponsive = false;
  bool some_short = false; /* of memory */
  const struct own_requests_ own = count_own_requests_ (query);
  double best_ms = INFINITY;
  int64_t resumes_us = INT64_MAX;

  *place = (struct gw_placement){ 0 };
  for (unsigned i = 0; query->backends != NULL && i < query->backends->len; i++)
    {
      struct gw_backend *backend = query->backends->pdata[i];
      const struct gw_backend_load *load = backend->load;
      bool ejected = is_ejected_ (load, query->now_us);
      unsigned slots = MAX (backend->facts.slots, 1U);
      int64_t uncached;
      int64_t cached_elsewhere;
      int64_t cold_us;
      double ms;

      if (is_evacuated_ (query, backend))
        {
          place->evacuated++;
          continue;
        }
      if (backend->facts.is_leaving || backend->is_removed || is_excluded_ (query, backend))
        continue;
      if (load->responded_us < query->responded_since_us)
        {
          some_unresponsive = true;
          continue;
        }
      if (gw_placement_is_paused (backend, query->now_us))
        {
          resumes_us = MIN (resumes_us, load->paused_until_us);
          continue;
        }
      cold_us
          = gw_placement_cold_wait_us (query->cold_start, query->service, backend, query->now_us);
      if (cold_us > 0)
        {
          place->cold_withheld++;
          resumes_us = MIN (resumes_us, query->now_us + cold_us);
          continue;
        }
      if (memory_is_short_ (query, &own, backend))
        {
          some_short = true;
          continue;
        }
      ejected = is_over_pace_ (query, backend) || ejected;
      uncached = uncached_tokens_ (query, backend, affinity, &cached_elsewhere);
      ms = expected_ms_ (query, backend, uncached + cached_elsewhere);
      if (load->in_flight + peer_requests_ (load, query->now_us)
          < (double)slots * (1 + WAITING_MAX_PER_SLOT))
        all_full = false;
      ms += g_rand_double (random) * RANDOM_MAX_MS;
      if (place->backend != NULL
          && (ejected > best_is_ejected || (ejected == best_is_ejected && ms >= best_ms)))
        continue;
      place->backend = backend;
      place->expected_ms = ms;
      place->uncached_tokens = uncached;
      place->prefill_queue_tokens = uncached + load->uncached_tokens;
      best_ms = ms;
      best_is_ejected = ejected;
    }
  if (place->evacuated > 0 && query->backends != NULL && place->evacuated == query->backends->len)
    return GW_PLACEMENT_ALL_EVACUATED;
  if (place->backend == NULL && some_short)
    return GW_PLACEMENT_NO_MEMORY;
  if (place->backend == NULL && resumes_us != INT64_MAX)
    {
      place->resumes_in_ms = (resumes_us - query->now_us + 999) / 1000;
      return place->cold_withheld > 0 ? GW_PLACEMENT_ALL_COLD : GW_PLACEMENT_ALL_PAUSED;
    }
  if (place->backend == NULL)
    return some_unresponsive ? GW_PLACEMENT_NO_RECENT_RESPONSE : GW_PLACEMENT_NO_BACKEND;
  describe_load_ (place, query->now_us);
  return all_full ? GW_PLACEMENT_ALL_FULL : GW_PLACEMENT_PICKED;
}

/* Counts the request of QUERY as sent to PLACE; it may come to need MEMORY_TOKENS of cache memory.
 * Each call is followed by one of gw_placement_end_request. */
void
gw_placement_begin_request (const struct gw_placement *place,
                            const struct gw_placement_query *query,
                            int64_t memory_tokens)
{
  struct gw_backend_load *load = place->backend->load;
  const struct gw_prompt *prompt = query->prompt;

  if (load->in_flight++ == 0)
    load->silent_since_us = query->now_us;
  load->uncached_tokens += place->uncached_tokens;
  load->memory_tokens += memory_tokens;
  if (memory_tokens > 0)
    gw_latency_model_note_memory (place->backend->latency_model, memory_tokens);
  if (g_hash_table_size (load->part_uses) > PARTS_MAX)
    g_hash_table_remove_all (load->part_uses);
  for (unsigned i = 0; prompt != NULL && i + 1 < prompt->n_parts; i++)
    {
      struct part_use_ *use = g_hash_table_lookup (load->part_uses, &prompt->parts[i].id);

      if (use == NULL)
        {
          use = g_new0 (struct part_use_, 1);
          use->id = prompt->parts[i].id;
          g_hash_table_insert (load->part_uses, &use->id, use);
        }
      use->used_us = query->now_us;
    }
}

/* Notes that bytes were received from BACKEND. */
void
gw_placement_note_received (struct gw_backend *backend, int64_t now_us)
{
  backend->load->silent_since_us = now_us;
  backend->load->consecutive_breaks = 0;
}

/* Notes the first byte of a response: the UNCACHED_TOKENS of its prompt are prefilled. */
void
gw_placement_note_first_byte (struct gw_backend *backend, int64_t uncached_tokens, int64_t now_us)
{
  backend->load->uncached_tokens -= uncached_tokens;
  gw_placement_note_received (backend, now_us);
}

/* Notes that the first byte of a response was received TOOK_MS after the request was sent, where
 * EXPECTED_MS were expected when it was placed, and whether it is a failure of the server. */
void
gw_placement_note_latency (struct gw_backend *backend,
                           bool has_failed,
                           double expected_ms,
                           int64_t took_ms,
                           int64_t now_us)
{
  if (has_failed || (double)took_ms > expected_ms * LATE_MULTIPLE + LATE_SLACK_MS)
    gw_pace_note_bad (&backend->load->pace, now_us);
  else
    gw_pace_note_good (&backend->load->pace, backend->load->in_flight, now_us);
}

/* Notes that BACKEND has responded, and the load that RESPONSE reports, if any. */
void
gw_placement_note_response (struct gw_backend *backend,
                            const struct gw_response_head *response,
                            int64_t now_us)
{
  struct gw_backend_load *load = backend->load;
  unsigned total = response->running + response->waiting;

  load->responded_us = now_us;
  if (!response->has_load)
    return;
  load->reported_load = total > load->in_flight ? total - load->in_flight : 0;
  load->reported_waiting = response->waiting;
  load->reported_us = now_us;
  load->peer_requests = load->reported_load;
  load->peer_requests_us = now_us;
  load->work_time_percent = response->work_time_percent;
  load->work_time_us = now_us;
}

/* Ends a request that gw_placement_begin_request counted, with its MEMORY_TOKENS. UNCACHED_TOKENS
 * is 0 when its first byte was received. */
void
gw_placement_end_request (struct gw_backend *backend,
                          int64_t uncached_tokens,
                          int64_t memory_tokens,
                          enum gw_attempt_outcome outcome,
                          int64_t now_us)
{
  struct gw_backend_load *load = backend->load;

  g_assert (load->in_flight > 0);
  load->in_flight--;
  load->uncached_tokens -= uncached_tokens;
  load->memory_tokens -= memory_tokens;
  switch (outcome)
    {
    case GW_ATTEMPT_OK:
      count_error_ (load, false, now_us);
      load->ejected_until_us = 0;
      break;
    case GW_ATTEMPT_ERROR:
      count_error_ (load, true, now_us);
      break;
    case GW_ATTEMPT_BROKEN:
      count_error_ (load, true, now_us);
      /* The pace keeps out a server that goes on failing. */
      load->ejected_until_us
          = now_us
            + (load->is_paced ? (int64_t)EJECT_FIRST_US
                              : MIN ((int64_t)EJECT_FIRST_US << MIN (load->consecutive_breaks, 8U),
                                     (int64_t)EJECT_MAX_US));
      load->has_returned = true;
      gw_pace_note_bad (&load->pace, now_us);
      load->consecutive_breaks++;
      break;
    case GW_ATTEMPT_NOT_EXECUTED:
      gw_pace_note_bad (&load->pace, now_us);
      load->reported_load = MAX (load->reported_load, backend->facts.slots);
      load->reported_us = now_us;
      break;
    case GW_ATTEMPT_MISDIRECTED:
    case GW_ATTEMPT_ABANDONED:
      break;
    }
}

/* Ejects BACKEND because another server responds at its address, while its entry in the store has
 * not been removed yet. Returns false when that was already known. */
bool
gw_placement_set_replaced (struct gw_backend *backend, int64_t now_us)
{
  struct gw_backend_load *load = backend->load;
  bool is_new = now_us >= load->replaced_until_us;

  load->replaced_until_us = now_us + REPLACED_US;
  return is_new;
}

/* BACKEND has refused a request and asks for no other one from this instance for PAUSE_MS. The
 * longest pause applies. */
void
gw_placement_pause (struct gw_backend *backend, int64_t pause_ms, int64_t now_us)
{
  backend->load->paused_until_us = MAX (backend->load->paused_until_us, now_us + pause_ms * 1000);
}

bool
gw_placement_is_paused (const struct gw_backend *backend, int64_t now_us)
{
  return backend->load->paused_until_us > now_us;
}

/* Returns the time until this instance may send a request to BACKEND of SERVICE, which is cold; 0:
 * now, or it is not cold. To be asked again when the request is sent, as the server may have become
 * cold, or its limit used up, since it was picked. */
int64_t
gw_placement_cold_wait_us (const struct gw_cold_start *cold_start,
                           const struct gw_service *service,
                           const struct gw_backend *backend,
                           int64_t now_us)
{
  if (service == NULL || !gw_cold_start_is_on (cold_start))
    return 0;
  return gw_cold_start_wait_us (cold_start, &backend->cold, backend->key, service->cold_per_s,
                                now_us);
}

/* Returns whether BACKEND has requests of this instance and has sent nothing for SILENCE_US. */
bool
gw_placement_is_silent (const struct gw_backend *backend, int64_t now_us)
{
  return backend->load->in_flight > 0 && now_us - backend->load->silent_since_us > SILENCE_US;
}

static struct own_requests_
count_own_requests_ (const struct gw_placement_query *query)
{
  struct own_requests_ own = { 0 };

  for (unsigned i = 0; query->instances > 0 && query->backends != NULL && i < query->backends->len;
       i++)
    {
      const struct gw_backend_load *load
          = ((const struct gw_backend *)query->backends->pdata[i])->load;

      own.tokens += (double)load->memory_tokens;
      own.requests += load->in_flight;
    }
  return own;
}

/* Returns whether the request of QUERY may exceed the memory of BACKEND, with what this instance
 * and its peers have there. A server that is likely to be empty takes any request. */
static bool
memory_is_short_ (const struct gw_placement_query *query,
                  const struct own_requests_ *own,
                  const struct gw_backend *backend)
{
  const struct gw_prompt *prompt = query->prompt;
  double part = MAX (MEMORY_PART_MAX - query->rank * MEMORY_PART_PER_RANK, MEMORY_PART_MIN);
  double needed;
  double used;

  if (query->instances == 0 || query->service == NULL || query->service->memory_tokens <= 0
      || prompt == NULL || !prompt->is_declared)
    return false;
  needed = (double)(prompt->input_tokens + prompt->output_tokens_max);
  used = (double)backend->load->memory_tokens + peer_memory_tokens_ (query, own, backend);
  return used >= 1 && used + needed > part * (double)query->service->memory_tokens;
}

/* Returns the memory that requests of peers are assumed to need at BACKEND: by its last report, or,
 * if that is old, as much as this instance has at the service's servers on average, for each peer.
 * Unlike a queue, memory stays in use for seconds, so a report does not decay before it is old. A
 * refusal says nothing about it. */
static double
peer_memory_tokens_ (const struct gw_placement_query *query,
                     const struct own_requests_ *own,
                     const struct gw_backend *backend)
{
  const struct gw_backend_load *load = backend->load;
  double mean = gw_latency_model_memory_tokens (backend->latency_model,
                                                (double)query->service->memory_tokens
                                                    / MAX (query->service->slots, 1U));

  if (load->peer_requests_us != 0 && query->now_us - load->peer_requests_us < MEMORY_REPORT_US)
    return load->peer_requests * mean + MEMORY_DEVIATIONS * mean * sqrt (load->peer_requests);
  /* A few requests of this instance tell nothing about those of hundreds of others. */
  if (own->requests < OWN_REQUESTS_MIN)
    return 0;
  return own->tokens / query->backends->len * (query->instances - 1);
}

/* Returns whether requests wait at BACKEND: it has reported so lately, or more requests are there
 * than it runs at once. */
bool
gw_placement_has_queue (const struct gw_backend *backend, int64_t now_us)
{
  const struct gw_backend_load *load = backend->load;

  return (load->reported_waiting > 0 && now_us - load->reported_us < QUEUE_REPORT_US)
         || load->in_flight + peer_requests_ (load, now_us) >= MAX (backend->facts.slots, 1U);
}

static double
expected_ms_ (const struct gw_placement_query *query,
              const struct gw_backend *backend,
              int64_t uncached_tokens)
{
  const struct gw_backend_load *load = backend->load;
  double peer_requests = peer_requests_ (load, query->now_us);
  double total = load->in_flight + peer_requests;
  double slots = MAX (backend->facts.slots, 1U);
  double ms = 0;

  if (query->service != NULL && query->service->is_model)
    {
      const struct gw_prompt *prompt = query->prompt;

      ms += gw_latency_model_prefill_ms (backend->latency_model,
                                         (double)(uncached_tokens + load->uncached_tokens));
      ms += total * RUNNING_REQUEST_MS;
      ms += stream_delay_cost_ms_ (query, backend, uncached_tokens, total);
      if (query->service->memory_tokens > 0 && prompt->is_declared
          && load->memory_tokens + prompt->input_tokens + prompt->output_tokens_max
                 > query->service->memory_tokens)
        ms += MEMORY_SHORT_MS;
    }
  else
    ms += total / slots * gw_latency_model_response_ms (backend->latency_model) / 4;
  /* All slots are taken: they become free one after the other. */
  if (total >= slots)
    ms += (total - slots + 1) / slots * gw_latency_model_response_ms (backend->latency_model);
  ms *= work_time_factor_ (load, query->now_us);
  if (strcmp (backend->facts.data_centre, query->data_centre) != 0)
    ms += OTHER_DATA_CENTRE_MS;
  if (is_cold_ (query, backend))
    ms += WARM_UP_MS;
  if (backend->idle_connections.length == 0)
    ms += query->connect_ms;
  if (gw_placement_is_silent (backend, query->now_us))
    ms += SILENT_MS;
  return ms + MAX (error_rate_ (load, query->now_us) - ERROR_RATE_USUAL, 0) * ERROR_MS;
}

/* Returns the cost of the delay that UNCACHED_TOKENS of the prompt of QUERY cause to the RUNNING
 * requests at BACKEND, which get no event while it is prefilled. Small prompts avoid some servers,
 * which all instances agree on, so that large ones find servers with few streams. */
static double
stream_delay_cost_ms_ (const struct gw_placement_query *query,
                       const struct gw_backend *backend,
                       int64_t uncached_tokens,
                       double running)
{
  double delay_ms = gw_latency_model_prefill_ms (backend->latency_model, (double)uncached_tokens);
  double cost_ms = 0;

  if (!query->protects_streams)
    return 0;
  if (backend->key % LARGE_PROMPT_SERVERS == 0 && delay_ms < STREAM_GAP_MS / 2)
    cost_ms = LARGE_PROMPT_SERVER_MS;
  return cost_ms + delay_ms * MIN (delay_ms / STREAM_GAP_MS, 1) * running * STREAM_DELAY_WEIGHT;
}

/* Returns the uncached tokens of the prompt at BACKEND, and in CACHED_ELSEWHERE those of shared
 * parts among them, which other servers are assumed to have cached. Parts count as cached up to the
 * first one that is not. Peers send the same parts to AFFINITY, so they are assumed cached there.
 */
static int64_t
uncached_tokens_ (const struct gw_placement_query *query,
                  const struct gw_backend *backend,
                  const struct gw_backend *affinity,
                  int64_t *cached_elsewhere)
{
  const struct gw_prompt *prompt = query->prompt;
  int64_t cached_us
      = query->part_cache_lifetime_us > 0 ? query->part_cache_lifetime_us : (int64_t)PART_CACHED_US;
  int64_t shared;
  int64_t cached;

  *cached_elsewhere = 0;
  if (prompt == NULL || !prompt->is_declared)
    return 0;
  shared = 0;
  for (unsigned i = 0; i + 1 < prompt->n_parts; i++)
    shared += prompt->parts[i].tokens;
  cached = 0;
  for (unsigned i = 0; i + 1 < prompt->n_parts; i++)
    {
      const struct part_use_ *use
          = g_hash_table_lookup (backend->load->part_uses, &prompt->parts[i].id);

      if ((use == NULL || query->now_us - use->used_us > cached_us) && backend != affinity)
        break;
      cached += prompt->parts[i].tokens;
    }
  *cached_elsewhere = shared - cached;
  return MAX (prompt->input_tokens - cached, 0);
}

/* Returns the affinity server of the prompt's longest shared prefix, or NULL. Instances agree on it
 * without communication, by rendezvous hashing. */
static const struct gw_backend *
affinity_server_ (const struct gw_placement_query *query)
{
  const struct gw_prompt *prompt = query->prompt;
  const struct gw_backend *affinity = NULL;
  uint64_t best = 0;

  if (prompt == NULL || prompt->n_parts < 2)
    return NULL;
  for (unsigned i = 0; query->backends != NULL && i < query->backends->len; i++)
    {
      const struct gw_backend *backend = query->backends->pdata[i];
      uint64_t weight;

      if (backend->facts.is_leaving || is_ejected_ (backend->load, query->now_us)
          || gw_placement_is_paused (backend, query->now_us) || is_evacuated_ (query, backend)
          || gw_placement_cold_wait_us (query->cold_start, query->service, backend, query->now_us)
                 > 0)
        continue;
      weight = XXH3_64bits_withSeed (&backend->key, sizeof backend->key,
                                     prompt->parts[prompt->n_parts - 2].id);
      if (affinity == NULL || weight > best)
        {
          affinity = backend;
          best = weight;
        }
    }
  return affinity;
}

/* Fills in the known load of the picked backend server, for the log. */
static void
describe_load_ (struct gw_placement *place, int64_t now_us)
{
  const struct gw_backend_load *load = place->backend->load;

  place->in_flight = load->in_flight;
  place->reported_load = load->reported_load;
  place->report_age_ms = load->reported_us == 0 ? -1 : (now_us - load->reported_us) / 1000;
}

/* Returns the estimated number of requests that peers have at the server: its last load report,
 * decaying with its age. */
static double
peer_requests_ (const struct gw_backend_load *load, int64_t now_us)
{
  double age = (double)(now_us - load->reported_us) / REPORT_DECAY_US;

  return load->reported_us == 0 ? 0 : load->reported_load * exp (-age);
}

/* Returns by how much longer than usual work is expected to take at the server: what it reported
 * last, decaying toward 1 with the age of the report. */
static double
work_time_factor_ (const struct gw_backend_load *load, int64_t now_us)
{
  double reported = CLAMP (load->work_time_percent, (unsigned)WORK_TIME_MIN_PERCENT,
                           (unsigned)WORK_TIME_MAX_PERCENT)
                    / (double)WORK_TIME_USUAL_PERCENT;
  double age = (double)(now_us - load->work_time_us) / WORK_TIME_DECAY_US;

  return load->work_time_us == 0 || load->work_time_percent == 0 ? 1
                                                                 : 1 + (reported - 1) * exp (-age);
}

static double
error_rate_ (const struct gw_backend_load *load, int64_t now_us)
{
  return load->error_rate * exp (-(double)(now_us - load->error_us) / ERROR_DECAY_US);
}

/* Adds one outcome to the failure rate, an average that decays with time and with each outcome. */
static void
count_error_ (struct gw_backend_load *load, bool failed, int64_t now_us)
{
  const double weight = 0.15; /* about the last seven outcomes */

  load->error_rate = error_rate_ (load, now_us) * (1 - weight) + (failed ? weight : 0);
  load->error_us = now_us;
}

static bool
is_ejected_ (const struct gw_backend_load *load, int64_t now_us)
{
  return MAX (load->ejected_until_us, load->replaced_until_us) > now_us;
}

/* Without the limit for cold servers, the time in the entry is not followed. */
static bool
is_cold_ (const struct gw_placement_query *query, const struct gw_backend *backend)
{
  if (!gw_cold_start_is_on (query->cold_start))
    return backend->facts.warm_up_ms > 0;
  return gw_cold_server_is_cold (&backend->cold, query->now_us);
}

/* Returns whether this instance has as many requests at BACKEND as its pace allows. The pace begins
 * when the server is first looked at after it has appeared or returned. */
static bool
is_over_pace_ (const struct gw_placement_query *query, const struct gw_backend *backend)
{
  struct gw_backend_load *load = backend->load;
  bool begins = load->has_returned ? !load->pace.is_active : backend->is_new && !load->is_paced;

  if (query->paced == NULL)
    {
      load->is_paced = load->pace.is_active = false;
      return false;
    }
  if (is_ejected_ (load, query->now_us))
    return false;
  if (begins)
    {
      uint64_t hash
          = XXH3_64bits_withSeed (&backend->key, sizeof backend->key, query->paced->instance_hash);
      const struct gw_pace_options options = { .position = (double)hash / (double)UINT64_MAX,
                                               .instances = query->paced->instances,
                                               .slots = MAX (backend->facts.slots, 1U) };

      gw_pace_begin (&load->pace, &options, query->now_us);
    }
  load->is_paced = true;
  load->has_returned = false;
  return load->in_flight >= gw_pace_limit (&load->pace, query->now_us);
}

static bool
is_excluded_ (const struct gw_placement_query *query, const struct gw_backend *backend)
{
  for (unsigned i = 0; query->excluded != NULL && i < query->excluded->len; i++)
    if (query->excluded->pdata[i] == backend)
      return true;
  return false;
}

static bool
is_evacuated_ (const struct gw_placement_query *query, const struct gw_backend *backend)
{
  return evacuation_excludes (query->evacuation, backend->facts.data_centre);
}
