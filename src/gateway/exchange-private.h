/* State shared by exchange.c, the life cycle of an exchange, attempt.c, its attempts at backend
 * servers, exchange-quarantine.c, what it reports to and asks of the quarantine, and
 * exchange-precedence.c, the same for the precedence. */
#pragma once

#include "base/counters.h"
#include "gateway/event-scan.h"
#include "gateway/exchange.h"
#include "gateway/placement.h"
#include "gateway/retry-after.h"
#include "gateway/upstream.h"

#include <jansson.h>

enum
{
  GW_US_PER_MS = 1000
};

enum gw_exchange_state
{
  EXCHANGE_READING,    /* receiving the caller's request */
  EXCHANGE_RESERVING,  /* waiting for the token reservation */
  EXCHANGE_CONNECTING, /* waiting for a connection to the chosen backend server */
  EXCHANGE_SENT,       /* request sent, waiting for the response head */
  EXCHANGE_RESPONDING, /* forwarding the response to the caller */
  EXCHANGE_ENDED
};

struct gw_exchange
{
  const struct gw_upstream_user_vtable
      *upstream_vtable; /* must be first: an exchange is the user of a gw_upstream */
  struct gw_context *context;
  const struct gw_caller_vtable **caller;
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
  char *last_event_id; /* Last-Event-Id of the caller; NULL: from the stream's beginning */
  struct gw_prompt prompt;
  struct quarantine_parts shared_parts; /* of the prompt */
  uint64_t team_hash;                   /* 0: no team */
  bool is_trial;                        /* tests whether a blocked prompt part is sound */
  GByteArray *body;
  bool has_body;
  uint64_t declared_body_bytes; /* body length in bytes from the request head; 0: not given */
  int64_t arrived_us;
  int64_t deadline_us; /* the earlier of the caller's deadline and the route's timeout; INT64_MAX:
                          none */
  uv_timer_t timer;
  /* Prepaid tokens. */
  int64_t reserved_tokens;
  int64_t used_tokens; /* set when the reservation is settled */
  GArray *parts;       /* of the reservation; NULL: none, or settled */
  unsigned runs;       /* attempts that a backend server may have executed */
  struct gw_precedence
      *precedence;     /* of the service; NULL: callers do not compete, or not admitted */
  double cost;         /* as counted there */
  int64_t admitted_us; /* when it was admitted there */
  bool result_noted;   /* there */
  /* The current attempt. */
  unsigned attempts; /* requests sent so far, over all attempts */
  struct gw_upstream *upstream;
  struct gw_backend *backend;
  struct gw_placement place; /* result of the server selection; holds no reference to its backend */
  int64_t uncached_tokens; /* uncached prompt tokens, counted at the server until its first byte */
  int64_t memory_tokens;   /* KV cache space, in tokens, counted at the server until the end */
  int64_t sent_us;
  GList unanswered_link; /* in the context's list */
  bool is_listed;        /* in that list */
  bool survival_noted;
  bool head_received;      /* of the answer of the current attempt */
  int64_t answer_began_us; /* when the first byte of its response body arrived; 0: none yet */
  GPtrArray *tried;        /* struct gw_backend, with references: servers of earlier attempts */
  /* The response. */
  unsigned status;
  GString *reason;
  GString *response_headers;
  bool response_has_length;
  bool response_ends_with_connection;
  bool response_is_framed; /* towards the caller: by a length or chunks */
  uint64_t response_length;
  GByteArray *response_body; /* a response that is not a stream, buffered until it is complete */
  bool is_event_stream;
  bool received_event; /* the current attempt has delivered part of an event */
  bool response_began; /* the response head has been sent to the caller */
  bool refuses_body;   /* refused because the link is full: see struct gw_caller_response */
  bool reading_paused; /* not reading from the backend server: the caller reads too slowly */
  struct gw_event_scan scan;
  GString *partial_event;   /* bytes of an incomplete event, of a resumable stream */
  int64_t response_head_us; /* when the latest response head arrived; 0: none yet */
};

void gw_exchange_start_attempt_ (struct gw_exchange *exchange);
void gw_exchange_end_attempt_ (struct gw_exchange *exchange, enum gw_attempt_outcome outcome);
void gw_exchange_set_timer_ (struct gw_exchange *exchange);
void gw_exchange_finish_ (struct gw_exchange *exchange, const char *outcome, bool is_complete);
void gw_exchange_refuse_ (struct gw_exchange *exchange,
                          unsigned status,
                          enum gw_retry_after_cause cause,
                          const char *why);
void gw_exchange_refuse_with_inputs_ (struct gw_exchange *exchange,
                                      unsigned status,
                                      enum gw_retry_after_cause cause,
                                      const char *why,
                                      json_t *inputs);
void gw_exchange_set_shared_parts_ (struct gw_exchange *exchange);
bool gw_exchange_refuse_blocked_ (struct gw_exchange *exchange);
void gw_exchange_list_unanswered_ (struct gw_exchange *exchange);
void gw_exchange_unlist_unanswered_ (struct gw_exchange *exchange);
bool gw_exchange_is_unanswered_ (const struct gw_exchange *exchange);
enum quarantine_progress gw_exchange_progress_ (const struct gw_exchange *exchange);
void gw_exchange_note_survival_ (struct gw_exchange *exchange, int64_t now_us);
json_t *gw_exchange_parts_to_json_ (const struct gw_exchange *exchange);
void gw_exchange_register_precedence_metrics_ (void);
bool gw_exchange_refuse_outranked_ (struct gw_exchange *exchange,
                                    enum gw_placement_verdict verdict);
bool gw_exchange_outranks_queue_ (struct gw_exchange *exchange);
void gw_exchange_note_served_ (struct gw_exchange *exchange, int64_t now_us);
void gw_exchange_note_not_served_ (struct gw_exchange *exchange, int64_t now_us);
int64_t gw_exchange_overdue_us_ (const struct gw_exchange *exchange);
bool gw_exchange_note_overdue_ (struct gw_exchange *exchange, int64_t now_us);
void gw_exchange_register_attempt_metrics_ (void);
const struct gw_upstream_user_vtable *gw_exchange_upstream_vtable_ (void);
const char *gw_exchange_state_to_string_ (enum gw_exchange_state state);
