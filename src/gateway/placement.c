#include "gateway/placement.h"

#include "gateway/pace.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/* One request more that runs beside lengthens each step: measured by the sheet's step times. */
static const double RUNNING_MS = 0.6;
/* Round trip to another data centre. */
static const double OTHER_CENTRE_MS = 3;
/* Among equals chance decides, so that instances with the same report do not pick the same. */
static const double CHANCE_MS = 4;
/* An engine that has memory for less than the request waits for others to end. */
static const double MEMORY_SHORT_MS = 1500;
/* What a failure rate above the usual costs: a rate of one half is worse than any queue. */
static const double ERROR_MS = 4000;
/* Services fail some requests by themselves; only a higher rate counts against a server. */
static const double ERROR_RATE_USUAL = 0.25;
static const double SILENT_MS = 2000;
static const double WARM_UP_MS = 100;

enum
{
  ERROR_MEMORY_US = 4000000, /* time constant of the failure rate: found bad for a few seconds */
  REPORT_MEMORY_US = 600000, /* a reported load is of little worth after this time */
  SILENCE_US = 700000,       /* no byte from a server with work: ten times its longest step */
  EJECT_FIRST_US = 500000,   /* after a broken connection; doubles */
  EJECT_MAX_US = 8000000,    /* the time in which a crashed server commonly returns */
  REPLACED_US = 10000000,    /* as long as the store may be away and its entries stay as they are */
  PART_MEMORY_US = 9000000,  /* a cached part is believed to be there, where no setting says so */
  PARTS_MAX = 4096,          /* parts remembered of one server */
  WAITING_MAX_PER_SLOT = 2   /* beyond this queue nobody is served in time */
};

/* What another instance has sent to a backend server. */
struct gw_backend_load
{
  unsigned in_flight;
  int64_t unread_tokens;  /* of requests sent from here that have no first byte yet */
  int64_t memory_tokens;  /* that they may come to take */
  unsigned reported_load; /* running and waiting, less what was in flight from here */
  unsigned reported_waiting;
  int64_t reported_us;
  int64_t answered_us; /* the head of its last answer */
  double error_rate;
  int64_t error_us;
  unsigned breaks; /* in a row */
  int64_t ejected_until_us;
  int64_t replaced_until_us;
  int64_t paused_until_us; /* it has turned a request away and wants none before */
  int64_t quiet_since_us;  /* the last byte, or when the first request in flight was sent */
  GHashTable *parts;       /* id (uint64_t): struct part_use_ */
};

struct part_use_
{
  uint64_t id; /* first: it is the key */
  int64_t used_us;
};

static double expected_ms_ (const struct gw_place_query *query,
                            const struct gw_backend *backend,
                            int64_t unread_tokens);
static int64_t unread_tokens_ (const struct gw_place_query *query,
                               const struct gw_backend *backend,
                               const struct gw_backend *home,
                               int64_t *again);
static const struct gw_backend *home_of_prompt_ (const struct gw_place_query *query);
static void describe_load_ (struct gw_place *place, int64_t now_us);
static double others_ (const struct gw_backend_load *load, int64_t now_us);
static double error_rate_ (const struct gw_backend_load *load, int64_t now_us);
static void count_error_ (struct gw_backend_load *load, bool failed, int64_t now_us);
static bool is_ejected_ (const struct gw_backend_load *load, int64_t now_us);
static bool is_excluded_ (const struct gw_place_query *query, const struct gw_backend *backend);

/* Creates what is known of the load of one backend server. */
struct gw_backend_load *
gw_backend_load_new (void)
{
  struct gw_backend_load *load = g_new0 (struct gw_backend_load, 1);

  load->parts = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  return load;
}

/* Frees LOAD. */
void
gw_backend_load_delete (struct gw_backend_load *load)
{
  g_hash_table_unref (load->parts);
  g_free (load);
}

/* Picks the backend server with the earliest expected first byte; shared parts that would be read
 * once more count twice, as they take memory and time of others beside. Servers that were broken
 * lately are taken only when there is no other. */
enum gw_place_verdict
gw_place_pick (const struct gw_place_query *query, GRand *random, struct gw_place *place)
{
  const struct gw_backend *home = home_of_prompt_ (query);
  bool best_is_ejected = true;
  bool all_full = true;
  bool some_unheard = false;
  double best_ms = INFINITY;
  int64_t opens_us = INT64_MAX;

  *place = (struct gw_place){ 0 };
  for (unsigned i = 0; query->backends != NULL && i < query->backends->len; i++)
    {
      struct gw_backend *backend = query->backends->pdata[i];
      const struct gw_backend_load *load = backend->load;
      bool ejected = is_ejected_ (load, query->now_us);
      unsigned slots = MAX (backend->facts.slots, 1U);
      int64_t unread;
      int64_t again;
      double ms;

      if (backend->facts.is_leaving || backend->is_gone || is_excluded_ (query, backend))
        continue;
      if (load->answered_us < query->answered_since_us)
        {
          some_unheard = true;
          continue;
        }
      if (gw_place_is_paused (backend, query->now_us))
        {
          opens_us = MIN (opens_us, load->paused_until_us);
          continue;
        }
      unread = unread_tokens_ (query, backend, home, &again);
      ms = expected_ms_ (query, backend, unread + again);
      if (load->in_flight + others_ (load, query->now_us)
          < (double)slots * (1 + WAITING_MAX_PER_SLOT))
        all_full = false;
      ms += g_rand_double (random) * CHANCE_MS;
      if (place->backend != NULL
          && (ejected > best_is_ejected || (ejected == best_is_ejected && ms >= best_ms)))
        continue;
      place->backend = backend;
      place->expected_ms = ms;
      place->unread_tokens = unread;
      place->queued_tokens = unread + load->unread_tokens;
      best_ms = ms;
      best_is_ejected = ejected;
    }
  if (place->backend == NULL && opens_us != INT64_MAX)
    {
      place->paused_ms = (opens_us - query->now_us + 999) / 1000;
      return GW_PLACE_PAUSED;
    }
  if (place->backend == NULL)
    return some_unheard ? GW_PLACE_UNHEARD : GW_PLACE_NONE;
  describe_load_ (place, query->now_us);
  return all_full ? GW_PLACE_FULL : GW_PLACE_PICKED;
}

/* The request of QUERY is sent to PLACE; it may come to take MEMORY_TOKENS. */
void
gw_place_begin (const struct gw_place *place,
                const struct gw_place_query *query,
                int64_t memory_tokens)
{
  struct gw_backend_load *load = place->backend->load;
  const struct gw_prompt *prompt = query->prompt;

  if (load->in_flight++ == 0)
    load->quiet_since_us = query->now_us;
  load->unread_tokens += place->unread_tokens;
  load->memory_tokens += memory_tokens;
  if (g_hash_table_size (load->parts) > PARTS_MAX)
    g_hash_table_remove_all (load->parts);
  for (unsigned i = 0; prompt != NULL && i + 1 < prompt->n_parts; i++)
    {
      struct part_use_ *use = g_hash_table_lookup (load->parts, &prompt->parts[i].id);

      if (use == NULL)
        {
          use = g_new0 (struct part_use_, 1);
          use->id = prompt->parts[i].id;
          g_hash_table_insert (load->parts, &use->id, use);
        }
      use->used_us = query->now_us;
    }
}

/* BACKEND sent something. */
void
gw_place_heard (struct gw_backend *backend, int64_t now_us)
{
  backend->load->quiet_since_us = now_us;
  backend->load->breaks = 0;
}

/* The first byte of an answer came: the prompt is read. */
void
gw_place_first_byte (struct gw_backend *backend, int64_t unread_tokens, int64_t now_us)
{
  backend->load->unread_tokens -= unread_tokens;
  gw_place_heard (backend, now_us);
}

/* Takes over that BACKEND has answered, and the load that rode on ANSWER. */
void
gw_place_report (struct gw_backend *backend, const struct gw_answer *answer, int64_t now_us)
{
  struct gw_backend_load *load = backend->load;
  unsigned total = answer->running + answer->waiting;

  load->answered_us = now_us;
  if (!answer->has_load)
    return;
  load->reported_load = total > load->in_flight ? total - load->in_flight : 0;
  load->reported_waiting = answer->waiting;
  load->reported_us = now_us;
}

/* The request ended at BACKEND. UNREAD_TOKENS are 0 when its first byte had come. */
void
gw_place_finish (struct gw_backend *backend,
                 int64_t unread_tokens,
                 int64_t memory_tokens,
                 enum gw_place_end end,
                 int64_t now_us)
{
  struct gw_backend_load *load = backend->load;

  g_assert (load->in_flight > 0);
  load->in_flight--;
  load->unread_tokens -= unread_tokens;
  load->memory_tokens -= memory_tokens;
  switch (end)
    {
    case GW_PLACE_END_OK:
      count_error_ (load, false, now_us);
      load->ejected_until_us = 0;
      break;
    case GW_PLACE_END_ERROR:
      count_error_ (load, true, now_us);
      break;
    case GW_PLACE_END_BROKEN:
      count_error_ (load, true, now_us);
      load->ejected_until_us
          = now_us + MIN ((int64_t)EJECT_FIRST_US << MIN (load->breaks, 8U), (int64_t)EJECT_MAX_US);
      load->breaks++;
      break;
    case GW_PLACE_END_NOT_EXECUTED:
      load->reported_load = MAX (load->reported_load, backend->facts.slots);
      load->reported_us = now_us;
      break;
    case GW_PLACE_END_MISDIRECTED:
    case GW_PLACE_END_ABANDONED:
      break;
    }
}

/* Another backend server answers at the address of BACKEND, whose entry has not been removed yet.
 * Returns false when that was known. */
bool
gw_place_set_replaced (struct gw_backend *backend, int64_t now_us)
{
  struct gw_backend_load *load = backend->load;
  bool is_new = now_us >= load->replaced_until_us;

  load->replaced_until_us = now_us + REPLACED_US;
  return is_new;
}

/* BACKEND has turned a request away and wants no other one from here for PAUSE_MS. */
void
gw_place_pause (struct gw_backend *backend, int64_t pause_ms, int64_t now_us)
{
  backend->load->paused_until_us = MAX (backend->load->paused_until_us, now_us + pause_ms * 1000);
}

/* Tells whether BACKEND wants nothing from here now. */
bool
gw_place_is_paused (const struct gw_backend *backend, int64_t now_us)
{
  return backend->load->paused_until_us > now_us;
}

/* Tells whether BACKEND has work from here and has been quiet for longer than a sound one would. */
bool
gw_place_is_silent (const struct gw_backend *backend, int64_t now_us)
{
  return backend->load->in_flight > 0 && now_us - backend->load->quiet_since_us > SILENCE_US;
}

static double
expected_ms_ (const struct gw_place_query *query,
              const struct gw_backend *backend,
              int64_t unread_tokens)
{
  const struct gw_backend_load *load = backend->load;
  double others = others_ (load, query->now_us);
  double total = load->in_flight + others;
  double slots = MAX (backend->facts.slots, 1U);
  double ms = 0;

  if (query->service != NULL && query->service->is_model)
    {
      const struct gw_prompt *prompt = query->prompt;

      ms += gw_pace_reading_ms (backend->pace, (double)(unread_tokens + load->unread_tokens));
      ms += total * RUNNING_MS;
      if (query->service->memory_tokens > 0 && prompt->is_stated
          && load->memory_tokens + prompt->input_tokens + prompt->output_tokens_max
                 > query->service->memory_tokens)
        ms += MEMORY_SHORT_MS;
    }
  else
    ms += total / slots * gw_pace_answer_ms (backend->pace) / 4;
  /* Places free up one after the other. */
  if (total >= slots)
    ms += (total - slots + 1) / slots * gw_pace_answer_ms (backend->pace);
  if (strcmp (backend->facts.data_centre, query->data_centre) != 0)
    ms += OTHER_CENTRE_MS;
  if (backend->facts.warm_up_ms > 0)
    ms += WARM_UP_MS;
  if (backend->idle_connections.length == 0)
    ms += query->connect_ms;
  if (gw_place_is_silent (backend, query->now_us))
    ms += SILENT_MS;
  return ms + MAX (error_rate_ (load, query->now_us) - ERROR_RATE_USUAL, 0) * ERROR_MS;
}

/* Returns the tokens of the prompt that BACKEND would have to read, and in AGAIN those of shared
 * parts among them, which others have cached: parts count as cached up to the first one that is
 * not. Other instances send the same parts to their home, so they are believed to be there. */
static int64_t
unread_tokens_ (const struct gw_place_query *query,
                const struct gw_backend *backend,
                const struct gw_backend *home,
                int64_t *again)
{
  const struct gw_prompt *prompt = query->prompt;
  int64_t memory_us = query->part_memory_us > 0 ? query->part_memory_us : (int64_t)PART_MEMORY_US;
  int64_t shared;
  int64_t cached;

  *again = 0;
  if (prompt == NULL || !prompt->is_stated)
    return 0;
  shared = 0;
  for (unsigned i = 0; i + 1 < prompt->n_parts; i++)
    shared += prompt->parts[i].tokens;
  cached = 0;
  for (unsigned i = 0; i + 1 < prompt->n_parts; i++)
    {
      const struct part_use_ *use
          = g_hash_table_lookup (backend->load->parts, &prompt->parts[i].id);

      if ((use == NULL || query->now_us - use->used_us > memory_us) && backend != home)
        break;
      cached += prompt->parts[i].tokens;
    }
  *again = shared - cached;
  return MAX (prompt->input_tokens - cached, 0);
}

/* Returns the backend server that instances agree on for the prompt's longest shared beginning, by
 * rendezvous hashing, or NULL. */
static const struct gw_backend *
home_of_prompt_ (const struct gw_place_query *query)
{
  const struct gw_prompt *prompt = query->prompt;
  const struct gw_backend *home = NULL;
  uint64_t best = 0;

  if (prompt == NULL || prompt->n_parts < 2)
    return NULL;
  for (unsigned i = 0; query->backends != NULL && i < query->backends->len; i++)
    {
      const struct gw_backend *backend = query->backends->pdata[i];
      uint64_t weight;

      if (backend->facts.is_leaving || is_ejected_ (backend->load, query->now_us)
          || gw_place_is_paused (backend, query->now_us))
        continue;
      weight = XXH3_64bits_withSeed (&backend->key, sizeof backend->key,
                                     prompt->parts[prompt->n_parts - 2].id);
      if (home == NULL || weight > best)
        {
          home = backend;
          best = weight;
        }
    }
  return home;
}

/* What is known of the load of the chosen backend server, for the log. */
static void
describe_load_ (struct gw_place *place, int64_t now_us)
{
  const struct gw_backend_load *load = place->backend->load;

  place->in_flight = load->in_flight;
  place->reported = load->reported_load;
  place->report_age_ms = load->reported_us == 0 ? -1 : (now_us - load->reported_us) / 1000;
}

/* Returns the requests of other instances that are believed to be there. */
static double
others_ (const struct gw_backend_load *load, int64_t now_us)
{
  double age = (double)(now_us - load->reported_us) / REPORT_MEMORY_US;

  return load->reported_us == 0 ? 0 : load->reported_load * exp (-age);
}

static double
error_rate_ (const struct gw_backend_load *load, int64_t now_us)
{
  return load->error_rate * exp (-(double)(now_us - load->error_us) / ERROR_MEMORY_US);
}

/* Counts one outcome into the failure rate, which forgets with time and with outcomes. */
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

static bool
is_excluded_ (const struct gw_place_query *query, const struct gw_backend *backend)
{
  for (unsigned i = 0; query->excluded != NULL && i < query->excluded->len; i++)
    if (query->excluded->pdata[i] == backend)
      return true;
  return false;
}
