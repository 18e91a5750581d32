#include "gateway/exchange-private.h"

enum
{
  COST_TOKENS = 4000,  /* uncached prompt tokens that cost as much as a request without any */
  OVERDUE_PERCENT = 75 /* of the latency objective: late by then, without a first byte */
};

static double objective_part_ (const struct gw_exchange *exchange, int64_t now_us);
static void note_result_ (struct gw_exchange *exchange, double objective_part, int64_t now_us);

static struct sr_counter outranked_counter_
    = { .name = "sapphirerun_requests_outranked_total",
        .help = "Requests refused for others, while servers could not serve all." };

/* Call once at start. */
void
gw_exchange_register_precedence_metrics_ (void)
{
  sr_counter_register (&outranked_counter_);
}

/* Refuses the request if the settings ask for early refusal and others take precedence over it, or
 * if its place has no room: VERDICT is the one of the placement. Returns whether it did, and the
 * exchange is freed. A request that was admitted once is not refused for others later. */
bool
gw_exchange_refuse_outranked_ (struct gw_exchange *exchange, enum gw_placement_verdict verdict)
{
  struct gw_context *context = exchange->context;
  int64_t now_us = g_get_monotonic_time ();
  const struct gw_precedence_request request
      = { .rank = gw_request_rank (exchange->route, exchange->team),
          .team_hash = exchange->team_hash,
          .cost = 1 + (double)exchange->place.uncached_tokens / COST_TOKENS };

  if (!context->refuses_early || exchange->precedence != NULL || exchange->runs > 0
      || exchange->response_began)
    return false;
  exchange->precedence = gw_context_precedence (context, exchange->service_name);
  exchange->cost = request.cost;
  exchange->admitted_us = now_us;
  if (gw_precedence_admits (exchange->precedence, &request, context->random, now_us))
    return false;
  sr_counter_add (&outranked_counter_, 1);
  gw_exchange_refuse_with_inputs_ (
      exchange, 503, GW_RETRY_AFTER_OUTRANKED, "outranked",
      json_pack ("{s:i,s:f,s:f,s:b}", "rank", (int)request.rank, "admitted_share",
                 gw_precedence_admitted_share (exchange->precedence), "expected_ms",
                 exchange->place.expected_ms, "full", verdict == GW_PLACEMENT_ALL_FULL));
  return true;
}

/* Returns true if the request may go to a server that has an overlong queue, as it will be served
 * before the others there. */
bool
gw_exchange_outranks_queue_ (struct gw_exchange *exchange)
{
  int64_t now_us = g_get_monotonic_time ();

  if (exchange->precedence == NULL)
    return false;
  gw_exchange_note_not_served_ (exchange, now_us);
  return exchange->service != NULL && exchange->service->is_model
         && gw_precedence_outranks_others (exchange->precedence,
                                           gw_request_rank (exchange->route, exchange->team));
}

/* Notes the head of a response. That of a resumed stream does not count again. */
void
gw_exchange_note_served_ (struct gw_exchange *exchange, int64_t now_us)
{
  if (exchange->precedence == NULL || exchange->response_began)
    return;
  gw_precedence_note_served (exchange->precedence, exchange->cost, now_us);
  if (exchange->route->objective_ms > 0)
    note_result_ (exchange, objective_part_ (exchange, now_us), now_us);
}

/* Notes that a server had no room for the request. */
void
gw_exchange_note_not_served_ (struct gw_exchange *exchange, int64_t now_us)
{
  if (exchange->precedence != NULL)
    note_result_ (exchange, G_MAXDOUBLE, now_us);
}

/* Returns the time at which the request becomes overdue; INT64_MAX: it does not, or it was noted.
 */
int64_t
gw_exchange_overdue_us_ (const struct gw_exchange *exchange)
{
  if (exchange->precedence == NULL || exchange->result_noted || exchange->state != EXCHANGE_SENT
      || exchange->route->objective_ms == 0)
    return INT64_MAX;
  return exchange->admitted_us
         + (int64_t)exchange->route->objective_ms * GW_US_PER_MS * OVERDUE_PERCENT / 100;
}

/* Notes that the request is overdue, if it is. Returns whether it did. */
bool
gw_exchange_note_overdue_ (struct gw_exchange *exchange, int64_t now_us)
{
  if (now_us < gw_exchange_overdue_us_ (exchange))
    return false;
  note_result_ (exchange, objective_part_ (exchange, now_us), now_us);
  return true;
}

static double
objective_part_ (const struct gw_exchange *exchange, int64_t now_us)
{
  return (double)(now_us - exchange->admitted_us)
         / ((double)exchange->route->objective_ms * GW_US_PER_MS);
}

/* Notes the result once for each request. Without a server, none had room for it. */
static void
note_result_ (struct gw_exchange *exchange, double objective_part, int64_t now_us)
{
  const struct gw_backend *backend
      = exchange->backend != NULL ? exchange->backend : exchange->place.backend;
  const struct gw_precedence_result result
      = { .rank = gw_request_rank (exchange->route, exchange->team),
          .admitted_us = exchange->admitted_us,
          .objective_part = objective_part,
          .server_has_queue = backend == NULL || gw_placement_has_queue (backend, now_us) };

  if (exchange->result_noted)
    return;
  exchange->result_noted = true;
  gw_precedence_note_result (exchange->precedence, &result, now_us);
}
