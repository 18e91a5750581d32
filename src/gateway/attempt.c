#include "gateway/exchange-private.h"

#include "base/event-log.h"
#include "gateway/end-detector.h"
#include "gateway/latency-model.h"

#include <string.h>

enum
{
  HTTP_MISDIRECTED = 421,
  EVENT_MAX_BYTES = 262144, /* far larger than any event that model servers send */
  EXTRA_EVENTS_MAX
  = 2, /* events allowed beyond the number of tokens: a server may send closing events */
  RESPONSE_BUFFER_MAX_BYTES
  = 262144, /* a response that is not a stream is buffered completely up to this size */
  CALLER_QUEUE_MAX_BYTES = 131072, /* reading from the server pauses while more is queued */
  CALLER_QUEUE_SHORT_BYTES = 8192, /* the same while memory for callers is short */
  RESPONSE_SHORT_BYTES = 16384,    /* up to which a response is buffered then */
  REMAINING_MIN_MS = 5,            /* with less time to the deadline no server can respond */
  RESPONSE_WAIT_MIN_MS = 300,      /* a repeatable request is retried elsewhere after this time */
  RESPONSE_WAIT_OBJECTIVES = 3,    /* or this many latency objectives, if that is longer */
  STREAM_SILENCE_MAX_MS
  = 1500, /* a resumable stream continues on another server after this silence */
  STREAM_CHECK_INTERVAL_MS = 500, /* between checks for a silent server */
  CONGESTED_CHECK_INTERVAL_MS
  = 100,           /* the same while this instance's full link delays all servers */
  ATTEMPTS_MAX = 4 /* upper limit for the attempts that a route allows */
};

static int64_t required_response_since_us_ (const struct gw_context *context, int64_t now_us);
static bool refuse_unplaced_ (struct gw_exchange *exchange,
                              enum gw_placement_verdict verdict,
                              unsigned n_backends);
static void send_request_ (struct gw_exchange *exchange);
static void note_sent_to_cold_ (const struct gw_exchange *exchange, int64_t now_us);
static bool is_withheld_from_cold_ (const struct gw_exchange *exchange);
static void on_ready_ (void *user);
static void on_head_ (void *user,
                      const struct net_http_head *head,
                      const struct gw_response_head *response,
                      const GString *headers);
static void report_replaced_backend_ (struct gw_exchange *exchange, int64_t now_us);
static void on_body_ (void *user, const char *data, size_t length);
static void on_complete_ (void *user);
static void on_failed_ (void *user, enum gw_upstream_failure failure);
static void
forward_events_ (struct gw_exchange *exchange, const char *data, size_t complete, size_t length);
static bool stream_exceeds_limits_ (const struct gw_exchange *exchange, size_t added);
static void end_failed_attempt_ (struct gw_exchange *exchange,
                                 const char *reason,
                                 enum gw_attempt_outcome outcome);
static void end_without_retry_ (struct gw_exchange *exchange, const char *reason);
static void retry_or_end_ (struct gw_exchange *exchange, bool sent, const char *reason);
static bool timeout_is_servers_fault_ (const struct gw_exchange *exchange);
static bool take_retry_ (struct gw_exchange *exchange, bool executed);
static bool is_repeatable_ (const struct gw_exchange *exchange);
static void begin_response_ (struct gw_exchange *exchange);
static void forward_buffered_ (struct gw_exchange *exchange);
static void forward_ (struct gw_exchange *exchange, const char *data, size_t length);
static void
end_unfinished_ (struct gw_exchange *exchange, enum gw_attempt_outcome outcome, const char *reason);
static int64_t response_wait_end_us_ (const struct gw_exchange *exchange);
static void on_timer_ (uv_timer_t *timer);

static const struct gw_upstream_user_vtable upstream_vtable_ = {
  .ready = on_ready_,
  .head = on_head_,
  .body = on_body_,
  .complete = on_complete_,
  .failed = on_failed_,
};

static struct sr_counter responses_counter_ = { .name = "sapphirerun_requests_answered_total",
                                                .help = "Requests answered by a backend server." };
static struct sr_counter attempts_counter_
    = { .name = "sapphirerun_attempts_total", .help = "Requests sent to backend servers." };
static struct sr_counter cold_withheld_counter_
    = { .name = "sapphirerun_cold_withheld_total",
        .help
        = "Selections of a backend server that left out cold ones, and requests not sent to a "
          "selected one because it was cold." };
static struct sr_counter cold_sent_counter_ = { .name = "sapphirerun_cold_requests_total",
                                                .help = "Requests sent to cold backend servers." };
static struct sr_histogram first_byte_histogram_
    = { .name = "sapphirerun_first_byte_microseconds",
        .help = "From a request's arrival to its answer's first byte." };
/* Call once at start. */
void
gw_exchange_register_attempt_metrics_ (void)
{
  sr_counter_register (&attempts_counter_);
  sr_counter_register (&cold_withheld_counter_);
  sr_counter_register (&cold_sent_counter_);
  sr_counter_register (&responses_counter_);
  sr_histogram_register (&first_byte_histogram_);
}

const struct gw_upstream_user_vtable *
gw_exchange_upstream_vtable_ (void)
{
  return &upstream_vtable_;
}

/* Selects a backend server and connects to it, or refuses the request if none can take it. */
void
gw_exchange_start_attempt_ (struct gw_exchange *exchange)
{
  struct gw_context *context = exchange->context;
  int64_t now_us = g_get_monotonic_time ();
  const struct gw_placement_fleet fleet
      = { .instance_hash = context->instance_hash, .instances = MAX (context->instances, 1U) };
  const struct gw_placement_query query = {
    .backends = gw_backends_of_service (context->backends, exchange->service_name),
    .service = exchange->service,
    .prompt = &exchange->prompt,
    .data_centre = context->data_centre,
    .connect_ms = (double)gw_link_load_delay_ms (&context->link, now_us),
    .part_cache_lifetime_us = context->part_cache_lifetime_us,
    .excluded = exchange->tried,
    .responded_since_us = required_response_since_us_ (context, now_us),
    .evacuation = context->evacuation,
    .cold_start = context->cold_start,
    .paced = context->paces_backends ? &fleet : NULL,
    .instances = context->callers_compete ? MAX (context->instances, 1U) : 0,
    .protects_streams = context->callers_compete,
    .rank = gw_request_rank (exchange->route, exchange->team),
    .now_us = now_us,
  };
  struct gw_upstream_options options = {
    .loop = context->loop,
    .dialect = context->dialect,
    .link = &context->link,
    .backends = context->backends,
    .request_id = exchange->id,
    .is_not_repeatable = !is_repeatable_ (exchange),
    .user = exchange,
  };
  struct gw_placement *place = &exchange->place;
  enum gw_placement_verdict verdict;

  if (exchange->deadline_us != INT64_MAX
      && exchange->deadline_us - now_us < REMAINING_MIN_MS * GW_US_PER_MS)
    {
      gw_exchange_refuse_with_inputs_ (
          exchange, exchange->runs > 0 ? 504 : 503, GW_RETRY_AFTER_ELSEWHERE, "no_time_left",
          json_pack ("{s:I}", "left_ms",
                     (json_int_t)((exchange->deadline_us - now_us) / GW_US_PER_MS)));
      return;
    }
  if (gw_exchange_refuse_blocked_ (exchange))
    return;
  verdict = gw_placement_pick (&query, context->random, place);
  if (refuse_unplaced_ (exchange, verdict, query.backends == NULL ? 0 : query.backends->len))
    return;
  exchange->backend = gw_backend_ref (place->backend);
  exchange->uncached_tokens = place->uncached_tokens;
  exchange->memory_tokens = exchange->prompt.is_declared
                                ? exchange->prompt.input_tokens + exchange->prompt.output_tokens_max
                                : 0;
  gw_placement_begin_request (place, &query, exchange->memory_tokens);
  exchange->state = EXCHANGE_CONNECTING;
  options.backend = place->backend;
  exchange->upstream = gw_upstream_open (&options);
  if (exchange->upstream == NULL)
    on_failed_ (exchange, GW_UPSTREAM_NOT_CONNECTED);
  else if (gw_upstream_is_ready (exchange->upstream))
    send_request_ (exchange);
}

/* Refuses the request if VERDICT of the placement, among N_BACKENDS, is that no server can take it
 * now, or if others take precedence. Returns whether it did, and the exchange is freed. */
static bool
refuse_unplaced_ (struct gw_exchange *exchange,
                  enum gw_placement_verdict verdict,
                  unsigned n_backends)
{
  const struct gw_context *context = exchange->context;
  const struct gw_placement *place = &exchange->place;
  int64_t now_us = g_get_monotonic_time ();

  if (verdict == GW_PLACEMENT_ALL_EVACUATED)
    {
      bool is_known = evacuation_is_known (context->evacuation);

      gw_exchange_refuse_with_inputs_ (
          exchange, exchange->runs > 0 ? 502 : 503, GW_RETRY_AFTER_OUTAGE,
          is_known ? "all_evacuated" : "evacuations_unknown",
          json_pack ("{s:i,s:i}", "evacuated", (int)place->evacuated, "data_centres",
                     (int)evacuation_count (context->evacuation)));
      return true;
    }
  sr_counter_add (&cold_withheld_counter_, place->cold_withheld > 0);
  if (verdict == GW_PLACEMENT_ALL_COLD)
    {
      gw_exchange_refuse_with_inputs_ (exchange, exchange->runs > 0 ? 502 : 503,
                                       GW_RETRY_AFTER_PAUSE, "all_cold",
                                       json_pack ("{s:i,s:I}", "cold", (int)place->cold_withheld,
                                                  "wait_ms", (json_int_t)place->resumes_in_ms));
      return true;
    }
  if (verdict == GW_PLACEMENT_ALL_PAUSED)
    {
      gw_exchange_refuse_with_inputs_ (
          exchange, exchange->runs > 0 ? 502 : 503, GW_RETRY_AFTER_PAUSE, "all_paused",
          json_pack ("{s:I,s:i}", "paused_ms", (json_int_t)place->resumes_in_ms, "evacuated",
                     (int)place->evacuated));
      return true;
    }
  if (verdict == GW_PLACEMENT_NO_RECENT_RESPONSE)
    {
      gw_exchange_refuse_with_inputs_ (
          exchange, exchange->runs > 0 ? 502 : 503, GW_RETRY_AFTER_ELSEWHERE, "backends_unheard",
          json_pack ("{s:I,s:i}", "store_out_ms",
                     (json_int_t)((now_us - context->store_outage_since_us) / GW_US_PER_MS),
                     "evacuated", (int)place->evacuated));
      return true;
    }
  if (verdict != GW_PLACEMENT_NO_BACKEND && gw_exchange_refuse_outranked_ (exchange, verdict))
    return true;
  if (verdict == GW_PLACEMENT_NO_BACKEND || verdict == GW_PLACEMENT_NO_MEMORY
      || (verdict == GW_PLACEMENT_ALL_FULL && !gw_exchange_outranks_queue_ (exchange)))
    {
      if (verdict == GW_PLACEMENT_NO_MEMORY)
        gw_exchange_note_not_served_ (exchange, now_us);
      gw_exchange_refuse_with_inputs_ (
          exchange, exchange->runs > 0 ? 502 : 503, GW_RETRY_AFTER_BUSY,
          verdict == GW_PLACEMENT_NO_BACKEND  ? "no_backend"
          : verdict == GW_PLACEMENT_NO_MEMORY ? "no_memory"
                                              : "all_full",
          json_pack ("{s:i,s:i,s:f,s:i}", "backends", (int)n_backends, "tried",
                     (int)exchange->tried->len, "expected_ms", place->expected_ms, "evacuated",
                     (int)place->evacuated));
      return true;
    }
  return false;
}

static void
send_request_ (struct gw_exchange *exchange)
{
  int64_t now_us = g_get_monotonic_time ();
  struct gw_outbound_request send = {
    .method = net_string_view_of (exchange->method),
    .target = net_string_view_of (exchange->target),
    .headers = exchange->headers,
    .backend_id = exchange->backend->facts.id,
    .team = exchange->team == NULL ? NULL : exchange->team->name->str,
    .remaining_ms = exchange->deadline_us == INT64_MAX
                        ? 0
                        : MAX ((exchange->deadline_us - now_us) / GW_US_PER_MS, 1),
    .body_length = exchange->body->len,
    .has_body = exchange->has_body,
    .has_rank = exchange->context->callers_compete && exchange->service != NULL
                && exchange->service->is_model,
    .rank = gw_request_rank (exchange->route, exchange->team),
  };
  GString *head = g_string_sized_new (1024);

  if (exchange->scan.last_id[0] != '\0')
    send.last_event_id = net_string_view_of (exchange->scan.last_id);
  else if (exchange->last_event_id != NULL)
    send.last_event_id = net_string_view_of (exchange->last_event_id);
  exchange->context->dialect->encode_request (&send, head);
  exchange->state = EXCHANGE_SENT;
  exchange->sent_us = now_us;
  exchange->head_received = false;
  exchange->answer_began_us = 0;
  exchange->survival_noted = false;
  gw_exchange_list_unanswered_ (exchange);
  exchange->received_event = false;
  exchange->runs++;
  exchange->attempts++;
  sr_counter_add (&attempts_counter_, 1);
  note_sent_to_cold_ (exchange, now_us);
  sr_event (
      SR_EVENT_INFO, "request_sent", "{s:s,s:s,s:I,s:s,s:i,s:I,s:I,s:I,s:f,s:i,s:i,s:I}", "request",
      exchange->id, "team", exchange->team == NULL ? "" : exchange->team->name->str, "reserved",
      (json_int_t)exchange->reserved_tokens, "backend", exchange->backend->facts.id, "attempt",
      (int)exchange->attempts, "left_ms", (json_int_t)send.remaining_ms, "unread_tokens",
      (json_int_t)exchange->uncached_tokens, "after_us",
      (json_int_t)(now_us - exchange->arrived_us), "expected_ms", exchange->place.expected_ms,
      "in_flight", (int)exchange->place.in_flight, "reported", (int)exchange->place.reported_load,
      "report_age_ms", (json_int_t)exchange->place.report_age_ms);
  gw_upstream_send (exchange->upstream, (struct net_string_view){ head->str, head->len },
                    exchange->body, strcmp (exchange->method, "HEAD") == 0);
  g_string_free (head, TRUE);
  gw_exchange_set_timer_ (exchange);
}

/* While this instance's own link is congested it gets updates neither from the store nor from
 * peers. It could then miss that a backend server is leaving, so only servers that have responded
 * recently, and without announcing that, may be used. Returns the earliest time of such a response,
 * or 0 (any server may be used) if the store is reachable or is unreachable for other reasons than
 * congestion. */
static int64_t
required_response_since_us_ (const struct gw_context *context, int64_t now_us)
{
  int64_t span_us = context->backend_leave_limit_us / 2;

  if (context->store_outage_since_us == 0 || now_us - context->store_outage_since_us < span_us
      || !gw_link_load_is_congested (&context->link, now_us))
    return 0;
  return now_us - span_us;
}

/* Counts the request in the limit for cold servers. */
static void
note_sent_to_cold_ (const struct gw_exchange *exchange, int64_t now_us)
{
  if (!gw_cold_start_is_on (exchange->context->cold_start))
    return;
  gw_cold_server_note_sent (&exchange->backend->cold, now_us);
  sr_counter_add (&cold_sent_counter_, gw_cold_server_is_cold (&exchange->backend->cold, now_us));
}

/* Returns true if the backend server has become cold since it was picked, or has got all that this
 * instance may send to it for now. */
static bool
is_withheld_from_cold_ (const struct gw_exchange *exchange)
{
  if (gw_placement_cold_wait_us (exchange->context->cold_start, exchange->service,
                                 exchange->backend, g_get_monotonic_time ())
      <= 0)
    return false;
  sr_counter_add (&cold_withheld_counter_, 1);
  return true;
}

/* During the handshake the backend server may have asked for a pause, in another response, or have
 * become cold, its data centre may have been evacuated, or the prompt may have been blocked. */
static void
on_ready_ (void *user)
{
  struct gw_exchange *exchange = user;

  if (!gw_placement_is_paused (exchange->backend, g_get_monotonic_time ())
      && !evacuation_excludes (exchange->context->evacuation, exchange->backend->facts.data_centre)
      && !is_withheld_from_cold_ (exchange)
      && (exchange->is_trial
          || !quarantine_blocks (exchange->context->quarantine, &exchange->shared_parts,
                                 exchange->team_hash)))
    {
      send_request_ (exchange);
      return;
    }
  gw_exchange_end_attempt_ (exchange, GW_ATTEMPT_ABANDONED);
  gw_exchange_start_attempt_ (exchange);
}

static void
on_head_ (void *user,
          const struct net_http_head *head,
          const struct gw_response_head *response,
          const GString *headers)
{
  struct gw_exchange *exchange = user;
  int64_t now_us = g_get_monotonic_time ();
  bool failed = head->status >= 500 || response->is_encoded;
  /* Only events go on with a stream whose head has been sent. */
  bool breaks_stream
      = exchange->response_began
        && (head->status != 200 || !response->is_event_stream || response->is_encoded);

  gw_placement_note_first_byte (exchange->backend, exchange->uncached_tokens, now_us);
  exchange->uncached_tokens = 0;
  if (response->not_executed)
    {
      sr_event (SR_EVENT_WARNING, "request_not_executed", "{s:s,s:s,s:i}", "request", exchange->id,
                "backend", exchange->backend->facts.id, "status", (int)head->status);
      exchange->runs--;
      if (head->status == HTTP_MISDIRECTED)
        report_replaced_backend_ (exchange, now_us);
      else
        gw_exchange_note_not_served_ (exchange, now_us);
      gw_exchange_end_attempt_ (exchange, head->status == HTTP_MISDIRECTED
                                              ? GW_ATTEMPT_MISDIRECTED
                                              : GW_ATTEMPT_NOT_EXECUTED);
      if (take_retry_ (exchange, false))
        gw_exchange_start_attempt_ (exchange);
      else if (exchange->response_began)
        gw_exchange_finish_ (exchange, "not_resumed", false);
      else
        gw_exchange_refuse_ (exchange, exchange->runs > 0 ? 502 : 503, GW_RETRY_AFTER_BUSY,
                             "not_executed");
      return;
    }
  gw_placement_note_latency (exchange->backend, failed, exchange->place.expected_ms,
                             (now_us - exchange->sent_us) / GW_US_PER_MS, now_us);
  if ((failed || breaks_stream) && take_retry_ (exchange, true))
    {
      sr_event (SR_EVENT_INFO, "request_repeated", "{s:s,s:s,s:i}", "request", exchange->id,
                "backend", exchange->backend->facts.id, "status", (int)head->status);
      gw_exchange_end_attempt_ (exchange, GW_ATTEMPT_ERROR);
      gw_exchange_start_attempt_ (exchange);
      return;
    }
  if (breaks_stream)
    {
      gw_exchange_end_attempt_ (exchange, GW_ATTEMPT_ERROR);
      gw_exchange_finish_ (exchange, "not_resumed", false);
      return;
    }
  /* Callers take these statuses as a guarantee that the request has not run, which this server does
   * not give. */
  if (response->is_encoded || head->status == 429 || head->status == 503 || head->status == 408)
    {
      gw_exchange_end_attempt_ (exchange, GW_ATTEMPT_ERROR);
      gw_exchange_refuse_ (exchange, 502, GW_RETRY_AFTER_BUSY,
                           response->is_encoded ? "encoded_answer" : "unclear_answer");
      return;
    }
  gw_exchange_note_served_ (exchange, now_us);
  exchange->head_received = true;
  exchange->status = head->status;
  exchange->is_event_stream = response->is_event_stream;
  exchange->response_has_length = head->has_length;
  exchange->response_length = head->length;
  exchange->response_ends_with_connection = head->ends_with_connection;
  exchange->response_head_us = now_us;
  sr_histogram_observe (&first_byte_histogram_, now_us - exchange->arrived_us);
  if (exchange->response_began)
    {
      exchange->state
          = EXCHANGE_RESPONDING; /* a resumed stream continues under the head already sent */
      return;
    }
  g_string_truncate (exchange->reason, 0);
  g_string_append_len (exchange->reason, head->reason.data, (gssize)head->reason.length);
  g_string_assign (exchange->response_headers, headers->str);
  g_byte_array_set_size (exchange->response_body, 0);
  if (exchange->is_event_stream)
    {
      begin_response_ (exchange);
      gw_exchange_set_timer_ (exchange);
    }
}

/* Marks the backend server as replaced and reports that to peers: during a store outage its entry
 * stays listed, and each instance would otherwise have to find out by a misdirected request. */
static void
report_replaced_backend_ (struct gw_exchange *exchange, int64_t now_us)
{
  struct gw_context *context = exchange->context;

  if (!gw_placement_set_replaced (exchange->backend, now_us))
    return;
  sr_event (SR_EVENT_INFO, "backend_replaced", "{s:s,s:s}", "backend", exchange->backend->facts.id,
            "request", exchange->id);
  context->announce_replaced (context, exchange->backend);
}

static void
on_body_ (void *user, const char *data, size_t length)
{
  struct gw_exchange *exchange = user;
  int64_t now_us = g_get_monotonic_time ();
  const char *fault = NULL;
  size_t complete;

  gw_placement_note_received (exchange->backend, now_us);
  if (exchange->answer_began_us == 0)
    exchange->answer_began_us = now_us;
  gw_exchange_unlist_unanswered_ (exchange);
  if (now_us - exchange->answer_began_us >= QUARANTINE_SURVIVAL_MS * GW_US_PER_MS)
    gw_exchange_note_survival_ (exchange, now_us);
  if (exchange->is_event_stream && !exchange->received_event)
    {
      exchange->received_event = true;
      gw_latency_model_note_prefill (exchange->backend->latency_model,
                                     exchange->place.prefill_queue_tokens,
                                     now_us - exchange->sent_us);
    }
  if (!exchange->is_event_stream)
    {
      if (exchange->response_began)
        {
          forward_ (exchange, data, length);
          return;
        }
      g_byte_array_append (exchange->response_body, (const guint8 *)data, (guint)length);
      /* While memory is short no more is buffered than needed. */
      if (exchange->response_body->len > RESPONSE_BUFFER_MAX_BYTES
          || (exchange->response_body->len > RESPONSE_SHORT_BYTES
              && net_memory_account_is_short (&exchange->context->account)))
        {
          begin_response_ (exchange);
          forward_buffered_ (exchange);
        }
      else
        (*exchange->caller)->buffered (exchange->caller, exchange->response_body->len);
      return;
    }
  complete = gw_event_scan_feed (&exchange->scan, data, length);
  if (exchange->scan.went_back)
    fault = "event_order";
  else if (stream_exceeds_limits_ (exchange, length - complete))
    fault = "endless_answer";
  forward_events_ (exchange, data, complete, fault == NULL ? length : complete);
  if (fault == NULL)
    return;
  end_failed_attempt_ (exchange, fault, GW_ATTEMPT_BROKEN);
  retry_or_end_ (exchange, true, fault);
}

/* Forwards LENGTH bytes of a stream, of which the first COMPLETE ones end an event. Of a resumable
 * stream only complete events are forwarded, so that another backend server can resume after the
 * last one. */
static void
forward_events_ (struct gw_exchange *exchange, const char *data, size_t complete, size_t length)
{
  if (!exchange->route->resumable)
    {
      if (length > 0)
        forward_ (exchange, data, length);
      return;
    }
  if (complete > 0)
    {
      if (exchange->partial_event->len > 0)
        {
          g_string_append_len (exchange->partial_event, data, (gssize)complete);
          forward_ (exchange, exchange->partial_event->str, exchange->partial_event->len);
          g_string_truncate (exchange->partial_event, 0);
        }
      else
        forward_ (exchange, data, complete);
    }
  g_string_append_len (exchange->partial_event, data + complete, (gssize)(length - complete));
}

/* Returns true if a faulty server sends more events than the request allows tokens, or an event
 * that exceeds EVENT_MAX_BYTES with the ADDED bytes just received. */
static bool
stream_exceeds_limits_ (const struct gw_exchange *exchange, size_t added)
{
  const struct gw_prompt *prompt = &exchange->prompt;

  return (prompt->is_declared
          && (int64_t)exchange->scan.events > prompt->output_tokens_max + EXTRA_EVENTS_MAX)
         || exchange->partial_event->len + added > EVENT_MAX_BYTES;
}

static void
on_complete_ (void *user)
{
  struct gw_exchange *exchange = user;

  exchange->upstream = NULL;
  if (exchange->is_event_stream && (exchange->scan.has_content || exchange->scan.line_length > 0))
    {
      end_failed_attempt_ (exchange, "torn_event", GW_ATTEMPT_BROKEN);
      retry_or_end_ (exchange, true, "torn_event");
      return;
    }
  if (exchange->response_ends_with_connection && exchange->response_is_framed)
    {
      /* Unlike a last chunk, the end of the connection does not say that the stream is whole. */
      end_failed_attempt_ (exchange, "unframed_end", GW_ATTEMPT_ABANDONED);
      retry_or_end_ (exchange, true, "unframed_end");
      return;
    }
  if (!exchange->response_began)
    {
      exchange->response_has_length = !exchange->response_ends_with_connection;
      if (strcmp (exchange->method, "HEAD") != 0)
        exchange->response_length = exchange->response_body->len;
      begin_response_ (exchange);
      if (exchange->response_body->len > 0)
        forward_buffered_ (exchange);
    }
  if (exchange->status < 300)
    gw_exchange_note_survival_ (exchange, g_get_monotonic_time ());
  if (exchange->status < 300)
    gw_latency_model_note_response (exchange->backend->latency_model,
                                    g_get_monotonic_time () - exchange->sent_us);
  gw_exchange_end_attempt_ (exchange, exchange->status >= 500 ? GW_ATTEMPT_ERROR : GW_ATTEMPT_OK);
  sr_counter_add (&responses_counter_, 1);
  gw_exchange_finish_ (exchange, "answered", true);
}

static void
on_failed_ (void *user, enum gw_upstream_failure failure)
{
  struct gw_exchange *exchange = user;
  bool sent = exchange->state != EXCHANGE_CONNECTING;
  bool unanswered = sent && failure == GW_UPSTREAM_CLOSED && gw_exchange_is_unanswered_ (exchange);
  bool is_suspect
      = unanswered
        && quarantine_is_suspect (exchange->context->quarantine, &exchange->shared_parts,
                                  exchange->backend->key, exchange->backend->facts.started_ms);

  exchange->upstream = NULL;
  if (unanswered)
    end_detector_note_closed (exchange->context->end_detector, exchange->backend,
                              &exchange->shared_parts, exchange->team_hash,
                              gw_exchange_progress_ (exchange));
  end_failed_attempt_ (exchange, gw_upstream_failure_to_string (failure),
                       failure == GW_UPSTREAM_LINK_BUSY ? GW_ATTEMPT_ABANDONED : GW_ATTEMPT_BROKEN);
  if (failure == GW_UPSTREAM_LINK_BUSY && exchange->runs == 0)
    {
      gw_exchange_refuse_ (exchange, 503, GW_RETRY_AFTER_ELSEWHERE,
                           gw_upstream_failure_to_string (failure));
      return;
    }
  if (!sent && exchange->tried->len < ATTEMPTS_MAX)
    {
      gw_exchange_start_attempt_ (exchange);
      return;
    }
  if (is_suspect)
    end_without_retry_ (exchange, "prompt_part_suspected");
  else
    retry_or_end_ (exchange, sent, gw_upstream_failure_to_string (failure));
}

/* Logs the failed attempt with REASON, ends it and discards an incomplete event. */
static void
end_failed_attempt_ (struct gw_exchange *exchange,
                     const char *reason,
                     enum gw_attempt_outcome outcome)
{
  int64_t now_us = g_get_monotonic_time ();
  bool was_sent = exchange->state != EXCHANGE_CONNECTING;

  sr_event (SR_EVENT_WARNING, "attempt_failed", "{s:s,s:s,s:s,s:s,s:i,s:I,s:I,s:i,s:o}", "request",
            exchange->id, "backend", exchange->backend->facts.id, "state",
            gw_exchange_state_to_string_ (exchange->state), "reason", reason, "events",
            (int)exchange->scan.events, "sent_ms",
            was_sent ? (json_int_t)((now_us - exchange->sent_us) / GW_US_PER_MS) : -1, "answer_ms",
            was_sent && exchange->answer_began_us != 0
                ? (json_int_t)((now_us - exchange->answer_began_us) / GW_US_PER_MS)
                : -1,
            "open_connections", (int)exchange->backend->open_connections, "parts",
            gw_exchange_parts_to_json_ (exchange));
  gw_exchange_end_attempt_ (exchange, outcome);
  g_string_truncate (exchange->partial_event, 0);
  exchange->scan.line_length = 0;
  exchange->scan.has_content = false;
  exchange->scan.has_id = false;
  exchange->scan.went_back = false;
}

/* Retries the request on another backend server if that is allowed, or ends it with REASON. SENT:
 * the last server may have executed it. */
static void
retry_or_end_ (struct gw_exchange *exchange, bool sent, const char *reason)
{
  if (take_retry_ (exchange, sent))
    gw_exchange_start_attempt_ (exchange);
  else
    end_without_retry_ (exchange, reason);
}

static void
end_without_retry_ (struct gw_exchange *exchange, const char *reason)
{
  if (exchange->response_began)
    gw_exchange_finish_ (exchange, "cut", false);
  else
    gw_exchange_refuse_ (exchange, exchange->runs > 0 ? 502 : 503, GW_RETRY_AFTER_BUSY, reason);
}

/* Returns true if the request may be sent to another backend server, and then charges the retry
 * budget. EXECUTED: the last server may have executed it. */
static bool
take_retry_ (struct gw_exchange *exchange, bool executed)
{
  struct gw_context *context = exchange->context;
  int64_t now_us = g_get_monotonic_time ();

  if (executed && !is_repeatable_ (exchange))
    return false;
  if (exchange->response_began && (!exchange->is_event_stream || !exchange->route->resumable))
    return false;
  if (exchange->attempts >= MIN (exchange->route->attempts_max, (unsigned)ATTEMPTS_MAX))
    return false;
  return gw_retry_budget_take (gw_context_retry_budget (context, exchange->service_name),
                               gw_fleet_size_recent (&context->fleet_size, now_us), now_us);
}

static bool
is_repeatable_ (const struct gw_exchange *exchange)
{
  return exchange->route->kind == GW_ROUTE_REPEATABLE
         || (exchange->route->kind == GW_ROUTE_STREAM && exchange->route->resumable);
}

/* Ends the current attempt: closes its connection if that is still open, and releases its slot at
 * the backend server. */
void
gw_exchange_end_attempt_ (struct gw_exchange *exchange, enum gw_attempt_outcome outcome)
{
  if (exchange->upstream != NULL)
    gw_upstream_abandon (exchange->upstream);
  exchange->upstream = NULL;
  gw_exchange_unlist_unanswered_ (exchange);
  exchange->reading_paused = false;
  gw_placement_end_request (exchange->backend, exchange->uncached_tokens, exchange->memory_tokens,
                            outcome, g_get_monotonic_time ());
  exchange->uncached_tokens = 0;
  g_ptr_array_add (exchange->tried, exchange->backend);
  exchange->backend = NULL;
}

static void
begin_response_ (struct gw_exchange *exchange)
{
  const struct gw_caller_response reply = {
    .status = exchange->status,
    .reason = { exchange->reason->str, exchange->reason->len },
    .headers = { exchange->response_headers->str, exchange->response_headers->len },
    .has_length = exchange->response_has_length && !exchange->is_event_stream,
    .length = exchange->response_length,
    .ends_with_connection = exchange->response_ends_with_connection,
  };

  exchange->state = EXCHANGE_RESPONDING;
  exchange->response_began = true;
  exchange->response_is_framed = !exchange->response_ends_with_connection;
  (*exchange->caller)->begin (exchange->caller, &reply);
}

/* Forwards the buffered part of a response and frees it. */
static void
forward_buffered_ (struct gw_exchange *exchange)
{
  GByteArray *body = exchange->response_body;

  exchange->response_body = g_byte_array_new ();
  forward_ (exchange, (const char *)body->data, body->len);
  g_byte_array_unref (body);
  (*exchange->caller)->buffered (exchange->caller, 0);
}

static void
forward_ (struct gw_exchange *exchange, const char *data, size_t length)
{
  const struct net_string_view part = { data, length };

  (*exchange->caller)->body (exchange->caller, &part, 1);
  if (exchange->upstream != NULL && !exchange->reading_paused
      && (*exchange->caller)->queued (exchange->caller)
             > (net_memory_account_is_short (&exchange->context->account) ? CALLER_QUEUE_SHORT_BYTES
                                                                          : CALLER_QUEUE_MAX_BYTES))
    {
      exchange->reading_paused = true;
      gw_upstream_pause (exchange->upstream, true);
    }
}

/* Returns until when the response to a repeatable request is waited for. */
static int64_t
response_wait_end_us_ (const struct gw_exchange *exchange)
{
  return exchange->sent_us
         + MAX (RESPONSE_WAIT_OBJECTIVES * (int64_t)exchange->route->objective_ms,
                RESPONSE_WAIT_MIN_MS)
               * GW_US_PER_MS;
}

/* Starts the timer for the request's deadline or the next check for a silent server, whichever is
 * earlier. */
void
gw_exchange_set_timer_ (struct gw_exchange *exchange)
{
  int64_t now_us = g_get_monotonic_time ();
  int64_t due_us = MIN (exchange->deadline_us, gw_exchange_overdue_us_ (exchange));

  if (exchange->state == EXCHANGE_SENT && exchange->route->kind == GW_ROUTE_REPEATABLE)
    due_us = MIN (due_us, response_wait_end_us_ (exchange));
  if ((exchange->state == EXCHANGE_SENT || exchange->state == EXCHANGE_RESPONDING)
      && exchange->route->kind == GW_ROUTE_STREAM && exchange->route->resumable)
    due_us = MIN (due_us, now_us + STREAM_CHECK_INTERVAL_MS * GW_US_PER_MS);
  if (due_us == INT64_MAX)
    return;
  uv_timer_start (&exchange->timer, on_timer_,
                  (uint64_t)MAX ((due_us - now_us + GW_US_PER_MS - 1) / GW_US_PER_MS, 0), 0);
}

/* Returns true if a timeout is the backend server's fault: not that of a caller who reads slowly,
 * nor of a stream, which may legitimately be long. */
static bool
timeout_is_servers_fault_ (const struct gw_exchange *exchange)
{
  if (exchange->state == EXCHANGE_CONNECTING)
    return false;
  return !exchange->response_began || (!exchange->is_event_stream && !exchange->reading_paused);
}

/* Ends the request at the end of a planned stop: it is refused, or its response, which has begun,
 * is cut. */
void
gw_exchange_stop (struct gw_exchange *exchange)
{
  end_unfinished_ (exchange, GW_ATTEMPT_ABANDONED, "stopping");
}

/* Ends the request, whose time is over, with REASON, and its attempt with OUTCOME. */
static void
end_unfinished_ (struct gw_exchange *exchange, enum gw_attempt_outcome outcome, const char *reason)
{
  if (exchange->state == EXCHANGE_RESERVING)
    allotment_manager_cancel (exchange->context->allotments, exchange->team->name->str, exchange);
  if (exchange->backend != NULL)
    gw_exchange_end_attempt_ (exchange, outcome);
  if (exchange->response_began)
    gw_exchange_finish_ (exchange, reason, false);
  else
    gw_exchange_refuse_ (exchange, exchange->runs > 0 ? 504 : 503, GW_RETRY_AFTER_BUSY, reason);
}

static void
on_timer_ (uv_timer_t *timer)
{
  struct gw_exchange *exchange = timer->data;
  int64_t now_us = g_get_monotonic_time ();
  bool server_is_silent = false;

  if (now_us < exchange->deadline_us && gw_exchange_note_overdue_ (exchange, now_us))
    {
      gw_exchange_set_timer_ (exchange);
      return;
    }
  if (now_us >= exchange->deadline_us)
    {
      end_unfinished_ (
          exchange, timeout_is_servers_fault_ (exchange) ? GW_ATTEMPT_BROKEN : GW_ATTEMPT_ABANDONED,
          "timeout");
      return;
    }
  /* The loop's clock lags, so that a timer may end early. */
  if (exchange->state == EXCHANGE_SENT && exchange->route->kind == GW_ROUTE_REPEATABLE)
    server_is_silent = now_us >= response_wait_end_us_ (exchange);
  else if (exchange->backend != NULL && exchange->route->resumable)
    server_is_silent = gw_placement_is_silent (exchange->backend, now_us)
                       && now_us - MAX (exchange->sent_us, exchange->response_head_us)
                              >= STREAM_SILENCE_MAX_MS * GW_US_PER_MS;
  /* While this instance's own link is congested every backend server seems silent. */
  if (server_is_silent && gw_link_load_is_congested (&exchange->context->link, now_us))
    {
      uv_timer_start (&exchange->timer, on_timer_,
                      (uint64_t)MIN (CONGESTED_CHECK_INTERVAL_MS,
                                     (exchange->deadline_us - now_us) / GW_US_PER_MS + 1),
                      0);
      return;
    }
  if (server_is_silent && take_retry_ (exchange, true))
    {
      end_failed_attempt_ (exchange, "silent", GW_ATTEMPT_BROKEN);
      gw_exchange_start_attempt_ (exchange);
      return;
    }
  if (server_is_silent && exchange->route->kind == GW_ROUTE_REPEATABLE
      && exchange->deadline_us != INT64_MAX)
    uv_timer_start (&exchange->timer, on_timer_,
                    (uint64_t)((exchange->deadline_us - now_us) / GW_US_PER_MS + 1), 0);
  else
    gw_exchange_set_timer_ (exchange);
}
