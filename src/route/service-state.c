#include "route/service-state.h"

#include "base/log.h"
#include "base/rendezvous.h"

#include <math.h>
#include <string.h>

enum
{
  FAILURES_BEFORE_EJECTION = 3,
  RANDOM_CHOICES = 2
};

/* Share of the backend servers in use that is never ejected, and at least one, so that failures
 * that hit all of them cannot take a service down. */
static const double NEVER_EJECTED_SHARE = 1.0 / 3;
/* Load bound for selection by prefix affinity, the larger of: a share of the capacity, and a
 * multiple of the fair share of the load (consistent hashing with bounded loads, Mirrokni, Thorup
 * and Zadimoghaddam 2018). */
static const double AFFINITY_CAPACITY_SHARE = 0.5;
static const double AFFINITY_FAIR_FACTOR = 1.25;
/* Load per capacity up to which the local data centre is preferred. */
static const double LOCAL_LOAD_MAX = 0.8;

/* Backend servers with a free slot, for one selection. */
struct candidates
{
  struct sr_backend_state **items;
  unsigned length;
  double load;     /* of all of them */
  double capacity; /* of all of them */
};

static struct sr_backend_state *find_backend_ (const struct sr_service_state *service,
                                               const char *name);
static GPtrArray *choose_subset_ (const GPtrArray *backends,
                                  const struct sr_router_options *options);
static void add_preferred_ (GPtrArray *subset, GPtrArray *from, const char *instance, unsigned max);
static void remove_idle_retired_ (struct sr_service_state *service);
static bool is_excluded_ (const struct sr_route_query *query, const struct sr_backend_state *state);
static double relative_load_ (const struct sr_service_state *service,
                              const struct sr_backend_state *state,
                              int64_t now_us);
static unsigned collect_candidates_ (const struct sr_service_state *service,
                                     const struct sr_route_query *query,
                                     struct candidates *all,
                                     struct candidates *local);
static struct sr_backend_state *choose_probe_ (const struct sr_service_state *service,
                                               const struct sr_route_query *query);
static struct sr_backend_state *choose_by_affinity_ (const struct sr_service_state *service,
                                                     const struct candidates *candidates,
                                                     const struct sr_route_query *query);
static struct sr_backend_state *choose_by_load_ (const struct sr_service_state *service,
                                                 const struct candidates *candidates,
                                                 int64_t now_us,
                                                 GRand *random);
static void take_slot_ (struct sr_backend_state *state, int64_t now_us, struct sr_route *route);
static bool may_eject_ (const struct sr_service_state *service);

struct sr_service_state *
sr_service_state_new (const char *name)
{
  struct sr_service_state *service = g_new0 (struct sr_service_state, 1);

  service->name = g_string_new (name);
  service->backends = g_ptr_array_new ();
  return service;
}

void
sr_service_state_delete (struct sr_service_state *service)
{
  for (guint i = 0; i < service->backends->len; i++)
    sr_backend_state_delete (service->backends->pdata[i]);
  g_ptr_array_unref (service->backends);
  g_string_free (service->name, TRUE);
  g_free (service);
}

/* Applies BACKENDS (of struct sr_config_backend, all of this service). The measured state is kept
 * by name. A server added to existing ones starts slowly; a removed one gets no new requests and is
 * freed when its last request ends. */
void
sr_service_state_apply (struct sr_service_state *service,
                        const GPtrArray *backends,
                        const struct sr_router_options *options,
                        int64_t now_us)
{
  GPtrArray *subset = choose_subset_ (backends, options);
  bool is_addition = service->backends->len > 0;

  for (guint i = 0; i < service->backends->len; i++)
    {
      struct sr_backend_state *state = service->backends->pdata[i];

      state->retired = true;
    }
  for (guint i = 0; i < subset->len; i++)
    {
      const struct sr_config_backend *backend = subset->pdata[i];
      struct sr_backend_state *state = find_backend_ (service, backend->name->str);

      if (state == NULL)
        {
          state = sr_backend_state_new (backend);
          if (is_addition)
            state->slow_start_begin_us = now_us;
          g_ptr_array_add (service->backends, state);
        }
      sr_backend_state_configure (state, backend, options->data_centre);
    }
  service->has_all_backends = backends->len <= SR_SUBSET_MAX;
  remove_idle_retired_ (service);
  g_ptr_array_unref (subset);
}

/* Selects a backend server for QUERY and takes a slot at it, described in ROUTE. In this order: one
 * whose probe is due; the one with the highest rendezvous weight for the prompt prefix among those
 * below their load bound; the less loaded of two random ones (power of two choices, Mitzenmacher
 * 2001), in the local data centre while that has free capacity. */
enum sr_route_verdict
sr_service_state_pick (struct sr_service_state *service,
                       const struct sr_route_query *query,
                       GRand *random,
                       struct sr_route *route)
{
  struct candidates all
      = { .items = g_new (struct sr_backend_state *, service->backends->len + 1) };
  struct candidates local
      = { .items = g_new (struct sr_backend_state *, service->backends->len + 1) };
  unsigned usable = collect_candidates_ (service, query, &all, &local);
  const struct candidates *preferred
      = local.length > 0 && local.load < LOCAL_LOAD_MAX * local.capacity ? &local : &all;
  struct sr_backend_state *chosen = choose_probe_ (service, query);

  if (chosen == NULL && query->affinity != 0)
    chosen = choose_by_affinity_ (service, service->has_all_backends ? &all : preferred, query);
  if (chosen == NULL && all.length > 0)
    chosen = choose_by_load_ (service, preferred, query->now_us, random);
  if (chosen != NULL)
    take_slot_ (chosen, query->now_us, route);
  g_free (all.items);
  g_free (local.items);
  if (chosen != NULL)
    return SR_ROUTE_PICKED;
  return usable > 0 ? SR_ROUTE_BUSY : SR_ROUTE_NONE;
}

/* Records the end of a request at BACKEND, and ejects it after repeated failures while enough
 * others are left, or after a failed probe. Returns false when SERVICE has no backend server of
 * this name. */
bool
sr_service_state_report (struct sr_service_state *service,
                         const char *backend,
                         const struct sr_route_report *report,
                         GRand *random)
{
  struct sr_backend_state *state = find_backend_ (service, backend);
  bool was_ejected;

  if (state == NULL)
    return false;
  was_ejected = state->ejected;
  sr_backend_state_report (state, &service->prior, report);
  if (report->result == SR_ROUTE_RESULT_FAILED
      && (state->probing
          || (!state->ejected && state->failures >= FAILURES_BEFORE_EJECTION
              && may_eject_ (service))))
    sr_backend_state_eject (state, report->now_us, g_rand_double (random));
  if (state->ejected != was_ejected)
    sr_log (G_LOG_LEVEL_MESSAGE, state->ejected ? "backend_ejected" : "backend_rejoined",
            "%s of %s", state->name->str, service->name->str);
  if (state->retired)
    remove_idle_retired_ (service);
  return true;
}

/* Returns how many requests could be sent now, including probes that are due. */
unsigned
sr_service_state_free_slots (const struct sr_service_state *service, int64_t now_us)
{
  unsigned free_slots = 0;

  for (guint i = 0; i < service->backends->len; i++)
    {
      const struct sr_backend_state *state = service->backends->pdata[i];

      free_slots += sr_backend_state_free_slots (state, &service->prior, now_us);
      free_slots += sr_backend_state_is_probe_due (state, now_us) ? 1 : 0;
    }
  return free_slots;
}

static struct sr_backend_state *
find_backend_ (const struct sr_service_state *service, const char *name)
{
  for (guint i = 0; i < service->backends->len; i++)
    {
      struct sr_backend_state *state = service->backends->pdata[i];

      if (strcmp (state->name->str, name) == 0)
        return state;
    }
  return NULL;
}

/* Returns those of BACKENDS that this instance uses: all of them up to SR_SUBSET_MAX, else the
 * first in the rendezvous order of the instance name, mostly from its own data centre. Adding or
 * removing one backend server therefore changes few subsets. */
static GPtrArray *
choose_subset_ (const GPtrArray *backends, const struct sr_router_options *options)
{
  GPtrArray *subset = g_ptr_array_new ();
  GPtrArray *local = g_ptr_array_new ();
  GPtrArray *remote = g_ptr_array_new ();
  const char *instance = options->instance != NULL ? options->instance : "";

  for (guint i = 0; i < backends->len; i++)
    {
      struct sr_config_backend *backend = backends->pdata[i];
      bool is_local = strcmp (backend->data_centre->str, options->data_centre) == 0;

      g_ptr_array_add (is_local ? local : remote, backend);
    }
  if (backends->len <= SR_SUBSET_MAX)
    {
      add_preferred_ (subset, local, instance, local->len);
      add_preferred_ (subset, remote, instance, remote->len);
    }
  else
    {
      unsigned remote_min = MIN (remote->len, SR_SUBSET_MAX - SR_SUBSET_LOCAL_MAX);

      add_preferred_ (subset, local, instance, SR_SUBSET_MAX - remote_min);
      add_preferred_ (subset, remote, instance, SR_SUBSET_MAX - subset->len);
    }
  g_ptr_array_unref (local);
  g_ptr_array_unref (remote);
  return subset;
}

/* Appends to SUBSET the first MAX of FROM in the rendezvous order of INSTANCE. */
static void
add_preferred_ (GPtrArray *subset, GPtrArray *from, const char *instance, unsigned max)
{
  GHashTable *by_name = g_hash_table_new (g_str_hash, g_str_equal);
  GPtrArray *names = g_ptr_array_new ();
  GPtrArray *order;

  for (guint i = 0; i < from->len; i++)
    {
      struct sr_config_backend *backend = from->pdata[i];

      g_hash_table_insert (by_name, backend->name->str, backend);
      g_ptr_array_add (names, backend->name->str);
    }
  order = sr_rendezvous_order (instance, strlen (instance), names);
  for (guint i = 0; i < order->len && i < max; i++)
    g_ptr_array_add (subset, g_hash_table_lookup (by_name, order->pdata[i]));
  g_ptr_array_unref (order);
  g_ptr_array_unref (names);
  g_hash_table_unref (by_name);
}

static void
remove_idle_retired_ (struct sr_service_state *service)
{
  for (guint i = service->backends->len; i > 0; i--)
    {
      struct sr_backend_state *state = service->backends->pdata[i - 1];

      if (!state->retired || state->in_flight > 0)
        continue;
      sr_backend_state_delete (state);
      g_ptr_array_remove_index (service->backends, i - 1);
    }
}

static bool
is_excluded_ (const struct sr_route_query *query, const struct sr_backend_state *state)
{
  if (query->excluded == NULL)
    return false;
  for (guint i = 0; i < query->excluded->len; i++)
    if (strcmp (query->excluded->pdata[i], state->name->str) == 0)
      return true;
  return false;
}

/* Returns the load per capacity with one more request; each consecutive failure counts as one full
 * capacity. */
static double
relative_load_ (const struct sr_service_state *service,
                const struct sr_backend_state *state,
                int64_t now_us)
{
  double load = sr_backend_state_load (state, &service->prior, now_us);

  return (load + 1) / sr_backend_state_capacity (state, now_us) + state->failures;
}

/* Collects the backend servers with a free slot. Returns how many are usable for QUERY, with or
 * without a free slot. */
static unsigned
collect_candidates_ (const struct sr_service_state *service,
                     const struct sr_route_query *query,
                     struct candidates *all,
                     struct candidates *local)
{
  unsigned usable = 0;

  for (guint i = 0; i < service->backends->len; i++)
    {
      struct sr_backend_state *state = service->backends->pdata[i];
      double load = sr_backend_state_load (state, &service->prior, query->now_us);
      double capacity = sr_backend_state_capacity (state, query->now_us);

      if (state->retired || state->ejected || is_excluded_ (query, state))
        continue;
      usable++;
      if (sr_backend_state_free_slots (state, &service->prior, query->now_us) == 0)
        continue;
      all->items[all->length++] = state;
      all->load += load;
      all->capacity += capacity;
      if (!state->is_local)
        continue;
      local->items[local->length++] = state;
      local->load += load;
      local->capacity += capacity;
    }
  return usable;
}

static struct sr_backend_state *
choose_probe_ (const struct sr_service_state *service, const struct sr_route_query *query)
{
  for (guint i = 0; i < service->backends->len; i++)
    {
      struct sr_backend_state *state = service->backends->pdata[i];

      if (sr_backend_state_is_probe_due (state, query->now_us) && !is_excluded_ (query, state))
        return state;
    }
  return NULL;
}

static struct sr_backend_state *
choose_by_affinity_ (const struct sr_service_state *service,
                     const struct candidates *candidates,
                     const struct sr_route_query *query)
{
  struct sr_backend_state *best = NULL;
  uint64_t best_weight = 0;

  for (unsigned i = 0; i < candidates->length; i++)
    {
      struct sr_backend_state *state = candidates->items[i];
      double capacity = sr_backend_state_capacity (state, query->now_us);
      double load = sr_backend_state_load (state, &service->prior, query->now_us) + 1;
      double fair = (candidates->load + 1) * capacity / candidates->capacity;
      double bound = MAX (AFFINITY_CAPACITY_SHARE * capacity, AFFINITY_FAIR_FACTOR * fair);
      uint64_t weight = sr_rendezvous_weight ((const char *)&query->affinity,
                                              sizeof query->affinity, state->name->str);

      if (state->failures > 0 || load > MAX (bound, 1.0))
        continue;
      if (best != NULL && weight <= best_weight)
        continue;
      best = state;
      best_weight = weight;
    }
  return best;
}

static struct sr_backend_state *
choose_by_load_ (const struct sr_service_state *service,
                 const struct candidates *candidates,
                 int64_t now_us,
                 GRand *random)
{
  struct sr_backend_state *best = NULL;
  double best_load = 0;

  for (int i = 0; i < RANDOM_CHOICES; i++)
    {
      int index = g_rand_int_range (random, 0, (gint32)candidates->length);
      struct sr_backend_state *state = candidates->items[index];
      double load = relative_load_ (service, state, now_us);

      if (best != NULL && load >= best_load)
        continue;
      best = state;
      best_load = load;
    }
  return best;
}

static void
take_slot_ (struct sr_backend_state *state, int64_t now_us, struct sr_route *route)
{
  memset (route, 0, sizeof *route);
  g_strlcpy (route->backend, state->name->str, sizeof route->backend);
  g_strlcpy (route->address, state->address, sizeof route->address);
  route->port = state->port;
  route->checks_fence = state->checks_fence;
  route->is_probe = state->ejected;
  route->picked_us = now_us;
  state->probing = state->ejected;
  state->in_flight++;
}

/* Returns whether one more may be ejected without going below NEVER_EJECTED_SHARE. */
static bool
may_eject_ (const struct sr_service_state *service)
{
  unsigned in_use = 0;
  unsigned ejected = 0;

  for (guint i = 0; i < service->backends->len; i++)
    {
      const struct sr_backend_state *state = service->backends->pdata[i];

      in_use += state->retired ? 0 : 1;
      ejected += !state->retired && state->ejected ? 1 : 0;
    }
  return in_use - ejected > (unsigned)MAX (1.0, ceil (NEVER_EJECTED_SHARE * in_use));
}
