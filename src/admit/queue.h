/* The queue of one service: priorities among the teams that are within their fair share, the
 * earliest deadline first inside a team. A state machine without thread, lock or clock. */
#pragma once

#include "admit/admit.h"

struct sr_queue;

/* A ticket in a queue, owned by the queue until it is taken out. */
struct sr_queue_entry
{
  void *owner;
  enum sr_priority priority;
  int64_t cost_tokens;
  int64_t deadline_us;
  int64_t latest_start_us; /* later, it could not be answered by its deadline */
  struct sr_queue_team *team;
  GSequenceIter *by_deadline; /* among those of its team and priority */
  GSequenceIter *by_start;    /* in its queue */
};

/* The team that waits with most in one priority, for its weight. */
struct sr_queue_largest
{
  struct sr_queue_team *team;
  enum sr_priority priority;
  double share; /* tickets per weight */
};

struct sr_queue *sr_queue_new (void);
void sr_queue_delete (struct sr_queue *queue);
unsigned sr_queue_length (const struct sr_queue *queue);
struct sr_queue_entry *
sr_queue_add (struct sr_queue *queue, const struct sr_ticket *ticket, int64_t latest_start_us);
struct sr_queue_entry *sr_queue_take_next (struct sr_queue *queue);
struct sr_queue_entry *sr_queue_take_late (struct sr_queue *queue, int64_t now_us);
struct sr_queue_entry *sr_queue_take_last (struct sr_queue *queue,
                                           const struct sr_queue_largest *largest);
bool sr_queue_find_largest (struct sr_queue *queue, struct sr_queue_largest *largest);
double sr_queue_share_of (struct sr_queue *queue, const struct sr_ticket *ticket);
int64_t sr_queue_cost (const struct sr_queue *queue);
int64_t sr_queue_cost_before (struct sr_queue *queue, const struct sr_ticket *ticket);
