#include "gateway/exchange.h"

#include "base/counters.h"
#include "base/event-log.h"
#include "gateway/event-scan.h"
#include "gateway/upstream.h"

#include <string.h>

enum
{
  US_PER_MS = 1000,
  PLAIN_BUFFER_MAX_BYTES = 262144, /* a plain answer is kept back until it is whole up to this */
  CALLER_QUEUE_MAX_BYTES = 131072, /* a slow reader stops the backend server beyond this */
  LEFT_MIN_MS = 5,                 /* with less time left nothing can be answered */
  QUIET_MIN_MS = 300,              /* a repeatable request is tried elsewhere after this, */
  QUIET_PER_OBJECTIVE = 3,         /* or after this many latency objectives, if that is longer */
  STREAM_QUIET_MS = 1500,          /* a resumable stream moves on when its server is this silent */
  STREAM_LOOK_MS = 500,            /* between looks whether it is */
  STOPPING_STREAMS_MS = 3000,      /* a stream that begins later would outlast a planned stop */
  ATTEMPTS_MAX = 4                 /* whatever a route allows */
};

/* Seconds after which a refused caller may return: spread, so that they do not return together. */
static const double RETRY_AT_ONCE_S = 0.02; /* another instance has room */
static const double RETRY_SOON_S = 0.25;
static const double RETRY_BUDGET_S = 1.0;
/* Tokens that are out of reach come back with the store, after seconds; a caller with less time
 * left returns sooner by itself. */
static const double RETRY_OUTAGE_S = 4.0;

enum gw_exchange_state
{
  EXCHANGE_READING,    /* the caller's request is not whole yet */
  EXCHANGE_RESERVING,  /* waits for tokens */
  EXCHANGE_CONNECTING, /* waits for a connection to the chosen backend server */
  EXCHANGE_SENT,       /* waits for the answer */
  EXCHANGE_ANSWERING,  /* the answer is on its way to the caller */
  EXCHANGE_ENDED
};

static const char *const state_names_[] = {
  [EXCHANGE_READING] = "reading",       [EXCHANGE_RESERVING] = "reserving",
  [EXCHANGE_CONNECTING] = "connecting", [EXCHANGE_SENT] = "sent",
  [EXCHANGE_ANSWERING] = "answering",   [EXCHANGE_ENDED] = "ended",
};

struct gw_exchange
{
  const struct gw_upstream_user_vtable *upstream_vtable; /* first: the connection's user */
  struct gw_context *context;
  const struct gw_asker_vtable **asker;
  enum gw_exchange_state state;
  struct gw_routes *routes;
  const struct gw_route *route;
  const struct gw_team *team; /* NULL on a public route */
  const struct gw_service *service;
  char *service_name;
  char *id;
  char *method;
  char *target;
  GString *headers;
  char *resume_id; /* where the caller wants the stream to go on */
  struct gw_prompt prompt;
  GByteArray *body;
  bool has_body;
  int64_t arrived_us;
  int64_t end_us; /* the caller's deadline or the route's timeout */
  uv_timer_t timer;
  /* Tokens. */
  int64_t reserved;
  int64_t used;
  GArray *parts;
  unsigned runs; /* backend servers that may have run it */
  /* The attempt in progress. */
  unsigned attempts;
  struct gw_upstream *upstream;
  struct gw_backend *backend;
  int64_t unread_tokens;
  int64_t memory_tokens;
  int64_t sent_us;
  GPtrArray *tried; /* struct gw_backend, with references */
  /* The answer. */
  unsigned status;
  GString *reason;
  GString *answer_headers;
  bool answer_has_length;
  bool answer_ends_with_connection;
  uint64_t answer_length;
  GByteArray *answer_body; /* a plain answer that is kept back */
  bool is_events;
  bool began; /* the caller has the head of the answer */
  bool paused;
  struct gw_event_scan scan;
  GString *tail; /* the beginning of an event that is not complete */
  int64_t first_us;
};

static void on_ready_ (void *user);
static void on_head_ (void *user,
                      const struct net_http_head *head,
                      const struct gw_answer *answer,
                      const GString *headers);
static void on_body_ (void *user, const char *data, size_t length);
static void on_complete_ (void *user);
static void on_failed_ (void *user, enum gw_upstream_failure failure);
static void on_reserved_ (enum allotment_verdict verdict, GArray *parts, void *data);
static void on_timer_ (uv_timer_t *timer);
static void on_timer_closed_ (uv_handle_t *handle);
static void set_timer_ (struct gw_exchange *exchange);
static bool admit_ (struct gw_exchange *exchange, const struct gw_ask *ask);
static bool outlasts_stop_ (const struct gw_exchange *exchange);
static void place_ (struct gw_exchange *exchange);
static void send_ (struct gw_exchange *exchange);
static void end_attempt_ (struct gw_exchange *exchange, enum gw_place_end end);
static bool may_try_again_ (struct gw_exchange *exchange, bool executed);
static bool is_repeatable_ (const struct gw_exchange *exchange);
static void begin_answer_ (struct gw_exchange *exchange);
static void forward_ (struct gw_exchange *exchange, const char *data, size_t length);
static void
refuse_ (struct gw_exchange *exchange, unsigned status, double after_s, const char *why);
static void finish_ (struct gw_exchange *exchange, const char *outcome, bool whole);
static void settle_ (struct gw_exchange *exchange);
static const char *reason_of_ (unsigned status);

static const struct gw_upstream_user_vtable upstream_vtable_ = {
  .ready = on_ready_,
  .head = on_head_,
  .body = on_body_,
  .complete = on_complete_,
  .failed = on_failed_,
};

static struct sr_counter requests_counter_
    = { .name = "sapphirerun_requests_total", .help = "Requests of callers." };
static struct sr_counter answered_counter_ = { .name = "sapphirerun_requests_answered_total",
                                               .help = "Requests answered by a backend server." };
static struct sr_counter refused_counter_ = { .name = "sapphirerun_requests_refused_total",
                                              .help = "Requests refused without running them." };
static struct sr_counter failed_counter_ = { .name = "sapphirerun_requests_failed_total",
                                             .help = "Requests whose answer was lost or cut." };
static struct sr_counter abandoned_counter_
    = { .name = "sapphirerun_requests_abandoned_total", .help = "Requests whose caller left." };
static struct sr_counter attempts_counter_
    = { .name = "sapphirerun_attempts_total", .help = "Requests sent to backend servers." };
static struct sr_histogram first_histogram_
    = { .name = "sapphirerun_first_byte_microseconds",
        .help = "From a request's arrival to its answer's first byte." };
static struct sr_histogram whole_histogram_ = { .name = "sapphirerun_request_microseconds",
                                                .help = "From a request's arrival to its end." };

/* Makes the counters of requests known, once at start. */
void
gw_exchange_register_metrics (void)
{
  sr_counter_register (&requests_counter_);
  sr_counter_register (&answered_counter_);
  sr_counter_register (&refused_counter_);
  sr_counter_register (&failed_counter_);
  sr_counter_register (&abandoned_counter_);
  sr_counter_register (&attempts_counter_);
  sr_histogram_register (&first_histogram_);
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

  exchange->upstream_vtable = &upstream_vtable_;
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
  set_timer_ (exchange);
  return exchange;
}

/* Takes a piece of the caller's body. Returns false when it exceeds the limit: the request is then
 * refused and the exchange gone. */
bool
gw_exchange_body (struct gw_exchange *exchange, const char *data, size_t length)
{
  if (exchange->body->len + length > exchange->routes->limits.body_max_bytes)
    {
      refuse_ (exchange, 413, 0, "body_too_large");
      return false;
    }
  g_byte_array_append (exchange->body, (const guint8 *)data, (guint)length);
  return true;
}

/* The request says that its body exceeds the limit: it is refused and the exchange gone. */
void
gw_exchange_too_large (struct gw_exchange *exchange)
{
  refuse_ (exchange, 413, 0, "body_too_large");
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
      place_ (exchange);
      return;
    }
  exchange->state = EXCHANGE_RESERVING;
  exchange->reserved = exchange->prompt.input_tokens + exchange->prompt.output_tokens_max;
  if (exchange->reserved <= 0)
    {
      place_ (exchange);
      return;
    }
  if (context->book == NULL)
    {
      refuse_ (exchange, 503, RETRY_BUDGET_S, "budgets_not_ready");
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
    end_attempt_ (exchange, GW_PLACE_END_ABANDONED);
  sr_counter_add (&abandoned_counter_, 1);
  finish_ (exchange, "caller_left", false);
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
      refuse_ (exchange, 503, RETRY_BUDGET_S, "no_configuration");
      return false;
    }
  exchange->routes = gw_routes_ref (context->routes);
  if (!ask->is_valid)
    {
      refuse_ (exchange, 400, 0, "malformed");
      return false;
    }
  exchange->route = gw_routes_match (exchange->routes, ask->host, target);
  if (exchange->route == NULL)
    {
      refuse_ (exchange, 404, 0, "no_route");
      return false;
    }
  if (!exchange->route->is_public && g_hash_table_size (exchange->routes->teams) > 0)
    {
      exchange->team = gw_routes_team (exchange->routes, ask->key);
      if (exchange->team == NULL)
        {
          refuse_ (exchange, 401, 0, ask->has_key ? "unknown_key" : "no_key");
          return false;
        }
    }
  service = gw_route_pick_service (exchange->route, g_rand_int (context->random));
  if (service == NULL)
    {
      refuse_ (exchange, 503, RETRY_BUDGET_S, "no_service");
      return false;
    }
  exchange->service_name = g_strdup (service->str);
  exchange->service = gw_routes_service (exchange->routes, service->str);
  limit_ms = exchange->route->timeout_ms;
  if (ask->deadline_ms > 0 && (limit_ms == 0 || ask->deadline_ms < limit_ms))
    limit_ms = ask->deadline_ms;
  exchange->end_us = limit_ms == 0 ? INT64_MAX : exchange->arrived_us + limit_ms * US_PER_MS;
  gw_link_load_note (&context->link, MAX (net_traffic ()->received, net_traffic ()->sent),
                     exchange->arrived_us);
  if (gw_link_load_refuses (&context->link, context->random))
    {
      refuse_ (exchange, 503, RETRY_AT_ONCE_S, "link_full");
      return false;
    }
  if (outlasts_stop_ (exchange))
    {
      refuse_ (exchange, 503, RETRY_SOON_S, "stopping");
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
    return exchange->arrived_us - context->stopping_since_us > STOPPING_STREAMS_MS * US_PER_MS;
  return exchange->end_us > context->stop_by_us;
}

static void
on_reserved_ (enum allotment_verdict verdict, GArray *parts, void *data)
{
  struct gw_exchange *exchange = data;

  exchange->parts = parts;
  switch (verdict)
    {
    case ALLOTMENT_GRANTED:
      place_ (exchange);
      return;
    case ALLOTMENT_EXHAUSTED:
      refuse_ (exchange, 402, 0, "budget_exhausted");
      return;
    case ALLOTMENT_LATER:
      refuse_ (exchange, 503, RETRY_OUTAGE_S, "budget_out_of_reach");
      return;
    }
}

/* Chooses a backend server and takes a connection to it. */
static void
place_ (struct gw_exchange *exchange)
{
  struct gw_context *context = exchange->context;
  int64_t now_us = g_get_monotonic_time ();
  const struct gw_place_query query = {
    .backends = gw_backends_of (context->backends, exchange->service_name),
    .service = exchange->service,
    .prompt = &exchange->prompt,
    .data_centre = context->data_centre,
    .excluded = exchange->tried,
    .now_us = now_us,
  };
  struct gw_upstream_options options = {
    .loop = context->loop,
    .dialect = context->dialect,
    .request_id = exchange->id,
    .prefers_new = !is_repeatable_ (exchange),
    .user = exchange,
  };
  struct gw_place place;
  enum gw_place_verdict verdict;

  if (exchange->end_us != INT64_MAX && exchange->end_us - now_us < LEFT_MIN_MS * US_PER_MS)
    {
      refuse_ (exchange, exchange->runs > 0 ? 504 : 503, RETRY_SOON_S, "no_time_left");
      return;
    }
  verdict = gw_place_pick (&query, context->random, &place);
  if (verdict == GW_PLACE_NONE || verdict == GW_PLACE_FULL)
    {
      refuse_ (exchange, exchange->runs > 0 ? 502 : 503, RETRY_SOON_S,
               verdict == GW_PLACE_NONE ? "no_backend" : "all_full");
      return;
    }
  exchange->backend = gw_backend_ref (place.backend);
  exchange->unread_tokens = place.unread_tokens;
  exchange->memory_tokens = exchange->prompt.is_stated
                                ? exchange->prompt.input_tokens + exchange->prompt.output_tokens_max
                                : 0;
  gw_place_begin (&place, &query, exchange->memory_tokens);
  exchange->state = EXCHANGE_CONNECTING;
  options.backend = place.backend;
  exchange->upstream = gw_upstream_open (&options);
  if (exchange->upstream == NULL)
    on_failed_ (exchange, GW_UPSTREAM_NOT_CONNECTED);
  else if (gw_upstream_is_ready (exchange->upstream))
    send_ (exchange);
}

static void
on_ready_ (void *user)
{
  send_ (user);
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
    .left_ms = exchange->end_us == INT64_MAX ? 0 : MAX ((exchange->end_us - now_us) / US_PER_MS, 1),
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
  exchange->runs++;
  exchange->attempts++;
  sr_counter_add (&attempts_counter_, 1);
  sr_event (SR_EVENT_INFO, "request_sent", "{s:s,s:s,s:I,s:s,s:i,s:I,s:I,s:I}", "request",
            exchange->id, "team", exchange->team == NULL ? "" : exchange->team->name->str,
            "reserved", (json_int_t)exchange->reserved, "backend", exchange->backend->facts.id,
            "attempt", (int)exchange->attempts, "left_ms", (json_int_t)send.left_ms,
            "unread_tokens", (json_int_t)exchange->unread_tokens, "after_us",
            (json_int_t)(now_us - exchange->arrived_us));
  gw_upstream_send (exchange->upstream, parts, exchange->body->len > 0 ? 2 : 1,
                    strcmp (exchange->method, "HEAD") == 0);
  g_string_free (head, TRUE);
  set_timer_ (exchange);
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
      end_attempt_ (exchange, GW_PLACE_END_NOT_EXECUTED);
      if (may_try_again_ (exchange, false))
        place_ (exchange);
      else if (exchange->began)
        finish_ (exchange, "not_resumed", false);
      else
        refuse_ (exchange, exchange->runs > 0 ? 502 : 503, RETRY_SOON_S, "not_executed");
      return;
    }
  if ((failed || (exchange->began && head->status != 200)) && may_try_again_ (exchange, true))
    {
      sr_event (SR_EVENT_INFO, "request_repeated", "{s:s,s:s,s:i}", "request", exchange->id,
                "backend", exchange->backend->facts.id, "status", (int)head->status);
      end_attempt_ (exchange, GW_PLACE_END_ERROR);
      place_ (exchange);
      return;
    }
  if (exchange->began && head->status != 200)
    {
      end_attempt_ (exchange, GW_PLACE_END_ERROR);
      finish_ (exchange, "not_resumed", false);
      return;
    }
  /* These promise that the request has not run, which this backend server does not say. */
  if (answer->is_encoded || head->status == 429 || head->status == 503 || head->status == 408)
    {
      end_attempt_ (exchange, GW_PLACE_END_ERROR);
      refuse_ (exchange, 502, 0, answer->is_encoded ? "encoded_answer" : "unclear_answer");
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
      set_timer_ (exchange);
    }
}

static void
on_body_ (void *user, const char *data, size_t length)
{
  struct gw_exchange *exchange = user;
  size_t complete;

  gw_place_heard (exchange->backend, g_get_monotonic_time ());
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
  end_attempt_ (exchange, exchange->status >= 500 ? GW_PLACE_END_ERROR : GW_PLACE_END_OK);
  sr_counter_add (&answered_counter_, 1);
  finish_ (exchange, "answered", true);
}

static void
on_failed_ (void *user, enum gw_upstream_failure failure)
{
  struct gw_exchange *exchange = user;
  bool sent = exchange->state != EXCHANGE_CONNECTING;

  exchange->upstream = NULL;
  sr_event (SR_EVENT_FAILURE, "attempt_failed", "{s:s,s:s,s:s,s:s,s:i}", "request", exchange->id,
            "backend", exchange->backend->facts.id, "state", state_names_[exchange->state],
            "reason", gw_upstream_failure_to_string (failure), "events",
            (int)exchange->scan.events);
  end_attempt_ (exchange, GW_PLACE_END_BROKEN);
  g_string_truncate (exchange->tail, 0);
  exchange->scan.line_length = 0;
  exchange->scan.has_content = false;
  if (!sent && exchange->tried->len < ATTEMPTS_MAX)
    {
      place_ (exchange);
      return;
    }
  if (may_try_again_ (exchange, sent))
    place_ (exchange);
  else if (exchange->began)
    finish_ (exchange, "cut", false);
  else
    refuse_ (exchange, exchange->runs > 0 ? 502 : 503, RETRY_SOON_S,
             gw_upstream_failure_to_string (failure));
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
static void
end_attempt_ (struct gw_exchange *exchange, enum gw_place_end end)
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
static void
set_timer_ (struct gw_exchange *exchange)
{
  int64_t now_us = g_get_monotonic_time ();
  int64_t due_us = exchange->end_us;

  if (exchange->state == EXCHANGE_SENT && exchange->route->kind == GW_ROUTE_REPEATABLE)
    due_us = MIN (due_us, exchange->sent_us
                              + MAX (QUIET_PER_OBJECTIVE * (int64_t)exchange->route->objective_ms,
                                     QUIET_MIN_MS)
                                    * US_PER_MS);
  if ((exchange->state == EXCHANGE_SENT || exchange->state == EXCHANGE_ANSWERING)
      && exchange->route->kind == GW_ROUTE_STREAM && exchange->route->resumable)
    due_us = MIN (due_us, now_us + STREAM_LOOK_MS * US_PER_MS);
  if (due_us == INT64_MAX)
    return;
  uv_timer_start (&exchange->timer, on_timer_,
                  (uint64_t)MAX ((due_us - now_us + US_PER_MS - 1) / US_PER_MS, 0), 0);
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
        end_attempt_ (exchange, exchange->began || exchange->state == EXCHANGE_CONNECTING
                                    ? GW_PLACE_END_ABANDONED
                                    : GW_PLACE_END_BROKEN);
      if (exchange->began)
        finish_ (exchange, "timeout", false);
      else
        refuse_ (exchange, exchange->runs > 0 ? 504 : 503, RETRY_SOON_S, "timeout");
      return;
    }
  if (exchange->state == EXCHANGE_SENT && exchange->route->kind == GW_ROUTE_REPEATABLE)
    is_quiet = true;
  else if (exchange->backend != NULL && exchange->route->resumable)
    is_quiet
        = gw_place_is_silent (exchange->backend, now_us)
          && now_us - MAX (exchange->sent_us, exchange->first_us) >= STREAM_QUIET_MS * US_PER_MS;
  if (is_quiet && may_try_again_ (exchange, true))
    {
      sr_event (SR_EVENT_FAILURE, "attempt_failed", "{s:s,s:s,s:s,s:s,s:i}", "request",
                exchange->id, "backend", exchange->backend->facts.id, "state",
                state_names_[exchange->state], "reason", "silent", "events",
                (int)exchange->scan.events);
      end_attempt_ (exchange, GW_PLACE_END_BROKEN);
      g_string_truncate (exchange->tail, 0);
      exchange->scan.line_length = 0;
      exchange->scan.has_content = false;
      place_ (exchange);
      return;
    }
  if (is_quiet && exchange->route->kind == GW_ROUTE_REPEATABLE && exchange->end_us != INT64_MAX)
    uv_timer_start (&exchange->timer, on_timer_,
                    (uint64_t)((exchange->end_us - now_us) / US_PER_MS + 1), 0);
  else
    set_timer_ (exchange);
}

/* Ends the request with an answer of our own. Where it may have run, STATUS must not promise that
 * it has not. AFTER_S: when the caller may return. */
static void
refuse_ (struct gw_exchange *exchange, unsigned status, double after_s, const char *why)
{
  struct gw_context *context = exchange->context;
  g_autofree char *body = g_strdup_printf ("{\"error\":\"%s\"}", why);
  GString *headers = g_string_new ("Content-Type: application/json\r\n");
  struct net_text part = net_text_of (body);
  struct gw_reply reply = { .status = status, .has_length = true, .length = part.length };
  bool promises = status == 503;

  g_assert (!exchange->began && !(promises && exchange->runs > 0));
  if (promises)
    {
      char seconds[G_ASCII_DTOSTR_BUF_SIZE];

      after_s *= 0.75 + 0.5 * g_rand_double (context->random);
      g_string_append_printf (headers, "Retry-After: %s\r\n",
                              g_ascii_formatd (seconds, sizeof seconds, "%.2f", after_s));
    }
  reply.reason = net_text_of (reason_of_ (status));
  reply.headers = (struct net_text){ headers->str, headers->len };
  sr_counter_add (exchange->runs > 0 ? &failed_counter_ : &refused_counter_, 1);
  sr_event (SR_EVENT_FAILURE, "request_refused", "{s:s,s:i,s:s,s:s,s:s,s:I,s:I}", "request",
            exchange->id, "status", (int)status, "reason", why, "state",
            state_names_[exchange->state], "team",
            exchange->team == NULL ? "" : exchange->team->name->str, "tokens",
            (json_int_t)exchange->reserved, "configuration",
            (json_int_t)(exchange->routes == NULL ? 0 : exchange->routes->version));
  (*exchange->asker)->begin (exchange->asker, &reply);
  if (strcmp (exchange->method, "HEAD") != 0)
    (*exchange->asker)->body (exchange->asker, &part, 1);
  exchange->status = status;
  finish_ (exchange, "refused", true);
  g_string_free (headers, TRUE);
}

/* Ends the exchange: WHOLE tells whether the caller has a complete answer. */
static void
finish_ (struct gw_exchange *exchange, const char *outcome, bool whole)
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
            state_names_[exchange->state], "status", (int)exchange->status, "attempts",
            (int)exchange->attempts, "events", (json_int_t)exchange->scan.events, "first_us",
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

static const char *
reason_of_ (unsigned status)
{
  switch (status)
    {
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 402:
      return "Payment Required";
    case 404:
      return "Not Found";
    case 413:
      return "Content Too Large";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Error";
    }
}
