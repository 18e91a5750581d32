#include "platform/platform.h"

static const char *const status_strings[]
    = { "ok", "absent", "conflict", "unchanged", "limited", "too large", "out", "unknown" };

static enum sr_platform_status note_response_ (struct sr_platform *platform,
                                               enum sr_platform_status status);

struct sr_platform *
sr_platform_ref (struct sr_platform *platform)
{
  g_atomic_int_inc (&platform->reference_count);
  return platform;
}

/* Drops a reference; the last one frees PLATFORM, which may be NULL. */
void
sr_platform_unref (struct sr_platform *platform)
{
  if (platform != NULL && g_atomic_int_dec_and_test (&platform->reference_count))
    platform->vtable->finish (platform);
}

/* Reads the object KIND/NAME: replaces BODY and sets *VERSION. Returns OK, ABSENT (version 0),
 * RATE_LIMITED or UNREACHABLE. */
enum sr_platform_status
sr_platform_get (struct sr_platform *platform,
                 const char *kind,
                 const char *name,
                 GString *body,
                 int64_t *version)
{
  return note_response_ (platform, platform->vtable->get (platform, kind, name, body, version));
}

/* Writes KIND/NAME if its version is EXPECTED_VERSION (0: if the object is absent). OK sets
 * *VERSION to the new version, CONFLICT to the current one. RATE_LIMITED, TOO_LARGE and UNREACHABLE
 * had no effect; after UNKNOWN the caller must read the object to learn whether it was written. */
enum sr_platform_status
sr_platform_put (struct sr_platform *platform,
                 const char *kind,
                 const char *name,
                 const char *body,
                 size_t length,
                 int64_t expected_version,
                 int64_t *version)
{
  return note_response_ (platform, platform->vtable->put (platform, kind, name, body, length,
                                                          expected_version, version));
}

/* Appends to NAMES (strings freed by the array) up to LIMIT names of KIND that start with PREFIX
 * and sort after AFTER (NULL: from the start), in order. *MORE is set if further names follow; at
 * least one is appended then. */
enum sr_platform_status
sr_platform_list (struct sr_platform *platform,
                  const char *kind,
                  const char *prefix,
                  const char *after,
                  unsigned limit,
                  GPtrArray *names,
                  bool *more)
{
  return note_response_ (
      platform, platform->vtable->list (platform, kind, prefix, after, limit, names, more));
}

/* Waits up to WAIT_MS for a version of KIND/NAME above AFTER_VERSION and returns it like
 * sr_platform_get, or UNCHANGED if there is none by then. */
enum sr_platform_status
sr_platform_watch (struct sr_platform *platform,
                   const char *kind,
                   const char *name,
                   int64_t after_version,
                   int wait_ms,
                   GString *body,
                   int64_t *version)
{
  return note_response_ (platform, platform->vtable->watch (platform, kind, name, after_version,
                                                            wait_ms, body, version));
}

/* Replaces BODY by the platform's JSON list of instances, which may be out of date. */
enum sr_platform_status
sr_platform_instances (struct sr_platform *platform, GString *body)
{
  return note_response_ (platform, platform->vtable->instances (platform, body));
}

/* Deletes KIND/NAME if its version is EXPECTED_VERSION. After UNKNOWN it may have been deleted. */
enum sr_platform_status
sr_platform_remove (struct sr_platform *platform,
                    const char *kind,
                    const char *name,
                    int64_t expected_version)
{
  return note_response_ (platform,
                         platform->vtable->remove (platform, kind, name, expected_version));
}

/* Returns when a call of this process last got a definite response from the platform (monotonic,
 * microseconds), or 0 for never. Rate limiting and error responses do not count. */
int64_t
sr_platform_last_response_us (struct sr_platform *platform)
{
  return atomic_load (&platform->last_response_us);
}

const char *
sr_platform_status_to_string (enum sr_platform_status status)
{
  g_assert ((size_t)status < G_N_ELEMENTS (status_strings));
  return status_strings[status];
}

static enum sr_platform_status
note_response_ (struct sr_platform *platform, enum sr_platform_status status)
{
  if (status == SR_PLATFORM_OK || status == SR_PLATFORM_ABSENT || status == SR_PLATFORM_CONFLICT
      || status == SR_PLATFORM_UNCHANGED)
    atomic_store (&platform->last_response_us, g_get_monotonic_time ());
  return status;
}
