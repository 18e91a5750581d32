#include "config/watch.h"

#include "base/counters.h"
#include "base/log.h"
#include "base/thread.h"
#include "config/follow.h"
#include "config/source-peer.h"

#include <pthread.h>

enum
{
  PEERS_MAX = 64,            /* peers to choose from */
  READ_TIMEOUT_US = 8000000, /* for the parts of one head, or all from a peer */
  US_PER_S = 1000000,
  PERCENT = 100
};

struct sr_config_watch
{
  struct sr_config_watch_options options;
  GRand *random;               /* used by the thread only */
  struct config_follow follow; /* used by the thread only */
  pthread_t thread;
  bool started;
  pthread_mutex_t mutex;
  pthread_cond_t stopped;
  bool stop;                    /* under mutex */
  struct config_bundle *bundle; /* revision in force; replaced by the thread only, under mutex */
};

static struct sr_counter revision_gauge_
    = { .name = "config_revision", .help = "Revision of the configuration in force." };
static struct sr_counter applied_total_
    = { .name = "config_applied_total", .help = "Configurations that came into force." };
static struct sr_counter from_peers_total_
    = { .name = "config_from_peers_total", .help = "Configurations that were read from a peer." };
static struct sr_counter refused_total_
    = { .name = "config_refused_total", .help = "Configurations that were read and not applied." };

static void *thread_main_ (void *data);
static void watch_platform_ (struct sr_config_watch *watch);
static enum config_bundle_status read_from_platform_ (struct sr_config_watch *watch,
                                                      const GString *head_body);
static void read_from_peer_ (struct sr_config_watch *watch, const struct sr_config_peer *peer);
static size_t find_best_peer_ (struct sr_config_watch *watch, struct sr_config_peer *best);
static void
apply_bundle_ (struct sr_config_watch *watch, struct config_bundle *bundle, const char *from);
static bool put_in_force_ (struct sr_config_watch *watch,
                           struct sr_config *config,
                           struct config_bundle *bundle);
static void log_findings_ (const struct sr_findings *findings, const char *from);
static void pause_ (struct sr_config_watch *watch);
static bool is_stopped_ (struct sr_config_watch *watch);
static unsigned random_jitter_percent_ (struct sr_config_watch *watch);
static bool serve_chunk_ (void *in, void *out, void *data);

static const struct sr_peer_procedure procedures_[] = {
  { .number = CONFIG_PROCEDURE_CHUNK,
    .xdr_in = (xdrproc_t)xdr_config_chunk_query,
    .in_bytes = sizeof (config_chunk_query),
    .xdr_out = (xdrproc_t)xdr_config_chunk,
    .out_bytes = sizeof (config_chunk),
    .handler = serve_chunk_ },
};

/* Creates a watch with a copy of OPTIONS; it does nothing before sr_config_watch_start. The caller
 * owns it. */
struct sr_config_watch *
sr_config_watch_new (const struct sr_config_watch_options *options)
{
  struct sr_config_watch *watch = g_new0 (struct sr_config_watch, 1);

  watch->options = *options;
  sr_platform_ref (options->platform);
  watch->random = g_rand_new_with_seed (options->seed);
  pthread_mutex_init (&watch->mutex, NULL);
  sr_cond_init (&watch->stopped);
  sr_counter_register (&revision_gauge_);
  sr_counter_register (&applied_total_);
  sr_counter_register (&from_peers_total_);
  sr_counter_register (&refused_total_);
  return watch;
}

/* Returns false when the thread cannot be created. */
bool
sr_config_watch_start (struct sr_config_watch *watch)
{
  g_assert (!watch->started);
  watch->started = sr_thread_start (&watch->thread, 0, thread_main_, watch);
  return watch->started;
}

/* Stops the thread of WATCH and waits for its end, which can take as long as the call in progress:
 * a watch of the platform (watch_ms and its timeout) or reading a configuration. Calls of peers are
 * still served. */
void
sr_config_watch_stop (struct sr_config_watch *watch)
{
  pthread_mutex_lock (&watch->mutex);
  watch->stop = true;
  pthread_cond_broadcast (&watch->stopped);
  pthread_mutex_unlock (&watch->mutex);
  if (watch->started)
    pthread_join (watch->thread, NULL);
  watch->started = false;
}

/* Frees WATCH. Its thread and the server that it was added to have to be stopped. NULL is allowed.
 */
void
sr_config_watch_delete (struct sr_config_watch *watch)
{
  if (watch == NULL)
    return;
  g_assert (!watch->started);
  config_bundle_delete (watch->bundle);
  pthread_cond_destroy (&watch->stopped);
  pthread_mutex_destroy (&watch->mutex);
  g_rand_free (watch->random);
  sr_platform_unref (watch->options.platform);
  g_free (watch);
}

/* Registers the procedure with which peers read the configuration in force. SERVER must not run
 * yet. */
void
sr_config_watch_add_to_server (struct sr_config_watch *watch, struct sr_peer_server *server)
{
  sr_peer_server_add (server, SR_PEER_PROGRAM_CONFIG, procedures_, G_N_ELEMENTS (procedures_),
                      watch);
}

static void *
thread_main_ (void *data)
{
  struct sr_config_watch *watch = data;

  while (!is_stopped_ (watch))
    {
      struct sr_config_peer peer = { 0 };

      find_best_peer_ (watch, &peer);
      switch (config_follow_next (&watch->follow, peer.revision, g_get_monotonic_time ()))
        {
        case CONFIG_FOLLOW_WATCH_PLATFORM:
          watch_platform_ (watch);
          break;
        case CONFIG_FOLLOW_READ_FROM_PEER:
          read_from_peer_ (watch, &peer);
          break;
        case CONFIG_FOLLOW_PAUSE:
          pause_ (watch);
          break;
        }
    }
  return NULL;
}

/* Waits for a change of the head object and reads the new configuration. */
static void
watch_platform_ (struct sr_config_watch *watch)
{
  g_autoptr (GString) body = g_string_new (NULL);
  int64_t version = 0;
  enum sr_platform_status status
      = sr_platform_watch (watch->options.platform, "config", "head",
                           watch->follow.platform_version, watch->options.watch_ms, body, &version);
  bool failed_before = watch->follow.platform_failed;

  config_follow_note_watch (&watch->follow, status, random_jitter_percent_ (watch),
                            g_get_monotonic_time ());
  if (status == SR_PLATFORM_OK)
    config_follow_note_head (&watch->follow, read_from_platform_ (watch, body), version,
                             random_jitter_percent_ (watch), g_get_monotonic_time ());
  if (watch->follow.platform_failed && !failed_before)
    sr_log (G_LOG_LEVEL_WARNING, "config-platform",
            "cannot read the configuration from the platform: %s",
            sr_platform_status_to_string (status));
  if (!watch->follow.platform_failed && failed_before)
    sr_log (G_LOG_LEVEL_MESSAGE, "config-platform",
            "the configuration can be read from the platform again");
}

static enum config_bundle_status
read_from_platform_ (struct sr_config_watch *watch, const GString *head_body)
{
  struct config_source_platform source;
  struct config_bundle *bundle = NULL;
  enum config_bundle_status status;

  config_source_platform_init (&source, watch->options.platform,
                               g_get_monotonic_time () + READ_TIMEOUT_US);
  status = config_bundle_read_parts (&source.base, head_body, watch->bundle, &bundle);
  if (status == CONFIG_BUNDLE_OK)
    apply_bundle_ (watch, bundle, "platform");
  else if (status == CONFIG_BUNDLE_CORRUPT)
    {
      sr_counter_add (&refused_total_, 1);
      sr_log (G_LOG_LEVEL_WARNING, "config-refused",
              "the configuration on the platform is corrupt");
    }
  return status;
}

static void
read_from_peer_ (struct sr_config_watch *watch, const struct sr_config_peer *peer)
{
  struct config_source_peer source;
  struct config_bundle *bundle = NULL;

  config_source_peer_init (&source, watch->options.client, &peer->address,
                           g_get_monotonic_time () + READ_TIMEOUT_US);
  if (config_bundle_read (&source.base, watch->bundle, &bundle) == CONFIG_BUNDLE_OK)
    {
      sr_counter_add (&from_peers_total_, 1);
      apply_bundle_ (watch, bundle, peer->address.ip);
    }
  config_follow_note_peer_read (&watch->follow);
}

/* Sets *BEST to a random one of the peers with the highest revision. BEST has to be zeroed. Returns
 * how many such peers there are. */
static size_t
find_best_peer_ (struct sr_config_watch *watch, struct sr_config_peer *best)
{
  struct sr_config_peer peers[PEERS_MAX];
  size_t n_peers = watch->options.list_peers (peers, PEERS_MAX, watch->options.data);
  unsigned n_best = 0;

  for (size_t i = 0; i < n_peers; i++)
    {
      if (peers[i].revision < best->revision)
        continue;
      n_best = peers[i].revision == best->revision ? n_best + 1 : 1;
      if (g_rand_int_range (watch->random, 0, (gint32)n_best) == 0)
        *best = peers[i];
    }
  return n_best;
}

/* Checks the configuration in BUNDLE and puts it in force if its revision is higher. Takes
 * ownership of BUNDLE. FROM names its origin in log lines. */
static void
apply_bundle_ (struct sr_config_watch *watch, struct config_bundle *bundle, const char *from)
{
  struct sr_findings *findings;
  struct sr_config *config;

  if (bundle->head->revision <= watch->follow.revision)
    {
      if (bundle->head->revision < watch->follow.revision)
        sr_counter_add (&refused_total_, 1);
      config_bundle_delete (bundle);
      return;
    }
  findings = sr_findings_new ();
  config = config_bundle_parse (bundle, findings);
  if (config == NULL)
    {
      sr_counter_add (&refused_total_, 1);
      log_findings_ (findings, from);
      config_bundle_delete (bundle);
    }
  else if (put_in_force_ (watch, config, bundle))
    sr_log (G_LOG_LEVEL_MESSAGE, "config-applied", "revision %" G_GINT64_FORMAT " from %s",
            sr_config_revision (config), from);
  sr_config_unref (config);
  sr_findings_delete (findings);
}

/* Puts CONFIG in force and keeps BUNDLE, whose ownership it takes, to serve it to peers. */
static bool
put_in_force_ (struct sr_config_watch *watch,
               struct sr_config *config,
               struct config_bundle *bundle)
{
  struct config_bundle *former;

  if (!sr_config_current_apply (watch->options.current, config))
    {
      config_bundle_delete (bundle);
      return false;
    }
  pthread_mutex_lock (&watch->mutex);
  former = watch->bundle;
  watch->bundle = bundle;
  pthread_mutex_unlock (&watch->mutex);
  config_bundle_delete (former);
  config_follow_note_applied (&watch->follow, sr_config_revision (config));
  sr_counter_add (&applied_total_, 1);
  sr_counter_set (&revision_gauge_, sr_config_revision (config));
  if (watch->options.applied != NULL)
    watch->options.applied (config, watch->options.data);
  return true;
}

static void
log_findings_ (const struct sr_findings *findings, const char *from)
{
  const struct sr_finding *first = sr_findings_get (findings, 0);

  sr_log (G_LOG_LEVEL_WARNING, "config-refused", "from %s: %zu findings, first: %s:%u [%s] %s",
          from, sr_findings_count (findings), first->file->str, first->line, first->section->str,
          first->message->str);
}

/* Waits until the pause is over or WATCH is stopped, but at most 200 ms, after which the revisions
 * of peers are checked again. */
static void
pause_ (struct sr_config_watch *watch)
{
  int64_t end_us = MIN (watch->follow.pause_until_us, g_get_monotonic_time () + US_PER_S / 5);

  pthread_mutex_lock (&watch->mutex);
  if (!watch->stop)
    sr_cond_wait_until (&watch->stopped, &watch->mutex, end_us);
  pthread_mutex_unlock (&watch->mutex);
}

static bool
is_stopped_ (struct sr_config_watch *watch)
{
  bool stop;

  pthread_mutex_lock (&watch->mutex);
  stop = watch->stop;
  pthread_mutex_unlock (&watch->mutex);
  return stop;
}

static unsigned
random_jitter_percent_ (struct sr_config_watch *watch)
{
  return (unsigned)g_rand_int_range (watch->random, 0, PERCENT);
}

/* Serves a call of a peer, in a thread of the server. */
static bool
serve_chunk_ (void *in, void *out, void *data)
{
  struct sr_config_watch *watch = data;

  pthread_mutex_lock (&watch->mutex);
  config_fill_chunk (watch->bundle, in, out);
  pthread_mutex_unlock (&watch->mutex);
  return true;
}
