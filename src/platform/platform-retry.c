#include "platform/platform-retry.h"

enum
{
  RETRY_WAIT_US = 50000
};

static bool wait_for_retry_ (enum sr_platform_status status, int64_t deadline_us);

/* Creates the object NAME of KIND. BODY must be a function of NAME, since an object that exists
 * already counts as created by this call. The call is repeated while the platform limits the
 * rate or a response is lost. Returns OK once the object exists, or the last status at
 * DEADLINE_US (monotonic). */
enum sr_platform_status
sr_platform_create_with_retry (struct sr_platform *platform,
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

/* Like sr_platform_get, but repeated until DEADLINE_US (monotonic) while the status is RATE_LIMITED
 * or UNKNOWN. A platform over HTTP reports a lost response to a read as UNREACHABLE, which is not
 * repeated. */
enum sr_platform_status
sr_platform_get_with_retry (struct sr_platform *platform,
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

/* Returns whether to repeat a call that gave STATUS, after waiting RETRY_WAIT_US. */
static bool
wait_for_retry_ (enum sr_platform_status status, int64_t deadline_us)
{
  if (status != SR_PLATFORM_UNKNOWN && status != SR_PLATFORM_RATE_LIMITED)
    return false;
  if (g_get_monotonic_time () >= deadline_us)
    return false;
  g_usleep (RETRY_WAIT_US);
  return true;
}
