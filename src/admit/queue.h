/* The queue of one service. Priorities apply among the teams that are within their fair share;
 * within a team and priority, the earliest deadline is first. A state machine without threads,
 * locks or clock: the caller serialises calls and passes the time. */
#pragma once

#include "admit/admit.h"

struct sr_queue;

/* A queued ticket, owned by the queue until one of the take functions returns it. */
struct sr_queue_entry
{
  void *owner;
  enum sr_priority priority;
  int64_t cost_tokens;
  int64_t deadline_us;
  int64_t latest_start_us; /* if started later, it would miss its deadline */
  struct sr_queue_team *team;
  GSequenceIter *by_deadline; /* position among the entries of its team and priority */
  GSequenceIter *by_start;    /* position in the by_start sequence of the queue */
};

/* The team and priority with most queued tickets per weight. */
struct sr_queue_backlog
{
  struct sr_queue_team *team;
  enum sr_priority priority;
  double tickets_per_weight;
};

struct sr_queue *sr_queue_new (void);
void sr_queue_delete (struct sr_queue *queue);
unsigned sr_queue_length (const struct sr_queue *queue);
struct sr_queue_entry *
sr_queue_add (struct sr_queue *queue, const struct sr_ticket *ticket, int64_t latest_start_us);
struct sr_queue_entry *sr_queue_take_next (struct sr_queue *queue);
struct sr_queue_entry *sr_queue_take_overdue (struct sr_queue *queue, int64_t now_us);
struct sr_queue_entry *sr_queue_take_latest_deadline (struct sr_queue *queue,
                                                      const struct sr_queue_backlog *largest);
bool sr_queue_find_largest_backlog (struct sr_queue *queue, struct sr_queue_backlog *largest);
double sr_queue_backlog_of (struct sr_queue *queue, const struct sr_ticket *ticket);
int64_t sr_queue_cost_tokens (const struct sr_queue *queue);
int64_t sr_queue_cost_before_tokens (struct sr_queue *queue, const struct sr_ticket *ticket);
