/* Client of the platform's object API, behind a vtable. Calls block and may be made from any
 * thread. */
#pragma once

#include <glib.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum sr_platform_status
{
  SR_PLATFORM_OK,
  SR_PLATFORM_ABSENT,       /* no such object */
  SR_PLATFORM_CONFLICT,     /* the version is not the expected one: no effect */
  SR_PLATFORM_UNCHANGED,    /* a watch timed out without an update */
  SR_PLATFORM_RATE_LIMITED, /* rate limit exceeded: no effect */
  SR_PLATFORM_TOO_LARGE,    /* no effect */
  SR_PLATFORM_UNREACHABLE,  /* no connection, an error response, or a lost read: no effect */
  SR_PLATFORM_UNKNOWN       /* no response after sending: a write may have taken effect */
};

struct sr_platform;

struct sr_platform_vtable
{
  enum sr_platform_status (*get) (struct sr_platform *platform,
                                  const char *kind,
                                  const char *name,
                                  GString *body,
                                  int64_t *version);
  enum sr_platform_status (*put) (struct sr_platform *platform,
                                  const char *kind,
                                  const char *name,
                                  const char *body,
                                  size_t length,
                                  int64_t expected_version,
                                  int64_t *version);
  enum sr_platform_status (*list) (struct sr_platform *platform,
                                   const char *kind,
                                   const char *prefix,
                                   const char *after,
                                   unsigned limit,
                                   GPtrArray *names,
                                   bool *more);
  enum sr_platform_status (*watch) (struct sr_platform *platform,
                                    const char *kind,
                                    const char *name,
                                    int64_t after_version,
                                    int wait_ms,
                                    GString *body,
                                    int64_t *version);
  enum sr_platform_status (*instances) (struct sr_platform *platform, GString *body);
  enum sr_platform_status (*remove) (struct sr_platform *platform,
                                     const char *kind,
                                     const char *name,
                                     int64_t expected_version);
  void (*finish) (struct sr_platform *platform);
};

/* First member of every implementation. */
struct sr_platform
{
  const struct sr_platform_vtable *vtable;
  int reference_count;
  _Atomic int64_t last_response_us; /* see sr_platform_last_response_us */
};

struct sr_platform *sr_platform_ref (struct sr_platform *platform);
void sr_platform_unref (struct sr_platform *platform);
enum sr_platform_status sr_platform_get (struct sr_platform *platform,
                                         const char *kind,
                                         const char *name,
                                         GString *body,
                                         int64_t *version);
enum sr_platform_status sr_platform_put (struct sr_platform *platform,
                                         const char *kind,
                                         const char *name,
                                         const char *body,
                                         size_t length,
                                         int64_t expected_version,
                                         int64_t *version);
enum sr_platform_status sr_platform_list (struct sr_platform *platform,
                                          const char *kind,
                                          const char *prefix,
                                          const char *after,
                                          unsigned limit,
                                          GPtrArray *names,
                                          bool *more);
enum sr_platform_status sr_platform_watch (struct sr_platform *platform,
                                           const char *kind,
                                           const char *name,
                                           int64_t after_version,
                                           int wait_ms,
                                           GString *body,
                                           int64_t *version);
enum sr_platform_status sr_platform_instances (struct sr_platform *platform, GString *body);
enum sr_platform_status sr_platform_remove (struct sr_platform *platform,
                                            const char *kind,
                                            const char *name,
                                            int64_t expected_version);
int64_t sr_platform_last_response_us (struct sr_platform *platform);
const char *sr_platform_status_to_string (enum sr_platform_status status);
