#include "emulator/platform/faults.h"

#include <pthread.h>
#include <string.h>

enum
{
  US_PER_MS = 1000,
  US_PER_S = 1000000,
  SILENCE_POLL_MS = 20 /* interval of checks for the end of a silence */
};

static const char *const mode_names[PLATFORM_MODE_COUNT] = { "none", "outage", "silent", "slow" };

/* A token bucket for rate limiting; its capacity is one second's worth of calls. */
struct token_bucket_
{
  int64_t per_s; /* 0: no limit */
  double tokens;
  int64_t refilled_us;
};

/* A version of the instance list and the time (monotonic) from which it is returned. */
struct listing_
{
  int64_t visible_us;
  json_t *document;
};

struct faults
{
  pthread_mutex_t mutex;
  enum platform_mode mode;
  int64_t delay_ms;
  struct token_bucket_ writes;
  struct token_bucket_ reads;
  GHashTable *losses; /* kind -> number of responses still to be lost */
  GArray *listings;   /* struct listing_, in the order they were set */
};

static enum platform_mode read_mode_ (struct faults *faults, int64_t *delay_ms);
static enum platform_verdict wait_while_silent_ (struct faults *faults,
                                                 struct standin_request *request);
static bool take_token_ (struct token_bucket_ *bucket, int64_t now_us);
static enum MHD_Result set_mode_ (struct faults *faults, struct standin_request *request);
static enum MHD_Result set_losses_ (struct faults *faults, struct standin_request *request);
static enum MHD_Result set_rates_ (struct faults *faults, struct standin_request *request);
static enum MHD_Result set_listing_ (struct faults *faults, struct standin_request *request);

/* Creates a state without faults or rate limits, with an empty instance list. It is never freed. */
struct faults *
faults_new (void)
{
  struct faults *faults = g_new0 (struct faults, 1);
  struct listing_ empty = { 0, json_pack ("{s:[]}", "instances") };

  pthread_mutex_init (&faults->mutex, NULL);
  faults->losses = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  faults->listings = g_array_new (FALSE, FALSE, sizeof (struct listing_));
  g_array_append_val (faults->listings, empty);
  return faults;
}

/* Decides whether a call is executed, before it has any effect. Blocks for the delay of
 * PLATFORM_MODE_SLOW, and during PLATFORM_MODE_SILENT. */
enum platform_verdict
faults_admit (struct faults *faults, struct standin_request *request, bool write)
{
  int64_t delay_ms;
  enum platform_mode mode = read_mode_ (faults, &delay_ms);
  bool within_rate;

  if (mode == PLATFORM_MODE_SILENT)
    return wait_while_silent_ (faults, request);
  if (mode == PLATFORM_MODE_OUTAGE)
    return PLATFORM_UNAVAILABLE;
  pthread_mutex_lock (&faults->mutex);
  within_rate = take_token_ (write ? &faults->writes : &faults->reads, g_get_monotonic_time ());
  pthread_mutex_unlock (&faults->mutex);
  if (!within_rate)
    return PLATFORM_RATE_LIMITED;
  if (mode == PLATFORM_MODE_SLOW)
    g_usleep ((gulong)delay_ms * US_PER_MS);
  return PLATFORM_PASS;
}

/* Called after a write of KIND has taken effect. Returns whether its response is to be lost, and
 * decrements the count of responses to lose. */
bool
faults_lose_response (struct faults *faults, const char *kind)
{
  int remaining;

  pthread_mutex_lock (&faults->mutex);
  remaining = GPOINTER_TO_INT (g_hash_table_lookup (faults->losses, kind));
  if (remaining > 0)
    g_hash_table_insert (faults->losses, g_strdup (kind), GINT_TO_POINTER (remaining - 1));
  pthread_mutex_unlock (&faults->mutex);
  return remaining > 0;
}

/* Returns the latest instance list that is visible now; the caller owns it. */
json_t *
faults_instances (struct faults *faults)
{
  int64_t now_us = g_get_monotonic_time ();
  json_t *document = NULL;

  pthread_mutex_lock (&faults->mutex);
  for (guint i = 0; i < faults->listings->len; i++)
    {
      struct listing_ *listing = &g_array_index (faults->listings, struct listing_, i);

      if (listing->visible_us <= now_us)
        document = listing->document;
    }
  document = json_deep_copy (document);
  pthread_mutex_unlock (&faults->mutex);
  return document;
}

/* Executes a control call and sets RESULT; returns false when REQUEST is not a control call. */
bool
faults_control (struct faults *faults, struct standin_request *request, enum MHD_Result *result)
{
  if (standin_request_is (request, "POST", "/control/fault"))
    *result = set_mode_ (faults, request);
  else if (standin_request_is (request, "POST", "/control/lose"))
    *result = set_losses_ (faults, request);
  else if (standin_request_is (request, "POST", "/control/rate"))
    *result = set_rates_ (faults, request);
  else if (standin_request_is (request, "POST", "/control/list"))
    *result = set_listing_ (faults, request);
  else
    return false;
  return true;
}

static enum platform_mode
read_mode_ (struct faults *faults, int64_t *delay_ms)
{
  enum platform_mode mode;

  pthread_mutex_lock (&faults->mutex);
  mode = faults->mode;
  *delay_ms = faults->delay_ms;
  pthread_mutex_unlock (&faults->mutex);
  return mode;
}

/* Blocks until the mode changes or the caller closes the connection. */
static enum platform_verdict
wait_while_silent_ (struct faults *faults, struct standin_request *request)
{
  int64_t delay_ms;

  while (read_mode_ (faults, &delay_ms) == PLATFORM_MODE_SILENT && !standin_peer_closed (request))
    g_usleep (SILENCE_POLL_MS * US_PER_MS);
  return PLATFORM_CLOSE;
}

static bool
take_token_ (struct token_bucket_ *bucket, int64_t now_us)
{
  double added;

  if (bucket->per_s == 0)
    return true;
  added = (double)(now_us - bucket->refilled_us) * (double)bucket->per_s / US_PER_S;
  bucket->tokens = MIN ((double)bucket->per_s, bucket->tokens + added);
  bucket->refilled_us = now_us;
  if (bucket->tokens < 1)
    return false;
  bucket->tokens -= 1;
  return true;
}

static enum MHD_Result
set_mode_ (struct faults *faults, struct standin_request *request)
{
  const char *name = standin_query (request, "mode");
  unsigned mode = 0;

  while (mode < PLATFORM_MODE_COUNT && g_strcmp0 (name, mode_names[mode]) != 0)
    mode++;
  if (mode == PLATFORM_MODE_COUNT)
    return standin_reply_error (request, MHD_HTTP_BAD_REQUEST, "mode");
  pthread_mutex_lock (&faults->mutex);
  faults->mode = mode;
  faults->delay_ms = standin_query_number (request, "delay_ms", 0);
  pthread_mutex_unlock (&faults->mutex);
  return standin_reply_ok (request);
}

static enum MHD_Result
set_losses_ (struct faults *faults, struct standin_request *request)
{
  const char *kind = standin_query (request, "kind");
  int count = (int)standin_query_number (request, "count", 1);

  if (kind == NULL)
    return standin_reply_error (request, MHD_HTTP_BAD_REQUEST, "kind");
  pthread_mutex_lock (&faults->mutex);
  g_hash_table_insert (faults->losses, g_strdup (kind), GINT_TO_POINTER (count));
  pthread_mutex_unlock (&faults->mutex);
  return standin_reply_ok (request);
}

static enum MHD_Result
set_rates_ (struct faults *faults, struct standin_request *request)
{
  int64_t writes_per_s = standin_query_number (request, "writes_per_s", 0);
  int64_t reads_per_s = standin_query_number (request, "reads_per_s", 0);
  int64_t now_us = g_get_monotonic_time ();

  pthread_mutex_lock (&faults->mutex);
  faults->writes = (struct token_bucket_){ writes_per_s, (double)writes_per_s, now_us };
  faults->reads = (struct token_bucket_){ reads_per_s, (double)reads_per_s, now_us };
  pthread_mutex_unlock (&faults->mutex);
  return standin_reply_ok (request);
}

static enum MHD_Result
set_listing_ (struct faults *faults, struct standin_request *request)
{
  int64_t lag_us = standin_query_number (request, "lag_ms", 0) * US_PER_MS;
  struct listing_ listing = { g_get_monotonic_time () + lag_us,
                              json_loadb (request->body->str, request->body->len, 0, NULL) };

  if (!json_is_array (json_object_get (listing.document, "instances")))
    {
      json_decref (listing.document);
      return standin_reply_error (request, MHD_HTTP_BAD_REQUEST, "document");
    }
  pthread_mutex_lock (&faults->mutex);
  g_array_append_val (faults->listings, listing);
  pthread_mutex_unlock (&faults->mutex);
  return standin_reply_ok (request);
}
