/* Queues before the backend servers: by priority and deadline, fair between teams. */
#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum sr_priority
{
  SR_PRIORITY_INTERACTIVE,
  SR_PRIORITY_NORMAL,
  SR_PRIORITY_BATCH
};

enum sr_admit_verdict
{
  SR_ADMIT_QUEUED,
  SR_ADMIT_QUEUE_FULL,
  SR_ADMIT_DEADLINE /* it could not be served before its deadline */
};

/* One waiting request. owner is the caller's, handed back by sr_admit_pop and sr_admit_expire. */
struct sr_ticket
{
  const char *service; /* copied */
  const char *team;    /* copied */
  unsigned team_weight;
  enum sr_priority priority;
  int64_t deadline_us; /* monotonic */
  int64_t cost_tokens; /* expected work */
  void *owner;
};

struct sr_admit;

struct sr_admit_options
{
  unsigned queue_max;
  uint32_t seed;
};

/* What waits at this moment. */
struct sr_admit_status
{
  unsigned waiting;
  unsigned running;      /* popped and not yet served */
  int64_t mean_took_us;  /* 0 before the first call */
  int64_t drain_time_ms; /* time to serve what waits; 0 when not known */
};

const char *sr_priority_to_string (enum sr_priority priority);
bool sr_priority_from_string (const char *text, enum sr_priority *priority);
struct sr_admit *sr_admit_new (const struct sr_admit_options *options);
void sr_admit_delete (struct sr_admit *admit);
enum sr_admit_verdict sr_admit_push (struct sr_admit *admit,
                                     const struct sr_ticket *ticket,
                                     int64_t now_us,
                                     int64_t *retry_after_ms);
void *sr_admit_pop (struct sr_admit *admit,
                    const char *service,
                    int64_t now_us); /* next owner of the service, or NULL */
void *
sr_admit_expire (struct sr_admit *admit,
                 int64_t now_us,
                 int64_t *retry_after_ms); /* one owner that can no longer be served, or NULL */
void sr_admit_served (struct sr_admit *admit,
                      const char *service,
                      int64_t took_us); /* a popped request has ended; 0: it was not dispatched */
bool sr_admit_may_retry (struct sr_admit *admit,
                         const char *service); /* takes from the retry budget */
void sr_admit_status (struct sr_admit *admit, const char *service, struct sr_admit_status *status);
