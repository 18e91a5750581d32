/* Choice of the backend server for one request, by the earliest expected first byte. Long prompts
 * delay whatever else a server runs, so the estimate covers the prompt tokens that this instance
 * has sent there and that are not prefilled yet, the prompt parts assumed cached and the load last
 * reported. No thread, socket or clock. */
#pragma once

#include "gateway/backends.h"
#include "gateway/dialect.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct gw_backend_load;

struct gw_place_query
{
  const GPtrArray *backends; /* struct gw_backend, of the service; may be NULL */
  const struct gw_service *service;
  const struct gw_prompt *prompt;
  const char *data_centre;
  double connect_ms;         /* estimated cost of a new connection */
  int64_t part_memory_us;    /* a prompt part is assumed cached this long after use; 0: 9 s */
  const GPtrArray *excluded; /* struct gw_backend that failed this request */
  int64_t responded_since_us; /* only servers that have responded since then; 0: any */
  int64_t now_us;
};

enum gw_place_verdict
{
  GW_PLACE_PICKED,
  GW_PLACE_FULL,    /* a server is set, but all candidates have overlong queues */
  GW_PLACE_PAUSED,  /* all candidates have asked for no requests for some time */
  GW_PLACE_UNHEARD, /* no candidate has responded recently enough for the query */
  GW_PLACE_NONE     /* no server takes new requests */
};

struct gw_place
{
  struct gw_backend *backend;
  double expected_ms;    /* until the first byte */
  int64_t uncached_tokens; /* uncached tokens of the prompt, estimated */
  int64_t prefill_queue_tokens; /* uncached tokens of all prompts sent there and not prefilled yet, this
                            prompt included */
  unsigned in_flight;    /* requests sent by this instance, without this one */
  unsigned reported_load;     /* requests of peers there, by its last load report */
  int64_t report_age_ms; /* -1: no load report yet */
  int64_t resumes_in_ms;     /* GW_PLACE_PAUSED: until the first candidate accepts requests again */
};

enum gw_place_end
{
  GW_PLACE_END_OK,
  GW_PLACE_END_NOT_EXECUTED, /* the server is full and confirms that it did not run the request */
  GW_PLACE_END_MISDIRECTED,  /* another server responds at its address */
  GW_PLACE_END_ERROR,        /* the response is a failure */
  GW_PLACE_END_BROKEN,       /* connection failed, cut, silent or malformed */
  GW_PLACE_END_ABANDONED     /* the caller has disconnected */
};

struct gw_backend_load *gw_backend_load_new (void);
void gw_backend_load_delete (struct gw_backend_load *load);
enum gw_place_verdict
gw_place_pick (const struct gw_place_query *query, GRand *random, struct gw_place *place);
void gw_place_begin (const struct gw_place *place,
                     const struct gw_place_query *query,
                     int64_t memory_tokens);
void gw_place_heard (struct gw_backend *backend, int64_t now_us);
void gw_place_first_byte (struct gw_backend *backend, int64_t uncached_tokens, int64_t now_us);
void gw_place_report (struct gw_backend *backend, const struct gw_answer *answer, int64_t now_us);
void gw_place_finish (struct gw_backend *backend,
                      int64_t uncached_tokens,
                      int64_t memory_tokens,
                      enum gw_place_end end,
                      int64_t now_us);
bool gw_place_set_replaced (struct gw_backend *backend, int64_t now_us);
void gw_place_pause (struct gw_backend *backend, int64_t pause_ms, int64_t now_us);
bool gw_place_is_paused (const struct gw_backend *backend, int64_t now_us);
bool gw_place_is_silent (const struct gw_backend *backend, int64_t now_us);
