#include "member/member.h"

#include "base/counters.h"
#include "base/log.h"
#include "base/thread.h"
#include "member/gossip.h"
#include "member/instance-list.h"

#include <string.h>

enum
{
  PROCEDURE_EXCHANGE = 1,
  CALL_TIMEOUT_MIN_MS = 50,
  PLATFORM_INTERVAL_MS = 30000, /* between reads of the platform's list */
  LIST_MEMBERS_MIN = 16,        /* a longer list is read less often, in proportion to its length */
  PORT_MAX = 65535,
  US_PER_MS = 1000
};

struct sr_members
{
  pthread_mutex_t mutex;
  pthread_cond_t changed; /* stopping or tick_requested was set */
  struct sr_gossip *gossip;
  struct sr_member_view *view;             /* cached snapshot; NULL after a change of gossip */
  struct sr_member_view *last_logged_view; /* used only by the gossip thread */
  bool stopping;
  bool tick_requested;
  struct sr_peer_client *client;
  struct sr_platform *platform;
  int64_t interval_us;
  int64_t platform_interval_us;
  int call_timeout_ms;
  pthread_t gossip_thread;
  pthread_t list_thread;
  bool gossip_started;
  bool list_started;
};

static struct sr_counter alive_gauge
    = { .name = "member_alive", .help = "Instances seen as alive, this one included." };
static struct sr_counter known_gauge = { .name = "member_known", .help = "Instances known." };
static struct sr_counter suspects_total
    = { .name = "member_suspects_total", .help = "Instances that became suspect." };
static struct sr_counter deaths_total
    = { .name = "member_deaths_total", .help = "Instances seen as dead." };
static struct sr_counter recoveries_total
    = { .name = "member_returns_total", .help = "Suspect or dead instances heard again." };
static struct sr_counter refuted_total
    = { .name = "member_refuted_total", .help = "Suspicions of this instance it refuted." };
static struct sr_counter pauses_total
    = { .name = "member_pauses_total", .help = "Times this instance did not run for a while." };
static struct sr_counter invalid_total
    = { .name = "member_invalid_total", .help = "Gossip messages and facts that were not valid." };
static struct sr_counter stale_total
    = { .name = "member_stale_total", .help = "Gossip facts older than what was known." };

static struct sr_counter *const all_counters[] = {
  &alive_gauge,   &known_gauge,  &suspects_total, &deaths_total, &recoveries_total,
  &refuted_total, &pauses_total, &invalid_total,  &stale_total,
};

static void seeds_parse_ (const GPtrArray *texts, GArray *seeds);
static void *gossip_thread_run_ (void *data);
static bool wait_until_ (struct sr_members *members, int64_t end_us, bool *tick_requested);
static void tick_ (struct sr_members *members);
static void exchange_ (struct sr_members *members, const struct sr_gossip_target *target);
static void update_counters_locked_ (struct sr_members *members);
static void report_changes_ (struct sr_members *members);
static void log_changes_ (const struct sr_member_view *before, const struct sr_member_view *after);
static void *list_thread_run_ (void *data);
static int64_t list_interval_us_ (struct sr_members *members);
static void list_read_ (struct sr_members *members);
static struct sr_member_view *view_locked_ (struct sr_members *members);
static void invalidate_view_locked_ (struct sr_members *members);
static bool handle_exchange_ (void *in, void *out, void *data);

static const struct sr_peer_procedure procedures[] = {
  { PROCEDURE_EXCHANGE, (xdrproc_t)xdr_member_message, sizeof (member_message),
    (xdrproc_t)xdr_member_message, sizeof (member_message), handle_exchange_ },
};

/* Creates the membership of one instance, whose view at first contains only this instance. The
 * caller owns it. */
struct sr_members *
sr_members_new (const struct sr_members_options *options)
{
  struct sr_members *members = g_new0 (struct sr_members, 1);
  g_autoptr (GArray) seeds = g_array_new (FALSE, FALSE, sizeof (struct sr_peer_address));
  struct sr_gossip_options gossip_options
      = { .name = options->name,
          .data_centre = options->data_centre,
          .address.port = options->peer_port,
          .entry_port = options->entry_port,
          .incarnation = options->incarnation,
          .interval_us = (int64_t)options->gossip_interval_ms * US_PER_MS,
          .fanout = options->gossip_fanout,
          .suspect_after_us = (int64_t)options->suspect_after_ms * US_PER_MS,
          .dead_after_us = (int64_t)options->dead_after_ms * US_PER_MS,
          .seed = options->seed };
  unsigned platform_interval_ms
      = options->platform_interval_ms > 0 ? options->platform_interval_ms : PLATFORM_INTERVAL_MS;

  g_assert (options->gossip_interval_ms > 0 && options->gossip_fanout > 0);
  seeds_parse_ (options->seeds, seeds);
  gossip_options.seeds = (const struct sr_peer_address *)(void *)seeds->data;
  gossip_options.n_seeds = seeds->len;
  g_strlcpy (gossip_options.address.ip, options->advertise_address,
             sizeof gossip_options.address.ip);
  pthread_mutex_init (&members->mutex, NULL);
  sr_cond_init (&members->changed);
  members->gossip = sr_gossip_new (&gossip_options, g_get_monotonic_time ());
  members->client = options->client;
  if (options->platform != NULL)
    members->platform = sr_platform_ref (options->platform);
  members->interval_us = gossip_options.interval_us;
  members->platform_interval_us = (int64_t)platform_interval_ms * US_PER_MS;
  members->call_timeout_ms = (int)MAX (CALL_TIMEOUT_MIN_MS, options->gossip_interval_ms
                                                                / (2 * options->gossip_fanout + 1));
  for (size_t i = 0; i < G_N_ELEMENTS (all_counters); i++)
    sr_counter_register (all_counters[i]);
  return members;
}

/* Starts the gossip thread if there is a client, and the thread that reads the platform's list if
 * there is a platform. Returns false when a thread can't be created. */
bool
sr_members_start (struct sr_members *members)
{
  if (members->client != NULL)
    {
      members->gossip_started
          = sr_thread_start (&members->gossip_thread, 0, gossip_thread_run_, members);
      if (!members->gossip_started)
        return false;
    }
  if (members->platform != NULL)
    {
      members->list_started = sr_thread_start (&members->list_thread, 0, list_thread_run_, members);
      if (!members->list_started)
        return false;
    }
  return true;
}

/* Stops the threads, waiting for calls in progress. The view stays available. */
void
sr_members_stop (struct sr_members *members)
{
  pthread_mutex_lock (&members->mutex);
  members->stopping = true;
  pthread_cond_broadcast (&members->changed);
  pthread_mutex_unlock (&members->mutex);
  if (members->gossip_started)
    pthread_join (members->gossip_thread, NULL);
  if (members->list_started)
    pthread_join (members->list_thread, NULL);
  members->gossip_started = false;
  members->list_started = false;
}

/* Stops and frees MEMBERS. The server it was added to must have been stopped. Views that callers
 * hold stay valid. NULL is allowed. */
void
sr_members_delete (struct sr_members *members)
{
  if (members == NULL)
    return;
  sr_members_stop (members);
  sr_member_view_unref (members->view);
  sr_member_view_unref (members->last_logged_view);
  sr_gossip_delete (members->gossip);
  if (members->platform != NULL)
    sr_platform_unref (members->platform);
  pthread_cond_destroy (&members->changed);
  pthread_mutex_destroy (&members->mutex);
  g_free (members);
}

/* Registers the gossip procedures with SERVER, which must not be started yet. MEMBERS must outlive
 * the server's thread. */
void
sr_members_add_to_server (struct sr_members *members, struct sr_peer_server *server)
{
  sr_peer_server_add (server, SR_PEER_PROGRAM_MEMBER, procedures, G_N_ELEMENTS (procedures),
                      members);
}

/* Announces to the peers, with an immediate tick, that configuration REVISION is in force here. A
 * lower one than before has no effect. */
void
sr_members_set_revision (struct sr_members *members, int64_t revision)
{
  pthread_mutex_lock (&members->mutex);
  sr_gossip_set_revision (members->gossip, revision);
  invalidate_view_locked_ (members);
  members->tick_requested = true;
  pthread_cond_broadcast (&members->changed);
  pthread_mutex_unlock (&members->mutex);
}

/* Announces to the peers, with an immediate tick, that this instance leaves and takes no new work.
 * Only a restart of the process undoes it. */
void
sr_members_set_leaving (struct sr_members *members)
{
  pthread_mutex_lock (&members->mutex);
  sr_gossip_set_leaving (members->gossip);
  invalidate_view_locked_ (members);
  members->tick_requested = true;
  pthread_cond_broadcast (&members->changed);
  pthread_mutex_unlock (&members->mutex);
}

/* Returns the current view; the caller owns one reference. Thread-safe. */
struct sr_member_view *
sr_members_view (struct sr_members *members)
{
  struct sr_member_view *view;

  pthread_mutex_lock (&members->mutex);
  view = view_locked_ (members);
  pthread_mutex_unlock (&members->mutex);
  return view;
}

static struct sr_member_view *
view_locked_ (struct sr_members *members)
{
  if (members->view == NULL)
    members->view = sr_gossip_view (members->gossip, g_get_monotonic_time ());
  return sr_member_view_ref (members->view);
}

static void
invalidate_view_locked_ (struct sr_members *members)
{
  sr_member_view_unref (members->view);
  members->view = NULL;
}

/* Parses "IP:PORT" texts. Invalid ones are skipped: the settings have been checked before. */
static void
seeds_parse_ (const GPtrArray *texts, GArray *seeds)
{
  for (guint i = 0; texts != NULL && i < texts->len; i++)
    {
      const GString *text = texts->pdata[i];
      const char *colon = strrchr (text->str, ':');
      struct sr_peer_address address = { 0 };
      guint64 port;

      if (colon == NULL || (size_t)(colon - text->str) >= sizeof address.ip
          || !g_ascii_string_to_unsigned (colon + 1, 10, 1, PORT_MAX, &port, NULL))
        continue;
      memcpy (address.ip, text->str, (size_t)(colon - text->str));
      address.port = (unsigned)port;
      g_array_append_val (seeds, address);
    }
}

static void *
gossip_thread_run_ (void *data)
{
  struct sr_members *members = data;
  int64_t next_us = g_get_monotonic_time ();
  bool tick_requested = false;

  while (wait_until_ (members, next_us, &tick_requested))
    {
      next_us = g_get_monotonic_time () + members->interval_us;
      tick_ (members);
      report_changes_ (members);
    }
  return NULL;
}

/* Waits until END_US (monotonic) or, unless TICK_REQUESTED is NULL, until a tick is requested; then
 * stores and clears the request. Returns false when MEMBERS is being stopped. */
static bool
wait_until_ (struct sr_members *members, int64_t end_us, bool *tick_requested)
{
  bool running;

  pthread_mutex_lock (&members->mutex);
  while (!members->stopping && !(tick_requested != NULL && members->tick_requested))
    {
      if (!sr_cond_wait_until (&members->changed, &members->mutex, end_us))
        break;
    }
  if (tick_requested != NULL)
    {
      *tick_requested = members->tick_requested;
      members->tick_requested = false;
    }
  running = !members->stopping;
  pthread_mutex_unlock (&members->mutex);
  return running;
}

static void
tick_ (struct sr_members *members)
{
  g_autoptr (GArray) targets = g_array_new (FALSE, TRUE, sizeof (struct sr_gossip_target));

  pthread_mutex_lock (&members->mutex);
  sr_gossip_tick (members->gossip, g_get_monotonic_time (), targets);
  update_counters_locked_ (members);
  invalidate_view_locked_ (members);
  pthread_mutex_unlock (&members->mutex);
  for (guint i = 0; i < targets->len; i++)
    exchange_ (members, &g_array_index (targets, struct sr_gossip_target, i));
}

static void
exchange_ (struct sr_members *members, const struct sr_gossip_target *target)
{
  member_message request = { 0 };
  member_message reply = { 0 };
  enum sr_peer_status status;

  pthread_mutex_lock (&members->mutex);
  sr_gossip_fill_request (members->gossip, target, &request);
  pthread_mutex_unlock (&members->mutex);
  status = sr_peer_call (members->client, &target->address, SR_PEER_PROGRAM_MEMBER,
                         PROCEDURE_EXCHANGE, (xdrproc_t)xdr_member_message, &request,
                         (xdrproc_t)xdr_member_message, &reply, members->call_timeout_ms);
  pthread_mutex_lock (&members->mutex);
  if (status == SR_PEER_OK)
    sr_gossip_handle_reply (members->gossip, g_get_monotonic_time (), target, &reply);
  else
    sr_gossip_handle_failure (members->gossip, g_get_monotonic_time (), target);
  update_counters_locked_ (members);
  invalidate_view_locked_ (members);
  pthread_mutex_unlock (&members->mutex);
  xdr_free ((xdrproc_t)xdr_member_message, &request);
  if (status == SR_PEER_OK)
    xdr_free ((xdrproc_t)xdr_member_message, &reply);
}

/* Copies the counts of gossip into the counters. Called before the mutex is released, so that the
 * counters never lag behind a view. */
static void
update_counters_locked_ (struct sr_members *members)
{
  const struct sr_gossip_counts *counts = sr_gossip_counts (members->gossip);

  sr_counter_set (&suspects_total, (int64_t)counts->suspects);
  sr_counter_set (&deaths_total, (int64_t)counts->deaths);
  sr_counter_set (&recoveries_total, (int64_t)counts->recoveries);
  sr_counter_set (&refuted_total, (int64_t)counts->refuted);
  sr_counter_set (&pauses_total, (int64_t)counts->pauses);
  sr_counter_set (&invalid_total, (int64_t)(counts->invalid + counts->full));
  sr_counter_set (&stale_total, (int64_t)counts->stale);
}

/* Sets the gauges and logs members whose state has changed since the last call. */
static void
report_changes_ (struct sr_members *members)
{
  struct sr_member_view *view = sr_members_view (members);
  int64_t alive = 0;

  for (size_t i = 0; i < view->length; i++)
    alive += view->members[i].state == SR_MEMBER_ALIVE;
  sr_counter_set (&alive_gauge, alive);
  sr_counter_set (&known_gauge, (int64_t)view->length);
  if (members->last_logged_view != NULL)
    log_changes_ (members->last_logged_view, view);
  sr_member_view_unref (members->last_logged_view);
  members->last_logged_view = view;
}

static void
log_changes_ (const struct sr_member_view *before, const struct sr_member_view *after)
{
  for (size_t i = 0; i < after->length; i++)
    {
      const struct sr_member *member = &after->members[i];
      const struct sr_member *old = sr_member_view_find (before, member->name);

      if (old == NULL || old->state != member->state)
        sr_log (G_LOG_LEVEL_INFO, "member", "%s in %s is %s", member->name, member->data_centre,
                sr_member_state_to_string (member->state));
    }
}

static void *
list_thread_run_ (void *data)
{
  struct sr_members *members = data;

  do
    list_read_ (members);
  while (wait_until_ (members, g_get_monotonic_time () + list_interval_us_ (members), NULL));
  return NULL;
}

/* Returns the time between two reads of the list, which grows with the number of members, so that
 * the bytes read per second don't grow with the fleet. */
static int64_t
list_interval_us_ (struct sr_members *members)
{
  struct sr_member_view *view = sr_members_view (members);
  int64_t length = (int64_t)view->length;

  sr_member_view_unref (view);
  return members->platform_interval_us * MAX (length, LIST_MEMBERS_MIN) / LIST_MEMBERS_MIN;
}

static void
list_read_ (struct sr_members *members)
{
  g_autoptr (GArray) listed = g_array_new (FALSE, TRUE, sizeof (struct sr_member));
  GString *body = g_string_new (NULL);

  if (sr_platform_instances (members->platform, body) == SR_PLATFORM_OK
      && sr_instance_list_parse (body->str, body->len, listed))
    {
      pthread_mutex_lock (&members->mutex);
      for (guint i = 0; i < listed->len; i++)
        sr_gossip_add_listed (members->gossip, g_get_monotonic_time (),
                              &g_array_index (listed, struct sr_member, i));
      invalidate_view_locked_ (members);
      pthread_mutex_unlock (&members->mutex);
    }
  g_string_free (body, TRUE);
}

/* Runs in the peer server's thread. */
static bool
handle_exchange_ (void *in, void *out, void *data)
{
  struct sr_members *members = data;

  pthread_mutex_lock (&members->mutex);
  sr_gossip_handle_request (members->gossip, g_get_monotonic_time (), in, out);
  update_counters_locked_ (members);
  invalidate_view_locked_ (members);
  pthread_mutex_unlock (&members->mutex);
  return true;
}
