#include "platform/platform-retry.h"

enum
{
  RETRY_WAIT_US = 50000
};

static bool wait_for_retry_ (enum sr_platform_status status, int64_t deadline_us);

/* Creates the object NAME of KIND, whose body is a function of its name, so that whoever finds it
 * there may take it for its own. A lost answer is followed by the same call. Returns OK once the
 * object is there, or the last status when it is DEADLINE_US (monotonic). */
enum sr_platform_status
sr_platform_create_once (struct sr_platform *platform,
                         const char *kind,
                         const char *name,
                         const char *body,
                         size_t length,
                         int64_t deadline_us)
{
  enum sr_platform_status status;
  int64_t version;

  do
    status = sr_platform_put (platform, kind, name, body, length, 0, &version);
  while (wait_for_retry_ (status, deadline_us));
  return status == SR_PLATFORM_CONFLICT ? SR_PLATFORM_OK : status;
}

/* As sr_platform_get, repeated until DEADLINE_US (monotonic) while the platform limits the rate or
 * an answer is lost. */
enum sr_platform_status
sr_platform_get_patiently (struct sr_platform *platform,
                           const char *kind,
                           const char *name,
                           GString *body,
                           int64_t *version,
                           int64_t deadline_us)
{
  enum sr_platform_status status;

  do
    status = sr_platform_get (platform, kind, name, body, version);
  while (wait_for_retry_ (status, deadline_us));
  return status;
}

/* Tells whether STATUS may be better next time and there is time left, after a short wait. */
static bool
wait_for_retry_ (enum sr_platform_status status, int64_t deadline_us)
{
  if (status != SR_PLATFORM_UNKNOWN && status != SR_PLATFORM_LIMITED)
    return false;
  if (g_get_monotonic_time () >= deadline_us)
    return false;
  g_usleep (RETRY_WAIT_US);
  return true;
}
