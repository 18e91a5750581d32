#include "gateway/exchange-private.h"

#include "base/event-log.h"
#include "gateway/pace.h"

#include <string.h>

enum
{
  HTTP_MISDIRECTED = 421,
  EVENT_MAX_BYTES = 262144, /* far above what any event of the field carries */
  EVENTS_SPARE = 2,         /* beyond one for each token: a server may end its stream with one */
  PLAIN_BUFFER_MAX_BYTES = 262144, /* a plain answer is kept back until it is whole up to this */
  CALLER_QUEUE_MAX_BYTES = 131072, /* a slow reader stops the backend server beyond this */
  LEFT_MIN_MS = 5,                 /* with less time left nothing can be answered */
  QUIET_MIN_MS = 300,              /* a repeatable request is tried elsewhere after this, */
  QUIET_PER_OBJECTIVE = 3,         /* or after this many latency objectives, if that is longer */
  STREAM_QUIET_MS = 1500,          /* a resumable stream moves on when its server is this silent */
  STREAM_LOOK_MS = 500,            /* between looks whether it is */
  BUSY_LOOK_MS = 100,              /* the same, while the own link makes all of them quiet */
  ATTEMPTS_MAX = 4                 /* whatever a route allows */
};

static int64_t answered_since_us_ (const struct gw_context *context, int64_t now_us);
static void send_ (struct gw_exchange *exchange);
static void on_ready_ (void *user);
static void on_head_ (void *user,
                      const struct net_http_head *head,
                      const struct gw_answer *answer,
                      const GString *headers);
static void note_replaced_ (struct gw_exchange *exchange, int64_t now_us);
static void on_body_ (void *user, const char *data, size_t length);
static void on_complete_ (void *user);
static void on_failed_ (void *user, enum gw_upstream_failure failure);
static bool has_too_much_ (const struct gw_exchange *exchange, size_t added);
static void
end_failed_attempt_ (struct gw_exchange *exchange, const char *reason, enum gw_place_end end);
static void try_again_or_end_ (struct gw_exchange *exchange, bool sent, const char *reason);
static bool is_servers_delay_ (const struct gw_exchange *exchange);
static bool may_try_again_ (struct gw_exchange *exchange, bool executed);
static bool is_repeatable_ (const struct gw_exchange *exchange);
static void begin_answer_ (struct gw_exchange *exchange);
static void forward_ (struct gw_exchange *exchange, const char *data, size_t length);
static void on_timer_ (uv_timer_t *timer);

static const struct gw_upstream_user_vtable upstream_vtable_ = {
  .ready = on_ready_,
  .head = on_head_,
  .body = on_body_,
  .complete = on_complete_,
  .failed = on_failed_,
};

static struct sr_counter answered_counter_ = { .name = "sapphirerun_requests_answered_total",
                                               .help = "Requests answered by a backend server." };
static struct sr_counter attempts_counter_
    = { .name = "sapphirerun_attempts_total", .help = "Requests sent to backend servers." };
static struct sr_histogram first_histogram_
    = { .name = "sapphirerun_first_byte_microseconds",
        .help = "From a request's arrival to its answer's first byte." };
/* Makes the counters of attempts known, once at start. */
void
gw_exchange_register_attempt_metrics_ (void)
{
  sr_counter_register (&attempts_counter_);
  sr_counter_register (&answered_counter_);
  sr_histogram_register (&first_histogram_);
}

/* Returns what a connection to a backend server tells an exchange. */
const struct gw_upstream_user_vtable *
gw_exchange_upstream_vtable_ (void)
{
  return &upstream_vtable_;
}

/* Chooses a backend server and takes a connection to it. */
void
gw_exchange_place_ (struct gw_exchange *exchange)
{
  struct gw_context *context = exchange->context;
  int64_t now_us = g_get_monotonic_time ();
  const struct gw_place_query query = {
    .backends = gw_backends_of (context->backends, exchange->service_name),
    .service = exchange->service,
    .prompt = &exchange->prompt,
    .data_centre = context->data_centre,
    .connect_ms = (double)gw_link_load_delay_ms (&context->link, now_us),
    .part_memory_us = context->part_memory_us,
    .excluded = exchange->tried,
    .answered_since_us = answered_since_us_ (context, now_us),
    .now_us = now_us,
  };
  struct gw_upstream_options options = {
    .loop = context->loop,
    .dialect = context->dialect,
    .link = &context->link,
    .backends = context->backends,
    .request_id = exchange->id,
    .prefers_new = !is_repeatable_ (exchange),
    .user = exchange,
  };
  struct gw_place *place = &exchange->place;
  enum gw_place_verdict verdict;

  if (exchange->end_us != INT64_MAX && exchange->end_us - now_us < LEFT_MIN_MS * GW_US_PER_MS)
    {
      gw_exchange_refuse_for_ (
          exchange, exchange->runs > 0 ? 504 : 503, GW_RETURN_ELSEWHERE, "no_time_left",
          json_pack ("{s:I}", "left_ms", (json_int_t)((exchange->end_us - now_us) / GW_US_PER_MS)));
      return;
    }
  verdict = gw_place_pick (&query, context->random, place);
  if (verdict == GW_PLACE_PAUSED)
    {
      gw_exchange_refuse_for_ (exchange, exchange->runs > 0 ? 502 : 503, GW_RETURN_PAUSE,
                               "all_paused",
                               json_pack ("{s:I}", "paused_ms", (json_int_t)place->paused_ms));
      return;
    }
  if (verdict == GW_PLACE_UNHEARD)
    {
      gw_exchange_refuse_for_ (
          exchange, exchange->runs > 0 ? 502 : 503, GW_RETURN_ELSEWHERE, "backends_unheard",
          json_pack ("{s:I}", "store_out_ms",
                     (json_int_t)((now_us - context->store_out_since_us) / GW_US_PER_MS)));
      return;
    }
  if (verdict == GW_PLACE_NONE || verdict == GW_PLACE_FULL)
    {
      gw_exchange_refuse_for_ (exchange, exchange->runs > 0 ? 502 : 503, GW_RETURN_PLACES,
                               verdict == GW_PLACE_NONE ? "no_backend" : "all_full",
                               json_pack ("{s:i,s:i,s:f}", "backends",
                                          query.backends == NULL ? 0 : (int)query.backends->len,
                                          "tried", (int)exchange->tried->len, "expected_ms",
                                          place->expected_ms));
      return;
    }
  exchange->backend = gw_backend_ref (place->backend);
  exchange->unread_tokens = place->unread_tokens;
  exchange->memory_tokens = exchange->prompt.is_stated
                                ? exchange->prompt.input_tokens + exchange->prompt.output_tokens_max
                                : 0;
  gw_place_begin (place, &query, exchange->memory_tokens);
  exchange->state = EXCHANGE_CONNECTING;
  options.backend = place->backend;
  exchange->upstream = gw_upstream_open (&options);
  if (exchange->upstream == NULL)
    on_failed_ (exchange, GW_UPSTREAM_NOT_CONNECTED);
  else if (gw_upstream_is_ready (exchange->upstream))
    send_ (exchange);
}

static void
send_ (struct gw_exchange *exchange)
{
  int64_t now_us = g_get_monotonic_time ();
  struct gw_send send = {
    .method = net_text_of (exchange->method),
    .target = net_text_of (exchange->target),
    .headers = exchange->headers,
    .backend = exchange->backend->facts.id,
    .team = exchange->team == NULL ? NULL : exchange->team->name->str,
    .left_ms
    = exchange->end_us == INT64_MAX ? 0 : MAX ((exchange->end_us - now_us) / GW_US_PER_MS, 1),
    .body_length = exchange->body->len,
    .has_body = exchange->has_body,
  };
  GString *head = g_string_sized_new (1024);
  struct net_text parts[2];

  if (exchange->scan.last_id[0] != '\0')
    send.last_event_id = net_text_of (exchange->scan.last_id);
  else if (exchange->resume_id != NULL)
    send.last_event_id = net_text_of (exchange->resume_id);
  exchange->context->dialect->encode_send (&send, head);
  parts[0] = (struct net_text){ head->str, head->len };
  parts[1] = (struct net_text){ (const char *)exchange->body->data, exchange->body->len };
  exchange->state = EXCHANGE_SENT;
  exchange->sent_us = now_us;
  exchange->heard_event = false;
  exchange->runs++;
  exchange->attempts++;
  sr_counter_add (&attempts_counter_, 1);
  sr_event (SR_EVENT_INFO, "request_sent", "{s:s,s:s,s:I,s:s,s:i,s:I,s:I,s:I,s:f,s:i,s:i,s:I}",
            "request", exchange->id, "team",
            exchange->team == NULL ? "" : exchange->team->name->str, "reserved",
            (json_int_t)exchange->reserved, "backend", exchange->backend->facts.id, "attempt",
            (int)exchange->attempts, "left_ms", (json_int_t)send.left_ms, "unread_tokens",
            (json_int_t)exchange->unread_tokens, "after_us",
            (json_int_t)(now_us - exchange->arrived_us), "expected_ms", exchange->place.expected_ms,
            "in_flight", (int)exchange->place.in_flight, "reported", (int)exchange->place.reported,
            "report_age_ms", (json_int_t)exchange->place.report_age_ms);
  gw_upstream_send (exchange->upstream, parts, exchange->body->len > 0 ? 2 : 1,
                    strcmp (exchange->method, "HEAD") == 0);
  g_string_free (head, TRUE);
  gw_exchange_set_timer_ (exchange);
}

/* Behind a full link of its own an instance hears neither the store nor other instances: a backend
 * server may be leaving unless it has answered lately without saying so. Returns since when it must
 * have, or 0 when the store is heard, or is away for other reasons. */
static int64_t
answered_since_us_ (const struct gw_context *context, int64_t now_us)
{
  int64_t span_us = context->leave_us / 2;

  if (context->store_out_since_us == 0 || now_us - context->store_out_since_us < span_us
      || !gw_link_load_is_congested (&context->link, now_us))
    return 0;
  return now_us - span_us;
}

/* The backend server may have turned another request away while the connection was made. */
static void
on_ready_ (void *user)
{
  struct gw_exchange *exchange = user;

  if (!gw_place_is_paused (exchange->backend, g_get_monotonic_time ()))
    {
      send_ (exchange);
      return;
    }
  gw_exchange_end_attempt_ (exchange, GW_PLACE_END_ABANDONED);
  gw_exchange_place_ (exchange);
}

static void
on_head_ (void *user,
          const struct net_http_head *head,
          const struct gw_answer *answer,
          const GString *headers)
{
  struct gw_exchange *exchange = user;
  int64_t now_us = g_get_monotonic_time ();
  bool failed = head->status >= 500 || answer->is_encoded;

  gw_place_first_byte (exchange->backend, exchange->unread_tokens, now_us);
  exchange->unread_tokens = 0;
  if (answer->not_executed)
    {
      sr_event (SR_EVENT_FAILURE, "request_not_executed", "{s:s,s:s,s:i}", "request", exchange->id,
                "backend", exchange->backend->facts.id, "status", (int)head->status);
      exchange->runs--;
      if (head->status == HTTP_MISDIRECTED)
        note_replaced_ (exchange, now_us);
      gw_exchange_end_attempt_ (exchange, head->status == HTTP_MISDIRECTED
                                              ? GW_PLACE_END_MISDIRECTED
                                              : GW_PLACE_END_NOT_EXECUTED);
      if (may_try_again_ (exchange, false))
        gw_exchange_place_ (exchange);
      else if (exchange->began)
        gw_exchange_finish_ (exchange, "not_resumed", false);
      else
        gw_exchange_refuse_ (exchange, exchange->runs > 0 ? 502 : 503, GW_RETURN_PLACES,
                             "not_executed");
      return;
    }
  if ((failed || (exchange->began && head->status != 200)) && may_try_again_ (exchange, true))
    {
      sr_event (SR_EVENT_INFO, "request_repeated", "{s:s,s:s,s:i}", "request", exchange->id,
                "backend", exchange->backend->facts.id, "status", (int)head->status);
      gw_exchange_end_attempt_ (exchange, GW_PLACE_END_ERROR);
      gw_exchange_place_ (exchange);
      return;
    }
  if (exchange->began && head->status != 200)
    {
      gw_exchange_end_attempt_ (exchange, GW_PLACE_END_ERROR);
      gw_exchange_finish_ (exchange, "not_resumed", false);
      return;
    }
  /* These promise that the request has not run, which this backend server does not say. */
  if (answer->is_encoded || head->status == 429 || head->status == 503 || head->status == 408)
    {
      gw_exchange_end_attempt_ (exchange, GW_PLACE_END_ERROR);
      gw_exchange_refuse_ (exchange, 502, GW_RETURN_PLACES,
                           answer->is_encoded ? "encoded_answer" : "unclear_answer");
      return;
    }
  exchange->status = head->status;
  exchange->is_events = answer->is_events;
  exchange->answer_has_length = head->has_length;
  exchange->answer_length = head->length;
  exchange->answer_ends_with_connection = head->ends_with_connection;
  exchange->first_us = now_us;
  sr_histogram_observe (&first_histogram_, now_us - exchange->arrived_us);
  if (exchange->began)
    {
      exchange->state = EXCHANGE_ANSWERING; /* a resumed stream goes on under its first head */
      return;
    }
  g_string_truncate (exchange->reason, 0);
  g_string_append_len (exchange->reason, head->reason.data, (gssize)head->reason.length);
  g_string_assign (exchange->answer_headers, headers->str);
  g_byte_array_set_size (exchange->answer_body, 0);
  if (exchange->is_events)
    {
      begin_answer_ (exchange);
      gw_exchange_set_timer_ (exchange);
    }
}

/* The entry of the backend server may stay for as long as the store is away, and each instance
 * would find out for itself. */
static void
note_replaced_ (struct gw_exchange *exchange, int64_t now_us)
{
  struct gw_context *context = exchange->context;

  if (!gw_place_set_replaced (exchange->backend, now_us))
    return;
  sr_event (SR_EVENT_INFO, "backend_replaced", "{s:s,s:s}", "backend", exchange->backend->facts.id,
            "request", exchange->id);
  context->tell_replaced (context, exchange->backend);
}

static void
on_body_ (void *user, const char *data, size_t length)
{
  struct gw_exchange *exchange = user;
  int64_t now_us = g_get_monotonic_time ();
  size_t complete;

  gw_place_heard (exchange->backend, now_us);
  if (exchange->is_events && !exchange->heard_event)
    {
      exchange->heard_event = true;
      gw_pace_note_reading (exchange->backend->pace, exchange->place.queued_tokens,
                            now_us - exchange->sent_us);
    }
  if (!exchange->is_events)
    {
      if (exchange->began)
        {
          forward_ (exchange, data, length);
          return;
        }
      g_byte_array_append (exchange->answer_body, (const guint8 *)data, (guint)length);
      if (exchange->answer_body->len > PLAIN_BUFFER_MAX_BYTES)
        {
          begin_answer_ (exchange);
          forward_ (exchange, (const char *)exchange->answer_body->data,
                    exchange->answer_body->len);
        }
      return;
    }
  complete = gw_event_scan_feed (&exchange->scan, data, length);
  if (has_too_much_ (exchange, length - complete))
    {
      end_failed_attempt_ (exchange, "endless", GW_PLACE_END_BROKEN);
      try_again_or_end_ (exchange, true, "endless_answer");
      return;
    }
  if (!exchange->route->resumable)
    {
      forward_ (exchange, data, length);
      return;
    }
  /* Only whole events, so that another backend server can go on after the last one. */
  if (complete > 0)
    {
      if (exchange->tail->len > 0)
        {
          g_string_append_len (exchange->tail, data, (gssize)complete);
          forward_ (exchange, exchange->tail->str, exchange->tail->len);
          g_string_truncate (exchange->tail, 0);
        }
      else
        forward_ (exchange, data, complete);
    }
  g_string_append_len (exchange->tail, data + complete, (gssize)(length - complete));
}

/* Tells whether the stream is none: more events than tokens were asked for, or one that does not
 * end, of which ADDED bytes have just come. */
static bool
has_too_much_ (const struct gw_exchange *exchange, size_t added)
{
  const struct gw_prompt *prompt = &exchange->prompt;

  return (prompt->is_stated
          && (int64_t)exchange->scan.events > prompt->output_tokens_max + EVENTS_SPARE)
         || exchange->tail->len + added > EVENT_MAX_BYTES;
}

static void
on_complete_ (void *user)
{
  struct gw_exchange *exchange = user;

  exchange->upstream = NULL;
  if (!exchange->began)
    {
      exchange->answer_has_length = !exchange->answer_ends_with_connection;
      if (strcmp (exchange->method, "HEAD") != 0)
        exchange->answer_length = exchange->answer_body->len;
      begin_answer_ (exchange);
      if (exchange->answer_body->len > 0)
        forward_ (exchange, (const char *)exchange->answer_body->data, exchange->answer_body->len);
    }
  else if (exchange->tail->len > 0)
    forward_ (exchange, exchange->tail->str, exchange->tail->len);
  if (exchange->status < 300)
    gw_pace_note_answer (exchange->backend->pace, g_get_monotonic_time () - exchange->sent_us);
  gw_exchange_end_attempt_ (exchange,
                            exchange->status >= 500 ? GW_PLACE_END_ERROR : GW_PLACE_END_OK);
  sr_counter_add (&answered_counter_, 1);
  gw_exchange_finish_ (exchange, "answered", true);
}

static void
on_failed_ (void *user, enum gw_upstream_failure failure)
{
  struct gw_exchange *exchange = user;
  bool sent = exchange->state != EXCHANGE_CONNECTING;

  exchange->upstream = NULL;
  end_failed_attempt_ (exchange, gw_upstream_failure_to_string (failure),
                       failure == GW_UPSTREAM_LINK_BUSY ? GW_PLACE_END_ABANDONED
                                                        : GW_PLACE_END_BROKEN);
  if (failure == GW_UPSTREAM_LINK_BUSY && exchange->runs == 0)
    {
      gw_exchange_refuse_ (exchange, 503, GW_RETURN_ELSEWHERE,
                           gw_upstream_failure_to_string (failure));
      return;
    }
  if (!sent && exchange->tried->len < ATTEMPTS_MAX)
    {
      gw_exchange_place_ (exchange);
      return;
    }
  try_again_or_end_ (exchange, sent, gw_upstream_failure_to_string (failure));
}

/* Ends the attempt, which has failed for REASON, and forgets an event that is not complete. */
static void
end_failed_attempt_ (struct gw_exchange *exchange, const char *reason, enum gw_place_end end)
{
  sr_event (SR_EVENT_FAILURE, "attempt_failed", "{s:s,s:s,s:s,s:s,s:i}", "request", exchange->id,
            "backend", exchange->backend->facts.id, "state",
            gw_exchange_state_to_string_ (exchange->state), "reason", reason, "events",
            (int)exchange->scan.events);
  gw_exchange_end_attempt_ (exchange, end);
  g_string_truncate (exchange->tail, 0);
  exchange->scan.line_length = 0;
  exchange->scan.has_content = false;
}

/* Sends the request to another backend server where that is allowed, or ends it for REASON. SENT:
 * the last one may have run it. */
static void
try_again_or_end_ (struct gw_exchange *exchange, bool sent, const char *reason)
{
  if (may_try_again_ (exchange, sent))
    gw_exchange_place_ (exchange);
  else if (exchange->began)
    gw_exchange_finish_ (exchange, "cut", false);
  else
    gw_exchange_refuse_ (exchange, exchange->runs > 0 ? 502 : 503, GW_RETURN_PLACES, reason);
}

/* Tells whether the request may be sent to another backend server, and takes that from the retry
 * budget. EXECUTED: the last one may have run it. */
static bool
may_try_again_ (struct gw_exchange *exchange, bool executed)
{
  struct gw_context *context = exchange->context;

  if (executed && !is_repeatable_ (exchange))
    return false;
  if (exchange->began && (!exchange->is_events || !exchange->route->resumable))
    return false;
  if (exchange->attempts >= MIN (exchange->route->attempts_max, (unsigned)ATTEMPTS_MAX))
    return false;
  return gw_retry_budget_take (gw_context_retry_budget (context, exchange->service_name),
                               context->instances, g_get_monotonic_time ());
}

static bool
is_repeatable_ (const struct gw_exchange *exchange)
{
  return exchange->route->kind == GW_ROUTE_REPEATABLE
         || (exchange->route->kind == GW_ROUTE_STREAM && exchange->route->resumable);
}

/* The connection of the attempt is given up, unless it is gone already, and the place with it. */
void
gw_exchange_end_attempt_ (struct gw_exchange *exchange, enum gw_place_end end)
{
  if (exchange->upstream != NULL)
    gw_upstream_abandon (exchange->upstream);
  exchange->upstream = NULL;
  exchange->paused = false;
  gw_place_finish (exchange->backend, exchange->unread_tokens, exchange->memory_tokens, end,
                   g_get_monotonic_time ());
  exchange->unread_tokens = 0;
  g_ptr_array_add (exchange->tried, exchange->backend);
  exchange->backend = NULL;
}

static void
begin_answer_ (struct gw_exchange *exchange)
{
  const struct gw_reply reply = {
    .status = exchange->status,
    .reason = { exchange->reason->str, exchange->reason->len },
    .headers = { exchange->answer_headers->str, exchange->answer_headers->len },
    .has_length = exchange->answer_has_length && !exchange->is_events,
    .length = exchange->answer_length,
    .ends_with_connection = exchange->answer_ends_with_connection,
  };

  exchange->state = EXCHANGE_ANSWERING;
  exchange->began = true;
  (*exchange->asker)->begin (exchange->asker, &reply);
}

static void
forward_ (struct gw_exchange *exchange, const char *data, size_t length)
{
  const struct net_text part = { data, length };

  (*exchange->asker)->body (exchange->asker, &part, 1);
  if (exchange->upstream != NULL && !exchange->paused
      && (*exchange->asker)->queued (exchange->asker) > CALLER_QUEUE_MAX_BYTES)
    {
      exchange->paused = true;
      gw_upstream_pause (exchange->upstream, true);
    }
}

/* Arms the timer for the end of the request's time, or for the next look at a quiet server. */
void
gw_exchange_set_timer_ (struct gw_exchange *exchange)
{
  int64_t now_us = g_get_monotonic_time ();
  int64_t due_us = exchange->end_us;

  if (exchange->state == EXCHANGE_SENT && exchange->route->kind == GW_ROUTE_REPEATABLE)
    due_us = MIN (due_us, exchange->sent_us
                              + MAX (QUIET_PER_OBJECTIVE * (int64_t)exchange->route->objective_ms,
                                     QUIET_MIN_MS)
                                    * GW_US_PER_MS);
  if ((exchange->state == EXCHANGE_SENT || exchange->state == EXCHANGE_ANSWERING)
      && exchange->route->kind == GW_ROUTE_STREAM && exchange->route->resumable)
    due_us = MIN (due_us, now_us + STREAM_LOOK_MS * GW_US_PER_MS);
  if (due_us == INT64_MAX)
    return;
  uv_timer_start (&exchange->timer, on_timer_,
                  (uint64_t)MAX ((due_us - now_us + GW_US_PER_MS - 1) / GW_US_PER_MS, 0), 0);
}

/* Tells whether it is the backend server that has not answered in time: not a caller who reads
 * slowly, and not a stream, which may be long. */
static bool
is_servers_delay_ (const struct gw_exchange *exchange)
{
  if (exchange->state == EXCHANGE_CONNECTING)
    return false;
  return !exchange->began || (!exchange->is_events && !exchange->paused);
}

static void
on_timer_ (uv_timer_t *timer)
{
  struct gw_exchange *exchange = timer->data;
  int64_t now_us = g_get_monotonic_time ();
  bool is_quiet = false;

  if (now_us >= exchange->end_us)
    {
      if (exchange->state == EXCHANGE_RESERVING)
        allotment_cancel (exchange->context->book, exchange->team->name->str, exchange);
      if (exchange->backend != NULL)
        gw_exchange_end_attempt_ (exchange, is_servers_delay_ (exchange) ? GW_PLACE_END_BROKEN
                                                                         : GW_PLACE_END_ABANDONED);
      if (exchange->began)
        gw_exchange_finish_ (exchange, "timeout", false);
      else
        gw_exchange_refuse_ (exchange, exchange->runs > 0 ? 504 : 503, GW_RETURN_PLACES, "timeout");
      return;
    }
  if (exchange->state == EXCHANGE_SENT && exchange->route->kind == GW_ROUTE_REPEATABLE)
    is_quiet = true;
  else if (exchange->backend != NULL && exchange->route->resumable)
    is_quiet
        = gw_place_is_silent (exchange->backend, now_us)
          && now_us - MAX (exchange->sent_us, exchange->first_us) >= STREAM_QUIET_MS * GW_US_PER_MS;
  /* Behind the own link every backend server is quiet. */
  if (is_quiet && gw_link_load_is_congested (&exchange->context->link, now_us))
    {
      uv_timer_start (&exchange->timer, on_timer_,
                      (uint64_t)MIN (BUSY_LOOK_MS, (exchange->end_us - now_us) / GW_US_PER_MS + 1),
                      0);
      return;
    }
  if (is_quiet && may_try_again_ (exchange, true))
    {
      end_failed_attempt_ (exchange, "silent", GW_PLACE_END_BROKEN);
      gw_exchange_place_ (exchange);
      return;
    }
  if (is_quiet && exchange->route->kind == GW_ROUTE_REPEATABLE && exchange->end_us != INT64_MAX)
    uv_timer_start (&exchange->timer, on_timer_,
                    (uint64_t)((exchange->end_us - now_us) / GW_US_PER_MS + 1), 0);
  else
    gw_exchange_set_timer_ (exchange);
}
