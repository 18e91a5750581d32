#include "gateway/exchange-private.h"

#include "base/event-log.h"
#include "net/http-reply.h"

#include <string.h>
#include <xxhash.h>

enum
{
  EXCHANGE_BYTES = 2048, /* of a request without its headers and body: struct and texts */
  NEW_STREAMS_WHILE_STOPPING_MS = 3000, /* time after the stop signal in which streams are still
                                           accepted; later ones would outlast a planned stop */
  LOGGED_PATH_BYTES
  = 64 /* limit for logging a path that matches no route; the event log buffers only 256 KiB */
};

static bool admit_ (struct gw_exchange *exchange, const struct gw_request_head *request);
static bool may_outlast_stop_ (const struct gw_exchange *exchange);
static void on_reserved_ (enum allotment_verdict verdict, GArray *parts, void *data);
static json_t *budget_inputs_ (const struct gw_exchange *exchange);
static json_t *uptime_inputs_ (const struct gw_context *context);
static json_t *logged_path_ (const char *target);
static double retry_after_s_ (const struct gw_exchange *exchange, enum gw_retry_after_cause cause);
static void settle_ (struct gw_exchange *exchange);
static void on_timer_closed_ (uv_handle_t *handle);

static const char *const state_names_[] = {
  [EXCHANGE_READING] = "reading",       [EXCHANGE_RESERVING] = "reserving",
  [EXCHANGE_CONNECTING] = "connecting", [EXCHANGE_SENT] = "sent",
  [EXCHANGE_RESPONDING] = "answering",  [EXCHANGE_ENDED] = "ended",
};

static struct sr_counter requests_counter_
    = { .name = "sapphirerun_requests_total", .help = "Requests of callers." };
static struct sr_counter refused_counter_ = { .name = "sapphirerun_requests_refused_total",
                                              .help = "Requests refused without running them." };
static struct sr_counter failed_counter_ = { .name = "sapphirerun_requests_failed_total",
                                             .help = "Requests whose answer was lost or cut." };
static struct sr_counter abandoned_counter_
    = { .name = "sapphirerun_requests_abandoned_total", .help = "Requests whose caller left." };
static struct sr_histogram request_histogram_ = { .name = "sapphirerun_request_microseconds",
                                                  .help = "From a request's arrival to its end." };

/* Returns the log name of STATE. */
const char *
gw_exchange_state_to_string_ (enum gw_exchange_state state)
{
  g_assert ((size_t)state < G_N_ELEMENTS (state_names_));
  return state_names_[state];
}

/* Call once at start. */
void
gw_exchange_register_metrics (void)
{
  gw_exchange_register_attempt_metrics_ ();
  gw_exchange_register_precedence_metrics_ ();
  sr_counter_register (&requests_counter_);
  sr_counter_register (&refused_counter_);
  sr_counter_register (&failed_counter_);
  sr_counter_register (&abandoned_counter_);
  sr_histogram_register (&request_histogram_);
}

/* Starts an exchange for the request HEAD of CALLER. Takes ownership of HEADERS, the header lines
 * to pass on. Returns NULL if the request was refused: CALLER has then got the complete response.
 */
struct gw_exchange *
gw_exchange_new (struct gw_context *context,
                 void *caller,
                 const struct net_http_head *head,
                 const struct gw_request_head *request,
                 GString *headers)
{
  struct gw_exchange *exchange = g_new0 (struct gw_exchange, 1);

  exchange->upstream_vtable = gw_exchange_upstream_vtable_ ();
  exchange->context = context;
  exchange->caller = caller;
  exchange->id = net_string_view_dup (request->request_id);
  exchange->method = net_string_view_dup (head->method);
  exchange->target = net_string_view_dup (head->target);
  exchange->headers = headers;
  if (request->last_event_id.length > 0)
    exchange->last_event_id = net_string_view_dup (request->last_event_id);
  exchange->prompt = request->prompt;
  gw_exchange_set_shared_parts_ (exchange);
  exchange->unanswered_link.data = exchange;
  exchange->has_body = head->is_chunked || head->has_length;
  exchange->declared_body_bytes = head->has_length ? head->length : 0;
  exchange->body = g_byte_array_new ();
  exchange->arrived_us = g_get_monotonic_time ();
  exchange->tried = g_ptr_array_new_with_free_func ((GDestroyNotify)gw_backend_unref);
  exchange->reason = g_string_new (NULL);
  exchange->response_headers = g_string_new (NULL);
  exchange->response_body = g_byte_array_new ();
  exchange->partial_event = g_string_new (NULL);
  uv_timer_init (context->loop, &exchange->timer);
  exchange->timer.data = exchange;
  context->exchanges++;
  sr_counter_add (&requests_counter_, 1);
  if (!admit_ (exchange, request))
    return NULL;
  gw_exchange_set_timer_ (exchange);
  return exchange;
}

/* Adds a part of the request body. Returns false if the body exceeds the size limit: the request is
 * then refused and the exchange freed. */
bool
gw_exchange_body (struct gw_exchange *exchange, const char *data, size_t length)
{
  if (exchange->body->len + length > exchange->routes->limits.body_max_bytes)
    {
      exchange->refuses_body = true;
      gw_exchange_refuse_ (exchange, 413, GW_RETRY_AFTER_BUSY, "body_too_large");
      return false;
    }
  g_byte_array_append (exchange->body, (const guint8 *)data, (guint)length);
  return true;
}

/* Refuses a request whose declared body length exceeds the limit, and frees the exchange. */
void
gw_exchange_refuse_too_large (struct gw_exchange *exchange)
{
  gw_exchange_refuse_ (exchange, 413, GW_RETRY_AFTER_BUSY, "body_too_large");
}

/* Refuses a request whose body has stopped arriving, and frees the exchange. */
void
gw_exchange_refuse_incomplete (struct gw_exchange *exchange)
{
  g_assert (exchange->state == EXCHANGE_READING);
  gw_exchange_refuse_ (exchange, 408, GW_RETRY_AFTER_BUSY, "body_incomplete");
}

/* Refuses a request that is still arriving, as there is no memory for it, and frees the exchange.
 */
void
gw_exchange_refuse_short (struct gw_exchange *exchange)
{
  const struct net_memory_account *account = &exchange->context->account;

  g_assert (exchange->state == EXCHANGE_READING);
  gw_exchange_refuse_with_inputs_ (
      exchange, 503, GW_RETRY_AFTER_ELSEWHERE, "memory_short",
      json_pack ("{s:I,s:I,s:I}", "body", (json_int_t)exchange->body->len, "held",
                 (json_int_t)account->total, "limit", (json_int_t)account->limit));
}

/* Returns the number of bytes that the exchange holds of the request. */
size_t
gw_exchange_request_bytes (const struct gw_exchange *exchange)
{
  return EXCHANGE_BYTES + exchange->headers->len + exchange->body->len;
}

/* The request has been received completely: reserves its tokens and sends it. */
void
gw_exchange_start (struct gw_exchange *exchange)
{
  struct gw_context *context = exchange->context;

  gw_retry_budget_count_request (gw_context_retry_budget (context, exchange->service_name),
                                 g_get_monotonic_time ());
  if (gw_exchange_refuse_blocked_ (exchange))
    return;
  if (exchange->team == NULL || !exchange->team->is_prepaid || !exchange->prompt.is_declared)
    {
      gw_exchange_start_attempt_ (exchange);
      return;
    }
  exchange->state = EXCHANGE_RESERVING;
  exchange->reserved_tokens = exchange->prompt.input_tokens + exchange->prompt.output_tokens_max;
  if (exchange->reserved_tokens <= 0)
    {
      gw_exchange_start_attempt_ (exchange);
      return;
    }
  if (context->allotments == NULL)
    {
      gw_exchange_refuse_with_inputs_ (exchange, 503, GW_RETRY_AFTER_OUTAGE, "budgets_not_ready",
                                       uptime_inputs_ (context));
      return;
    }
  allotment_manager_reserve (context->allotments, exchange->team->name->str,
                             exchange->reserved_tokens, on_reserved_, exchange,
                             g_get_monotonic_time ());
}

/* The response bytes queued for the caller have been written: continues to read from the server. */
void
gw_exchange_on_caller_drained (struct gw_exchange *exchange)
{
  if (exchange->reading_paused && exchange->upstream != NULL)
    {
      exchange->reading_paused = false;
      gw_upstream_pause (exchange->upstream, false);
    }
}

/* The caller has disconnected: cancels the request, also at the backend server, and frees the
 * exchange. */
void
gw_exchange_abandon (struct gw_exchange *exchange)
{
  exchange->caller = NULL;
  if (exchange->state == EXCHANGE_RESERVING)
    allotment_manager_cancel (exchange->context->allotments, exchange->team->name->str, exchange);
  if (exchange->upstream != NULL)
    gw_exchange_end_attempt_ (exchange, GW_ATTEMPT_ABANDONED);
  sr_counter_add (&abandoned_counter_, 1);
  gw_exchange_finish_ (exchange, "caller_left", false);
}

/* Does the checks that need only the request head. Returns false if the request was refused, and
 * the exchange with it freed. */
static bool
admit_ (struct gw_exchange *exchange, const struct gw_request_head *request)
{
  struct gw_context *context = exchange->context;
  struct net_string_view target = net_string_view_of (exchange->target);
  const GString *service;
  int64_t limit_ms;

  if (context->routes == NULL)
    {
      gw_exchange_refuse_with_inputs_ (exchange, 503, GW_RETRY_AFTER_OUTAGE, "no_configuration",
                                       uptime_inputs_ (context));
      return false;
    }
  exchange->routes = gw_routes_ref (context->routes);
  if (!request->is_valid)
    {
      gw_exchange_refuse_ (exchange, 400, GW_RETRY_AFTER_BUSY, "malformed");
      return false;
    }
  exchange->route = gw_routes_match (exchange->routes, request->host, target);
  if (exchange->route == NULL)
    {
      gw_exchange_refuse_with_inputs_ (
          exchange, 404, GW_RETRY_AFTER_BUSY, "no_route",
          json_pack ("{s:o}", "path", logged_path_ (exchange->target)));
      return false;
    }
  if (!exchange->route->is_public && g_hash_table_size (exchange->routes->teams) > 0)
    {
      exchange->team = gw_routes_team (exchange->routes, request->key);
      if (exchange->team == NULL)
        {
          gw_exchange_refuse_with_inputs_ (
              exchange, 401, GW_RETRY_AFTER_BUSY, request->has_key ? "unknown_key" : "no_key",
              json_pack ("{s:s,s:I}", "route", exchange->route->name->str, "keys",
                         (json_int_t)g_hash_table_size (exchange->routes->teams_by_key)));
          return false;
        }
      exchange->team_hash = XXH3_64bits (exchange->team->name->str, exchange->team->name->len);
    }
  service = gw_route_pick_service (exchange->route, g_rand_int (context->random));
  if (service == NULL)
    {
      gw_exchange_refuse_with_inputs_ (exchange, 503, GW_RETRY_AFTER_OUTAGE, "no_service",
                                       json_pack ("{s:s}", "route", exchange->route->name->str));
      return false;
    }
  exchange->service_name = g_strdup (service->str);
  exchange->service = gw_routes_service (exchange->routes, service->str);
  limit_ms = exchange->route->timeout_ms;
  if (request->timeout_ms > 0 && (limit_ms == 0 || request->timeout_ms < limit_ms))
    limit_ms = request->timeout_ms;
  exchange->deadline_us
      = limit_ms == 0 ? INT64_MAX : exchange->arrived_us + limit_ms * GW_US_PER_MS;
  gw_link_load_note_traffic (&context->link, net_traffic (), exchange->arrived_us);
  if (gw_link_load_refuses (&context->link, context->random))
    {
      exchange->refuses_body = true;
      gw_link_load_note_unread (&context->link, exchange->declared_body_bytes,
                                exchange->arrived_us);
      gw_exchange_refuse_with_inputs_ (
          exchange, 503, GW_RETRY_AFTER_ELSEWHERE, "link_full",
          json_pack ("{s:f,s:I}", "link_share", gw_link_load_share (&context->link), "delay_ms",
                     (json_int_t)gw_link_load_delay_ms (&context->link, exchange->arrived_us)));
      return false;
    }
  if (may_outlast_stop_ (exchange))
    {
      gw_exchange_refuse_with_inputs_ (
          exchange, 503, GW_RETRY_AFTER_ELSEWHERE, "stopping",
          json_pack (
              "{s:I}", "stopping_ms",
              (json_int_t)((exchange->arrived_us - context->stopping_since_us) / GW_US_PER_MS)));
      return false;
    }
  return true;
}

/* Returns true if this instance is stopping and may exit before the request is complete. The load
 * balancer may send requests to a stopping instance if too few others are ready. */
static bool
may_outlast_stop_ (const struct gw_exchange *exchange)
{
  const struct gw_context *context = exchange->context;

  if (!context->stopping)
    return false;
  if (exchange->route->kind == GW_ROUTE_STREAM)
    return exchange->arrived_us - context->stopping_since_us
           > NEW_STREAMS_WHILE_STOPPING_MS * GW_US_PER_MS;
  return exchange->deadline_us > context->stop_by_us;
}

/* For the log: what this instance knows of the budget of EXCHANGE's team. record_age_ms is -1 if
 * the record has not been read yet. */
static json_t *
budget_inputs_ (const struct gw_exchange *exchange)
{
  struct allotment_budget_status known;

  allotment_manager_budget_status (exchange->context->allotments, exchange->team->name->str,
                                   g_get_monotonic_time (), &known);
  return json_pack ("{s:I,s:I,s:I,s:I,s:b,s:I,s:I,s:s}", "prepaid",
                    (json_int_t)known.prepaid_tokens, "held", (json_int_t)known.available,
                    "record_left", (json_int_t)known.record_left, "record_age_ms",
                    (json_int_t)known.record_age_ms, "store_failed", (int)known.store_is_down,
                    "left_at_most", (json_int_t)known.left_at_most, "left_age_ms",
                    (json_int_t)known.left_age_ms, "left_told_by", known.left_reported_by);
}

static json_t *
uptime_inputs_ (const struct gw_context *context)
{
  return json_pack ("{s:I}", "up_ms",
                    (json_int_t)((g_get_monotonic_time () - context->started_us) / GW_US_PER_MS));
}

/* For the log: the path of TARGET without its query, truncated to LOGGED_PATH_BYTES. */
static json_t *
logged_path_ (const char *target)
{
  g_autofree char *path = g_strndup (target, MIN (strcspn (target, "?"), LOGGED_PATH_BYTES));
  g_autofree char *valid = g_utf8_make_valid (path, -1);

  return json_string (valid);
}

static void
on_reserved_ (enum allotment_verdict verdict, GArray *parts, void *data)
{
  struct gw_exchange *exchange = data;

  exchange->parts = parts;
  switch (verdict)
    {
    case ALLOTMENT_GRANTED:
      gw_exchange_start_attempt_ (exchange);
      return;
    case ALLOTMENT_EXHAUSTED:
      gw_exchange_refuse_with_inputs_ (exchange, 402, GW_RETRY_AFTER_BUSY, "budget_exhausted",
                                       budget_inputs_ (exchange));
      return;
    case ALLOTMENT_OUT_OF_REACH:
      gw_exchange_refuse_with_inputs_ (exchange, 503, GW_RETRY_AFTER_OUTAGE, "budget_out_of_reach",
                                       budget_inputs_ (exchange));
      return;
    }
}

/* Ends the request with an error response of the gateway and frees the exchange. 503 guarantees
 * that the request has not run, so it must not be used after an attempt that may have executed it.
 * CAUSE determines the Retry-After header of a 503. A response that has begun, as of a stream that
 * can't be resumed, is cut instead. */
void
gw_exchange_refuse_ (struct gw_exchange *exchange,
                     unsigned status,
                     enum gw_retry_after_cause cause,
                     const char *why)
{
  gw_exchange_refuse_with_inputs_ (exchange, status, cause, why, NULL);
}

/* Like gw_exchange_refuse_, and logs INPUTS, the values that led to the refusal. Takes ownership of
 * INPUTS, which may be NULL. */
void
gw_exchange_refuse_with_inputs_ (struct gw_exchange *exchange,
                                 unsigned status,
                                 enum gw_retry_after_cause cause,
                                 const char *why,
                                 json_t *inputs)
{
  g_autofree char *body = g_strdup_printf ("{\"error\":\"%s\"}", why);
  GString *headers = g_string_new ("Content-Type: application/json\r\n");
  struct net_string_view part = net_string_view_of (body);
  struct gw_caller_response response = { .status = status,
                                         .has_length = true,
                                         .length = part.length,
                                         .refuses_body = exchange->refuses_body };
  bool guarantees_no_run = status == 503;
  double after_s = 0;

  g_assert (!(guarantees_no_run && exchange->runs > 0));
  if (exchange->response_began)
    {
      sr_event (SR_EVENT_WARNING, "stream_not_resumed", "{s:s,s:s,s:o*}", "request", exchange->id,
                "reason", why, "inputs", inputs);
      g_string_free (headers, TRUE);
      gw_exchange_finish_ (exchange, "not_resumed", false);
      return;
    }
  if (guarantees_no_run)
    {
      char seconds[G_ASCII_DTOSTR_BUF_SIZE];

      after_s = retry_after_s_ (exchange, cause);
      g_string_append_printf (headers, "Retry-After: %s\r\n",
                              g_ascii_formatd (seconds, sizeof seconds, "%.3f", after_s));
    }
  response.reason = net_string_view_of (net_http_reason (status));
  response.headers = (struct net_string_view){ headers->str, headers->len };
  sr_counter_add (exchange->runs > 0 ? &failed_counter_ : &refused_counter_, 1);
  sr_event (SR_EVENT_WARNING, "request_refused", "{s:s,s:i,s:s,s:s,s:s,s:I,s:I,s:f,s:o*}",
            "request", exchange->id, "status", (int)status, "reason", why, "state",
            gw_exchange_state_to_string_ (exchange->state), "team",
            exchange->team == NULL ? "" : exchange->team->name->str, "tokens",
            (json_int_t)exchange->reserved_tokens, "configuration",
            (json_int_t)(exchange->routes == NULL ? 0 : exchange->routes->version),
            "return_after_s", after_s, "inputs", inputs);
  (*exchange->caller)->begin (exchange->caller, &response);
  if (strcmp (exchange->method, "HEAD") != 0)
    (*exchange->caller)->body (exchange->caller, &part, 1);
  exchange->status = status;
  gw_exchange_finish_ (exchange, "refused", true);
  g_string_free (headers, TRUE);
}

/* Returns the value of the Retry-After header in seconds, see gw_retry_after_s. */
static double
retry_after_s_ (const struct gw_exchange *exchange, enum gw_retry_after_cause cause)
{
  const struct gw_context *context = exchange->context;
  int64_t now_us = g_get_monotonic_time ();
  bool is_starting = context->routes == NULL || context->allotments == NULL;
  int64_t outage_since_us
      = context->store_outage_since_us > 0 ? context->store_outage_since_us
        : is_starting                      ? context->started_us
        : exchange->place.evacuated > 0
            ? MAX (evacuation_latest_us (context->evacuation), context->started_us)
            : now_us;
  struct allotment_budget_status known = { 0 };
  struct gw_retry_after_query query = {
    .cause = cause,
    .response_ms = gw_backends_mean_response_ms (context->backends, exchange->service_name),
    .pause_ms = exchange->place.resumes_in_ms,
    .outranked_ms
    = exchange->precedence == NULL ? 0 : gw_precedence_retry_ms (exchange->precedence),
    .outage_ms = (now_us - outage_since_us) / GW_US_PER_MS,
    .remaining_ms
    = exchange->deadline_us == INT64_MAX ? 0 : (exchange->deadline_us - now_us) / GW_US_PER_MS,
  };

  if (exchange->state == EXCHANGE_RESERVING && context->allotments != NULL)
    allotment_manager_budget_status (context->allotments, exchange->team->name->str, now_us,
                                     &known);
  query.available_in_ms = known.limit_opens_ms;
  return gw_retry_after_s (&query, context->random);
}

/* Settles the tokens, ends the caller's response and frees the exchange. IS_COMPLETE: the caller
 * has got a complete response. */
void
gw_exchange_finish_ (struct gw_exchange *exchange, const char *outcome, bool is_complete)
{
  int64_t now_us = g_get_monotonic_time ();

  g_assert (exchange->state != EXCHANGE_ENDED);
  settle_ (exchange);
  sr_histogram_observe (&request_histogram_, now_us - exchange->arrived_us);
  if (!is_complete && exchange->caller != NULL)
    sr_counter_add (&failed_counter_, 1);
  sr_event (is_complete ? SR_EVENT_INFO : SR_EVENT_WARNING, "request_ended",
            "{s:s,s:s,s:s,s:I,s:I,s:s,s:i,s:i,s:I,s:I,s:I}", "request", exchange->id, "outcome",
            outcome, "team", exchange->team == NULL ? "" : exchange->team->name->str, "reserved",
            (json_int_t)exchange->reserved_tokens, "used", (json_int_t)exchange->used_tokens,
            "state", gw_exchange_state_to_string_ (exchange->state), "status",
            (int)exchange->status, "attempts", (int)exchange->attempts, "events",
            (json_int_t)exchange->scan.events, "first_us",
            (json_int_t)(exchange->response_head_us == 0
                             ? 0
                             : exchange->response_head_us - exchange->arrived_us),
            "took_us", (json_int_t)(now_us - exchange->arrived_us));
  exchange->state = EXCHANGE_ENDED;
  if (exchange->caller != NULL && is_complete)
    (*exchange->caller)->finish (exchange->caller);
  else if (exchange->caller != NULL)
    (*exchange->caller)->reset (exchange->caller);
  exchange->context->exchanges--;
  g_ptr_array_unref (exchange->tried);
  gw_routes_unref (exchange->routes);
  g_string_free (exchange->headers, TRUE);
  g_byte_array_unref (exchange->body);
  g_byte_array_unref (exchange->response_body);
  g_string_free (exchange->response_headers, TRUE);
  g_string_free (exchange->reason, TRUE);
  g_string_free (exchange->partial_event, TRUE);
  g_free (exchange->service_name);
  g_free (exchange->id);
  g_free (exchange->method);
  g_free (exchange->target);
  g_free (exchange->last_event_id);
  uv_close ((uv_handle_t *)&exchange->timer, on_timer_closed_);
}

/* Charges the team for the prompt, once, if the request may have run, and for each event received
 * the maximum number of tokens that an event can carry. */
static void
settle_ (struct gw_exchange *exchange)
{
  int64_t output = 0;

  if (exchange->parts == NULL || exchange->team == NULL)
    return;
  if (exchange->service != NULL)
    output = (int64_t)exchange->scan.events * exchange->service->tokens_per_event;
  /* An event that was cut off may count as delivered. */
  if (exchange->scan.has_content || exchange->scan.line_length > 0)
    output += exchange->service == NULL ? 1 : exchange->service->tokens_per_event;
  output = MIN (output, exchange->prompt.output_tokens_max);
  exchange->used_tokens = exchange->runs > 0 ? exchange->prompt.input_tokens + output : 0;
  allotment_manager_settle (exchange->context->allotments, exchange->team->name->str,
                            exchange->parts, exchange->used_tokens, g_get_monotonic_time ());
  exchange->parts = NULL;
}

static void
on_timer_closed_ (uv_handle_t *handle)
{
  g_free (handle->data);
}
