/* Admission control: queues requests until a backend server has a free slot, ordered by priority
 * and deadline and fair between teams. Safe to call from any thread. */
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
  SR_ADMIT_DEADLINE /* it would not be answered before its deadline */
};

/* One queued request. owner is an opaque pointer of the caller, returned by sr_admit_pop or
 * sr_admit_expire. */
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
  unsigned queue_max; /* tickets in all queues together */
  uint32_t seed;
};

/* Current state of the queue of one service. */
struct sr_admit_status
{
  unsigned waiting;
  unsigned running;             /* popped and not yet reported by sr_admit_report_end */
  int64_t mean_service_time_us; /* moving average; 0 before the first request has ended */
  int64_t drain_time_ms;        /* estimated time to serve the queue; 0 when unknown */
};

const char *sr_priority_to_string (enum sr_priority priority);
bool sr_priority_from_string (const char *text, enum sr_priority *priority);
struct sr_admit *sr_admit_new (const struct sr_admit_options *options);
void sr_admit_delete (struct sr_admit *admit);
enum sr_admit_verdict sr_admit_push (struct sr_admit *admit,
                                     const struct sr_ticket *ticket,
                                     int64_t now_us,
                                     int64_t *retry_after_ms);
void *sr_admit_pop (struct sr_admit *admit, const char *service_name, int64_t now_us);
void *sr_admit_expire (struct sr_admit *admit, int64_t now_us, int64_t *retry_after_ms);
void
sr_admit_report_end (struct sr_admit *admit, const char *service_name, int64_t service_time_us);
bool sr_admit_may_retry (struct sr_admit *admit, const char *service_name);
void
sr_admit_status (struct sr_admit *admit, const char *service_name, struct sr_admit_status *status);
