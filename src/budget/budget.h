/* Prepaid budgets: tokens reserved before a request runs and settled after it. */
#pragma once

#include "member/member.h"
#include "peer/peer.h"
#include "platform/platform.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum sr_budget_verdict
{
  SR_BUDGET_RESERVED,
  SR_BUDGET_EXHAUSTED,  /* too few tokens are left of the budget */
  SR_BUDGET_UNREACHABLE /* too few tokens are held here; no platform or peer was reachable */
};

struct sr_budgets;
struct sr_reservation;

/* The strings are copied; platform and peers must outlive the budgets. */
struct sr_budgets_options
{
  struct sr_platform *platform;
  struct sr_peer_client *peers; /* NULL: no loans and no witness */
  struct sr_members *members;   /* NULL: no peers, unless view is set */
  /* Returns a view of the instances; the budgets release it. NULL: sr_members_view (members). */
  struct sr_member_view *(*view) (void *data);
  void *view_data;
  const char *instance;
  const char *data_centre;
  uint64_t incarnation;
  unsigned allotment_cover_s;  /* seconds of demand that a draw on the platform covers */
  unsigned idle_return_s;      /* unused for this many seconds, tokens are returned */
  unsigned settle_interval_ms; /* least time between two updates by the upkeep thread */
  bool without_witness;        /* a crashed holder's whole allotment is then written off */
  uint32_t seed;
};

struct sr_budgets *sr_budgets_new (const struct sr_budgets_options *options);
void sr_budgets_delete (struct sr_budgets *budgets);
bool sr_budgets_start (struct sr_budgets *budgets);
void sr_budgets_stop (struct sr_budgets *budgets);
void sr_budgets_add_to_server (struct sr_budgets *budgets, struct sr_peer_server *server);
enum sr_budget_verdict sr_budgets_reserve (struct sr_budgets *budgets,
                                           const char *budget,
                                           int64_t tokens,
                                           int64_t deadline_us,
                                           struct sr_reservation **reservation,
                                           int64_t *retry_after_ms);
void sr_budgets_settle (struct sr_budgets *budgets,
                        struct sr_reservation *reservation,
                        int64_t used_tokens);
void sr_budgets_print_status (struct sr_budgets *budgets, GString *json);
bool sr_budgets_return_all (struct sr_budgets *budgets, int64_t deadline_us);
