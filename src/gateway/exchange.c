#include "gateway/exchange-private.h"

#include "base/event-log.h"
#include "net/http-reply.h"

#include <string.h>

enum
{
  STOPPING_STREAMS_MS = 3000, /* a stream that begins later would outlast a planned stop */
  LOGGED_PATH_BYTES = 64      /* of a path that no route has; the event log has room for 256 KiB */
};

static bool admit_ (struct gw_exchange *exchange, const struct gw_ask *ask);
static bool outlasts_stop_ (const struct gw_exchange *exchange);
static void on_reserved_ (enum allotment_verdict verdict, GArray *parts, void *data);
static json_t *budget_known_ (const struct gw_exchange *exchange);
static json_t *age_of_process_ (const struct gw_context *context);
static json_t *logged_path_ (const char *target);
static double return_after_s_ (const struct gw_exchange *exchange, enum gw_return_cause cause);
static void settle_ (struct gw_exchange *exchange);
static void on_timer_closed_ (uv_handle_t *handle);

static const char *const state_names_[] = {
  [EXCHANGE_READING] = "reading",       [EXCHANGE_RESERVING] = "reserving",
  [EXCHANGE_CONNECTING] = "connecting", [EXCHANGE_SENT] = "sent",
  [EXCHANGE_ANSWERING] = "answering",   [EXCHANGE_ENDED] = "ended",
};

static struct sr_counter requests_counter_
    = { .name = "sapphirerun_requests_total", .help = "Requests of callers." };
static struct sr_counter refused_counter_ = { .name = "sapphirerun_requests_refused_total",
                                              .help = "Requests refused without running them." };
static struct sr_counter failed_counter_ = { .name = "sapphirerun_requests_failed_total",
                                             .help = "Requests whose answer was lost or cut." };
static struct sr_counter abandoned_counter_
    = { .name = "sapphirerun_requests_abandoned_total", .help = "Requests whose caller left." };
static struct sr_histogram whole_histogram_ = { .name = "sapphirerun_request_microseconds",
                                                .help = "From a request's arrival to its end." };

/* Returns the word for STATE in logs. */
const char *
gw_exchange_state_to_string_ (enum gw_exchange_state state)
{
  g_assert ((size_t)state < G_N_ELEMENTS (state_names_));
  return state_names_[state];
}

/* Makes the counters of requests known, once at start. */
void
gw_exchange_register_metrics (void)
{
  gw_exchange_register_attempt_metrics_ ();
  sr_counter_register (&requests_counter_);
  sr_counter_register (&refused_counter_);
  sr_counter_register (&failed_counter_);
  sr_counter_register (&abandoned_counter_);
  sr_histogram_register (&whole_histogram_);
}

/* Begins a request with HEAD of ASKER. HEADERS, which are taken over, are passed on. A request that
 * can't be admitted is refused at once: then NULL is returned. */
struct gw_exchange *
gw_exchange_new (struct gw_context *context,
                 void *asker,
                 const struct net_http_head *head,
                 const struct gw_ask *ask,
                 GString *headers)
{
  struct gw_exchange *exchange = g_new0 (struct gw_exchange, 1);

  exchange->upstream_vtable = gw_exchange_upstream_vtable_ ();
  exchange->context = context;
  exchange->asker = asker;
  exchange->id = g_strndup (ask->id.data, ask->id.length);
  exchange->method = g_strndup (head->method.data, head->method.length);
  exchange->target = g_strndup (head->target.data, head->target.length);
  exchange->headers = headers;
  if (ask->last_event_id.length > 0)
    exchange->resume_id = g_strndup (ask->last_event_id.data, ask->last_event_id.length);
  exchange->prompt = ask->prompt;
  exchange->has_body = head->is_chunked || head->has_length;
  exchange->body_announced = head->has_length ? head->length : 0;
  exchange->body = g_byte_array_new ();
  exchange->arrived_us = g_get_monotonic_time ();
  exchange->tried = g_ptr_array_new_with_free_func ((GDestroyNotify)gw_backend_unref);
  exchange->reason = g_string_new (NULL);
  exchange->answer_headers = g_string_new (NULL);
  exchange->answer_body = g_byte_array_new ();
  exchange->tail = g_string_new (NULL);
  uv_timer_init (context->loop, &exchange->timer);
  exchange->timer.data = exchange;
  context->exchanges++;
  sr_counter_add (&requests_counter_, 1);
  if (!admit_ (exchange, ask))
    return NULL;
  gw_exchange_set_timer_ (exchange);
  return exchange;
}

/* Takes a piece of the caller's body. Returns false when it exceeds the limit: the request is then
 * refused and the exchange gone. */
bool
gw_exchange_body (struct gw_exchange *exchange, const char *data, size_t length)
{
  if (exchange->body->len + length > exchange->routes->limits.body_max_bytes)
    {
      gw_exchange_refuse_ (exchange, 413, GW_RETURN_PLACES, "body_too_large");
      return false;
    }
  g_byte_array_append (exchange->body, (const guint8 *)data, (guint)length);
  return true;
}

/* The request says that its body exceeds the limit: it is refused and the exchange gone. */
void
gw_exchange_too_large (struct gw_exchange *exchange)
{
  gw_exchange_refuse_ (exchange, 413, GW_RETURN_PLACES, "body_too_large");
}

/* The request is whole: its tokens are reserved and it is sent. */
void
gw_exchange_start (struct gw_exchange *exchange)
{
  struct gw_context *context = exchange->context;

  gw_retry_budget_count_request (gw_context_retry_budget (context, exchange->service_name),
                                 g_get_monotonic_time ());
  if (exchange->team == NULL || !exchange->team->is_prepaid || !exchange->prompt.is_stated)
    {
      gw_exchange_place_ (exchange);
      return;
    }
  exchange->state = EXCHANGE_RESERVING;
  exchange->reserved = exchange->prompt.input_tokens + exchange->prompt.output_tokens_max;
  if (exchange->reserved <= 0)
    {
      gw_exchange_place_ (exchange);
      return;
    }
  if (context->book == NULL)
    {
      gw_exchange_refuse_for_ (exchange, 503, GW_RETURN_OUTAGE, "budgets_not_ready",
                               age_of_process_ (context));
      return;
    }
  allotment_reserve (context->book, exchange->team->name->str, exchange->reserved, on_reserved_,
                     exchange, g_get_monotonic_time ());
}

/* The caller has read what was queued. */
void
gw_exchange_drained (struct gw_exchange *exchange)
{
  if (exchange->paused && exchange->upstream != NULL)
    {
      exchange->paused = false;
      gw_upstream_pause (exchange->upstream, false);
    }
}

/* The caller has left: its request is given up, also where it runs. */
void
gw_exchange_abandon (struct gw_exchange *exchange)
{
  exchange->asker = NULL;
  if (exchange->state == EXCHANGE_RESERVING)
    allotment_cancel (exchange->context->book, exchange->team->name->str, exchange);
  if (exchange->upstream != NULL)
    gw_exchange_end_attempt_ (exchange, GW_PLACE_END_ABANDONED);
  sr_counter_add (&abandoned_counter_, 1);
  gw_exchange_finish_ (exchange, "caller_left", false);
}

/* Checks what can be checked before the body. Returns false after refusing. */
static bool
admit_ (struct gw_exchange *exchange, const struct gw_ask *ask)
{
  struct gw_context *context = exchange->context;
  struct net_text target = net_text_of (exchange->target);
  const GString *service;
  int64_t limit_ms;

  if (context->routes == NULL)
    {
      gw_exchange_refuse_for_ (exchange, 503, GW_RETURN_OUTAGE, "no_configuration",
                               age_of_process_ (context));
      return false;
    }
  exchange->routes = gw_routes_ref (context->routes);
  if (!ask->is_valid)
    {
      gw_exchange_refuse_ (exchange, 400, GW_RETURN_PLACES, "malformed");
      return false;
    }
  exchange->route = gw_routes_match (exchange->routes, ask->host, target);
  if (exchange->route == NULL)
    {
      gw_exchange_refuse_for_ (exchange, 404, GW_RETURN_PLACES, "no_route",
                               json_pack ("{s:o}", "path", logged_path_ (exchange->target)));
      return false;
    }
  if (!exchange->route->is_public && g_hash_table_size (exchange->routes->teams) > 0)
    {
      exchange->team = gw_routes_team (exchange->routes, ask->key);
      if (exchange->team == NULL)
        {
          gw_exchange_refuse_for_ (
              exchange, 401, GW_RETURN_PLACES, ask->has_key ? "unknown_key" : "no_key",
              json_pack ("{s:s,s:I}", "route", exchange->route->name->str, "keys",
                         (json_int_t)g_hash_table_size (exchange->routes->teams_by_key)));
          return false;
        }
    }
  service = gw_route_pick_service (exchange->route, g_rand_int (context->random));
  if (service == NULL)
    {
      gw_exchange_refuse_for_ (exchange, 503, GW_RETURN_OUTAGE, "no_service",
                               json_pack ("{s:s}", "route", exchange->route->name->str));
      return false;
    }
  exchange->service_name = g_strdup (service->str);
  exchange->service = gw_routes_service (exchange->routes, service->str);
  limit_ms = exchange->route->timeout_ms;
  if (ask->deadline_ms > 0 && (limit_ms == 0 || ask->deadline_ms < limit_ms))
    limit_ms = ask->deadline_ms;
  exchange->end_us = limit_ms == 0 ? INT64_MAX : exchange->arrived_us + limit_ms * GW_US_PER_MS;
  gw_link_load_note (&context->link, net_traffic (), exchange->arrived_us);
  if (gw_link_load_refuses (&context->link, context->random))
    {
      exchange->refuses_body = true;
      gw_link_load_note_unread (&context->link, exchange->body_announced, exchange->arrived_us);
      gw_exchange_refuse_for_ (
          exchange, 503, GW_RETURN_ELSEWHERE, "link_full",
          json_pack ("{s:f,s:I}", "link_share", gw_link_load_share (&context->link), "delay_ms",
                     (json_int_t)gw_link_load_delay_ms (&context->link, exchange->arrived_us)));
      return false;
    }
  if (outlasts_stop_ (exchange))
    {
      gw_exchange_refuse_for_ (
          exchange, 503, GW_RETURN_ELSEWHERE, "stopping",
          json_pack (
              "{s:I}", "stopping_ms",
              (json_int_t)((exchange->arrived_us - context->stopping_since_us) / GW_US_PER_MS)));
      return false;
    }
  return true;
}

/* Tells whether the instance may be gone before the request is answered. The balancer may send
 * callers here all the while, when too few other instances are ready. */
static bool
outlasts_stop_ (const struct gw_exchange *exchange)
{
  const struct gw_context *context = exchange->context;

  if (!context->stopping)
    return false;
  if (exchange->route->kind == GW_ROUTE_STREAM)
    return exchange->arrived_us - context->stopping_since_us > STOPPING_STREAMS_MS * GW_US_PER_MS;
  return exchange->end_us > context->stop_by_us;
}

/* What this instance knows of the budget of EXCHANGE's team; the record's age is -1 where none has
 * been read. */
static json_t *
budget_known_ (const struct gw_exchange *exchange)
{
  struct allotment_known known;

  allotment_book_known (exchange->context->book, exchange->team->name->str, g_get_monotonic_time (),
                        &known);
  return json_pack ("{s:I,s:I,s:I,s:I,s:b,s:I,s:I,s:s}", "prepaid",
                    (json_int_t)known.prepaid_tokens, "held", (json_int_t)known.available,
                    "record_left", (json_int_t)known.record_left, "record_age_ms",
                    (json_int_t)known.record_age_ms, "store_failed", (int)known.store_is_down,
                    "left_at_most", (json_int_t)known.left_at_most, "left_age_ms",
                    (json_int_t)known.left_age_ms, "left_told_by", known.left_told_by);
}

static json_t *
age_of_process_ (const struct gw_context *context)
{
  return json_pack ("{s:I}", "up_ms",
                    (json_int_t)((g_get_monotonic_time () - context->started_us) / GW_US_PER_MS));
}

/* The path of TARGET, for the log: without its query, of bounded length. */
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
      gw_exchange_place_ (exchange);
      return;
    case ALLOTMENT_EXHAUSTED:
      gw_exchange_refuse_for_ (exchange, 402, GW_RETURN_PLACES, "budget_exhausted",
                               budget_known_ (exchange));
      return;
    case ALLOTMENT_LATER:
      gw_exchange_refuse_for_ (exchange, 503, GW_RETURN_OUTAGE, "budget_out_of_reach",
                               budget_known_ (exchange));
      return;
    }
}

/* Ends the request with an answer of our own. Where it may have run, STATUS must not promise that
 * it has not. CAUSE tells when the caller may return, where the status promises that. */
void
gw_exchange_refuse_ (struct gw_exchange *exchange,
                     unsigned status,
                     enum gw_return_cause cause,
                     const char *why)
{
  gw_exchange_refuse_for_ (exchange, status, cause, why, NULL);
}

/* The same, with what decided it for the log. INPUTS becomes the log's; NULL: the reason says all.
 */
void
gw_exchange_refuse_for_ (struct gw_exchange *exchange,
                         unsigned status,
                         enum gw_return_cause cause,
                         const char *why,
                         json_t *inputs)
{
  g_autofree char *body = g_strdup_printf ("{\"error\":\"%s\"}", why);
  GString *headers = g_string_new ("Content-Type: application/json\r\n");
  struct net_text part = net_text_of (body);
  struct gw_reply reply = { .status = status,
                            .has_length = true,
                            .length = part.length,
                            .refuses_body = exchange->refuses_body };
  bool promises = status == 503;
  double after_s = 0;

  g_assert (!exchange->began && !(promises && exchange->runs > 0));
  if (promises)
    {
      char seconds[G_ASCII_DTOSTR_BUF_SIZE];

      after_s = return_after_s_ (exchange, cause);
      g_string_append_printf (headers, "Retry-After: %s\r\n",
                              g_ascii_formatd (seconds, sizeof seconds, "%.3f", after_s));
    }
  reply.reason = net_text_of (net_http_reason (status));
  reply.headers = (struct net_text){ headers->str, headers->len };
  sr_counter_add (exchange->runs > 0 ? &failed_counter_ : &refused_counter_, 1);
  sr_event (SR_EVENT_FAILURE, "request_refused", "{s:s,s:i,s:s,s:s,s:s,s:I,s:I,s:f,s:o*}",
            "request", exchange->id, "status", (int)status, "reason", why, "state",
            gw_exchange_state_to_string_ (exchange->state), "team",
            exchange->team == NULL ? "" : exchange->team->name->str, "tokens",
            (json_int_t)exchange->reserved, "configuration",
            (json_int_t)(exchange->routes == NULL ? 0 : exchange->routes->version),
            "return_after_s", after_s, "inputs", inputs);
  (*exchange->asker)->begin (exchange->asker, &reply);
  if (strcmp (exchange->method, "HEAD") != 0)
    (*exchange->asker)->body (exchange->asker, &part, 1);
  exchange->status = status;
  gw_exchange_finish_ (exchange, "refused", true);
  g_string_free (headers, TRUE);
}

/* Returns the seconds after which the caller may return: see gw_return_after_s. */
static double
return_after_s_ (const struct gw_exchange *exchange, enum gw_return_cause cause)
{
  const struct gw_context *context = exchange->context;
  int64_t now_us = g_get_monotonic_time ();
  bool is_starting = context->routes == NULL || context->book == NULL;
  int64_t away_since_us = context->store_out_since_us > 0 ? context->store_out_since_us
                          : is_starting                   ? context->started_us
                                                          : now_us;
  struct allotment_known known = { 0 };
  struct gw_return_query query = {
    .cause = cause,
    .answer_ms = gw_backends_answer_ms (context->backends, exchange->service_name),
    .pause_ms = exchange->place.paused_ms,
    .away_ms = (now_us - away_since_us) / GW_US_PER_MS,
    .left_ms = exchange->end_us == INT64_MAX ? 0 : (exchange->end_us - now_us) / GW_US_PER_MS,
  };

  if (exchange->state == EXCHANGE_RESERVING && context->book != NULL)
    allotment_book_known (context->book, exchange->team->name->str, now_us, &known);
  query.opens_ms = known.opens_ms;
  return gw_return_after_s (&query, context->random);
}

/* Ends the exchange: WHOLE tells whether the caller has a complete answer. */
void
gw_exchange_finish_ (struct gw_exchange *exchange, const char *outcome, bool whole)
{
  int64_t now_us = g_get_monotonic_time ();

  g_assert (exchange->state != EXCHANGE_ENDED);
  settle_ (exchange);
  sr_histogram_observe (&whole_histogram_, now_us - exchange->arrived_us);
  if (!whole && exchange->asker != NULL)
    sr_counter_add (&failed_counter_, 1);
  sr_event (whole ? SR_EVENT_INFO : SR_EVENT_FAILURE, "request_ended",
            "{s:s,s:s,s:s,s:I,s:I,s:s,s:i,s:i,s:I,s:I,s:I}", "request", exchange->id, "outcome",
            outcome, "team", exchange->team == NULL ? "" : exchange->team->name->str, "reserved",
            (json_int_t)exchange->reserved, "used", (json_int_t)exchange->used, "state",
            gw_exchange_state_to_string_ (exchange->state), "status", (int)exchange->status,
            "attempts", (int)exchange->attempts, "events", (json_int_t)exchange->scan.events,
            "first_us",
            (json_int_t)(exchange->first_us == 0 ? 0 : exchange->first_us - exchange->arrived_us),
            "took_us", (json_int_t)(now_us - exchange->arrived_us));
  exchange->state = EXCHANGE_ENDED;
  if (exchange->asker != NULL && whole)
    (*exchange->asker)->finish (exchange->asker);
  else if (exchange->asker != NULL)
    (*exchange->asker)->break_off (exchange->asker);
  exchange->context->exchanges--;
  g_ptr_array_unref (exchange->tried);
  gw_routes_unref (exchange->routes);
  g_string_free (exchange->headers, TRUE);
  g_byte_array_unref (exchange->body);
  g_byte_array_unref (exchange->answer_body);
  g_string_free (exchange->answer_headers, TRUE);
  g_string_free (exchange->reason, TRUE);
  g_string_free (exchange->tail, TRUE);
  g_free (exchange->service_name);
  g_free (exchange->id);
  g_free (exchange->method);
  g_free (exchange->target);
  g_free (exchange->resume_id);
  uv_close ((uv_handle_t *)&exchange->timer, on_timer_closed_);
}

/* The prompt counts once when the request may have run, and every event that came for the most it
 * can hold. */
static void
settle_ (struct gw_exchange *exchange)
{
  int64_t output = 0;

  if (exchange->parts == NULL || exchange->team == NULL)
    return;
  if (exchange->service != NULL)
    output = (int64_t)exchange->scan.events * exchange->service->tokens_per_event;
  /* An event that was cut in the middle may count as delivered. */
  if (exchange->scan.has_content || exchange->scan.line_length > 0)
    output += exchange->service == NULL ? 1 : exchange->service->tokens_per_event;
  output = MIN (output, exchange->prompt.output_tokens_max);
  exchange->used = exchange->runs > 0 ? exchange->prompt.input_tokens + output : 0;
  allotment_settle (exchange->context->book, exchange->team->name->str, exchange->parts,
                    exchange->used, g_get_monotonic_time ());
  exchange->parts = NULL;
}

static void
on_timer_closed_ (uv_handle_t *handle)
{
  g_free (handle->data);
}
